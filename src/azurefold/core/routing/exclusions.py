"""Endpoints that get no requests for now, and when they will again."""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.routing.ejection import Ejector

__all__ = ["Exclusions"]

_OUT_OF_REACH_MS: Millis = 1_000
"""After a connection was not established in time. Each try takes a caller 400 ms, and
a data centre that is cut off has a third of all endpoints, so the first failure
counts; a lost packet keeps one endpoint out of the choice for this long only."""


@dataclass(slots=True)
class Exclusions:
    """Which endpoints of a pool are left out, and until when.

    Parameters
    ----------
    ejector : Ejector
    paused : frozenset of str
        Endpoints whose group is down, until told otherwise.
    over_quota : dict of str to int
        Endpoints in need that this node may send nothing, and when to look again.
    backing_off : dict of str to int
        Endpoints that requested a backoff from this node, and when it ends.
    """

    ejector: Ejector
    paused: frozenset[str] = frozenset()
    over_quota: dict[str, Millis] = field(default_factory=dict)
    backing_off: dict[str, Millis] = field(default_factory=dict)
    _out_of_reach: dict[str, Millis] = field(default_factory=dict)

    @property
    def names(self) -> frozenset[str]:
        """All that are left out."""
        left_out = self.ejector.ejected | self.paused | self._out_of_reach.keys()
        return left_out | self.over_quota.keys() | self.backing_off.keys()

    @property
    def unreachable(self) -> frozenset[str]:
        """Endpoints to which no connection could be made a moment ago."""
        return frozenset(self._out_of_reach)

    @property
    def next_return(self) -> Millis | None:
        """When the next one comes back by itself."""
        times = [*self._out_of_reach.values(), *self.over_quota.values()]
        times += self.backing_off.values()
        if self.ejector.next_return is not None:
            times.append(self.ejector.next_return)
        return min(times, default=None)

    def mark_unreachable(self, endpoint: str, now: Millis) -> None:
        """Note that no connection to an endpoint could be made in time."""
        self._out_of_reach[endpoint] = now + _OUT_OF_REACH_MS

    def returned(self, now: Millis) -> list[str]:
        """Let those come back whose time is over, and name them."""
        back = [name for name, until in self._out_of_reach.items() if until <= now]
        for name in back:
            del self._out_of_reach[name]
        return back + self.ejector.returned(now)

    def forget(self, endpoint: str) -> None:
        """Drop all that is known of an endpoint that is gone."""
        self._out_of_reach.pop(endpoint, None)
        self.over_quota.pop(endpoint, None)
        self.ejector.forget(endpoint)
