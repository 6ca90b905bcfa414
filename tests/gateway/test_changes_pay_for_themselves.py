"""How much a change of the map has to gain, and how many ranks are sampled."""

import pytest

from azurefold.core.balance.plan import LayerPlan, MapPlan, map_zero
from azurefold.core.routes.model import Engine
from azurefold.gateway.groups.map_planning import is_worth_changing, sampling_of

SMALL = Engine(slots=6, layer_sets=4, experts=64, places=5, expert_mb=880.0)
LARGE = Engine(slots=5, layer_sets=12, experts=144, places=3, expert_mb=130.0)


def plan_that_gains(gain):
    layer = LayerPlan(map_zero(4, 2, 2), 1.2 + gain, 1.2, loads_of_ranks=(2, 1))
    return MapPlan((layer,))


@pytest.mark.parametrize(
    ("gap", "gain", "pays"),
    [(100, 0.13, True), (100, 0.1, False), (60, 0.4, False), (60, 0.6, True)],
)
def test_a_change_gains_less_where_gaps_are_long(gap, gain, pays):
    assert is_worth_changing(plan_that_gains(gain), gap) is pays


def test_a_calm_group_is_left_alone_but_for_a_large_gain():
    """A calm day costs 0.03 more than one on which no map is changed.

    Passes were quick and no stream was late, and each shift of popularity was
    followed with a change of 35 orders all the same.
    """
    assert not is_worth_changing(plan_that_gains(0.8), longest_gap=30)
    assert is_worth_changing(plan_that_gains(1.0), longest_gap=30)


def test_small_groups_are_sampled_at_two_ranks_and_large_ones_at_four():
    assert sampling_of(16, 3, SMALL, longest_gap=80).ranks == 2
    assert sampling_of(72, 3, LARGE, longest_gap=80).ranks == 4


def test_samples_are_rarer_while_gaps_are_short():
    usual = sampling_of(16, 3, SMALL, longest_gap=80).every
    assert sampling_of(16, 3, SMALL, longest_gap=30).every == 2 * usual
