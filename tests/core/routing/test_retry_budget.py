"""Retries stay a small share of the requests."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.routing.retries import RetryBudget, RetryPolicy


def retry_ratio(budget):
    """Return the ratio of retries to requests while a third of the attempts fail."""
    random = Random(3)
    retries = 0
    for number in range(6_000):
        now = number * 10
        budget.record_request(now)
        while random.random() < 1 / 3 and budget.try_acquire(now):
            retries += 1
    return retries / 6_000


def test_one_third_failures_adds_less_than_a_tenth():
    """Guards against load that stays high after a fault has ended.

    A third of the endpoints fails, each failure is retried, and the retries overload
    the remaining endpoints. The mutant has a budget that is too large to limit them.
    """
    assert retry_ratio(RetryBudget()) < 0.10
    with pytest.raises(AssertionError):
        assert retry_ratio(RetryBudget(RetryPolicy(retries_per_request=10.0))) < 0.10


def test_half_of_the_retries_can_be_kept_for_others():
    """Guards against retries that are spent on what only some callers need."""
    budget = RetryBudget(RetryPolicy(0.2))
    for now in range(0, 20_000, 10):
        budget.record_request(now)
    allowed = budget.retries_left(20_000)
    made = 0
    while budget.is_half_left(20_000) and budget.try_acquire(20_000):
        made += 1
    assert abs(made - allowed / 2) <= 1.0
    assert budget.try_acquire(20_000)


def test_node_with_few_requests_can_retry():
    budget = RetryBudget()
    assert budget.try_acquire(0)
    assert budget.try_acquire(0)
    assert not budget.try_acquire(0)
    assert budget.try_acquire(20_000)


@given(st.lists(st.tuples(st.integers(0, 500), st.booleans()), max_size=300))
def test_any_sequence_of_requests_and_retries_stays_in_budget(events):
    budget = RetryBudget()
    now = requests = retries = 0
    for elapsed, is_retry in events:
        now += elapsed
        if is_retry:
            retries += budget.try_acquire(now)
        else:
            budget.record_request(now)
            requests += 1
        assert retries <= 0.08 * requests + 0.2 * (10 + now / 1_000)


@given(st.lists(st.tuples(st.integers(0, 500), st.integers(0, 12)), max_size=300))
def test_no_window_exceeds_the_retry_limit(events):
    """Guards against exceeding the limit within a window of ten seconds.

    With a decaying sum, budget that had decayed was spent again within the same window,
    up to twice the limit, although the total since the start was within the limit.
    """
    budget = RetryBudget()
    now = 0
    requests, retries = [], []
    for elapsed, retry_attempts in events:
        now += elapsed
        budget.record_request(now)
        requests.append(now)
        retries += [now for _ in range(retry_attempts) if budget.try_acquire(now)]
    for start in retries:
        retry_count = sum(start <= at < start + 10_000 for at in retries)
        request_count = max(
            sum(start - shift <= at < start - shift + 10_000 for at in requests)
            for shift in (0, 5_000)
        )
        assert retry_count <= 0.08 * request_count + 2


def test_old_counts_are_discarded():
    """Guards against memory that grows while nothing fails.

    Old request counts were discarded only when a retry was requested.
    """
    budget = RetryBudget()
    for now in range(0, 3_600_000, 50):
        budget.record_request(now)
    assert len(budget._requests._counts) < 200
