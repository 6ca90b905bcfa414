"""Which experts each rank holds, and which share of its load each replica takes."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Assignment", "Placement", "validate_assignment", "assign_evenly"]

_SHARE_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Placement:
    """The experts of one layer in the slots of its ranks.

    Parameters
    ----------
    n_experts : int
        Experts of the layer, numbered from 0.
    slots_per_rank : int
        Weights that one rank has room for.
    ranks : tuple of tuple of int
        For each rank the experts it holds, in no particular order.
    """

    n_experts: int
    slots_per_rank: int
    ranks: tuple[tuple[int, ...], ...]

    @property
    def hosts(self) -> tuple[tuple[int, ...], ...]:
        """For each expert the ranks that hold it, ascending."""
        hosts: list[list[int]] = [[] for _ in range(self.n_experts)]
        for rank, experts in enumerate(self.ranks):
            for expert in experts:
                hosts[expert].append(rank)
        return tuple(tuple(of_expert) for of_expert in hosts)

    def find_violations(self) -> tuple[str, ...]:
        """Return what is wrong with the placement; empty when it is sound."""
        found = []
        for rank, experts in enumerate(self.ranks):
            if len(experts) > self.slots_per_rank:
                found.append(
                    f"rank {rank} holds {len(experts)} experts "
                    f"in {self.slots_per_rank} slots"
                )
            if len(set(experts)) != len(experts):
                found.append(f"rank {rank} holds an expert twice")
        for expert, ranks in enumerate(self.hosts):
            if not ranks:
                found.append(f"expert {expert} has no slot")
        return tuple(found)


@dataclass(frozen=True, slots=True)
class Assignment:
    """A placement with the share of each replica.

    Parameters
    ----------
    placement : Placement
        Where the experts are.
    shares : tuple of tuple of float
        For each expert the shares of its load, one for each of its hosts in the
        order of ``placement.hosts``; they add up to 1.
    """

    placement: Placement
    shares: tuple[tuple[float, ...], ...]

    def rank_loads(self, loads: Sequence[float]) -> list[float]:
        """Return the load of each rank, in the unit of ``loads``.

        Parameters
        ----------
        loads : sequence of float
            Load of each expert.
        """
        totals = [0.0] * len(self.placement.ranks)
        parts = zip(loads, self.placement.hosts, self.shares, strict=True)
        for load, hosts, shares in parts:
            for rank, share in zip(hosts, shares, strict=True):
                totals[rank] += load * share
        return totals


def assign_evenly(placement: Placement) -> Assignment:
    """ReplicaSplit each expert's load evenly over its replicas.

    Examples
    --------
    >>> placement = Placement(3, 2, ((0, 1), (0, 2)))
    >>> assign_evenly(placement).shares
    ((0.5, 0.5), (1.0,), (1.0,))
    """
    shares = tuple((1.0 / len(hosts),) * len(hosts) for hosts in placement.hosts)
    return Assignment(placement, shares)


def validate_assignment(assignment: Assignment) -> None:
    """Refuse an assignment that would lose tokens or overfill a rank.

    Raises
    ------
    ExceptionGroup
        Of :class:`ValueError`, one for each finding.
    """
    found = list(assignment.placement.find_violations())
    hosts = assignment.placement.hosts
    if len(assignment.shares) != len(hosts):
        found.append(f"shares for {len(assignment.shares)} of {len(hosts)} experts")
    for expert, shares in enumerate(assignment.shares[: len(hosts)]):
        if len(shares) != len(hosts[expert]):
            found.append(f"expert {expert} has not one share for each replica")
        elif abs(sum(shares) - 1.0) > _SHARE_TOLERANCE or min(shares, default=0) < 0:
            found.append(f"the shares of expert {expert} do not add up to 1")
    if found:
        raise ExceptionGroup("unsound assignment", [ValueError(f) for f in found])
