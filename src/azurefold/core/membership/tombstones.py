"""Retention of the records of gone endpoints, against delayed messages."""

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import Endpoint, State

__all__ = ["Tombstones"]


class Tombstones:
    """Times at which endpoints were declared gone.

    The record of a gone endpoint is kept for a while. If it were deleted at once, a
    delayed datagram would add the endpoint again as new, without the information that
    it was leaving.

    Parameters
    ----------
    retention_ms : int
        How long to keep the record of a gone endpoint.
    """

    def __init__(self, retention_ms: Millis) -> None:
        self._retention_ms = retention_ms
        self._gone_since: dict[str, Millis] = {}

    def update(self, record: Endpoint, now: Millis) -> None:
        """Start or end the retention for a record that has changed."""
        if record.state is State.GONE:
            self._gone_since.setdefault(record.name, now)
        else:
            self._gone_since.pop(record.name, None)

    def pop_expired(self, now: Millis) -> list[str]:
        """Remove and return the names whose retention has ended."""
        gone = self._gone_since.items()
        expired = [name for name, since in gone if now - since >= self._retention_ms]
        for name in expired:
            del self._gone_since[name]
        return expired
