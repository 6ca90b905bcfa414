"""Splits the load of replicated experts so that the ranks finish at similar times."""

from collections.abc import Sequence
from dataclasses import dataclass

from azurefold.core.balance.placement import Assignment, Placement

__all__ = [
    "LayerLoads",
    "balance_replica_loads",
    "build_assignment",
    "build_layer_loads",
    "compute_excess",
]

_MAX_SWEEPS = 60
_CONVERGENCE_TOLERANCE = 2e-4


@dataclass(slots=True)
class LayerLoads:
    """Mutable loads of the experts, replicas and ranks of one layer.

    Parameters
    ----------
    expert_loads : list of float
        Load of each expert.
    speeds : list of float
        Speed of each rank; 1.0 is that of a healthy one.
    hosts : list of list of int
        Ranks that hold each expert.
    replica_loads : list of list of float
        Load of each expert's replicas, in the order of its hosts.
    rank_loads : list of float
        Load of each rank.
    """

    expert_loads: list[float]
    speeds: list[float]
    hosts: list[list[int]]
    replica_loads: list[list[float]]
    rank_loads: list[float]

    @property
    def slowest_time(self) -> float:
        """Time of the slowest rank, as load over speed."""
        pairs = zip(self.rank_loads, self.speeds, strict=True)
        return max(load / speed for load, speed in pairs)

    @property
    def ideal_time(self) -> float:
        """Lower bound of the slowest time, if load could be split arbitrarily."""
        return sum(self.expert_loads) / sum(self.speeds)

    @property
    def excess(self) -> float:
        """Fraction by which the slowest time exceeds the lower bound."""
        return compute_excess(self.rank_loads, self.speeds)

    def copy(self) -> "LayerLoads":
        """Return a copy whose hosts and loads can be changed independently."""
        return LayerLoads(
            self.expert_loads,
            self.speeds,
            [list(hosts) for hosts in self.hosts],
            [list(loads) for loads in self.replica_loads],
            list(self.rank_loads),
        )


def compute_excess(rank_loads: Sequence[float], speeds: Sequence[float]) -> float:
    """Return the fraction by which the slowest time exceeds the lower bound.

    Examples
    --------
    >>> compute_excess([3.0, 1.0], [1.0, 1.0])
    0.5
    """
    total = sum(rank_loads)
    if total <= 0:
        return 0.0
    pairs = zip(rank_loads, speeds, strict=True)
    slowest_time = max(load / speed for load, speed in pairs)
    return slowest_time * sum(speeds) / total - 1.0


def build_layer_loads(
    assignment: Assignment, loads: Sequence[float], speeds: Sequence[float]
) -> LayerLoads:
    """Return the loads that result from ``assignment``."""
    hosts = [list(ranks) for ranks in assignment.placement.hosts]
    replica_loads = [
        [load * share for share in shares]
        for load, shares in zip(loads, assignment.shares, strict=True)
    ]
    rank_loads = assignment.rank_loads(loads)
    return LayerLoads(list(loads), list(speeds), hosts, replica_loads, rank_loads)


def balance_replica_loads(state: LayerLoads, max_sweeps: int = _MAX_SWEEPS) -> None:
    """Shift load between replicas until the rank loads converge.

    Each sweep distributes one expert after the other over its hosts by water-filling.
    Every such step lowers a convex sum, so the sweeps converge to the optimal split.
    They end when a sweep changes no rank's load by more than 0.02% of the largest one.

    It would be too early to stop once the slowest time stays the same. While several
    ranks tie for the slowest, it does not change until load has moved through the
    other ranks.
    """
    replicated = [expert for expert, hosts in enumerate(state.hosts) if len(hosts) > 1]
    for _ in range(max_sweeps):
        before = list(state.rank_loads)
        for expert in replicated:
            _water_fill(state, expert)
        change = max(
            abs(new - old) for new, old in zip(state.rank_loads, before, strict=True)
        )
        if change <= _CONVERGENCE_TOLERANCE * max(state.rank_loads):
            return


def _water_fill(state: LayerLoads, expert: int) -> None:
    """Split one expert's load so that the hosts that take some finish together."""
    hosts = state.hosts[expert]
    if len(hosts) == 2:
        _water_fill_two_hosts(state, expert)
        return
    rank_loads, speeds, replica_loads = (
        state.rank_loads,
        state.speeds,
        state.replica_loads[expert],
    )
    for index, rank in enumerate(hosts):
        rank_loads[rank] -= replica_loads[index]
    total_load = state.expert_loads[expert]
    total_speed = 0.0
    finish_time = 0.0
    for base_time, rank in sorted(
        [(rank_loads[rank] / speeds[rank], rank) for rank in hosts]
    ):
        if total_speed and base_time >= finish_time:
            break
        total_load += rank_loads[rank]
        total_speed += speeds[rank]
        finish_time = total_load / total_speed
    for index, rank in enumerate(hosts):
        load = max(0.0, finish_time * speeds[rank] - rank_loads[rank])
        replica_loads[index] = load
        rank_loads[rank] += load


def _water_fill_two_hosts(state: LayerLoads, expert: int) -> None:
    """Handle the common case of two hosts, without sorting."""
    first, second = state.hosts[expert]
    replica_loads = state.replica_loads[expert]
    rank_loads, speeds = state.rank_loads, state.speeds
    expert_load = state.expert_loads[expert]
    first_base = rank_loads[first] - replica_loads[0]
    second_base = rank_loads[second] - replica_loads[1]
    finish_time = (expert_load + first_base + second_base) / (
        speeds[first] + speeds[second]
    )
    first_load = min(expert_load, max(0.0, finish_time * speeds[first] - first_base))
    replica_loads[0] = first_load
    replica_loads[1] = expert_load - first_load
    rank_loads[first] = first_base + first_load
    rank_loads[second] = second_base + replica_loads[1]


def build_assignment(state: LayerLoads, slots_per_rank: int) -> Assignment:
    """Return the placement and shares that correspond to ``state``."""
    ranks: list[list[int]] = [[] for _ in state.rank_loads]
    shares = []
    for expert, hosts in enumerate(state.hosts):
        for rank in hosts:
            ranks[rank].append(expert)
        shares.append(_compute_shares(state, expert))
    placement = Placement(
        len(state.expert_loads), slots_per_rank, tuple(map(tuple, ranks))
    )
    return Assignment(placement, tuple(shares))


def _compute_shares(state: LayerLoads, expert: int) -> tuple[float, ...]:
    hosts = state.hosts[expert]
    loads = [
        load for _, load in sorted(zip(hosts, state.replica_loads[expert], strict=True))
    ]
    total = sum(loads)
    if total <= 0:
        return (1.0 / len(hosts),) * len(hosts)
    return tuple(load / total for load in loads)
