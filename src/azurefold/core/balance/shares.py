"""ReplicaSplit the load of replicated experts so that the ranks come out level."""

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
_CONVERGED = 2e-4


@dataclass(slots=True)
class LayerLoads:
    """Loads of all ranks under one placement, open to change.

    Parameters
    ----------
    loads : list of float
        Load of each expert.
    speeds : list of float
        Speed of each rank; 1.0 is that of a sound one.
    hosts : list of list of int
        For each expert the ranks that hold it.
    parts : list of list of float
        For each expert the load that each of its hosts takes.
    totals : list of float
        Load of each rank.
    """

    loads: list[float]
    speeds: list[float]
    hosts: list[list[int]]
    parts: list[list[float]]
    totals: list[float]

    @property
    def slowest(self) -> float:
        """Time of the slowest rank, in load over speed."""
        pairs = zip(self.totals, self.speeds, strict=True)
        return max(total / speed for total, speed in pairs)

    @property
    def ideal(self) -> float:
        """Lower bound of the slowest rank: all load split at will."""
        return sum(self.loads) / sum(self.speeds)

    @property
    def excess(self) -> float:
        """By which share the slowest rank is above the lower bound."""
        return compute_excess(self.totals, self.speeds)

    def copy(self) -> "LayerLoads":
        """Return a copy in which hosts and parts can be changed freely."""
        return LayerLoads(
            self.loads,
            self.speeds,
            [list(hosts) for hosts in self.hosts],
            [list(parts) for parts in self.parts],
            list(self.totals),
        )


def compute_excess(rank_loads: Sequence[float], speeds: Sequence[float]) -> float:
    """Return by which share the slowest rank is above the fractional lower bound.

    Examples
    --------
    >>> compute_excess([3.0, 1.0], [1.0, 1.0])
    0.5
    """
    total = sum(rank_loads)
    if total <= 0:
        return 0.0
    pairs = zip(rank_loads, speeds, strict=True)
    slowest = max(load / speed for load, speed in pairs)
    return slowest * sum(speeds) / total - 1.0


def build_layer_loads(
    assignment: Assignment, loads: Sequence[float], speeds: Sequence[float]
) -> LayerLoads:
    """Return the loads of all ranks under ``assignment``."""
    hosts = [list(of_expert) for of_expert in assignment.placement.hosts]
    parts = [
        [load * share for share in shares]
        for load, shares in zip(loads, assignment.shares, strict=True)
    ]
    totals = assignment.rank_loads(loads)
    return LayerLoads(list(loads), list(speeds), hosts, parts, totals)


def balance_replica_loads(state: LayerLoads, max_sweeps: int = _MAX_SWEEPS) -> None:
    """Move load between replicas until the slowest rank gains no more.

    One expert at a time is filled like water over its hosts. Each filling lowers
    a convex sum, so the sweeps go to the best split; they end when a sweep
    changes no rank by more than 0.02% of the slowest. To stop when the slowest
    alone stands still would end too early: several ranks tied for the slowest
    hold it up until load has found its way through the others.
    """
    replicated = [e for e, hosts in enumerate(state.hosts) if len(hosts) > 1]
    for _ in range(max_sweeps):
        before = list(state.totals)
        for expert in replicated:
            _fill(state, expert)
        change = max(
            abs(new - old) for new, old in zip(state.totals, before, strict=True)
        )
        if change <= _CONVERGED * max(state.totals):
            return


def _fill(state: LayerLoads, expert: int) -> None:
    hosts = state.hosts[expert]
    if len(hosts) == 2:
        _fill_two(state, expert)
        return
    totals, speeds, parts = state.totals, state.speeds, state.parts[expert]
    for index, rank in enumerate(hosts):
        totals[rank] -= parts[index]
    water = state.loads[expert]
    speed = 0.0
    height = 0.0
    for ground, rank in sorted([(totals[rank] / speeds[rank], rank) for rank in hosts]):
        if speed and ground >= height:
            break
        water += totals[rank]
        speed += speeds[rank]
        height = water / speed
    for index, rank in enumerate(hosts):
        part = max(0.0, height * speeds[rank] - totals[rank])
        parts[index] = part
        totals[rank] += part


def _fill_two(state: LayerLoads, expert: int) -> None:
    """Do the same for two hosts, the common case, without sorting."""
    one, two = state.hosts[expert]
    parts = state.parts[expert]
    totals, speeds = state.totals, state.speeds
    load = state.loads[expert]
    base_one = totals[one] - parts[0]
    base_two = totals[two] - parts[1]
    height = (load + base_one + base_two) / (speeds[one] + speeds[two])
    part = min(load, max(0.0, height * speeds[one] - base_one))
    parts[0] = part
    parts[1] = load - part
    totals[one] = base_one + part
    totals[two] = base_two + parts[1]


def build_assignment(state: LayerLoads, slots_per_rank: int) -> Assignment:
    """Return the placement and shares that ``state`` has come to."""
    ranks: list[list[int]] = [[] for _ in state.totals]
    shares = []
    for expert, hosts in enumerate(state.hosts):
        for rank in hosts:
            ranks[rank].append(expert)
        shares.append(_shares(state, expert))
    placement = Placement(len(state.loads), slots_per_rank, tuple(map(tuple, ranks)))
    return Assignment(placement, tuple(shares))


def _shares(state: LayerLoads, expert: int) -> tuple[float, ...]:
    hosts = state.hosts[expert]
    parts = [part for _, part in sorted(zip(hosts, state.parts[expert], strict=True))]
    total = sum(parts)
    if total <= 0:
        return (1.0 / len(hosts),) * len(hosts)
    return tuple(part / total for part in parts)
