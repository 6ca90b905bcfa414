"""A rank that is slow as such is reported and relieved."""

import pytest

from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import assign_evenly
from azurefold.core.balance.policy import BalancePolicy
from azurefold.core.balance.proposal import LayerView
from azurefold.core.balance.search import propose_layer
from azurefold.core.balance.straggler import (
    find_stragglers,
    initial_paces,
    planning_speeds,
    update_paces,
)

LOADS = [100.0, 50.0, 100.0, 100.0]
SOUND = [10.0, 5.0, 10.0, 10.0]
SLOW = [10.0, 5.0, 15.0, 10.0]


def observed(*steps):
    paces = initial_paces(4)
    for now, times in enumerate(steps):
        paces = update_paces(paces, LOADS, times, now)
    return paces


def check_load_follows_speed(known_speeds):
    """With three observations of a slow rank, it carries less than the others."""
    rates = (10.0,) * 16
    view = LayerView(0, rates, assign_evenly(pack_experts(rates, 4, 8)), known_speeds)
    decided = propose_layer(view, BalancePolicy(1.0, 0.1), 0, weight_loads_left=8)
    loads = decided.assignment.rank_loads(rates)
    assert loads[2] < 0.9 * min(loads[0], loads[1], loads[3])


def test_a_rank_slow_three_times_running_is_reported_and_relieved():
    """The whole group waits for one rank.

    Symptom: step time rises though the load is level. Sequence: one VM begins
    to take half as long again for every token. Cause: level load is not level
    time when speeds differ.
    """
    paces = observed(SOUND, SLOW, SLOW, SLOW)
    (found,) = find_stragglers(paces, now=10)
    assert (found.rank, found.slow_for) == (2, 7)
    check_load_follows_speed(planning_speeds(paces))


def test_mutant_that_holds_all_ranks_equal_is_caught():
    with pytest.raises(AssertionError):
        check_load_follows_speed((1.0,) * 4)


def test_a_single_pause_changes_nothing():
    paces = observed(SOUND, SLOW, SOUND, SLOW, SLOW, SOUND)
    assert find_stragglers(paces, now=10) == ()
    assert planning_speeds(paces) == (1.0,) * 4


def test_a_rank_that_recovers_is_trusted_again():
    paces = observed(SLOW, SLOW, SLOW, SOUND, SOUND)
    assert len(find_stragglers(paces, now=10)) == 1
    paces = observed(SLOW, SLOW, SLOW, SOUND, SOUND, SOUND)
    assert find_stragglers(paces, now=10) == ()


def test_a_busy_rank_is_no_straggler():
    paces = initial_paces(4)
    for now in range(5):
        paces = update_paces(paces, [400, 100, 100, 100], [40, 10, 10, 10], now)
    assert find_stragglers(paces, now=10) == ()


def test_idle_ranks_are_not_judged():
    paces = update_paces(initial_paces(2), [0.0, 0.0], [0.0, 0.0], 0)
    assert paces == initial_paces(2)
