"""Where a group is in its passes, worked out from the last one that is known."""

from dataclasses import dataclass
from math import ceil

from azurefold.core.clock import Millis

__all__ = ["PassEstimate"]

_LONGEST_SINCE_MS: Millis = 1_500
"""For which passes are taken to have gone on since the last one that is known: a
group without requests makes none, and would be armed for a pass that never comes."""


@dataclass(slots=True)
class PassEstimate:
    """The last pass that is known to have begun, and how long one takes.

    Parameters
    ----------
    newest_started : int
    pass_ms : float
    """

    newest_started: int = 0
    pass_ms: float = 60.0
    _seen_at: Millis = 0

    def record_start(self, step: int, at: Millis) -> None:
        """Take in a pass that had begun at a time."""
        if step > self.newest_started:
            self.newest_started, self._seen_at = step, at

    def passes_until(self, time: Millis, now: Millis) -> int:
        """Return how many passes behind the newest known one begins by ``time``.

        Examples
        --------
        >>> passes = PassEstimate(pass_ms=50.0)
        >>> passes.record_start(10, at=1_000)
        >>> passes.passes_until(1_300, now=1_100)
        6
        """
        since = min(now - self._seen_at, _LONGEST_SINCE_MS)
        return ceil((since + time - now) / self.pass_ms)
