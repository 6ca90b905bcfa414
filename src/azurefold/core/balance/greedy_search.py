"""Greedy search for placements whose replicas split an expert's load evenly.

Each step adds or removes a replica to relieve the rank that is currently the slowest.
It picks the change that minimises the time of the slowest affected rank. A step costs
one pass over the ranks, so a layer of 144 experts on 72 ranks takes a few milliseconds.
Evaluating each change on a copy of the whole layer took 75 ms there. For twelve layers
that is most of a second, during which no stream sends an event.
"""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field

from azurefold.core.balance.placement import Placement

__all__ = ["GreedySearch", "ReplicaChange", "new_greedy_search"]

_MAX_REPLICATED_EXPERTS = 4
"""Number of the slowest rank's hottest experts for which replicas are tried. Replicas
of others would relieve the rank only a little."""

_MAX_TARGET_RANKS = 6
"""Number of ranks on which a replica is tried: the fastest ones that may still load
weights."""

_IMPROVEMENT_FACTOR = 1.0 - 1e-9
"""A change must reduce the time of the slowest rank below this fraction of itself."""


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """One change of a layer's placement.

    Parameters
    ----------
    added : tuple of int and int, or None
        Expert and the rank that loads it.
    removed : tuple of int and int, or None
        Expert and the rank that drops it.
    """

    added: tuple[int, int] | None = None
    removed: tuple[int, int] | None = None


