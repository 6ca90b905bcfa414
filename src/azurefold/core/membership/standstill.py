"""Detects that the endpoint list is out of date because this process stood still.

A process that was paused, or got no processor time, for seconds finds requests waiting
at its sockets when it runs again, and may handle them before the answer of the store
that arrived meanwhile. Endpoints that left in the pause would then get these requests.
In an outage of the store the list grows old as well, but a newer one cannot be had.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["StandstillMonitor"]

_MAX_TURN_MS: Millis = 500
"""Longest time between two ticks of a process that runs: twice their interval."""


@dataclass(slots=True)
class StandstillMonitor:
    """Whether the endpoint list must be renewed before it is used again.

    Parameters
    ----------
    is_outdated : bool
        Whether the list became too old while the process stood still, and has been
        neither renewed nor released since.
    """

    is_outdated: bool = False
    _ran_at: Millis | None = None
    _resumed_at: Millis | None = None

    def is_running(self, now: Millis) -> bool:
        """Whether the process has not stood still, so that no check is needed."""
        ran_at = self._ran_at
        return (
            not self.is_outdated and ran_at is not None and now - ran_at <= _MAX_TURN_MS
        )

    def check(self, now: Millis, age_ms: Millis | None, max_age_ms: Millis) -> bool:
        """Return whether the list is outdated; must be called at each tick.

        Parameters
        ----------
        now : int
            Time of a clock that includes suspended time.
        age_ms : int or None
            Age of the endpoint list; None if unknown.
        max_age_ms : int
            Time within which an endpoint's departure has to be in effect.

        Examples
        --------
        >>> monitor = StandstillMonitor()
        >>> monitor.check(now=1_000, age_ms=300, max_age_ms=2_000)
        False
        >>> monitor.check(now=10_300, age_ms=9_600, max_age_ms=2_000)
        True
        """
        stood_ms = 0 if self._ran_at is None else now - self._ran_at
        self._ran_at = now
        if stood_ms > _MAX_TURN_MS:
            self._resumed_at = now
        if age_ms is None or age_ms <= max_age_ms:
            self.is_outdated = False
        elif stood_ms > _MAX_TURN_MS and age_ms - stood_ms <= max_age_ms:
            self.is_outdated = True
        return self.is_outdated

    def has_stood_still(self, since: Millis, now: Millis) -> bool:
        """Whether the process stood still for some time after ``since``.

        Examples
        --------
        >>> monitor = StandstillMonitor()
        >>> _ = monitor.check(1_000, 0, 2_000), monitor.check(1_250, 0, 2_000)
        >>> monitor.has_stood_still(1_100, 1_300), monitor.has_stood_still(1_100, 9_300)
        (False, True)
        >>> _ = monitor.check(9_300, 0, 2_000)
        >>> monitor.has_stood_still(1_100, 9_310), monitor.has_stood_still(9_305, 9_310)
        (True, False)
        """
        ran_at, resumed_at = self._ran_at, self._resumed_at
        if ran_at is not None and now - ran_at > _MAX_TURN_MS:
            return True
        return resumed_at is not None and resumed_at >= since

    def release(self) -> None:
        """Allow the use of the list as it is: the store does not answer."""
        self.is_outdated = False
