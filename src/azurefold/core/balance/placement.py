"""Models which experts each rank holds and how replicas share an expert's load."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Assignment", "Placement", "assign_evenly", "validate_assignment"]

_SHARE_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Placement:
    """The experts of one layer in the slots of its ranks.

    Parameters
    ----------
    n_experts : int
        Number of experts in the layer. Experts are numbered from 0.
    slots_per_rank : int
        Experts whose weights fit on one rank.
    ranks : tuple of tuple of int
        Experts that each rank holds, in any order.
    """

    n_experts: int
    slots_per_rank: int
    ranks: tuple[tuple[int, ...], ...]

    @property
    def hosts(self) -> tuple[tuple[int, ...], ...]:
        """Ranks that hold each expert, in ascending order."""
        hosts: list[list[int]] = [[] for _ in range(self.n_experts)]
        for rank, experts in enumerate(self.ranks):
            for expert in experts:
                hosts[expert].append(rank)
        return tuple(tuple(expert_hosts) for expert_hosts in hosts)

    def find_violations(self) -> tuple[str, ...]:
        """Return a message for each violated constraint; empty if it is valid."""
        violations = []
        for rank, experts in enumerate(self.ranks):
            if len(experts) > self.slots_per_rank:
                violations.append(
                    f"rank {rank} holds {len(experts)} experts "
                    f"in {self.slots_per_rank} slots"
                )
            if len(set(experts)) != len(experts):
                violations.append(f"rank {rank} holds an expert twice")
        for expert, ranks in enumerate(self.hosts):
            if not ranks:
                violations.append(f"expert {expert} has no slot")
        return tuple(violations)


@dataclass(frozen=True, slots=True)
class Assignment:
    """A placement with the load share of each replica.

    Parameters
    ----------
    placement : Placement
        Which rank holds which experts.
    shares : tuple of tuple of float
        Fractions of each expert's load, one per host in the order of
        ``placement.hosts``. The fractions of an expert add up to 1.
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
        rows = zip(loads, self.placement.hosts, self.shares, strict=True)
        for load, hosts, shares in rows:
            for rank, share in zip(hosts, shares, strict=True):
                totals[rank] += load * share
        return totals


def assign_evenly(placement: Placement) -> Assignment:
    """Split each expert's load evenly over its replicas.

    Examples
    --------
    >>> placement = Placement(3, 2, ((0, 1), (0, 2)))
    >>> assign_evenly(placement).shares
    ((0.5, 0.5), (1.0,), (1.0,))
    """
    shares = tuple((1.0 / len(hosts),) * len(hosts) for hosts in placement.hosts)
    return Assignment(placement, shares)


def validate_assignment(assignment: Assignment) -> None:
    """Reject an assignment that would lose tokens or exceed a rank's slots.

    Raises
    ------
    ExceptionGroup
        With one :class:`ValueError` per violation.
    """
    violations = list(assignment.placement.find_violations())
    hosts = assignment.placement.hosts
    if len(assignment.shares) != len(hosts):
        violations.append(
            f"shares are given for {len(assignment.shares)} of {len(hosts)} experts"
        )
    for expert, shares in enumerate(assignment.shares[: len(hosts)]):
        if len(shares) != len(hosts[expert]):
            violations.append(
                f"expert {expert} needs exactly one share for each replica"
            )
        elif abs(sum(shares) - 1.0) > _SHARE_TOLERANCE or min(shares, default=0) < 0:
            violations.append(
                f"the shares of expert {expert} must be non-negative and add up to 1"
            )
    if violations:
        raise ExceptionGroup(
            "invalid assignment", [ValueError(violation) for violation in violations]
        )
