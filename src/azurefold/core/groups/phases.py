"""Phases of a coordinator and outcomes of its changes."""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.clock import Millis

__all__ = [
    "ChangeInProgressError",
    "Checking",
    "Closing",
    "Deposed",
    "Idle",
    "Opening",
    "Outcome",
    "Phase",
    "Reopening",
    "Staging",
]


class ChangeInProgressError(Exception):
    """A change was requested while another is in progress."""


class Outcome(Enum):
    """How the last change ended."""

    OPENED = "opened"
    REOPENED = "reopened"
    RECOVERED = "recovered"


@dataclass(frozen=True, slots=True)
class Idle:
    """The group is healthy and no change is requested; the next check is scheduled."""

    check_at: Millis


@dataclass(frozen=True, slots=True)
class Checking:
    """Waiting for the status of every rank, with the token of the query."""

    token: int


@dataclass(frozen=True, slots=True)
class Staging:
    """Waiting for every rank to load ``map_id``."""

    map_id: str
    recovery: bool


@dataclass(frozen=True, slots=True)
class Closing:
    """Waiting for every rank to agree to the close; ``step`` is None in a recovery."""

    number: int
    step: int | None
    map_id: str
    deadline: Millis


@dataclass(frozen=True, slots=True)
class Opening:
    """All ranks have agreed; waiting for each to report that the change is decided."""

    number: int
    step: int
    map_id: str
    incarnations: tuple[int, ...]
    recovery: bool
    deadline: Millis


@dataclass(frozen=True, slots=True)
class Reopening:
    """The change was aborted; waiting until it holds no rank any more."""

    number: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """A rank follows a coordinator with a higher fence; this one stays inactive."""

    by_fence: int


Phase = Idle | Checking | Staging | Closing | Opening | Reopening | Deposed
