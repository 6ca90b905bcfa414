"""How many requests a lock-step group runs at a time so that events stay on time.

All ranks of a group begin each pass together, and a pass takes longer the more
requests each rank runs. Beyond some number every stream of the group is late,
however even the load. The number is found by the time between events: it is
lowered while that nears what callers are promised, and raised while there is
room.
"""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = ["PaceLimit", "PacePolicy"]


@dataclass(frozen=True, slots=True)
class PacePolicy:
    """When the number of requests is changed.

    Parameters
    ----------
    high, low : float
        Shares of the longest gap that is on time, between which the mean gap is
        kept. Passes vary by a third: one of a stream's two dozen gaps is near
        the longest when the mean is at three quarters of it.
    settle : int
        Milliseconds between two changes; a request's end, which makes room for
        fewer, comes after one or two seconds.
    least : int
        Requests that a rank is always given.
    smoothing : float
        Weight of a new gap in the mean.
    """

    high: float = 0.78
    low: float = 0.66
    settle: Millis = 400
    least: int = 2
    smoothing: float = 0.08


@dataclass(slots=True)
class PaceLimit:
    """The number of requests for each rank of one service.

    Parameters
    ----------
    policy : PacePolicy
    limit : int or None
        None while the engine's slots are the only bound.
    """

    policy: PacePolicy = field(default_factory=PacePolicy)
    limit: int | None = None
    mean_gap: float | None = None
    _changed_at: Millis = 0

    def observe(self, gap: Millis) -> None:
        """Take in the time between two events of a stream."""
        if self.mean_gap is None:
            self.mean_gap = float(gap)
        else:
            self.mean_gap += self.policy.smoothing * (gap - self.mean_gap)

    def adjust(self, slots: int, longest_gap: Millis, now: Millis) -> bool:
        """Raise or lower the limit if it is time; return whether it changed.

        Parameters
        ----------
        slots : int
            That the engine has.
        longest_gap : int
            Between two events that are on time; 0 if nothing is promised.
        now : int
        """
        if not longest_gap or self.mean_gap is None:
            return False
        if now - self._changed_at < self.policy.settle:
            return False
        present = slots if self.limit is None else min(self.limit, slots)
        wanted = self._wanted(present, self.mean_gap / longest_gap)
        wanted = max(min(self.policy.least, slots), min(wanted, slots))
        if wanted == present:
            return False
        self._changed_at = now
        self.limit = None if wanted == slots else wanted
        return True

    def _wanted(self, present: int, share: float) -> int:
        if share > self.policy.high:
            return present - 1
        if share < self.policy.low:
            return present + 1
        return present
