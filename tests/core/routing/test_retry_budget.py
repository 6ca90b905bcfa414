"""Retries stay a small share of the requests."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.routing.retries import RetryBudget, RetryPolicy


def added_load(budget):
    """Return retries over requests while a third of the attempts fail."""
    random = Random(3)
    retries = 0
    for number in range(6_000):
        now = number * 10
        budget.request_started(now)
        while random.random() < 1 / 3 and budget.try_retry(now):
            retries += 1
    return retries / 6_000


def test_a_third_of_failures_adds_less_than_a_tenth():
    """Load stays high after a fault is gone.

    Sequence: a third of the endpoints fails, each failure is tried again, and
    the retries fill the endpoints that are left. Cause: retries without a
    budget, as the mutant shows.
    """
    assert added_load(RetryBudget()) < 0.10
    with pytest.raises(AssertionError):
        assert added_load(RetryBudget(RetryPolicy(share=10.0))) < 0.10


def test_a_quiet_node_may_retry_now_and_then():
    budget = RetryBudget()
    assert budget.try_retry(0)
    assert budget.try_retry(0)
    assert not budget.try_retry(0)
    assert budget.try_retry(20_000)


@given(st.lists(st.tuples(st.integers(0, 500), st.booleans()), max_size=300))
def test_any_order_of_requests_and_retries_stays_in_budget(events):
    budget = RetryBudget()
    now = requests = retries = 0
    for elapsed, is_retry in events:
        now += elapsed
        if is_retry:
            retries += budget.try_retry(now)
        else:
            budget.request_started(now)
            requests += 1
        assert retries <= 0.08 * requests + 0.2 * (10 + now / 1_000)


@given(st.lists(st.tuples(st.integers(0, 500), st.integers(0, 12)), max_size=300))
def test_no_window_has_more_retries_than_are_allowed(events):
    """Retries in some ten seconds exceed the limit, though all since the start do not.

    The budget was spent, and what had decayed of it was spent again at once: within
    the same window, up to twice the limit.
    """
    budget = RetryBudget()
    now = 0
    requests, retries = [], []
    for elapsed, wanted in events:
        now += elapsed
        budget.request_started(now)
        requests.append(now)
        retries += [now for _ in range(wanted) if budget.try_retry(now)]
    for start in retries:
        made = sum(start <= at < start + 10_000 for at in retries)
        counted = max(
            sum(start - sooner <= at < start - sooner + 10_000 for at in requests)
            for sooner in (0, 5_000)
        )
        assert made <= 0.08 * counted + 2


def test_what_no_window_needs_is_forgotten():
    """A process grows by the hour while nothing fails.

    Requests were forgotten only when a retry was asked for.
    """
    budget = RetryBudget()
    for now in range(0, 3_600_000, 50):
        budget.request_started(now)
    assert len(budget._requests._counts) < 200
