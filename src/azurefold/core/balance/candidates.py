"""Finds the moves that are worth evaluating, from the slowest to the fastest ranks."""

from collections.abc import Iterator
from dataclasses import dataclass

from azurefold.core.balance.moves import Drop, Move, Replicate, Swap
from azurefold.core.balance.policy import ReplicaSplit
from azurefold.core.balance.shares import LayerLoads

__all__ = ["count_slowest_ranks", "find_candidate_moves"]

_SLOWEST_TOLERANCE = 0.003
"""Ranks whose time is within this fraction of the slowest count as slowest too."""

_MAX_FAST_RANKS = 4
"""Number of fastest ranks to which experts of the slowest ranks may move."""

_MAX_HOT_EXPERTS = 6
"""Number of experts for which replicas are considered."""

_MAX_EVICTIONS_PER_RANK = 2
_MAX_REPLICATIONS = 3
_MAX_SWAPS = 2


@dataclass(frozen=True, slots=True)
class _ScoredMove:
    """A move and an estimate of the load that it takes off the slowest ranks."""

    score: float
    move: Move


def find_candidate_moves(
    state: LayerLoads, slots_per_rank: int, split: ReplicaSplit
) -> list[Move]:
    """Return a few moves that may speed up the slowest rank, most promising first.

    The scores are rough estimates that are cheap to compute. The caller evaluates
    each move exactly.

    Parameters
    ----------
    state : LayerLoads
        Loads of the layer, with each expert's load already split over its replicas.
    slots_per_rank : int
        Experts whose weights fit on one rank.
    split : ReplicaSplit
        How replicas share load.
    """
    layer = _group_by_rank(state, slots_per_rank)
    replications = _select_best(_score_replications(layer), _MAX_REPLICATIONS)
    swaps = _select_best(_score_swaps(layer), _MAX_SWAPS)
    found = _select_best(iter(replications + swaps), _MAX_REPLICATIONS + _MAX_SWAPS)
    moves = [scored.move for scored in found]
    match split:
        case ReplicaSplit.EVEN:
            return moves + _list_drops(layer)
        case ReplicaSplit.LEVEL:
            return moves


def count_slowest_ranks(state: LayerLoads) -> int:
    """Return how many ranks are the slowest, within ``_SLOWEST_TOLERANCE``."""
    min_slow_time = state.slowest_time * (1.0 - _SLOWEST_TOLERANCE)
    pairs = zip(state.rank_loads, state.speeds, strict=True)
    return sum(load / speed >= min_slow_time for load, speed in pairs)


@dataclass(frozen=True, slots=True)
class _LayerByRank:
    """The loads of a layer by rank, with the slowest and the fastest ranks.

    ``slow_ranks`` starts with the slowest rank, ``fast_ranks`` with the fastest one.
    """

    state: LayerLoads
    slots_per_rank: int
    experts_by_rank: list[list[int]]
    rank_times: list[float]
    slow_ranks: list[int]
    fast_ranks: list[int]


def _group_by_rank(state: LayerLoads, slots_per_rank: int) -> _LayerByRank:
    experts_by_rank: list[list[int]] = [[] for _ in state.rank_loads]
    for expert, hosts in enumerate(state.hosts):
        for rank in hosts:
            experts_by_rank[rank].append(expert)
    pairs = zip(state.rank_loads, state.speeds, strict=True)
    times = [load / speed for load, speed in pairs]
    order = sorted(range(len(times)), key=lambda rank: (times[rank], rank))
    min_slow_time = times[order[-1]] * (1.0 - _SLOWEST_TOLERANCE)
    slow_ranks = [rank for rank in reversed(order) if times[rank] >= min_slow_time]
    fast_ranks = [rank for rank in order if times[rank] < min_slow_time][
        :_MAX_FAST_RANKS
    ]
    return _LayerByRank(
        state, slots_per_rank, experts_by_rank, times, slow_ranks, fast_ranks
    )


def _replica_load(state: LayerLoads, expert: int, rank: int) -> float:
    return state.replica_loads[expert][state.hosts[expert].index(rank)]


