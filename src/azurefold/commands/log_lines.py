"""Reading the ``key=value`` lines that gateways log."""

import re
from collections.abc import Mapping
from datetime import datetime

__all__ = ["number_of", "read_fields", "time_of"]

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")


def read_fields(line: str) -> dict[str, str]:
    """Return the fields of a line, without quotes.

    Examples
    --------
    >>> read_fields('event=refused why="queue full"')
    {'event': 'refused', 'why': 'queue full'}
    """
    return {name: _plain(text) for name, text in _PAIR.findall(line)}


def time_of(fields: Mapping[str, str]) -> datetime:
    """Return when a line was logged.

    Raises
    ------
    KeyError, ValueError
        If it has no time, or one that cannot be read.
    """
    time = datetime.fromisoformat(fields["time"])
    if time.tzinfo is None:
        raise ValueError("a time without its offset cannot be compared with others")
    return time


def number_of(fields: Mapping[str, str], name: str) -> int | None:
    """Return a whole number; None if the line has none of that name.

    Examples
    --------
    >>> number_of({"first_ms": "None"}, "first_ms") is None
    True
    """
    try:
        return int(fields[name])
    except (KeyError, ValueError):
        return None


def _plain(text: str) -> str:
    if text.startswith('"'):
        return _ESCAPED.sub(r"\1", text[1:-1])
    return text
