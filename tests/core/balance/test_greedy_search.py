"""Greedy steps keep every expert somewhere, and their sums right."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance.greedy_search import even_split
from azurefold.core.balance.placement import assign_evenly
from azurefold.core.balance.plan import initial_placement, plan_layer
from azurefold.core.balance.policy import BalancePolicy, ReplicaSplit

EXPERTS, PLACES, RANKS, MOST_NEW = 12, 4, 5, 2
POLICY = BalancePolicy(
    1.0, 0.01, placement_lifetime=4_000, max_weight_loads=64, split=ReplicaSplit.EVEN
)
RATES = st.lists(st.floats(0.0, 100.0), min_size=EXPERTS, max_size=EXPERTS)
SPEEDS = st.lists(st.floats(0.1, 1.0), min_size=RANKS, max_size=RANKS)


@given(RATES, SPEEDS, st.integers(0, 30))
def test_each_step_leaves_a_sound_placement_and_true_loads(rates, speeds, steps):
    split = even_split(initial_placement(EXPERTS, PLACES, RANKS), rates, speeds)
    for _ in range(steps):
        if not split.relieve(MOST_NEW):
            break
    placement = split.placement()
    assert placement.find_violations() == ()
    worked_out = assign_evenly(placement).rank_loads(rates)
    assert split.loads == pytest.approx(worked_out, abs=1e-6)


@given(RATES, SPEEDS)
def test_a_step_never_makes_the_slowest_rank_slower(rates, speeds):
    split = even_split(initial_placement(EXPERTS, PLACES, RANKS), rates, speeds)
    skew = split.skew
    for _ in range(30):
        if not split.relieve(MOST_NEW):
            break
        assert split.skew <= skew + 1e-9
        skew = split.skew


def test_a_slow_rank_gives_its_experts_up():
    """The whole group takes twelve times as long, and no map is changed.

    One rank is slow as such. Its load is no more than that of the others, so a skew
    of loads alone shows nothing to gain.
    """
    speeds = [1.0, 1.0, 1.0, 1.0, 1 / 12]
    zero = initial_placement(EXPERTS, PLACES, RANKS)
    plan = plan_layer(zero, [1.0] * EXPERTS, speeds, POLICY, MOST_NEW)
    assert plan.skew_after < 0.5 * plan.skew_before
    assert len(plan.placement.ranks[4]) < len(zero.ranks[4])


def test_a_large_group_comes_out_nearly_level():
    rates = [1.0 / (1 + expert % 48) ** 0.5 for expert in range(144)]
    plan = plan_layer(initial_placement(144, 3, 72), rates, [1.0] * 72, POLICY, 2)
    assert plan.skew_before > 2.0
    assert plan.skew_after < 1.25