@dataclass(slots=True)
class GreedySearch:
    """The mutable state of a search; created by :func:`new_greedy_search`.

    Parameters
    ----------
    rates : tuple of float
        Popularity of each expert.
    speeds : tuple of float
        Speed of each rank; 1.0 is that of a healthy one.
    slots_per_rank : int
        Experts whose weights fit on one rank.
    experts_by_rank : list of set of int
        Experts that each rank holds.
    hosts : list of set of int
        Ranks that hold each expert.
    rank_loads : list of float
        Load of each rank.
    """

    rates: tuple[float, ...]
    speeds: tuple[float, ...]
    slots_per_rank: int
    experts_by_rank: list[set[int]]
    hosts: list[set[int]]
    rank_loads: list[float]
    _initial_experts: tuple[frozenset[int], ...]
    _weight_loads: list[int] = field(default_factory=list)

    @property
    def skew(self) -> float:
        """Time of the slowest rank over the time if all ranks were balanced."""
        total = sum(self.rank_loads)
        if total <= 0:
            return 1.0
        return (
            max(map(self._rank_time, range(len(self.rank_loads))))
            * sum(self.speeds)
            / total
        )

    @property
    def weight_loads(self) -> int:
        """Experts that ranks hold now and did not hold initially."""
        return sum(self._weight_loads)

    @property
    def weight_loads_by_rank(self) -> tuple[int, ...]:
        """Experts that each rank holds now and did not hold initially."""
        return tuple(self._weight_loads)

    def relieve_slowest_rank(
        self, max_per_rank: int, full_ranks: Collection[int] = ()
    ) -> bool:
        """Apply the change that minimises the time of the slowest affected rank.

        Parameters
        ----------
        max_per_rank : int
            Experts of this layer that one rank may load.
        full_ranks : collection of int
            Ranks that may not load any more weights.

        Returns
        -------
        bool
            Whether a change was found.
        """
        slowest = max(range(len(self.rank_loads)), key=self._rank_time)
        time_limit = self._rank_time(slowest) * _IMPROVEMENT_FACTOR
        best, best_time = None, time_limit
        for change in self._list_changes(slowest, max_per_rank, full_ranks):
            time = self._slowest_time_after(change, slowest)
            if time < best_time:
                best, best_time = change, time
        if best is None:
            return False
        self._apply(best)
        return True

    def build_placement(self) -> Placement:
        """Return the current placement."""
        ranks = tuple(tuple(sorted(experts)) for experts in self.experts_by_rank)
        return Placement(len(self.rates), self.slots_per_rank, ranks)

    def _rank_time(self, rank: int) -> float:
        return self.rank_loads[rank] / self.speeds[rank]

    def _list_changes(
        self, slowest: int, max_per_rank: int, full_ranks: Collection[int]
    ) -> Iterator[ReplicaChange]:
        hottest = sorted(
            self.experts_by_rank[slowest], key=self._replica_load, reverse=True
        )
        targets = self._find_targets(max_per_rank, full_ranks)
        for expert in hottest[:_MAX_REPLICATED_EXPERTS]:
            for rank in targets:
                if rank not in self.hosts[expert]:
                    yield from self._list_additions(rank, expert)
        for expert in hottest:
            if len(self.hosts[expert]) > 1:
                yield ReplicaChange(removed=(expert, slowest))

    def _list_additions(self, rank: int, expert: int) -> Iterator[ReplicaChange]:
        added = (expert, rank)
        if len(self.experts_by_rank[rank]) < self.slots_per_rank:
            yield ReplicaChange(added)
            return
        evictable = [
            held for held in self.experts_by_rank[rank] if len(self.hosts[held]) > 1
        ]
        if evictable:
            yield ReplicaChange(
                added, (min(evictable, key=self._load_increase_on_removal), rank)
            )

    def _find_targets(
        self, max_per_rank: int, full_ranks: Collection[int]
    ) -> list[int]:
        eligible = [
            rank
            for rank, weight_loads in enumerate(self._weight_loads)
            if weight_loads < max_per_rank and rank not in full_ranks
        ]
        return sorted(eligible, key=self._rank_time)[:_MAX_TARGET_RANKS]

    def _replica_load(self, expert: int) -> float:
        return self.rates[expert] / len(self.hosts[expert])

    def _load_increase_on_removal(self, expert: int) -> float:
        """Return the load added to each remaining host if one replica is removed."""
        count = len(self.hosts[expert])
        return self.rates[expert] / (count - 1) - self.rates[expert] / count

    def _load_deltas(self, change: ReplicaChange) -> dict[int, float]:
        """Return by how much a change alters the load of each affected rank."""
        deltas: dict[int, float] = {}
        if change.added is not None:
            expert, rank = change.added
            count = len(self.hosts[expert])
            load = self.rates[expert] / (count + 1)
            for host in self.hosts[expert]:
                deltas[host] = load - self._replica_load(expert)
            deltas[rank] = load
        if change.removed is not None:
            expert, rank = change.removed
            increase = self._load_increase_on_removal(expert)
            for host in self.hosts[expert]:
                deltas[host] = deltas.get(host, 0.0) + increase
            deltas[rank] = deltas[rank] - increase - self._replica_load(expert)
        return deltas

    def _slowest_time_after(self, change: ReplicaChange, slowest: int) -> float:
        """Return the longest time among the affected ranks and the slowest one."""
        deltas = self._load_deltas(change)
        times = [
            (self.rank_loads[rank] + delta) / self.speeds[rank]
            for rank, delta in deltas.items()
        ]
        if slowest not in deltas:
            times.append(self._rank_time(slowest))
        return max(times)

    def _apply(self, change: ReplicaChange) -> None:
        for rank, delta in self._load_deltas(change).items():
            self.rank_loads[rank] += delta
        changed_ranks = []
        if change.added is not None:
            expert, rank = change.added
            self.experts_by_rank[rank].add(expert)
            self.hosts[expert].add(rank)
            changed_ranks.append(rank)
        if change.removed is not None:
            expert, rank = change.removed
            self.experts_by_rank[rank].discard(expert)
            self.hosts[expert].discard(rank)
            changed_ranks.append(rank)
        for rank in changed_ranks:
            self._weight_loads[rank] = len(
                self.experts_by_rank[rank] - self._initial_experts[rank]
            )


def new_greedy_search(
    placement: Placement, rates: Sequence[float], speeds: Sequence[float]
) -> GreedySearch:
    """Return a search that starts from ``placement``.

    Parameters
    ----------
    placement : Placement
        The active placement.
    rates : sequence of float
        Popularity of each expert.
    speeds : sequence of float
        Speed of each rank; 1.0 is that of a healthy one.
    """
    hosts = [set(ranks) for ranks in placement.hosts]
    loads = [
        sum(rates[expert] / len(hosts[expert]) for expert in experts)
        for experts in placement.ranks
    ]
    return GreedySearch(
        tuple(rates),
        tuple(speeds),
        placement.slots_per_rank,
        [set(experts) for experts in placement.ranks],
        hosts,
        loads,
        tuple(map(frozenset, placement.ranks)),
        [0] * len(placement.ranks),
    )
