"""Where a group is in its passes, worked out from the last one that is known."""

from dataclasses import dataclass
from math import ceil

from azurefold.core.clock import Millis

__all__ = ["Passes"]

_LONGEST_SINCE_MS: Millis = 1_500
"""For which passes are taken to have gone on since the last one that is known: a
group without requests makes none, and would be armed for a pass that never comes."""


@dataclass(slots=True)
class Passes:
    """The last pass that is known to have begun, and how long one takes.

    Parameters
    ----------
    newest : int
    length_ms : float
    """

    newest: int = 0
    length_ms: float = 60.0
    _seen_at: Millis = 0

    def begun(self, step: int, at: Millis) -> None:
        """Take in a pass that had begun at a time."""
        if step > self.newest:
            self.newest, self._seen_at = step, at

    def until(self, time: Millis, now: Millis) -> int:
        """Return how many passes behind the newest known one begins by ``time``.

        Examples
        --------
        >>> passes = Passes(length_ms=50.0)
        >>> passes.begun(10, at=1_000)
        >>> passes.until(1_300, now=1_100)
        6
        """
        since = min(now - self._seen_at, _LONGEST_SINCE_MS)
        return ceil((since + time - now) / self.length_ms)
