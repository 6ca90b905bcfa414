"""How much a change of the map has to gain, and how many ranks are sampled."""

import pytest

from azurefold.core.balance.plan import LayerPlan, MapPlan, initial_placement
from azurefold.core.routes.model import Engine
from azurefold.gateway.groups.map_planning import (
    is_worth_changing,
    pass_share,
    sampling_of,
)

SMALL = Engine(
    slots=6, layer_sets=4, experts=64, expert_slots_per_rank=5, expert_mb=880.0
)
LARGE = Engine(
    slots=5, layer_sets=12, experts=144, expert_slots_per_rank=3, expert_mb=130.0
)


def plan_that_gains(gain):
    layer = LayerPlan(
        initial_placement(4, 2, 2), 1.2 + gain, 1.2, weight_loads_by_rank=(2, 1)
    )
    return MapPlan((layer,))


@pytest.mark.parametrize(
    ("share", "gain", "pays"),
    [(0.8, 0.16, True), (0.8, 0.1, False), (0.5, 0.2, False), (0.5, 0.4, True)],
)
def test_a_change_gains_less_where_passes_are_long(share, gain, pays):
    assert is_worth_changing(plan_that_gains(gain), share) is pays


def test_a_calm_group_is_left_alone_but_for_a_large_gain():
    """A calm day costs 0.03 more than one on which no map is changed.

    Passes were quick and no stream was late, and each shift of popularity was
    followed with a change of 35 orders all the same.
    """
    assert not is_worth_changing(plan_that_gains(0.6), share=0.3)
    assert is_worth_changing(plan_that_gains(1.0), share=0.3)


def test_what_is_long_follows_from_what_callers_are_promised():
    assert pass_share(60, promised_gap=120) == 0.5
    assert pass_share(60, promised_gap=0) == 0.5
    assert pass_share(60, promised_gap=150) == 0.4


def test_small_groups_are_sampled_at_two_ranks_and_large_ones_at_four():
    assert sampling_of(16, 3, SMALL, pass_share=0.7).ranks == 2
    assert sampling_of(72, 3, LARGE, pass_share=0.7).ranks == 4


def test_samples_are_rarer_while_passes_are_short():
    usual = sampling_of(16, 3, SMALL, pass_share=0.7).every
    assert sampling_of(16, 3, SMALL, pass_share=0.3).every == 2 * usual
