"""A whole map from small moves, within what one change may load."""

from collections.abc import Sequence
from dataclasses import dataclass

from azurefold.core.balance.even_split import even_split
from azurefold.core.balance.placement import Placement, even_assignment
from azurefold.core.balance.policy import BalancePolicy

__all__ = ["LayerPlan", "MapPlan", "layer_skew", "map_zero", "plan_layer"]


@dataclass(frozen=True, slots=True)
class LayerPlan:
    """What is planned for one layer.

    Parameters
    ----------
    placement : Placement
        That of before if nothing changes.
    skew_before, skew_after : float
        Time of the slowest rank over the time if all were level: its load, and its
        speed where it is slow as such.
    loads : int
        Weights that ranks have to load.
    """

    placement: Placement
    skew_before: float
    skew_after: float
    loads: int


@dataclass(frozen=True, slots=True)
class MapPlan:
    """What is planned for all layers."""

    layers: tuple[LayerPlan, ...]

    @property
    def loads(self) -> int:
        """Weights that ranks have to load."""
        return sum(layer.loads for layer in self.layers)

    @property
    def skew_before(self) -> float:
        """Mean skew of the layers, which a pass goes through one by one."""
        return sum(layer.skew_before for layer in self.layers) / len(self.layers)

    @property
    def skew_after(self) -> float:
        """Mean skew that the plan leads to."""
        return sum(layer.skew_after for layer in self.layers) / len(self.layers)

    @property
    def placements(self) -> tuple[Placement, ...]:
        """Of all layers."""
        return tuple(layer.placement for layer in self.layers)


def map_zero(n_experts: int, places: int, n_ranks: int) -> Placement:
    """Return the placement of a group that has just formed: experts in turn.

    Examples
    --------
    >>> map_zero(5, 3, 2).ranks
    ((0, 2, 4), (1, 3))
    """
    ranks = tuple(tuple(range(rank, n_experts, n_ranks)) for rank in range(n_ranks))
    return Placement(n_experts, places, ranks)


def layer_skew(placement: Placement, rates: Sequence[float]) -> float:
    """Return the load of the most loaded rank over the mean load."""
    loads = even_assignment(placement).rank_loads(rates)
    mean = sum(loads) / len(loads)
    return max(loads) / mean if mean > 0 else 1.0


def plan_layer(
    placement: Placement,
    rates: Sequence[float],
    speeds: Sequence[float],
    policy: BalancePolicy,
    loads_per_rank: int,
) -> LayerPlan:
    """Plan one layer: steps as far as they pay for what ranks have to load.

    A step may pay only together with those behind it, as when two ranks are
    equally slow; so steps are taken as long as there are any, and the best of the
    placements on the way is the plan.

    Parameters
    ----------
    placement : Placement
        The one in force.
    rates : sequence of float
        Popularity of each expert.
    speeds : sequence of float
        Of each rank; 1.0 is that of a sound one.
    policy : BalancePolicy
    loads_per_rank : int
        Experts that may be new to one rank.
    """
    split = even_split(placement, rates, speeds)
    before = split.skew
    best, after, best_loads, least_cost = placement, before, 0, 0.0
    while split.skew > 1.0 + policy.tolerated_excess:
        if not split.relieve(loads_per_rank) or split.new_loads > policy.max_loads:
            break
        gained = policy.price_of_excess * (before - split.skew)
        cost = policy.move_weight * split.new_loads - gained
        if cost < least_cost:
            best, after = split.placement(), split.skew
            best_loads, least_cost = split.new_loads, cost
    return LayerPlan(best, before, after, best_loads)
