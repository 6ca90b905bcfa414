"""The number of requests at a rank follows the time between events."""

import pytest

from azurefold.core.routing.pace import PaceLimit

SLOTS, LONGEST = 6, 120


@pytest.fixture
def pace():
    return PaceLimit()


def run(pace, gap_at, seconds=20):
    """Let a group run whose gap follows from its requests; return the limits."""
    limits = []
    for now in range(0, seconds * 1_000, 100):
        present = pace.limit or SLOTS
        for _ in range(6):
            pace.observe(gap_at(present))
        pace.adjust(SLOTS, LONGEST, now)
        limits.append(pace.limit or SLOTS)
    return limits


def test_a_quick_group_keeps_all_its_slots(pace):
    assert set(run(pace, lambda n: 40 + 3 * n)) == {SLOTS}


def test_a_slow_group_is_given_fewer_requests(pace):
    limits = run(pace, lambda n: 60 + 10 * n)
    assert limits[-1] == 3
    assert max(limits[-30:]) - min(limits[-30:]) <= 1


def test_a_group_that_is_too_slow_alone_keeps_the_least(pace):
    assert run(pace, lambda n: 300)[-1] == pace.policy.least


def test_a_group_that_recovers_gets_its_slots_back(pace):
    run(pace, lambda n: 200)
    assert run(pace, lambda n: 30)[-1] == SLOTS
    assert pace.limit is None


def test_without_a_promise_nothing_is_limited(pace):
    pace.observe(5_000)
    assert not pace.adjust(SLOTS, 0, now=10_000)
