"""What a command found out, for people and for programs."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgspec

__all__ = ["Exit", "Report", "render_json", "unavailable_report"]


class Exit(IntEnum):
    """Exit codes of the operator's commands."""

    OK = 0
    REFUSED = 1
    """The edit was not accepted, for a reason that is told."""
    BAD_INPUT = 2
    """A text, the settings or the command line is wrong."""
    UNKNOWN = 3
    """Nobody can say yet whether the edit was accepted."""
    NOT_REACHED = 4
    """Done, but not seen everywhere in time."""
    UNAVAILABLE = 5
    """The platform or the processes gave no answer; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Report:
    """The outcome of a command.

    Parameters
    ----------
    exit : Exit
        How it ended.
    lines : tuple of str
        For people.
    data : object
        For programs: whatever becomes JSON.
    """

    exit: Exit
    lines: tuple[str, ...]
    data: Any = field(default=None)


def render_json(report: Report) -> str:
    """Return ``report`` as one line of JSON."""
    body = {"exit": report.exit.name.lower(), "result": report.data}
    return msgspec.json.encode(body).decode()


def unavailable_report(reason: str) -> Report:
    """Return the report of a platform that gave no answer."""
    line = f"the platform gave no answer: {reason}; nothing was changed, try again"
    return Report(Exit.UNAVAILABLE, (line,), {"reason": reason})