def _find_hot_experts(layer: _LayerByRank) -> list[tuple[float, int]]:
    """Return the experts with the most load on the slowest ranks, heaviest first."""
    slow_rank_loads: dict[int, float] = {}
    for rank in layer.slow_ranks:
        for expert in layer.experts_by_rank[rank]:
            load = _replica_load(layer.state, expert, rank)
            slow_rank_loads[expert] = slow_rank_loads.get(expert, 0.0) + load
    ordered = sorted((-load, expert) for expert, load in slow_rank_loads.items())
    return [(-load, expert) for load, expert in ordered[:_MAX_HOT_EXPERTS]]


def _score_replications(layer: _LayerByRank) -> Iterator[_ScoredMove]:
    hot_experts = _find_hot_experts(layer)
    slowest_time = layer.rank_times[layer.slow_ranks[0]]
    for rank in layer.fast_ranks:
        headroom = (slowest_time - layer.rank_times[rank]) * layer.state.speeds[rank]
        for displaced_load, evicted in _find_evictions(layer, rank):
            for load, expert in hot_experts:
                if rank in layer.state.hosts[expert] or expert == evicted:
                    continue
                score = min(load, headroom) - displaced_load
                yield _ScoredMove(score, Replicate(expert, rank, evicted))


def _find_evictions(layer: _LayerByRank, rank: int) -> list[tuple[float, int | None]]:
    """Return replicas that ``rank`` can evict and the load each moves elsewhere.

    The expert is None if the rank has a free slot, so that nothing is evicted.
    """
    if len(layer.experts_by_rank[rank]) < layer.slots_per_rank:
        return [(0.0, None)]
    evictable = sorted(
        (_replica_load(layer.state, expert, rank), expert)
        for expert in layer.experts_by_rank[rank]
        if len(layer.state.hosts[expert]) > 1
    )
    return [(load, expert) for load, expert in evictable[:_MAX_EVICTIONS_PER_RANK]]


def _score_swaps(layer: _LayerByRank) -> Iterator[_ScoredMove]:
    slow_rank = layer.slow_ranks[0]
    slow_rank_loads = _replica_loads_of_rank(layer, slow_rank)
    for fast_rank in layer.fast_ranks:
        fast_rank_loads = [
            (load, expert)
            for load, expert in _replica_loads_of_rank(layer, fast_rank)
            if slow_rank not in layer.state.hosts[expert]
        ]
        for load, expert in slow_rank_loads:
            if fast_rank not in layer.state.hosts[expert]:
                yield from _score_swaps_of_expert(
                    layer, slow_rank, fast_rank, load, expert, fast_rank_loads
                )


def _replica_loads_of_rank(layer: _LayerByRank, rank: int) -> list[tuple[float, int]]:
    return [
        (_replica_load(layer.state, expert, rank), expert)
        for expert in layer.experts_by_rank[rank]
    ]


def _score_swaps_of_expert(
    layer: _LayerByRank,
    slow_rank: int,
    fast_rank: int,
    load: float,
    expert: int,
    fast_rank_loads: list[tuple[float, int]],
) -> Iterator[_ScoredMove]:
    """Score the swaps of one expert with the experts of a fast rank.

    The loop is optimised because one decision evaluates 1,000 such pairs.
    """
    slow_load, slow_speed = (
        layer.state.rank_loads[slow_rank],
        layer.state.speeds[slow_rank],
    )
    fast_load, fast_speed = (
        layer.state.rank_loads[fast_rank],
        layer.state.speeds[fast_rank],
    )
    slow_time = layer.rank_times[slow_rank]
    for other_load, other_expert in fast_rank_loads:
        shifted_load = load - other_load
        if shifted_load <= 0:
            continue
        fast_time_after = (fast_load + shifted_load) / fast_speed
        if fast_time_after >= slow_time:
            continue
        slowest_time = max((slow_load - shifted_load) / slow_speed, fast_time_after)
        score = (slow_time - slowest_time) * slow_speed
        yield _ScoredMove(score, Swap(expert, slow_rank, other_expert, fast_rank))


def _list_drops(layer: _LayerByRank) -> list[Move]:
    slow_rank = layer.slow_ranks[0]
    return [
        Drop(expert, slow_rank)
        for expert in layer.experts_by_rank[slow_rank]
        if len(layer.state.hosts[expert]) > 1
    ]


def _select_best(scored_moves: Iterator[_ScoredMove], count: int) -> list[_ScoredMove]:
    return sorted(scored_moves, key=lambda scored: -scored.score)[:count]
