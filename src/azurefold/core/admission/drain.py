"""The drain rate of a queue, and the retry delay of refused callers."""

from math import exp

from azurefold.core.clock import Millis

__all__ = ["DrainRate", "jitter_retry_after"]

# Time constant with which earlier observations lose weight.
_DECAY_TIME_MS: Millis = 4_000
# No rate is reported for less observed busy time than this.
_MIN_BUSY_MS = 200.0
# Bounds of the retry delay before jitter is added.
_MIN_RETRY_AFTER_MS: Millis = 200
_MAX_RETRY_AFTER_MS: Millis = 30_000


class DrainRate:
    """Tokens dequeued per millisecond while the queue was not empty.

    Time with an empty queue is not counted: the dequeue rate then equals the
    arrival rate and says nothing about how fast a backlog would drain.
    """

    def __init__(self) -> None:
        self._dequeued_tokens = 0.0
        self._busy_ms = 0.0
        self._busy_since: Millis | None = None

    def start_busy_period(self, now: Millis) -> None:
        """Count the time from ``now`` on, unless a busy period has already started."""
        if self._busy_since is None:
            self._busy_since = now

    def record_take(self, tokens: int, now: Millis, *, is_more_waiting: bool) -> None:
        """Record that a request of ``tokens`` tokens was dequeued.

        Parameters
        ----------
        tokens : int
            Cost of the request.
        now : int
            The current time.
        is_more_waiting : bool
            Whether requests remain in the queue.
        """
        self._decay_observations(now)
        self._dequeued_tokens += tokens
        if not is_more_waiting:
            self._busy_since = None

    def end_busy_period(self, now: Millis) -> None:
        """Stop counting time until the next busy period starts."""
        self._decay_observations(now)
        self._busy_since = None

    def compute_rate(self, now: Millis) -> float | None:
        """Return tokens per millisecond, or ``None`` after too little busy time."""
        # The time since the last dequeue counts too. Otherwise a queue that no
        # longer drains would keep reporting its old rate.
        since_update_ms = (
            0 if self._busy_since is None else max(0, now - self._busy_since)
        )
        busy_ms = self._busy_ms + since_update_ms
        if busy_ms < _MIN_BUSY_MS:
            return None
        return self._dequeued_tokens / busy_ms

    def _decay_observations(self, now: Millis) -> None:
        if self._busy_since is None:
            return
        elapsed_ms = max(0, now - self._busy_since)
        decay = exp(-elapsed_ms / _DECAY_TIME_MS)
        self._dequeued_tokens *= decay
        self._busy_ms = self._busy_ms * decay + elapsed_ms
        self._busy_since = now


def jitter_retry_after(wait_ms: float, jitter: float) -> Millis:
    """Return the milliseconds after which a refused caller should retry.

    The delay lies between the wait, limited to the bounds of this module, and twice
    that. Without jitter, all refused callers would retry at the same time.

    Parameters
    ----------
    wait_ms : float
        Milliseconds until the current backlog has drained.
    jitter : float
        Random number in [0, 1).
    """
    base_ms = min(max(wait_ms, float(_MIN_RETRY_AFTER_MS)), float(_MAX_RETRY_AFTER_MS))
    return int(base_ms * (1.0 + jitter))
