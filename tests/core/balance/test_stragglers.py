"""Ranks that are slow regardless of their load are detected and relieved."""

import pytest

from azurefold.core.balance.move_search import propose_layer
from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import assign_evenly
from azurefold.core.balance.policy import BalancePolicy
from azurefold.core.balance.proposal import LayerView
from azurefold.core.balance.straggler import (
    find_stragglers,
    initial_paces,
    planning_speeds,
    update_paces,
)

LOADS = [100.0, 50.0, 100.0, 100.0]
HEALTHY_TIMES = [10.0, 5.0, 10.0, 10.0]
SLOW_TIMES = [10.0, 5.0, 15.0, 10.0]


def observe_paces(*steps):
    paces = initial_paces(4)
    for now, times in enumerate(steps):
        paces = update_paces(paces, LOADS, times, now)
    return paces


def check_load_follows_speed(speeds):
    """Check that the slow rank 2 gets less load than the others."""
    rates = (10.0,) * 16
    view = LayerView(0, rates, assign_evenly(pack_experts(rates, 4, 8)), speeds)
    proposal = propose_layer(view, BalancePolicy(1.0, 0.1), 0, weight_loads_left=8)
    loads = proposal.assignment.rank_loads(rates)
    assert loads[2] < 0.9 * min(loads[0], loads[1], loads[3])


def test_rank_that_is_slow_three_times_in_a_row_is_relieved():
    """Guards against a group that waits for one rank although the load is balanced.

    One VM starts to take half as long again for every token. Equal loads do not take
    equal time when speeds differ.
    """
    paces = observe_paces(HEALTHY_TIMES, SLOW_TIMES, SLOW_TIMES, SLOW_TIMES)
    (straggler,) = find_stragglers(paces, now=10)
    assert (straggler.rank, straggler.slow_for) == (2, 7)
    check_load_follows_speed(planning_speeds(paces))


def test_mutant_that_ignores_speeds_is_detected():
    with pytest.raises(AssertionError):
        check_load_follows_speed((1.0,) * 4)


def test_single_pause_changes_nothing():
    paces = observe_paces(
        HEALTHY_TIMES, SLOW_TIMES, HEALTHY_TIMES, SLOW_TIMES, SLOW_TIMES, HEALTHY_TIMES
    )
    assert find_stragglers(paces, now=10) == ()
    assert planning_speeds(paces) == (1.0,) * 4


def test_recovered_rank_is_no_longer_a_straggler():
    paces = observe_paces(
        SLOW_TIMES, SLOW_TIMES, SLOW_TIMES, HEALTHY_TIMES, HEALTHY_TIMES
    )
    assert len(find_stragglers(paces, now=10)) == 1
    paces = observe_paces(
        SLOW_TIMES, SLOW_TIMES, SLOW_TIMES, HEALTHY_TIMES, HEALTHY_TIMES, HEALTHY_TIMES
    )
    assert find_stragglers(paces, now=10) == ()


def test_busy_rank_is_not_a_straggler():
    paces = initial_paces(4)
    for now in range(5):
        paces = update_paces(paces, [400, 100, 100, 100], [40, 10, 10, 10], now)
    assert find_stragglers(paces, now=10) == ()


def test_idle_ranks_are_not_classified():
    paces = update_paces(initial_paces(2), [0.0, 0.0], [0.0, 0.0], 0)
    assert paces == initial_paces(2)
