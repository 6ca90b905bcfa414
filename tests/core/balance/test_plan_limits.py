"""A plan lowers the skew, holds every expert and loads no more than allowed."""

from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance.plan import (
    WeightLoadLimits,
    compute_layer_skew,
    initial_placement,
    plan_layer,
    plan_layers,
)
from azurefold.core.balance.policy import BalancePolicy, ReplicaSplit

EXPERTS, PLACES, RANKS, LOADS_PER_RANK = 16, 5, 4, 2
POLICY = BalancePolicy(
    1.0, 0.02, placement_lifetime=4_000, tolerated_excess=0.05, split=ReplicaSplit.EVEN
)
SOUND = (1.0,) * RANKS


@given(st.lists(st.floats(0.1, 100.0), min_size=EXPERTS, max_size=EXPERTS))
def test_a_plan_is_sound_and_no_worse(rates):
    zero = initial_placement(EXPERTS, PLACES, RANKS)
    plan = plan_layer(zero, rates, SOUND, POLICY, LOADS_PER_RANK)
    assert plan.placement.find_violations() == ()
    assert plan.skew_after <= plan.skew_before + 1e-9
    pairs = list(zip(zero.ranks, plan.placement.ranks, strict=True))
    new = [len(set(after) - set(before)) for before, after in pairs]
    assert max(new) <= LOADS_PER_RANK
    assert plan.weight_loads == sum(new)


def test_one_hot_expert_gets_more_ranks():
    rates = [50.0] + [1.0] * (EXPERTS - 1)
    zero = initial_placement(EXPERTS, PLACES, RANKS)
    plan = plan_layer(zero, rates, SOUND, POLICY, LOADS_PER_RANK)
    assert len(plan.placement.hosts[0]) > 1
    assert plan.skew_after < 0.7 * plan.skew_before


def test_even_popularity_moves_nothing():
    zero = initial_placement(EXPERTS, PLACES, RANKS)
    plan = plan_layer(zero, [3.0] * EXPERTS, SOUND, POLICY, LOADS_PER_RANK)
    assert plan.weight_loads == 0
    assert plan.placement == zero
    assert compute_layer_skew(plan.placement, [3.0] * EXPERTS) == 1.0


def test_ranks_load_no_more_than_allowed_over_all_layers():
    """A change takes more than a second although each layer's part is small.

    A rank loads the experts of all layers over one link, one after the other, and
    the map is in force when the rank with most to load has done.
    """
    layers = [[50.0] + [1.0] * (EXPERTS - 1), [1.0] * (EXPERTS - 2) + [40.0, 30.0]]
    zero = initial_placement(EXPERTS, PLACES, RANKS)
    limits = WeightLoadLimits(max_per_rank_and_layer=2, max_per_rank=2)
    *_, plan = plan_layers([zero, zero], layers, SOUND, POLICY, limits)
    assert max(plan.weight_loads_by_rank) <= 2
    assert plan.skew_after < 0.7 * plan.skew_before
    assert all(layer.weight_loads for layer in plan.layers)
