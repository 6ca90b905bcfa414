"""When a process that holds nothing reads the whole configuration.

All nodes that start at once see the head at once. If each read its some 300
sections, 390 of them would ask the platform for more than 100,000 objects, and
it would refuse most: one sees a start that takes seconds longer, and leases that
cannot be renewed meanwhile. So each waits a drawn time, and whoever hears of a
peer that holds the head asks that peer in place of the platform.

The wait is that of feedback suppression with exponential timers (Nonnenmacher
and Biersack, Scalable Feedback for Large Groups, 1999): of n processes about one
draws a wait near zero, however large n is, and the number that read before the
first one's announcement reaches them does not grow with n.
"""

from math import log

from azurefold.core.clock import Millis
from azurefold.core.configuration.head import HeadId
from azurefold.core.configuration.messages import Tick

__all__ = ["FirstFetchDelay", "compute_fetch_delay"]

_MAY_READ_TOGETHER = 6
"""Processes that need no wait: each reads some 290 of 2,000 reads a second."""


def compute_fetch_delay(n_peers: int, jitter: float, scale_ms: Millis) -> Millis:
    """Return how long to wait for peers before reading from the platform.

    Parameters
    ----------
    n_peers : int
        Other processes that may start at the same time.
    jitter : float
        Drawn from [0, 1).
    scale_ms : int
        Some time more than one needs to read all and to tell the others.

    Examples
    --------
    >>> compute_fetch_delay(5, 0.99, 1_000)
    0
    >>> compute_fetch_delay(389, 0.5, 1_000)
    5272
    """
    if n_peers + 1 <= _MAY_READ_TOGETHER:
        return 0
    expected_before = (n_peers + 1) * jitter
    return int(scale_ms * log(max(1.0, expected_before)))


class FirstFetchDelay:
    """Holds the platform's offer back from a process that holds nothing.

    Parameters
    ----------
    scale_ms : int
        See :func:`compute_fetch_delay`.
    """

    def __init__(self, scale_ms: Millis) -> None:
        self._scale_ms = scale_ms
        self._wait_ms: Millis = 0
        self._mark: HeadId | None = None
        self._due_at: Millis = 0

    def draw(self, tick: Tick) -> None:
        """Draw the wait of the next offer."""
        self._wait_ms = compute_fetch_delay(tick.n_peers, tick.jitter, self._scale_ms)

    def hold(self, head_id: HeadId, now: Millis) -> None:
        """Hold an offer back; one that is held already keeps its moment."""
        if self._mark is None:
            self._due_at = now + self._wait_ms
        self._mark = head_id

    def release(self, now: Millis) -> HeadId | None:
        """Return the offer once its moment has come; then it is held no more."""
        if self._mark is None or now < self._due_at:
            return None
        head_id, self._mark = self._mark, None
        return head_id
