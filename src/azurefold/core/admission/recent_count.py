"""Count of events in about the last second."""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["RecentCount"]


@dataclass(slots=True)
class RecentCount:
    """Number of events in a window that moves with time.

    Counted in two halves, of which the older one fades: bounded memory whatever the
    rate.

    Parameters
    ----------
    window : int, default=1000
        Milliseconds.

    Examples
    --------
    >>> count = RecentCount()
    >>> for now in (0, 200, 900):
    ...     count.add(now)
    >>> count.at(999), count.at(1_500), count.at(3_000)
    (3, 2, 0)
    """

    window: Millis = 1_000
    _began: Millis = 0
    _current: int = 0
    _previous: int = 0

    def add(self, now: Millis) -> None:
        """Count an event."""
        self._advance(now)
        self._current += 1

    def at(self, now: Millis) -> int:
        """Return the number of events in the window that ends at ``now``."""
        self._advance(now)
        left = 1.0 - (now - self._began) / self.window
        return self._current + round(left * self._previous)

    def _advance(self, now: Millis) -> None:
        elapsed = (now - self._began) // self.window
        if elapsed:
            self._previous = self._current if elapsed == 1 else 0
            self._current = 0
            self._began += elapsed * self.window
