"""Plans the placements of all layers within the limits of one map change."""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass

from azurefold.core.balance.greedy_search import GreedySearch, new_greedy_search
from azurefold.core.balance.placement import Placement, assign_evenly
from azurefold.core.balance.policy import BalancePolicy

__all__ = [
    "LayerPlan",
    "MapPlan",
    "WeightLoadLimits",
    "compute_layer_skew",
    "initial_placement",
    "plan_layer",
    "plan_layers",
]


@dataclass(frozen=True, slots=True)
class WeightLoadLimits:
    """Limits on the experts that one rank loads in one map change.

    Parameters
    ----------
    max_per_rank_and_layer : int
        Experts of one layer that a rank may load.
    max_per_rank : int
        Experts of all layers together that a rank may load.
    """

    max_per_rank_and_layer: int
    max_per_rank: int


@dataclass(frozen=True, slots=True)
class LayerPlan:
    """The plan for one layer.

    Parameters
    ----------
    placement : Placement
        Planned placement; the present one if nothing changes.
    skew_before, skew_after : float
        Time of the slowest rank over the time if all ranks were balanced. The time
        of a rank depends on its load and on its speed.
    weight_loads_by_rank : tuple of int
        Experts whose weights each rank has to load.
    """

    placement: Placement
    skew_before: float
    skew_after: float
    weight_loads_by_rank: tuple[int, ...]

    @property
    def weight_loads(self) -> int:
        """Experts whose weights have to be loaded, summed over all ranks."""
        return sum(self.weight_loads_by_rank)


@dataclass(frozen=True, slots=True)
class MapPlan:
    """The plan for all layers."""

    layers: tuple[LayerPlan, ...]

    @property
    def weight_loads(self) -> int:
        """Experts whose weights have to be loaded, over all layers and ranks."""
        return sum(layer.weight_loads for layer in self.layers)

    @property
    def weight_loads_by_rank(self) -> tuple[int, ...]:
        """Experts that each rank has to load; it loads them one after the other."""
        by_layer = (layer.weight_loads_by_rank for layer in self.layers)
        return tuple(map(sum, zip(*by_layer, strict=True)))

    @property
    def skew_before(self) -> float:
        """Mean skew of the layers; a pass executes them one after the other."""
        return sum(layer.skew_before for layer in self.layers) / len(self.layers)

    @property
    def skew_after(self) -> float:
        """Mean skew of the layers under the planned placements."""
        return sum(layer.skew_after for layer in self.layers) / len(self.layers)

    @property
    def placements(self) -> tuple[Placement, ...]:
        """Planned placement of each layer."""
        return tuple(layer.placement for layer in self.layers)


def initial_placement(n_experts: int, slots_per_rank: int, n_ranks: int) -> Placement:
    """Return the placement of a newly formed group: experts assigned round-robin.

    Examples
    --------
    >>> initial_placement(5, 3, 2).ranks
    ((0, 2, 4), (1, 3))
    """
    ranks = tuple(tuple(range(rank, n_experts, n_ranks)) for rank in range(n_ranks))
    return Placement(n_experts, slots_per_rank, ranks)


def compute_layer_skew(placement: Placement, rates: Sequence[float]) -> float:
    """Return the skew of a layer if all ranks are equally fast.

    This is the load of the most loaded rank over the mean load.
    """
    loads = assign_evenly(placement).rank_loads(rates)
    mean = sum(loads) / len(loads)
    return max(loads) / mean if mean > 0 else 1.0


def plan_layers(
    placements: Sequence[Placement],
    popularity: Sequence[Sequence[float]],
    speeds: Sequence[float],
    policy: BalancePolicy,
    limits: WeightLoadLimits,
) -> Iterator[MapPlan | None]:
    """Plan all layers, with changes only where the gain exceeds the loading cost.

    The layer with the largest skew takes the next step of its search, because a pass
    executes all layers. The limit per rank applies to all layers together, because a
    rank loads the weights of all layers over one link.

    A step may reduce the cost only together with later ones, for example when two
    ranks are equally slow. So each layer continues until no further step is possible,
    and its plan is the best placement found on the way.

    Parameters
    ----------
    placements : sequence of Placement
        Active placement of each layer.
    popularity : sequence of sequence of float
        Rates of each layer's experts.
    speeds : sequence of float
        Speed of each rank; 1.0 is that of a healthy one.
    policy : BalancePolicy
        Weights and limits of the service.
    limits : WeightLoadLimits
        Limits on what each rank loads.

    Yields
    ------
    MapPlan or None
        None after each step, so that the caller can run other work in between; the
        plan at the end.
    """
    layers = [
        _LayerPlanner(new_greedy_search(placement, rates, speeds), placement, policy)
        for placement, rates in zip(placements, popularity, strict=True)
    ]
    unfinished_layers = list(layers)
    while unfinished_layers:
        layer = max(unfinished_layers, key=_LayerPlanner.current_skew)
        weight_loads_by_rank = [
            sum(planner.weight_loads_by_rank[rank] for planner in layers)
            for rank in range(len(speeds))
        ]
        full_ranks = {
            rank
            for rank, weight_loads in enumerate(weight_loads_by_rank)
            if weight_loads >= limits.max_per_rank
        }
        if not layer.take_step(limits.max_per_rank_and_layer, full_ranks):
            unfinished_layers.remove(layer)
        yield None
    yield MapPlan(tuple(layer.build_plan() for layer in layers))


def plan_layer(
    placement: Placement,
    rates: Sequence[float],
    speeds: Sequence[float],
    policy: BalancePolicy,
    max_per_rank: int,
) -> LayerPlan:
    """Plan a single layer; see :func:`plan_layers`."""
    limits = WeightLoadLimits(max_per_rank, max_per_rank)
    steps = plan_layers([placement], [rates], speeds, policy, limits)
    *_, plan = steps
    return plan.layers[0]


@dataclass(slots=True)
class _LayerPlanner:
    """The search of one layer and the best placement that it has found so far.

    The net cost of a placement is the cost of its weight loads minus its gain; that of
    the initial placement is 0.
    """

    search: GreedySearch
    best_placement: Placement
    policy: BalancePolicy
    skew_before: float = 0.0
    skew_after: float = 0.0
    weight_loads_by_rank: tuple[int, ...] = ()
    lowest_net_cost: float = 0.0

    def __post_init__(self) -> None:
        self.skew_before = self.skew_after = self.search.skew
        self.weight_loads_by_rank = self.search.weight_loads_by_rank

    def current_skew(self) -> float:
        return self.search.skew

    def take_step(self, max_per_rank: int, full_ranks: Collection[int]) -> bool:
        """Take one step; return whether another one may be possible."""
        search, policy = self.search, self.policy
        if search.skew <= 1.0 + policy.tolerated_excess:
            return False
        if (
            not search.relieve_slowest_rank(max_per_rank, full_ranks)
            or search.weight_loads > policy.max_weight_loads
        ):
            return False
        gain = policy.excess_cost * (self.skew_before - search.skew)
        net_cost = policy.move_weight * search.weight_loads - gain
        if net_cost < self.lowest_net_cost:
            self.best_placement, self.skew_after = search.build_placement(), search.skew
            self.weight_loads_by_rank, self.lowest_net_cost = (
                search.weight_loads_by_rank,
                net_cost,
            )
        return True

    def build_plan(self) -> LayerPlan:
        return LayerPlan(
            self.best_placement,
            self.skew_before,
            self.skew_after,
            self.weight_loads_by_rank,
        )
