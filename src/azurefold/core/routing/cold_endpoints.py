"""Which endpoints are cold, and until when.

An endpoint that has just started, or whose data centre had no traffic for a while, can
take only a few requests per second from all nodes together until it has warmed up.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from heapq import heappop, heappush

from azurefold.core.clock import Millis

__all__ = ["ColdEndpoints", "ColdPolicy", "ColdSign"]


class ColdSign(StrEnum):
    """Why an endpoint is treated as cold."""

    ENTRY = "entry"
    EVACUATION_ENDED = "evacuation_ended"
    RESTARTED = "restarted"
    UNREACHABLE = "unreachable"
    BROKEN_REPLY = "broken_reply"
    NAMED_BY_RANK = "named_by_rank"


@dataclass(frozen=True, slots=True)
class ColdPolicy:
    """What is known of cold endpoints of one service.

    Parameters
    ----------
    requests_per_s : float
        Requests per second that a cold endpoint takes from all nodes together; 0 if
        the service's endpoints are never cold.
    sign_ms : int
        How long an endpoint is treated as cold after a sign that it may be. It covers
        the start, and the time until its entry tells how long it stays cold.
    """

    requests_per_s: float = 0.0
    sign_ms: Millis = 0

    @property
    def is_enabled(self) -> bool:
        """Whether endpoints of the service can be cold."""
        return self.requests_per_s > 0


@dataclass(slots=True)
class ColdEndpoints:
    """The cold endpoints of one service, as one node knows them."""

    _until: dict[str, Millis] = field(default_factory=dict)
    _ends: list[tuple[Millis, str]] = field(default_factory=list)

    def __iter__(self):
        return iter(self._until)

    def __len__(self) -> int:
        return len(self._until)

    def is_cold(self, endpoint: str, now: Millis) -> bool:
        """Whether an endpoint is treated as cold."""
        return self._until.get(endpoint, now) > now

    def cold_until(self, endpoint: str) -> Millis | None:
        """Return until when an endpoint is cold; None if it is not."""
        return self._until.get(endpoint)

    @property
    def next_end(self) -> Millis | None:
        """A time before which no endpoint becomes warm; None if none is cold."""
        return self._ends[0][0] if self._ends else None

    def extend(self, endpoint: str, until: Millis) -> bool:
        """Treat an endpoint as cold until ``until``; return whether it was warm."""
        known = self._until.get(endpoint)
        if known is None or until > known:
            self._until[endpoint] = until
            heappush(self._ends, (until, endpoint))
        return known is None

    def end_due(self, now: Millis) -> list[str]:
        """Remove and return the endpoints that are warm by now."""
        warm = []
        while self._ends and self._ends[0][0] <= now:
            until, endpoint = heappop(self._ends)
            # Entries of endpoints whose time was extended are passed over.
            if self._until.get(endpoint) == until:
                del self._until[endpoint]
                warm.append(endpoint)
        return warm

    def forget(self, endpoint: str) -> None:
        """Discard what is known of an endpoint that has restarted."""
        self._until.pop(endpoint, None)

    def clear(self) -> None:
        """Treat all endpoints as warm."""
        self._until.clear()
        self._ends.clear()
