"""An endpoint's own part in leaving: it refuses new work from then on.

News of leaving takes time to reach all entries, and some may be cut off. So
the promise that a leaving endpoint gets no new work is kept where it cannot
be late: by the endpoint itself.
"""

from dataclasses import dataclass, replace

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import State

__all__ = [
    "Admitted",
    "Finished",
    "Leaving",
    "Progress",
    "Refused",
    "WorkLoad",
    "admit",
    "begin_leaving",
    "finish",
    "progress",
]


@dataclass(frozen=True, slots=True)
class WorkLoad:
    """What an endpoint has in flight.

    Parameters
    ----------
    in_flight : int
        Pieces of work admitted and not finished.
    leaving_since : int or None
        When leaving was announced, in milliseconds.
    """

    in_flight: int = 0
    leaving_since: Millis | None = None

    @property
    def state(self) -> State:
        """What to announce."""
        if self.leaving_since is None:
            return State.SERVING
        return State.LEAVING if self.in_flight else State.GONE


@dataclass(frozen=True, slots=True)
class Admitted:
    """The work is in flight; ``load`` is the new state."""

    load: WorkLoad


@dataclass(frozen=True, slots=True)
class Refused:
    """The work was not run, since the endpoint is leaving."""

    leaving_since: Millis


@dataclass(frozen=True, slots=True)
class Leaving:
    """The endpoint leaves and still has work in flight."""

    in_flight: int
    for_ms: Millis


@dataclass(frozen=True, slots=True)
class Finished:
    """Nothing is in flight any more; the process may stop."""

    for_ms: Millis


Progress = Leaving | Finished


def admit(load: WorkLoad) -> Admitted | Refused:
    """Admit one more piece of work unless the endpoint is leaving.

    Examples
    --------
    >>> admit(begin_leaving(WorkLoad(in_flight=1), now=5))
    Refused(leaving_since=5)
    """
    if load.leaving_since is not None:
        return Refused(load.leaving_since)
    return Admitted(replace(load, in_flight=load.in_flight + 1))


def finish(load: WorkLoad) -> WorkLoad:
    """Return the state after one piece of work has ended.

    Raises
    ------
    ValueError
        If none was in flight: a piece counted twice would end a drain early
        and cut another one off.
    """
    if load.in_flight == 0:
        raise ValueError("no work is in flight; was one piece finished twice?")
    return replace(load, in_flight=load.in_flight - 1)


def begin_leaving(load: WorkLoad, now: Millis) -> WorkLoad:
    """Refuse new work from now on; there is no way back."""
    if load.leaving_since is not None:
        return load
    return replace(load, leaving_since=now)


def progress(load: WorkLoad, now: Millis) -> Progress | None:
    """Return how far leaving has come, or None for one that stays."""
    if load.leaving_since is None:
        return None
    for_ms = now - load.leaving_since
    if load.in_flight:
        return Leaving(load.in_flight, for_ms)
    return Finished(for_ms)
