"""Phases of a coordinator and outcomes of the changes that it drives."""

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
    """A change was asked for while another is under way."""


class Outcome(Enum):
    """How the last change ended."""

    OPENED = "opened"
    REOPENED = "reopened"
    RECOVERED = "recovered"


@dataclass(frozen=True, slots=True)
class Idle:
    """The group is sound and no change is wanted until the next check."""

    check_at: Millis


@dataclass(frozen=True, slots=True)
class Checking:
    """Waiting for every rank's status, which must carry ``token``."""

    token: int


@dataclass(frozen=True, slots=True)
class Staging:
    """Waiting for every rank to load ``map_id``."""

    map_id: str
    recovery: bool


@dataclass(frozen=True, slots=True)
class Closing:
    """Waiting for every rank to agree; ``step`` is None in a recovery."""

    number: int
    step: int | None
    map_id: str
    deadline: Millis


@dataclass(frozen=True, slots=True)
class Opening:
    """All have agreed; waiting for every rank to report the change decided."""

    number: int
    step: int
    map_id: str
    incarnations: tuple[int, ...]
    recovery: bool
    deadline: Millis


@dataclass(frozen=True, slots=True)
class Reopening:
    """The change was given up; waiting for every rank to be free of it."""

    number: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """A rank follows a coordinator with a higher fence; nothing more is done."""

    by_fence: int


Phase = Idle | Checking | Staging | Closing | Opening | Reopening | Deposed
