"""The concurrency limit decreases with queueing at the endpoint, and recovers."""

import pytest

from azurefold.core.routing.concurrency import ConcurrencyLimit, ConcurrencyPolicy


@pytest.fixture
def limit():
    return ConcurrencyLimit(ConcurrencyPolicy())


def observe_first_tokens(limit, wait_ms, *, times=200, start=0):
    for number in range(times):
        limit.observe_first_token(wait_ms, 0.0, limit.limit, start + number * 50)


def test_limit_grows_with_an_empty_queue(limit):
    observe_first_tokens(limit, 40)
    assert limit.limit > 20


def test_queueing_decreases_the_limit(limit):
    observe_first_tokens(limit, 40, times=20)
    before = limit.limit
    observe_first_tokens(limit, 900, times=60, start=1_000)
    assert limit.limit < before * 0.85


def test_one_congested_moment_decreases_the_limit_once(limit):
    observe_first_tokens(limit, 40, times=5)
    before = limit.limit
    for _ in range(16):
        limit.observe_first_token(5_000, 0.0, 16, 1_000)
    assert limit.limit >= int(before * 0.85)


def test_long_prefill_does_not_count_as_queueing(limit):
    observe_first_tokens(limit, 40, times=20)
    before = limit.limit
    for number in range(100):
        limit.observe_first_token(2_040, 2_000.0, 16, 1_000 + number * 50)
    assert limit.limit >= before


def test_limit_stays_within_its_bounds(limit):
    for number in range(400):
        limit.observe_refusal(number * 1_000)
    assert limit.limit == 1
    limit.observe_first_token(10, 0.0, 1, 500_000)
    observe_first_tokens(limit, 10, times=60_000, start=500_000)
    assert limit.limit == 256


def test_limit_recovers_after_a_permanent_slowdown(limit):
    observe_first_tokens(limit, 40, times=50)
    observe_first_tokens(limit, 600, times=400, start=10_000)
    low = limit.limit
    observe_first_tokens(limit, 600, times=2_000, start=100_000)
    assert limit.limit > low
