"""Differences between two configurations, for display to operators."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

__all__ = ["Change", "ChangeKind", "find_changed_names", "find_changes"]

_ABSENT = object()


class ChangeKind(StrEnum):
    """How a value differs between two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs.

    Parameters
    ----------
    kind : ChangeKind
        How it differs.
    path : str
        Dotted path, for example ``services.bookings.limits.timeout_ms``.
    old, new : object
        Plain JSON values; ``None`` where the value is absent.
    """

    kind: ChangeKind
    path: str
    old: Any = None
    new: Any = None


def find_changes(old: Any, new: Any) -> list[Change]:
    """Return the changes that turn ``old`` into ``new``, sorted by path.

    Examples
    --------
    >>> find_changes({"a": {"x": 1}}, {"a": {"x": 2}})[0].path
    'a.x'
    """
    return sorted(_iterate_changes((), old, new), key=lambda change: change.path)


def find_changed_names(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[str, ...]:
    """Return the services and organisations that differ, as sorted paths.

    Examples
    --------
    >>> old = {"services": {"a": 1}, "organisations": {}}
    >>> find_changed_names(old, {"services": {}, "organisations": {"o": 2}})
    ('organisations.o', 'services.a')
    """
    names = set()
    for category in ("services", "organisations"):
        before, after = old.get(category, {}), new.get(category, {})
        for name in before.keys() | after.keys():
            if before.get(name, _ABSENT) != after.get(name, _ABSENT):
                names.add(f"{category}.{name}")
    return tuple(sorted(names))


def _iterate_changes(path: tuple[str, ...], old: Any, new: Any) -> Iterator[Change]:
    dotted_path = ".".join(path)
    if old is _ABSENT:
        yield Change(ChangeKind.ADDED, dotted_path, new=new)
    elif new is _ABSENT:
        yield Change(ChangeKind.REMOVED, dotted_path, old=old)
    elif isinstance(old, dict) and isinstance(new, dict):
        for key in old.keys() | new.keys():
            before, after = old.get(key, _ABSENT), new.get(key, _ABSENT)
            yield from _iterate_changes((*path, key), before, after)
    elif old != new:
        yield Change(ChangeKind.CHANGED, dotted_path, old, new)
