"""Priority classes of a service, from the priorities that its requests can have.

The priority of the key holder takes precedence over that of the route: it is compared
first, and the route's priority orders the requests of key holders that are equal.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "HIGHEST_PRIORITY",
    "LOWEST_PRIORITY",
    "PriorityClasses",
    "clamp_priority",
    "new_priority_classes",
    "urgency",
]

HIGHEST_PRIORITY, LOWEST_PRIORITY = 0, 9

_MIN_PRIORITIES = 3
"""With fewer priorities, of routes and of key holders, there are two classes:
priority 0, and all others."""

_PRIORITIES = LOWEST_PRIORITY + 1


def clamp_priority(priority: int) -> int:
    """Return the nearest priority from 0 to 9."""
    return max(HIGHEST_PRIORITY, min(LOWEST_PRIORITY, priority))


def urgency(priority: int, route_priority: int) -> int:
    """Return the order of a request among those of its service, 0 for the first.

    Parameters
    ----------
    priority : int
        Of the key holder, or of the route if the key holder has none.
    route_priority : int

    Examples
    --------
    >>> urgency(0, 2) < urgency(1, 0) < urgency(1, 2)
    True
    """
    return clamp_priority(priority) * _PRIORITIES + clamp_priority(route_priority)


_TWO_CLASSES = (urgency(0, 0), urgency(1, 0))


@dataclass(frozen=True, slots=True)
class PriorityClasses:
    """The classes of one service; a class is an index, 0 for the most urgent one.

    Parameters
    ----------
    urgencies : tuple of int
        Distinct urgencies of its requests, in ascending order; empty if the service
        has only two classes.
    """

    urgencies: tuple[int, ...] = ()

    @property
    def is_extended(self) -> bool:
        """Whether each urgency has a class of its own."""
        return bool(self.urgencies)

    @property
    def count(self) -> int:
        """Number of classes."""
        return len(self._first_urgencies)

    def class_of(self, priority: int, route_priority: int) -> int:
        """Return the class of a request.

        One that has no class of its own gets the next less urgent class, or the last
        one if there is none.
        """
        if not self.is_extended:
            return 0 if priority <= HIGHEST_PRIORITY else 1
        return self.find_class(urgency(priority, route_priority))

    def find_class(self, of_urgency: int) -> int:
        """Return the class of an urgency."""
        index = bisect_left(self._first_urgencies, of_urgency)
        return min(index, self.count - 1)

    def urgency_of(self, index: int) -> int:
        """Return the highest urgency of the class ``index``."""
        return self._first_urgencies[index]

    @property
    def _first_urgencies(self) -> tuple[int, ...]:
        return self.urgencies or _TWO_CLASSES


def new_priority_classes(
    route_priorities: Iterable[int], holder_priorities: Iterable[int | None]
) -> PriorityClasses:
    """Return the classes of a service.

    Parameters
    ----------
    route_priorities : iterable of int
        Of the routes to the service.
    holder_priorities : iterable of int or None
        Of the key holders; None for one without a priority, and for callers without
        a key.

    Examples
    --------
    >>> new_priority_classes([0, 1], [None, 0, 1]).count
    2
    >>> new_priority_classes([0, 1, 2], [None, 1]).count
    5
    """
    routes = {clamp_priority(priority) for priority in route_priorities}
    holders = {p if p is None else clamp_priority(p) for p in holder_priorities}
    if max(len(routes), len(holders - {None})) < _MIN_PRIORITIES:
        return PriorityClasses()
    urgencies = {
        urgency(route if holder is None else holder, route)
        for route in routes
        for holder in holders
    }
    return PriorityClasses(tuple(sorted(urgencies)))
