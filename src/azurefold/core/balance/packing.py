"""A placement from nothing: replicate the hottest, then pack the heaviest first.

This is how published expert-parallel balancers place experts, each time anew.
Here it makes the first placement of a layer only; from then on small moves
keep it level, since a new packing shares hardly a slot with the old one.
"""

import heapq
from collections.abc import Sequence

from azurefold.core.balance.placement import Placement

__all__ = ["pack_experts"]


def pack_experts(
    loads: Sequence[float], n_ranks: int, slots_per_rank: int
) -> Placement:
    """Place all experts, with the spare slots used as replicas of hot ones.

    Parameters
    ----------
    loads : sequence of float
        Load of each expert, in any unit.
    n_ranks : int
        Ranks of the group.
    slots_per_rank : int
        Weights that one rank has room for.

    Raises
    ------
    ValueError
        If the slots are fewer than the experts.

    Examples
    --------
    >>> pack_experts([8.0, 1.0, 1.0], n_ranks=2, slots_per_rank=2).ranks
    ((0, 1), (0, 2))
    """
    n_slots = n_ranks * slots_per_rank
    if n_slots < len(loads):
        raise ValueError(
            f"{len(loads)} experts need as many slots, but {n_ranks} ranks of "
            f"{slots_per_rank} have {n_slots}; add ranks or slots per rank"
        )
    replicas = _replica_counts(loads, n_ranks, n_slots)
    pieces = [
        (loads[expert] / count, expert)
        for expert, count in enumerate(replicas)
        for _ in range(count)
    ]
    pieces.sort(key=lambda piece: (-piece[0], piece[1]))
    ranks = _fill(pieces, n_ranks, slots_per_rank)
    return Placement(len(loads), slots_per_rank, tuple(map(tuple, ranks)))


def _replica_counts(loads: Sequence[float], n_ranks: int, n_slots: int) -> list[int]:
    """Give each spare slot to the expert with the most load per replica."""
    counts = [1] * len(loads)
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    spare = n_slots - len(loads)
    while spare and heap:
        _, expert = heapq.heappop(heap)
        if counts[expert] == n_ranks:
            continue
        counts[expert] += 1
        spare -= 1
        heapq.heappush(heap, (-loads[expert] / counts[expert], expert))
    return counts


def _fill(
    pieces: list[tuple[float, int]], n_ranks: int, slots_per_rank: int
) -> list[list[int]]:
    """Put each piece on the least loaded rank with room that lacks its expert."""
    ranks: list[list[int]] = [[] for _ in range(n_ranks)]
    totals = [0.0] * n_ranks
    for load, expert in pieces:
        open_ranks = [
            rank
            for rank in range(n_ranks)
            if len(ranks[rank]) < slots_per_rank and expert not in ranks[rank]
        ]
        if not open_ranks:
            # Every rank with room holds it already: a further replica of the
            # same expert would serve nobody, and its slot stays free.
            continue
        rank = min(open_ranks, key=lambda r: (totals[r], r))
        ranks[rank].append(expert)
        totals[rank] += load
    return ranks
