"""Findings about a text that came from outside, all reported together."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Finding", "FindingsError", "Place", "Problem", "render_path"]

Path = tuple[str | int, ...]
"""Steps from the root of a text: keys of objects and indices of lists."""


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong at a path, before its line is known.

    Parameters
    ----------
    path : tuple of str or int
        Steps from the root of the text.
    problem : str
        What is wrong.
    expected : str
        What would be right.
    at_key : bool, default=False
        Whether the key is at fault rather than the value behind it.
    """

    path: Path
    problem: str
    expected: str
    at_key: bool = False


@dataclass(frozen=True, slots=True)
class Place:
    """Where a finding is.

    Parameters
    ----------
    file : str
        Name of the text.
    line, column : int or None
        Counted from 1; ``None`` where the text could not be read at all.
    path : str
        For example ``services.bookings.endpoints[1]``; empty for the root.
    """

    file: str
    line: int | None = None
    column: int | None = None
    path: str = ""

    def __str__(self) -> str:
        parts = [self.file, self.line, self.column]
        return ":".join(str(part) for part in parts if part is not None)


class Finding(ValueError):  # noqa: N818
    """One thing wrong in a text.

    Parameters
    ----------
    place : Place
        Where it is.
    problem : str
        What is wrong.
    expected : str
        What would be right.
    """

    def __init__(self, place: Place, problem: str, expected: str) -> None:
        super().__init__(place, problem, expected)
        self.place = place
        self.problem = problem
        self.expected = expected

    def __str__(self) -> str:
        path = f" {self.place.path}:" if self.place.path else ""
        return f"{self.place}:{path} {self.problem}; expected {self.expected}"


class FindingsError(ExceptionGroup[Finding]):
    """All findings about one text.

    Examples
    --------
    >>> place = Place("entry.jsonc", 3, 5, "listen")
    >>> print(FindingsError("bad settings", [Finding(place, "no port", "ip:port")]))
    bad settings (1 finding):
    entry.jsonc:3:5: listen: no port; expected ip:port
    """

    def derive(self, excs: Sequence[Finding]) -> "FindingsError":
        """Return a group of some of the findings."""
        return FindingsError(self.message, excs)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """The findings in the order of the text."""
        return self.exceptions

    def __str__(self) -> str:
        count = len(self.exceptions)
        noun = "finding" if count == 1 else "findings"
        lines = [f"{self.message} ({count} {noun}):", *map(str, self.exceptions)]
        return "\n".join(lines)


def render_path(path: Path) -> str:
    """Write ``path`` the way people read it.

    Examples
    --------
    >>> render_path(("services", "bookings", "endpoints", 1))
    'services.bookings.endpoints[1]'
    """
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text
