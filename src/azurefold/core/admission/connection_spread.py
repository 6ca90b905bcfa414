"""Declining of new connections at a node that gets far more of them than others.

A balancer in front may send most new connections to one node. Its cell has only a part
of the endpoints, the node only a part of the quotas that endpoints name, and the
process only one core, so it would refuse requests that other nodes could serve. A
connection that is closed before its request is read costs nothing: the caller's next
try reaches another node.
"""

from collections.abc import Collection
from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["ConnectionSpread", "NodeLoad"]

_EXCESS_FACTOR = 4
_EXCESS_MARGIN = 16
"""Requests; with less, nodes differ as much by the chance of who their callers are."""

_TURNED_AWAY_MARGIN = 4
"""The same while requests are turned away, which others might serve."""

_ACCEPTED_SHARE = 4
"""One in so many connections is accepted, as a node that is ready must take some."""

_ACCEPTED_SHARE_URGENT = 6
"""The same while requests of the most urgent of several classes wait. A node that is
ready must not decline seven callers in a row."""

_LATE_MS: Millis = 100
"""By which loops run late at a node whose processor is used up."""


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """Load of one node.

    Parameters
    ----------
    requests : int
        Requests in flight or queued.
    turned_away : int
        Requests refused in the last second because quotas are used up here.
    peers : collection of int
        Requests in flight or turned away at each of the other nodes of its cell.
    is_cell_full : bool
        Whether requests are queued here while other cells may have room.
    lateness : int
        Milliseconds by which loops run late.
    is_urgent_waiting : bool
        Whether requests of the most urgent class are queued, at a service with three
        or more classes.
    """

    requests: int
    turned_away: int
    peers: Collection[int]
    is_cell_full: bool
    lateness: Millis
    is_urgent_waiting: bool = False

    @property
    def is_excessive(self) -> bool:
        """Whether this node has far more requests than others, and too many."""
        is_short = self.is_cell_full or self.turned_away or self.lateness >= _LATE_MS
        if not self.peers or not is_short:
            return False
        mean = sum(self.peers) / len(self.peers)
        margin = _TURNED_AWAY_MARGIN if self.turned_away else _EXCESS_MARGIN
        asked = self.requests + self.turned_away
        return asked >= _EXCESS_FACTOR * mean + margin


@dataclass(slots=True)
class ConnectionSpread:
    """Decides which new connections a node accepts.

    Parameters
    ----------
    declined : int
        Connections declined so far.
    """

    declined: int = 0
    _successive: int = 0

    @property
    def is_first_declined(self) -> bool:
        """Whether the last connection was the first one of a series to be declined."""
        return self._successive == 1

    def accepts(self, load: NodeLoad) -> bool:
        """Whether to accept a new connection; otherwise close it unread."""
        if not load.is_excessive:
            self._successive = 0
            return True
        self._successive += 1
        is_urgent = load.is_urgent_waiting
        share = _ACCEPTED_SHARE_URGENT if is_urgent else _ACCEPTED_SHARE
        if self._successive % share == 0:
            return True
        self.declined += 1
        return False
