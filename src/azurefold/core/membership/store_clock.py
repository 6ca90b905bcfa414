"""The store's steady clock as one process sees it.

The store names its time in each answer. Processes share no clock, so what they tell
each other of the store's tables is dated in the store's own time.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["StoreClock"]

_WINDOW_MS: Millis = 60_000
"""For which an offset is kept: two steady clocks drift apart by a few ms a minute."""

_STEP_BACK_MS: Millis = 1_000
"""The store's time has started anew if an answer shows it so much earlier than at
the moment at which the call was sent."""


@dataclass(slots=True)
class StoreClock:
    """A lower bound of the store's time.

    An answer that was delayed on its way shows an earlier time than the store's, so the
    largest of the last offsets counts.
    """

    _offset: Millis | None = None
    _offset_before: Millis | None = None
    _window_began: Millis = 0

    def observe(self, store_ms: Millis, sent: Millis, received: Millis) -> None:
        """Take in the store's time in an answer.

        Parameters
        ----------
        store_ms : int
            The store's time in milliseconds when it answered.
        sent, received : int
            When the call was sent and its answer came, by the process's own clock.
        """
        offset = store_ms - received
        earliest = self.at(sent)
        if earliest is not None and store_ms < earliest - _STEP_BACK_MS:
            self.reset()
        if self._offset is None:
            self._offset, self._window_began = offset, received
        elif received - self._window_began >= _WINDOW_MS:
            self._offset_before, self._offset = self._offset, offset
            self._window_began = received
        else:
            self._offset = max(self._offset, offset)

    def reset(self) -> None:
        """Forget what answers have shown: another store is asked from now on."""
        self._offset = self._offset_before = None

    def at(self, now: Millis) -> Millis | None:
        """Return the store's time at ``now``; None before the first answer.

        Examples
        --------
        >>> time = StoreClock()
        >>> time.observe(store_ms=5_004, sent=1_000, received=1_010)
        >>> time.observe(store_ms=5_104, sent=1_100, received=1_300)
        >>> time.at(2_000)
        5994
        """
        if self._offset is None:
            return None
        if self._offset_before is None:
            return now + self._offset
        return now + max(self._offset, self._offset_before)
