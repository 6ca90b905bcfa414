"""A whole map from small moves, within what one change may load."""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass

from azurefold.core.balance.greedy_search import EvenSplit, even_split
from azurefold.core.balance.placement import Placement, assign_evenly
from azurefold.core.balance.policy import BalancePolicy

__all__ = [
    "LayerPlan",
    "WeightLoadLimits",
    "MapPlan",
    "compute_layer_skew",
    "initial_placement",
    "plan_layer",
    "plan_layers",
]


@dataclass(frozen=True, slots=True)
class WeightLoadLimits:
    """What one change may load.

    Parameters
    ----------
    max_per_rank_and_layer : int
        Experts of one layer that may be new to a rank.
    max_per_rank : int
        Experts of all layers that may be new to a rank.
    """

    max_per_rank_and_layer: int
    max_per_rank: int


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
    weight_loads_by_rank : tuple of int
        Weights that each rank has to load.
    """

    placement: Placement
    skew_before: float
    skew_after: float
    weight_loads_by_rank: tuple[int, ...]

    @property
    def weight_loads(self) -> int:
        """Weights that all ranks have to load."""
        return sum(self.weight_loads_by_rank)


@dataclass(frozen=True, slots=True)
class MapPlan:
    """What is planned for all layers."""

    layers: tuple[LayerPlan, ...]

    @property
    def weight_loads(self) -> int:
        """Weights that ranks have to load."""
        return sum(layer.weight_loads for layer in self.layers)

    @property
    def weight_loads_by_rank(self) -> tuple[int, ...]:
        """Weights that each rank has to load, which it does one after the other."""
        by_layer = (layer.weight_loads_by_rank for layer in self.layers)
        return tuple(map(sum, zip(*by_layer, strict=True)))

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


def initial_placement(n_experts: int, places: int, n_ranks: int) -> Placement:
    """Return the placement of a group that has just formed: experts in turn.

    Examples
    --------
    >>> initial_placement(5, 3, 2).ranks
    ((0, 2, 4), (1, 3))
    """
    ranks = tuple(tuple(range(rank, n_experts, n_ranks)) for rank in range(n_ranks))
    return Placement(n_experts, places, ranks)


def compute_layer_skew(placement: Placement, rates: Sequence[float]) -> float:
    """Return the load of the most loaded rank over the mean load."""
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
    """Plan all layers: steps as far as they pay for what ranks have to load.

    The layer that is most skewed at present takes the next step, as a pass goes
    through all of them; a rank loads for all layers over one link. A step may pay
    only together with those behind it, as when two ranks are equally slow; so each
    layer takes steps as long as there are any, and the best of its placements on the
    way is its plan.

    Parameters
    ----------
    placements : sequence of Placement
        Those in force, by layer.
    popularity : sequence of sequence of float
        Of each layer's experts.
    speeds : sequence of float
        Of each rank; 1.0 is that of a sound one.
    policy : BalancePolicy
    limits : WeightLoadLimits

    Yields
    ------
    MapPlan or None
        None after each step, so that other work can go on in between; the plan
        last.
    """
    layers = [
        _Layer(even_split(placement, rates, speeds), placement, policy)
        for placement, rates in zip(placements, popularity, strict=True)
    ]
    open_layers = list(layers)
    while open_layers:
        layer = max(open_layers, key=_Layer.current_skew)
        used = [sum(each.loads[rank] for each in layers) for rank in range(len(speeds))]
        full = {rank for rank, loads in enumerate(used) if loads >= limits.max_per_rank}
        if not layer.step(limits.max_per_rank_and_layer, full):
            open_layers.remove(layer)
        yield None
    yield MapPlan(tuple(layer.plan() for layer in layers))


def plan_layer(
    placement: Placement,
    rates: Sequence[float],
    speeds: Sequence[float],
    policy: BalancePolicy,
    loads_per_rank: int,
) -> LayerPlan:
    """Plan one layer by itself; see :func:`plan_layers`."""
    limits = WeightLoadLimits(loads_per_rank, loads_per_rank)
    steps = plan_layers([placement], [rates], speeds, policy, limits)
    *_, plan = steps
    return plan.layers[0]


@dataclass(slots=True)
class _Layer:
    """A layer while it is planned, with the best of its placements so far."""

    split: EvenSplit
    best: Placement
    policy: BalancePolicy
    before: float = 0.0
    after: float = 0.0
    loads: tuple[int, ...] = ()
    least_cost: float = 0.0

    def __post_init__(self) -> None:
        self.before = self.after = self.split.skew
        self.loads = self.split.weight_loads_by_rank

    def current_skew(self) -> float:
        return self.split.skew

    def step(self, most_of_a_rank: int, full: Collection[int]) -> bool:
        """Take one step; return whether there may be another."""
        split, policy = self.split, self.policy
        if split.skew <= 1.0 + policy.tolerated_excess:
            return False
        if (
            not split.relieve(most_of_a_rank, full)
            or split.new_loads > policy.max_weight_loads
        ):
            return False
        gained = policy.excess_cost * (self.before - split.skew)
        cost = policy.move_weight * split.new_loads - gained
        if cost < self.least_cost:
            self.best, self.after = split.placement(), split.skew
            self.loads, self.least_cost = split.weight_loads_by_rank, cost
        return True

    def plan(self) -> LayerPlan:
        return LayerPlan(self.best, self.before, self.after, self.loads)
