"""Backoffs that endpoints have requested from this node."""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = ["Backoffs"]


@dataclass(slots=True)
class Backoffs:
    """End times of the backoffs that endpoints have requested.

    A backoff is kept while its endpoint is temporarily missing from the list or is
    assigned to other nodes, because the same process may be listed again.
    """

    _until: dict[str, Millis] = field(default_factory=dict)

    def extend(self, endpoint: str, until: Millis) -> bool:
        """Start or extend a backoff; return whether its end time moved later."""
        if until <= self._until.get(endpoint, 0):
            return False
        self._until[endpoint] = until
        return True

    def active(self, now: Millis) -> dict[str, Millis]:
        """Discard expired backoffs; return the end times of the others by endpoint."""
        self._until = {name: at for name, at in self._until.items() if at > now}
        return dict(self._until)

    def forget(self, endpoint: str) -> None:
        """Discard the backoff of an endpoint that has restarted."""
        self._until.pop(endpoint, None)
