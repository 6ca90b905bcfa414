"""Estimate of the store's monotonic clock in one process.

The store sends its time with each answer. Processes have no common clock, so they use
the store's time in what they report to each other about its tables.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["StoreClock"]

_WINDOW_MS: Millis = 60_000
"""How long an offset is kept: two monotonic clocks drift by a few ms per minute."""

_RESTART_THRESHOLD_MS: Millis = 1_000
"""The store's clock has restarted if an answer is earlier by this than the store's time
at the moment when the request was sent."""


@dataclass(slots=True)
class StoreClock:
    """A lower bound of the store's time.

    A delayed answer shows an earlier time than the store's present one, so the largest
    of the recent offsets is used.
    """

    _offset: Millis | None = None
    _previous_offset: Millis | None = None
    _window_started_at: Millis = 0

    def observe(self, store_ms: Millis, sent: Millis, received: Millis) -> None:
        """Apply the store's time from an answer.

        Parameters
        ----------
        store_ms : int
            The store's time in milliseconds when it answered.
        sent, received : int
            When the request was sent and the answer received, by this process's clock.
        """
        offset = store_ms - received
        store_ms_when_sent = self.at(sent)
        if (
            store_ms_when_sent is not None
            and store_ms < store_ms_when_sent - _RESTART_THRESHOLD_MS
        ):
            self.reset()
        if self._offset is None:
            self._offset, self._window_started_at = offset, received
        elif received - self._window_started_at >= _WINDOW_MS:
            self._previous_offset, self._offset = self._offset, offset
            self._window_started_at = received
        else:
            self._offset = max(self._offset, offset)

    def reset(self) -> None:
        """Discard all offsets, for instance before another store is used."""
        self._offset = self._previous_offset = None

    def at(self, now: Millis) -> Millis | None:
        """Return the store's time at ``now``; None before the first answer.

        Examples
        --------
        >>> clock = StoreClock()
        >>> clock.observe(store_ms=5_004, sent=1_000, received=1_010)
        >>> clock.observe(store_ms=5_104, sent=1_100, received=1_300)
        >>> clock.at(2_000)
        5994
        """
        if self._offset is None:
            return None
        if self._previous_offset is None:
            return now + self._offset
        return now + max(self._offset, self._previous_offset)
