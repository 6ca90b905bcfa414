"""Delays the first fetch of the whole configuration from the platform.

All nodes that start together see the head at the same time. If each fetched its
roughly 300 sections at once, 390 nodes would request more than 100,000 objects
and the platform would refuse most of them. Starting would take seconds longer,
and leases could not be renewed meanwhile. So each process waits for a random
delay, and a process that learns of a peer with the head fetches from that peer
instead of the platform.

The delay is that of feedback suppression with exponential timers (Nonnenmacher
and Biersack, Scalable Feedback for Large Groups, 1999). Of n processes, about one
draws a delay near zero, however large n is. The number that fetch before the
announcement of the first one reaches them does not grow with n.
"""

from math import log

from azurefold.core.clock import Millis
from azurefold.core.configuration.head import HeadId
from azurefold.core.configuration.messages import Tick

__all__ = ["FirstFetchDelay", "compute_fetch_delay"]

_MAX_UNDELAYED_PROCESSES = 6
"""Up to this many processes fetch without a delay: each makes some 290 reads, and
the platform serves 2,000 reads a second."""


def compute_fetch_delay(n_peers: int, jitter: float, scale_ms: Millis) -> Millis:
    """Return the delay before fetching from the platform, in milliseconds.

    Parameters
    ----------
    n_peers : int
        Other processes that may start at the same time.
    jitter : float
        Random number from [0, 1).
    scale_ms : int
        A little longer than one process needs to fetch all sections and announce
        the head to its peers.

    Examples
    --------
    >>> compute_fetch_delay(5, 0.99, 1_000)
    0
    >>> compute_fetch_delay(389, 0.5, 1_000)
    5272
    """
    if n_peers + 1 <= _MAX_UNDELAYED_PROCESSES:
        return 0
    expected_earlier_fetches = (n_peers + 1) * jitter
    return int(scale_ms * log(max(1.0, expected_earlier_fetches)))


class FirstFetchDelay:
    """Defers fetching the platform's head in a process that has no configuration.

    Parameters
    ----------
    scale_ms : int
        See :func:`compute_fetch_delay`.
    """

    def __init__(self, scale_ms: Millis) -> None:
        self._scale_ms = scale_ms
        self._delay_ms: Millis = 0
        self._deferred: HeadId | None = None
        self._due_at: Millis = 0

    def draw_delay(self, tick: Tick) -> None:
        """Draw the delay of the next deferred fetch."""
        self._delay_ms = compute_fetch_delay(tick.n_peers, tick.jitter, self._scale_ms)

    def defer(self, head_id: HeadId, now: Millis) -> None:
        """Defer fetching ``head_id``; a fetch already deferred keeps its due time."""
        if self._deferred is None:
            self._due_at = now + self._delay_ms
        self._deferred = head_id

    def take_due(self, now: Millis) -> HeadId | None:
        """Remove and return the deferred head id if it is due, else ``None``."""
        if self._deferred is None or now < self._due_at:
            return None
        head_id, self._deferred = self._deferred, None
        return head_id
