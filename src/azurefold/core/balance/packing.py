"""Creates placements from scratch: replicate hot experts, then pack heaviest first.

Published expert-parallel balancers place experts this way for each new map. Here it
only creates the first placement of a layer. A new packing has hardly a slot in common
with the previous one, so later imbalance is corrected by single moves instead.
"""

import heapq
from collections.abc import Sequence

from azurefold.core.balance.placement import Placement

__all__ = ["pack_experts"]


def pack_experts(
    loads: Sequence[float], n_ranks: int, slots_per_rank: int
) -> Placement:
    """Place all experts and use the spare slots for replicas of hot experts.

    Parameters
    ----------
    loads : sequence of float
        Load of each expert, in any unit.
    n_ranks : int
        Number of ranks in the group.
    slots_per_rank : int
        Experts whose weights fit on one rank.

    Raises
    ------
    ValueError
        If there are fewer slots than experts.

    Examples
    --------
    >>> pack_experts([8.0, 1.0, 1.0], n_ranks=2, slots_per_rank=2).ranks
    ((0, 1), (0, 2))
    """
    n_slots = n_ranks * slots_per_rank
    if n_slots < len(loads):
        raise ValueError(
            f"{len(loads)} experts do not fit into the {n_slots} slots of "
            f"{n_ranks} ranks with {slots_per_rank} slots each; "
            "add ranks or slots per rank"
        )
    counts = _count_replicas(loads, n_ranks, n_slots)
    replicas = [
        (loads[expert] / count, expert)
        for expert, count in enumerate(counts)
        for _ in range(count)
    ]
    replicas.sort(key=lambda replica: (-replica[0], replica[1]))
    ranks = _assign_to_ranks(replicas, n_ranks, slots_per_rank)
    return Placement(len(loads), slots_per_rank, tuple(map(tuple, ranks)))


def _count_replicas(loads: Sequence[float], n_ranks: int, n_slots: int) -> list[int]:
    """Assign each spare slot to the expert with the highest load per replica."""
    counts = [1] * len(loads)
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    spare_slots = n_slots - len(loads)
    while spare_slots and heap:
        _, expert = heapq.heappop(heap)
        if counts[expert] == n_ranks:
            continue
        counts[expert] += 1
        spare_slots -= 1
        heapq.heappush(heap, (-loads[expert] / counts[expert], expert))
    return counts


def _assign_to_ranks(
    replicas: list[tuple[float, int]], n_ranks: int, slots_per_rank: int
) -> list[list[int]]:
    """Put each replica on the least loaded rank with a slot and without the expert."""
    ranks: list[list[int]] = [[] for _ in range(n_ranks)]
    rank_loads = [0.0] * n_ranks
    for load, expert in replicas:
        eligible_ranks = [
            rank
            for rank in range(n_ranks)
            if len(ranks[rank]) < slots_per_rank and expert not in ranks[rank]
        ]
        if not eligible_ranks:
            # Every rank with a free slot already holds the expert. A second copy on
            # the same rank would be useless, so the slot stays free.
            continue
        rank = min(eligible_ranks, key=lambda r: (rank_loads[r], r))
        ranks[rank].append(expert)
        rank_loads[rank] += load
    return ranks
