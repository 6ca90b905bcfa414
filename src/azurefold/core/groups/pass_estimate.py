"""Estimate of a group's current forward pass from the last one reported."""

from dataclasses import dataclass
from math import ceil

from azurefold.core.clock import Millis

__all__ = ["PassEstimate"]

_MAX_EXTRAPOLATION_MS: Millis = 1_500
"""Maximum time since the last known pass for which passes are assumed to continue. A
group without requests runs no passes and would be armed for one that never starts."""


@dataclass(slots=True)
class PassEstimate:
    """The newest pass known to have started, and the duration of a pass.

    Parameters
    ----------
    newest_started : int
        Number of the newest pass known to have started.
    pass_ms : float
        Duration of a pass, in milliseconds.
    """

    newest_started: int = 0
    pass_ms: float = 60.0
    _newest_started_at: Millis = 0

    def record_start(self, step: int, at: Millis) -> None:
        """Record that pass ``step`` had started at ``at``."""
        if step > self.newest_started:
            self.newest_started, self._newest_started_at = step, at

    def passes_until(self, time: Millis, now: Millis) -> int:
        """Return how many passes after the newest known one start by ``time``.

        Examples
        --------
        >>> passes = PassEstimate(pass_ms=50.0)
        >>> passes.record_start(10, at=1_000)
        >>> passes.passes_until(1_300, now=1_100)
        6
        """
        elapsed = min(now - self._newest_started_at, _MAX_EXTRAPOLATION_MS)
        return ceil((elapsed + time - now) / self.pass_ms)
