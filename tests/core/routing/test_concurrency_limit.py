"""The limit falls with queueing at the endpoint and grows back."""

import pytest

from azurefold.core.routing.concurrency import ConcurrencyLimit, ConcurrencyPolicy


@pytest.fixture
def limit():
    return ConcurrencyLimit(ConcurrencyPolicy())


def serve(limit, wait, *, times=200, start=0):
    for number in range(times):
        limit.observe_first_token(wait, 0.0, limit.limit, start + number * 50)


def test_an_empty_queue_lets_it_grow(limit):
    serve(limit, 40)
    assert limit.limit > 20


def test_queueing_shrinks_it(limit):
    serve(limit, 40, times=20)
    before = limit.limit
    serve(limit, 900, times=60, start=1_000)
    assert limit.limit < before * 0.85


def test_one_congested_moment_shrinks_it_once(limit):
    serve(limit, 40, times=5)
    before = limit.limit
    for _ in range(16):
        limit.observe_first_token(5_000, 0.0, 16, 1_000)
    assert limit.limit >= int(before * 0.85)


def test_a_long_prompt_is_not_taken_for_a_queue(limit):
    serve(limit, 40, times=20)
    before = limit.limit
    for number in range(100):
        limit.observe_first_token(2_040, 2_000.0, 16, 1_000 + number * 50)
    assert limit.limit >= before


def test_it_stays_within_its_bounds(limit):
    for number in range(400):
        limit.observe_refusal(number * 1_000)
    assert limit.limit == 1
    limit.observe_first_token(10, 0.0, 1, 500_000)
    serve(limit, 10, times=60_000, start=500_000)
    assert limit.limit == 256


def test_an_endpoint_that_became_slower_is_not_throttled_for_ever(limit):
    serve(limit, 40, times=50)
    serve(limit, 600, times=400, start=10_000)
    low = limit.limit
    serve(limit, 600, times=2_000, start=100_000)
    assert limit.limit > low
