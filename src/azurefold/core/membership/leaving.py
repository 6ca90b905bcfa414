"""Admission of work by an endpoint itself, and its drain once it is leaving.

A change to leaving takes time to reach all entries, and some may be cut off. So the
guarantee that a leaving endpoint starts no new work is enforced where no message can be
late: in the endpoint itself.
"""

from dataclasses import dataclass, replace

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import State

__all__ = [
    "Admitted",
    "DrainFinished",
    "DrainProgress",
    "Draining",
    "Refused",
    "WorkState",
    "admit_work",
    "get_drain_progress",
    "finish_work",
    "start_leaving",
]


@dataclass(frozen=True, slots=True)
class WorkState:
    """Work in flight at an endpoint.

    Parameters
    ----------
    in_flight : int
        Number of work items admitted and not finished.
    leaving_since : int or None
        When leaving was announced, in milliseconds.
    """

    in_flight: int = 0
    leaving_since: Millis | None = None

    @property
    def state(self) -> State:
        """The state to announce."""
        if self.leaving_since is None:
            return State.SERVING
        return State.LEAVING if self.in_flight else State.GONE


@dataclass(frozen=True, slots=True)
class Admitted:
    """The work item is in flight; ``work`` is the new state."""

    work: WorkState


@dataclass(frozen=True, slots=True)
class Refused:
    """The work item was not run, because the endpoint is leaving."""

    leaving_since: Millis


@dataclass(frozen=True, slots=True)
class Draining:
    """The endpoint is leaving and still has work in flight."""

    in_flight: int
    elapsed_ms: Millis


@dataclass(frozen=True, slots=True)
class DrainFinished:
    """No work is in flight any more; the process may stop."""

    elapsed_ms: Millis


DrainProgress = Draining | DrainFinished


def admit_work(work: WorkState) -> Admitted | Refused:
    """Admit one more work item unless the endpoint is leaving.

    Examples
    --------
    >>> admit_work(start_leaving(WorkState(in_flight=1), now=5))
    Refused(leaving_since=5)
    """
    if work.leaving_since is not None:
        return Refused(work.leaving_since)
    return Admitted(replace(work, in_flight=work.in_flight + 1))


def finish_work(work: WorkState) -> WorkState:
    """Return the state after one work item has finished.

    Raises
    ------
    ValueError
        If no work is in flight. An item counted twice would end a drain early and
        interrupt another item.
    """
    if work.in_flight == 0:
        raise ValueError("no work is in flight; was one work item finished twice?")
    return replace(work, in_flight=work.in_flight - 1)


def start_leaving(work: WorkState, now: Millis) -> WorkState:
    """Refuse new work from now on; this cannot be undone."""
    if work.leaving_since is not None:
        return work
    return replace(work, leaving_since=now)


def get_drain_progress(work: WorkState, now: Millis) -> DrainProgress | None:
    """Return the progress of the drain, or None if the endpoint is not leaving."""
    if work.leaving_since is None:
        return None
    elapsed_ms = now - work.leaving_since
    if work.in_flight:
        return Draining(work.in_flight, elapsed_ms)
    return DrainFinished(elapsed_ms)
