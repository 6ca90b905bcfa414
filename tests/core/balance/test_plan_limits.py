"""Plans reduce skew, keep every expert placed and respect the weight load limits."""

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

EXPERTS, SLOTS_PER_RANK, RANKS, MAX_WEIGHT_LOADS_PER_RANK = 16, 5, 4, 2
POLICY = BalancePolicy(
    1.0, 0.02, placement_lifetime=4_000, tolerated_excess=0.05, split=ReplicaSplit.EVEN
)
HEALTHY_SPEEDS = (1.0,) * RANKS


@given(st.lists(st.floats(0.1, 100.0), min_size=EXPERTS, max_size=EXPERTS))
def test_plan_is_valid_and_never_increases_skew(rates):
    initial = initial_placement(EXPERTS, SLOTS_PER_RANK, RANKS)
    plan = plan_layer(initial, rates, HEALTHY_SPEEDS, POLICY, MAX_WEIGHT_LOADS_PER_RANK)
    assert plan.placement.find_violations() == ()
    assert plan.skew_after <= plan.skew_before + 1e-9
    pairs = list(zip(initial.ranks, plan.placement.ranks, strict=True))
    loaded_counts = [len(set(after) - set(before)) for before, after in pairs]
    assert max(loaded_counts) <= MAX_WEIGHT_LOADS_PER_RANK
    assert plan.weight_loads == sum(loaded_counts)


def test_hot_expert_is_replicated():
    rates = [50.0] + [1.0] * (EXPERTS - 1)
    initial = initial_placement(EXPERTS, SLOTS_PER_RANK, RANKS)
    plan = plan_layer(initial, rates, HEALTHY_SPEEDS, POLICY, MAX_WEIGHT_LOADS_PER_RANK)
    assert len(plan.placement.hosts[0]) > 1
    assert plan.skew_after < 0.7 * plan.skew_before


def test_uniform_popularity_changes_nothing():
    initial = initial_placement(EXPERTS, SLOTS_PER_RANK, RANKS)
    plan = plan_layer(
        initial, [3.0] * EXPERTS, HEALTHY_SPEEDS, POLICY, MAX_WEIGHT_LOADS_PER_RANK
    )
    assert plan.weight_loads == 0
    assert plan.placement == initial
    assert compute_layer_skew(plan.placement, [3.0] * EXPERTS) == 1.0


def test_rank_limit_applies_to_all_layers_together():
    """Guards against a change that takes more than a second to load.

    A rank loads the experts of all layers one after the other over one link. The map
    takes effect when the rank with the most weight loads has finished, so limits per
    layer alone are not enough.
    """
    layers = [[50.0] + [1.0] * (EXPERTS - 1), [1.0] * (EXPERTS - 2) + [40.0, 30.0]]
    initial = initial_placement(EXPERTS, SLOTS_PER_RANK, RANKS)
    limits = WeightLoadLimits(max_per_rank_and_layer=2, max_per_rank=2)
    *_, plan = plan_layers([initial, initial], layers, HEALTHY_SPEEDS, POLICY, limits)
    assert max(plan.weight_loads_by_rank) <= 2
    assert plan.skew_after < 0.7 * plan.skew_before
    assert all(layer.weight_loads for layer in plan.layers)
