"""What an entry and its agents tell each other about attempts."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.entry.lines import Line

__all__ = ["AgentAddress", "AttemptCall", "NotTaken", "Opened"]


def _nothing_to_close() -> None:
    """Leave a connection to be closed with its response."""


@dataclass(frozen=True, slots=True)
class AgentAddress:
    """Where an agent listens and which incarnation of it is known."""

    endpoint: str
    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class AttemptCall:
    """One attempt as it is sent to an agent.

    Parameters
    ----------
    attempt_id, organisation, path : str
    body : bytes
    remaining_ms : int
        Time until the caller's deadline; a duration, since clocks of VMs
        differ.
    priority : int
    """

    attempt_id: str
    organisation: str
    path: str
    body: bytes
    remaining_ms: Millis
    priority: int


@dataclass(slots=True)
class Opened:
    """The agent sends the answer's lines.

    Parameters
    ----------
    lines : iterator of list
        Each item holds the lines that were there at one moment; an empty one
        is a sign of life.
    running : int
        Attempts in flight at the endpoint, itself included.
    close : callable
        To be called when the lines are read no longer.
    """

    lines: Iterator[list[Line]]
    running: int
    close: Callable[[], None] = _nothing_to_close


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The attempt certainly does not run there."""

    reason: str
