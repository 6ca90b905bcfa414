"""Greedy steps keep every expert placed and the tracked rank loads correct."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance.greedy_search import new_greedy_search
from azurefold.core.balance.placement import assign_evenly
from azurefold.core.balance.plan import initial_placement, plan_layer
from azurefold.core.balance.policy import BalancePolicy, ReplicaSplit

EXPERTS, SLOTS_PER_RANK, RANKS, MAX_WEIGHT_LOADS_PER_RANK = 12, 4, 5, 2
POLICY = BalancePolicy(
    1.0, 0.01, placement_lifetime=4_000, max_weight_loads=64, split=ReplicaSplit.EVEN
)
RATES = st.lists(st.floats(0.0, 100.0), min_size=EXPERTS, max_size=EXPERTS)
SPEEDS = st.lists(st.floats(0.1, 1.0), min_size=RANKS, max_size=RANKS)


@given(RATES, SPEEDS, st.integers(0, 30))
def test_steps_keep_placement_valid_and_loads_correct(rates, speeds, steps):
    search = new_greedy_search(
        initial_placement(EXPERTS, SLOTS_PER_RANK, RANKS), rates, speeds
    )
    for _ in range(steps):
        if not search.relieve_slowest_rank(MAX_WEIGHT_LOADS_PER_RANK):
            break
    placement = search.build_placement()
    assert placement.find_violations() == ()
    expected_loads = assign_evenly(placement).rank_loads(rates)
    assert search.rank_loads == pytest.approx(expected_loads, abs=1e-6)


@given(RATES, SPEEDS)
def test_step_never_slows_the_slowest_rank(rates, speeds):
    search = new_greedy_search(
        initial_placement(EXPERTS, SLOTS_PER_RANK, RANKS), rates, speeds
    )
    skew = search.skew
    for _ in range(30):
        if not search.relieve_slowest_rank(MAX_WEIGHT_LOADS_PER_RANK):
            break
        assert search.skew <= skew + 1e-9
        skew = search.skew


def test_slow_rank_is_relieved_of_experts():
    """Guards against a group that stays twelve times slower without a map change.

    One rank is slow although its load is no higher than that of the others. A skew
    that is computed from loads alone shows nothing to gain.
    """
    speeds = [1.0, 1.0, 1.0, 1.0, 1 / 12]
    initial = initial_placement(EXPERTS, SLOTS_PER_RANK, RANKS)
    plan = plan_layer(
        initial, [1.0] * EXPERTS, speeds, POLICY, MAX_WEIGHT_LOADS_PER_RANK
    )
    assert plan.skew_after < 0.5 * plan.skew_before
    assert len(plan.placement.ranks[4]) < len(initial.ranks[4])


def test_large_group_becomes_nearly_balanced():
    rates = [1.0 / (1 + expert % 48) ** 0.5 for expert in range(144)]
    plan = plan_layer(initial_placement(144, 3, 72), rates, [1.0] * 72, POLICY, 2)
    assert plan.skew_before > 2.0
    assert plan.skew_after < 1.25
