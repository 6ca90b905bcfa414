"""The small moves that change a placement, and how to try one."""

from dataclasses import dataclass

from azurefold.core.balance.shares import LayerLoads

__all__ = ["Drop", "Move", "Replicate", "Swap", "apply_move", "count_weight_loads"]


@dataclass(frozen=True, slots=True)
class Replicate:
    """Load an expert into one more rank.

    Parameters
    ----------
    expert : int
        The expert that gains a replica.
    rank : int
        Where to.
    evicted : int or None
        The expert whose replica makes room; None when a slot is free.
    """

    expert: int
    rank: int
    evicted: int | None


@dataclass(frozen=True, slots=True)
class Swap:
    """Exchange an expert of one rank with an expert of another."""

    expert: int
    rank: int
    other: int
    other_rank: int


@dataclass(frozen=True, slots=True)
class Drop:
    """Give up one replica; worth something only where replicas share evenly."""

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
    """Change the hosts in ``state``; the caller splits the loads again.

    Until then an added replica takes nothing, and what a removed one took goes
    to the last of the hosts that are left.

    Raises
    ------
    ValueError
        If the move would leave an expert without a slot. A token routed to it
        would then have nowhere to go, and the step would fail on all ranks.
    """
    match move:
        case Replicate(expert, rank, evicted):
            if evicted is not None:
                _remove(state, evicted, rank)
            _add(state, expert, rank)
        case Swap(expert, rank, other, other_rank):
            _add(state, expert, other_rank)
            _add(state, other, rank)
            _remove(state, expert, rank)
            _remove(state, other, other_rank)
        case Drop(expert, rank):
            _remove(state, expert, rank)


def _add(state: LayerLoads, expert: int, rank: int) -> None:
    if rank in state.hosts[expert]:
        raise ValueError(f"rank {rank} holds expert {expert} already")
    state.hosts[expert].append(rank)
    state.parts[expert].append(0.0)


def _remove(state: LayerLoads, expert: int, rank: int) -> None:
    hosts, parts = state.hosts[expert], state.parts[expert]
    if len(hosts) == 1:
        raise ValueError(f"expert {expert} would be left without a slot")
    index = hosts.index(rank)
    part = parts.pop(index)
    hosts.pop(index)
    state.totals[rank] -= part
    parts[-1] += part
    state.totals[hosts[-1]] += part
