"""How many requests a group's ranks take at a time, so that its streams stay on time.

All ranks of a group compute each pass together, and each request of any rank makes
it longer. With all slots taken and an expert map that fits badly, the time between two
events is above what callers are promised for every stream of the group; with fewer
requests nearly as many are served, as a pass is then shorter by nearly as much, and
all of them on time. Who does not find a place waits in the queue.
"""

from dataclasses import dataclass
from math import exp

from azurefold.core.clock import Millis

__all__ = ["PassLimit"]

_TARGET_SHARE = 0.7
"""Of the promised time between two events that a mean pass may take: one in which a
prompt is read, or that follows a jump of popularity, takes up to 1.4 times as long."""

_MEMORY_MS: Millis = 250
"""Time constant of passes and requests: some four passes."""

_OBSERVED_EVERY_MS: Millis = 30
"""All streams of a group show the same passes; two looks at each are enough."""

_USUAL_MS: Millis = 1_000
"""Time constant of requests that are compared with what a coordinator tells."""

_TOLD_KEPT_MS: Millis = 3_000
_LARGEST_SHARE = 2.0
_FEWEST = 1.0


@dataclass(slots=True)
class PassLimit:
    """Passes and requests of one group, as this node sees them.

    Parameters
    ----------
    fixed_ms : float
        Part of a pass that does not depend on the requests.

    Notes
    -----
    Nodes know the requests of a part of the ranks only, and passes depend on those of
    all ranks. Were each part limited in proportion to its own requests, one that has
    got more than others once would keep them, and the others fewer.
    """

    fixed_ms: float = 0.0
    _pass_ms: float = 0.0
    _requests: float = 0.0
    _at: Millis = 0
    _usual_requests: float = 0.0
    _group_share: float = 1.0
    _told_at: Millis | None = None

    @property
    def pass_ms(self) -> float:
        """Mean time that a pass takes at present."""
        return self._pass_ms

    @property
    def requests(self) -> float:
        """Mean requests of a rank at present."""
        return self._requests

    def is_due(self, now: Millis) -> bool:
        """Whether another gap would tell more than the last one did."""
        return now - self._at >= _OBSERVED_EVERY_MS

    def observe(self, gap: Millis, requests: float, now: Millis) -> None:
        """Take in the time between two events of a stream.

        Parameters
        ----------
        gap : int
        requests : float
            That each rank has at present, on average.
        now : int
        """
        if not self._at:
            self._pass_ms, self._requests = float(gap), requests
            self._usual_requests = requests
        elapsed = max(1, now - self._at)
        weight = 1.0 - exp(-elapsed / _MEMORY_MS)
        usual_weight = 1.0 - exp(-elapsed / _USUAL_MS)
        self._usual_requests += usual_weight * (requests - self._usual_requests)
        self._at = now
        self._pass_ms += weight * (gap - self._pass_ms)
        self._requests += weight * (requests - self._requests)

    def record_group_mean(self, of_group: float, now: Millis) -> None:
        """Take in the mean requests of all the group's ranks, a second old."""
        if self._usual_requests <= 0 or of_group <= 0:
            return
        share = of_group / self._usual_requests
        share = min(_LARGEST_SHARE, max(1 / _LARGEST_SHARE, share))
        elapsed = now - self._told_at if self._told_at is not None else _USUAL_MS
        weight = 1.0 - exp(-elapsed / _USUAL_MS)
        self._told_at = now
        self._group_share += weight * (share - self._group_share)

    def group_share(self, now: Millis) -> float:
        """Return the requests of all the group's ranks over those known here."""
        if self._told_at is None or now - self._told_at >= _TOLD_KEPT_MS:
            return 1.0
        return self._group_share

    def max_requests_per_rank(
        self, promised_gap: Millis, slots: int, now: Millis = 0
    ) -> float:
        """Return how many requests each rank should have at most, on average.

        Parameters
        ----------
        promised_gap : int
            Longest time between two events of a stream that is on time.
        slots : int
            Requests that a rank runs at a time.
        now : int

        Examples
        --------
        >>> limit = PassLimit(fixed_ms=18.0)
        >>> limit.max_requests_per_rank(120, slots=6)
        6.0
        >>> limit.observe(150, requests=6.0, now=1_000)
        >>> limit.max_requests_per_rank(120, slots=6)
        3.0
        """
        variable = self._pass_ms - self.fixed_ms
        if not promised_gap or variable <= 0:
            return float(slots)
        allowed = _TARGET_SHARE * promised_gap - self.fixed_ms
        requests = self._requests * self.group_share(now)
        wanted = requests * allowed / variable
        return min(float(slots), max(_FEWEST, wanted))
