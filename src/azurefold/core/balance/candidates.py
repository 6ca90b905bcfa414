"""Which moves are worth trying: from the slowest ranks to the fastest."""

from collections.abc import Iterator
from dataclasses import dataclass

from azurefold.core.balance.moves import Drop, Move, Replicate, Swap
from azurefold.core.balance.policy import ReplicaSplit
from azurefold.core.balance.shares import LayerLoads

__all__ = ["find_candidate_moves", "slow_count"]

_SLOW_BAND = 0.003
_FAST_RANKS = 4
_HOT_EXPERTS = 6
_EVICTIONS = 2
_REPLICATIONS_TRIED = 3
_SWAPS_TRIED = 2


@dataclass(frozen=True, slots=True)
class _Scored:
    """A move with the load that it is thought to take off the slow ranks."""

    score: float
    move: Move


def find_candidate_moves(
    state: LayerLoads, slots_per_rank: int, split: ReplicaSplit
) -> list[Move]:
    """Return a few moves that may lower the slowest rank, most promising first.

    The estimates are rough and cheap; whoever asks tries each move properly.

    Parameters
    ----------
    state : LayerLoads
        Loads with the shares already split.
    slots_per_rank : int
        Weights that one rank has room for.
    split : ReplicaSplit
        How replicas share load.
    """
    view = _view(state, slots_per_rank)
    replications = _best(_replications(view), _REPLICATIONS_TRIED)
    swaps = _best(_swaps(view), _SWAPS_TRIED)
    found = _best(iter(replications + swaps), _REPLICATIONS_TRIED + _SWAPS_TRIED)
    moves = [scored.move for scored in found]
    match split:
        case ReplicaSplit.EVEN:
            return moves + _drops(view)
        case ReplicaSplit.LEVEL:
            return moves


def slow_count(state: LayerLoads) -> int:
    """Return how many ranks are as good as tied for the slowest."""
    limit = state.slowest * (1.0 - _SLOW_BAND)
    pairs = zip(state.totals, state.speeds, strict=True)
    return sum(total / speed >= limit for total, speed in pairs)


@dataclass(frozen=True, slots=True)
class _View:
    """The state seen from its ranks."""

    state: LayerLoads
    slots_per_rank: int
    held: list[list[int]]
    times: list[float]
    slow: list[int]
    fast: list[int]


def _view(state: LayerLoads, slots_per_rank: int) -> _View:
    held: list[list[int]] = [[] for _ in state.totals]
    for expert, hosts in enumerate(state.hosts):
        for rank in hosts:
            held[rank].append(expert)
    pairs = zip(state.totals, state.speeds, strict=True)
    times = [total / speed for total, speed in pairs]
    order = sorted(range(len(times)), key=lambda rank: (times[rank], rank))
    limit = times[order[-1]] * (1.0 - _SLOW_BAND)
    slow = [rank for rank in reversed(order) if times[rank] >= limit]
    fast = [rank for rank in order if times[rank] < limit][:_FAST_RANKS]
    return _View(state, slots_per_rank, held, times, slow, fast)


def _part(state: LayerLoads, expert: int, rank: int) -> float:
    return state.parts[expert][state.hosts[expert].index(rank)]


def _hot_experts(view: _View) -> list[tuple[float, int]]:
    """Experts by what they put on the slow ranks, heaviest first."""
    on_slow: dict[int, float] = {}
    for rank in view.slow:
        for expert in view.held[rank]:
            part = _part(view.state, expert, rank)
            on_slow[expert] = on_slow.get(expert, 0.0) + part
    ordered = sorted((-part, expert) for expert, part in on_slow.items())
    return [(-part, expert) for part, expert in ordered[:_HOT_EXPERTS]]


def _replications(view: _View) -> Iterator[_Scored]:
    hot = _hot_experts(view)
    slowest = view.times[view.slow[0]]
    for rank in view.fast:
        room = (slowest - view.times[rank]) * view.state.speeds[rank]
        for displaced, evicted in _evictions(view, rank):
            for part, expert in hot:
                if rank in view.state.hosts[expert] or expert == evicted:
                    continue
                score = min(part, room) - displaced
                yield _Scored(score, Replicate(expert, rank, evicted))


def _evictions(view: _View, rank: int) -> list[tuple[float, int | None]]:
    """Replicas that ``rank`` can spare, with the load they would push elsewhere."""
    if len(view.held[rank]) < view.slots_per_rank:
        return [(0.0, None)]
    spare = sorted(
        (_part(view.state, expert, rank), expert)
        for expert in view.held[rank]
        if len(view.state.hosts[expert]) > 1
    )
    return [(part, expert) for part, expert in spare[:_EVICTIONS]]


def _swaps(view: _View) -> Iterator[_Scored]:
    slow = view.slow[0]
    on_slow = _parts(view, slow)
    for fast in view.fast:
        on_fast = [
            (part, other)
            for part, other in _parts(view, fast)
            if slow not in view.state.hosts[other]
        ]
        for part, expert in on_slow:
            if fast not in view.state.hosts[expert]:
                yield from _swaps_of(view, slow, fast, part, expert, on_fast)


def _parts(view: _View, rank: int) -> list[tuple[float, int]]:
    return [(_part(view.state, expert, rank), expert) for expert in view.held[rank]]


def _swaps_of(
    view: _View,
    slow: int,
    fast: int,
    part: float,
    expert: int,
    on_fast: list[tuple[float, int]],
) -> Iterator[_Scored]:
    """Score the swaps of one expert; tight, as a decision has 1,000 such pairs."""
    slow_total, slow_speed = view.state.totals[slow], view.state.speeds[slow]
    fast_total, fast_speed = view.state.totals[fast], view.state.speeds[fast]
    slow_time = view.times[slow]
    for other_part, other in on_fast:
        shifted = part - other_part
        if shifted <= 0:
            continue
        fast_after = (fast_total + shifted) / fast_speed
        if fast_after >= slow_time:
            continue
        slowest = max((slow_total - shifted) / slow_speed, fast_after)
        score = (slow_time - slowest) * slow_speed
        yield _Scored(score, Swap(expert, slow, other, fast))


def _drops(view: _View) -> list[Move]:
    slow = view.slow[0]
    return [
        Drop(expert, slow)
        for expert in view.held[slow]
        if len(view.state.hosts[expert]) > 1
    ]


def _best(scored: Iterator[_Scored], count: int) -> list[_Scored]:
    return sorted(scored, key=lambda item: -item.score)[:count]
