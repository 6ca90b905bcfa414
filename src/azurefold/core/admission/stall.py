"""Detection of a group that makes no passes while it has requests.

A group stands still while its coordinator is paused in the middle of a map change, or
one of its ranks has failed and the others have not noticed. Nothing is served in that
time, and nothing that is measured in it says how soon a request would be served after
it.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["StallMonitor"]

_STALL_MS: Millis = 500
"""Longer than a first event takes after its dispatch to an idle group."""


@dataclass(slots=True)
class StallMonitor:
    """The time since a service last showed that it runs.

    Examples
    --------
    >>> monitor = StallMonitor()
    >>> monitor.record_dispatch(1_000)
    >>> monitor.is_stalled(1_400), monitor.is_stalled(1_500)
    (False, True)
    >>> monitor.record_event(1_600)
    >>> monitor.is_stalled(1_700)
    False
    """

    _quiet_since: Millis | None = None

    def record_dispatch(self, now: Millis) -> None:
        """Record a request that an event is expected of."""
        if self._quiet_since is None:
            self._quiet_since = now

    def record_event(self, now: Millis) -> None:
        """Record an event of any request."""
        self._quiet_since = now

    def record_idle(self) -> None:
        """Record that no request is in flight."""
        self._quiet_since = None

    def is_stalled(self, now: Millis) -> bool:
        """Whether events have been missing for too long."""
        return self._quiet_since is not None and now - self._quiet_since >= _STALL_MS
