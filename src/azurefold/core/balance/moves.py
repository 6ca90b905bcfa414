"""Defines the moves that change a placement by one or two replicas."""

from dataclasses import dataclass

from azurefold.core.balance.shares import LayerLoads

__all__ = [
    "Drop",
    "Move",
    "Replicate",
    "Swap",
    "apply_move",
    "count_weight_loads",
]


@dataclass(frozen=True, slots=True)
class Replicate:
    """Add a replica of an expert to a rank.

    Parameters
    ----------
    expert : int
        Expert to replicate.
    rank : int
        Rank that loads the replica.
    evicted : int or None
        Expert whose replica is removed to free a slot; None if a slot is free.
    """

    expert: int
    rank: int
    evicted: int | None


@dataclass(frozen=True, slots=True)
class Swap:
    """Exchange an expert of one rank with an expert of another rank."""

    expert: int
    rank: int
    other_expert: int
    other_rank: int


@dataclass(frozen=True, slots=True)
class Drop:
    """Remove one replica; this only helps where replicas split the load evenly."""

    expert: int
    rank: int


Move = Replicate | Swap | Drop


def count_weight_loads(move: Move) -> int:
    """Return how many experts' weights the move fetches from the store."""
    match move:
        case Replicate():
            return 1
        case Swap():
            return 2
        case Drop():
            return 0


def apply_move(state: LayerLoads, move: Move) -> None:
    """Change the hosts in ``state``; the caller has to split the experts' loads again.

    Until then an added replica has no load. The load of a removed replica is added
    to the last of the remaining hosts.

    Raises
    ------
    ValueError
        If the move would leave an expert without a replica. A token routed to that
        expert could not be processed, and the step would fail on all ranks.
    """
    match move:
        case Replicate(expert, rank, evicted):
            if evicted is not None:
                _remove_replica(state, evicted, rank)
            _add_replica(state, expert, rank)
        case Swap(expert, rank, other_expert, other_rank):
            _add_replica(state, expert, other_rank)
            _add_replica(state, other_expert, rank)
            _remove_replica(state, expert, rank)
            _remove_replica(state, other_expert, other_rank)
        case Drop(expert, rank):
            _remove_replica(state, expert, rank)


def _add_replica(state: LayerLoads, expert: int, rank: int) -> None:
    if rank in state.hosts[expert]:
        raise ValueError(f"rank {rank} already holds expert {expert}")
    state.hosts[expert].append(rank)
    state.replica_loads[expert].append(0.0)


def _remove_replica(state: LayerLoads, expert: int, rank: int) -> None:
    hosts, replica_loads = state.hosts[expert], state.replica_loads[expert]
    if len(hosts) == 1:
        raise ValueError(f"cannot remove the only replica of expert {expert}")
    index = hosts.index(rank)
    load = replica_loads.pop(index)
    hosts.pop(index)
    state.rank_loads[rank] -= load
    replica_loads[-1] += load
    state.rank_loads[hosts[-1]] += load
