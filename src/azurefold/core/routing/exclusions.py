"""Tracks which endpoints are temporarily excluded, and until when."""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.routing.ejection import Ejector

__all__ = ["Exclusions"]

_UNREACHABLE_MS: Millis = 1_000
"""Exclusion of an endpoint after a connection attempt timed out.

Each connection attempt delays a request by 400 ms, and a data centre that is cut off
has a third of all endpoints, so the first failure already excludes the endpoint. A lost
packet excludes one endpoint for no longer than this."""


@dataclass(slots=True)
class Exclusions:
    """Endpoints of a pool that must not be chosen at present.

    Parameters
    ----------
    ejector : Ejector
    paused : frozenset of str
        Endpoints whose group is down, until it is reported to run again.
    over_quota : dict of str to int
        Endpoints whose quota allows no request of this node, and when to check again.
    backing_off : dict of str to int
        Endpoints that requested a backoff from this node, and when it ends.
    """

    ejector: Ejector
    paused: frozenset[str] = frozenset()
    over_quota: dict[str, Millis] = field(default_factory=dict)
    backing_off: dict[str, Millis] = field(default_factory=dict)
    _unreachable_until: dict[str, Millis] = field(default_factory=dict)

    @property
    def names(self) -> frozenset[str]:
        """All excluded endpoints."""
        excluded = self.ejector.ejected | self.paused | self._unreachable_until.keys()
        return excluded | self.over_quota.keys() | self.backing_off.keys()

    @property
    def unreachable(self) -> frozenset[str]:
        """Endpoints to which a connection attempt has recently timed out."""
        return frozenset(self._unreachable_until)

    @property
    def next_end(self) -> Millis | None:
        """When the next exclusion ends, of those whose end is known."""
        end_times = [*self._unreachable_until.values(), *self.over_quota.values()]
        end_times += self.backing_off.values()
        if self.ejector.next_end is not None:
            end_times.append(self.ejector.next_end)
        return min(end_times, default=None)

    def mark_unreachable(self, endpoint: str, now: Millis) -> None:
        """Exclude an endpoint for a while after a connection attempt timed out."""
        self._unreachable_until[endpoint] = now + _UNREACHABLE_MS

    def readmit_due(self, now: Millis) -> list[str]:
        """Readmit the endpoints whose exclusion has ended, and return their names."""
        due = [name for name, until in self._unreachable_until.items() if until <= now]
        for name in due:
            del self._unreachable_until[name]
        return due + self.ejector.readmit_due(now)

    def forget(self, endpoint: str) -> None:
        """Discard the state of an endpoint that has been removed."""
        self._unreachable_until.pop(endpoint, None)
        self.over_quota.pop(endpoint, None)
        self.ejector.forget(endpoint)
