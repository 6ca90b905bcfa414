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

_FEWEST = 1.0


@dataclass(slots=True)
class PassLimit:
    """Passes and requests of one group, as this node sees them.

    Parameters
    ----------
    fixed_ms : float
        Part of a pass that does not depend on the requests.
    """

    fixed_ms: float = 0.0
    _pass_ms: float = 0.0
    _requests: float = 0.0
    _at: Millis = 0

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
        weight = 1.0 - exp(-max(1, now - self._at) / _MEMORY_MS)
        self._at = now
        self._pass_ms += weight * (gap - self._pass_ms)
        self._requests += weight * (requests - self._requests)

    def requests_of_a_rank(self, promised_gap: Millis, slots: int) -> float:
        """Return how many requests each rank should have at most, on average.

        Parameters
        ----------
        promised_gap : int
            Longest time between two events of a stream that is on time.
        slots : int
            Requests that a rank runs at a time.

        Examples
        --------
        >>> limit = PassLimit(fixed_ms=18.0)
        >>> limit.requests_of_a_rank(120, slots=6)
        6.0
        >>> limit.observe(150, requests=6.0, now=1_000)
        >>> limit.requests_of_a_rank(120, slots=6)
        3.0
        """
        variable = self._pass_ms - self.fixed_ms
        if not promised_gap or variable <= 0:
            return float(slots)
        allowed = _TARGET_SHARE * promised_gap - self.fixed_ms
        wanted = self._requests * allowed / variable
        return min(float(slots), max(_FEWEST, wanted))
