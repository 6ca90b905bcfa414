"""A whole map from small moves, within what one change may load."""

from collections.abc import Sequence
from dataclasses import dataclass

from azurefold.core.balance.placement import Placement, even_assignment
from azurefold.core.balance.policy import BalancePolicy
from azurefold.core.balance.proposal import LayerView
from azurefold.core.balance.search import propose_layer
from azurefold.core.clock import Millis

__all__ = ["LayerPlan", "MapPlan", "layer_skew", "map_zero", "plan_layer"]

_MOST_ROUNDS = 24
"""Of the search, each of up to three moves; far more than a change may load."""


@dataclass(frozen=True, slots=True)
class LayerPlan:
    """What is planned for one layer.

    Parameters
    ----------
    placement : Placement
        That of before if nothing changes.
    skew_before, skew_after : float
        Load of the most loaded rank over the mean.
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
    time_of_day: Millis = 0,
) -> LayerPlan:
    """Plan one layer: rounds of the search while each pays for its moves.

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
    time_of_day : int
        Milliseconds since midnight.
    """
    before = layer_skew(placement, rates)
    planned = placement
    left = policy.max_loads
    for _ in range(_MOST_ROUNDS):
        view = LayerView(0, tuple(rates), even_assignment(planned), tuple(speeds))
        proposal = propose_layer(view, policy, time_of_day, left)
        candidate = proposal.assignment.placement
        if not proposal.taken or _most_new(placement, candidate) > loads_per_rank:
            break
        planned = candidate
        left = policy.max_loads - _new_in_all(placement, planned)
        if left <= 0:
            break
    loads = _new_in_all(placement, planned)
    return LayerPlan(planned, before, layer_skew(planned, rates), loads)


def _new_per_rank(before: Placement, after: Placement) -> list[int]:
    pairs = zip(before.ranks, after.ranks, strict=True)
    return [len(set(new) - set(old)) for old, new in pairs]


def _most_new(before: Placement, after: Placement) -> int:
    return max(_new_per_rank(before, after))


def _new_in_all(before: Placement, after: Placement) -> int:
    return sum(_new_per_rank(before, after))
