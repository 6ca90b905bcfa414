"""Adaptive limit on this node's requests in flight at one endpoint.

The limit uses additive increase and multiplicative decrease, based on the delay that
the endpoint's queue adds to the first token, like Netflix's concurrency-limits and TCP
Vegas. Requests beyond the limit wait at this node, which knows priorities and fairness,
and not in an engine's queue.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["ConcurrencyLimit", "ConcurrencyPolicy"]


@dataclass(frozen=True, slots=True)
class ConcurrencyPolicy:
    """Bounds of a concurrency limit, and how it adapts.

    Parameters
    ----------
    initial_limit, min_limit, max_limit : int
        Requests in flight.
    queue_target_ms : int
        Queueing delay at the endpoint above which the limit is decreased.
    decrease_factor : float
        Factor applied to the limit when the target is exceeded.
    """

    initial_limit: int = 16
    min_limit: int = 1
    max_limit: int = 256
    queue_target_ms: Millis = 600
    decrease_factor: float = 0.85


_EXCESS_WAIT_SMOOTHING = 0.2
_BASELINE_DRIFT = 0.01


class ConcurrencyLimit:
    """Concurrency limit of one endpoint.

    Parameters
    ----------
    policy : ConcurrencyPolicy
        Bounds, and how the limit adapts.
    """

    def __init__(self, policy: ConcurrencyPolicy) -> None:
        self._policy = policy
        self._max_limit = policy.max_limit
        self._limit = float(policy.initial_limit)
        self._baseline_wait_ms: float | None = None
        self._smoothed_wait_ms = 0.0
        self._next_decrease_at: Millis = 0

    @property
    def limit(self) -> int:
        """Number of requests that this node may have in flight."""
        return int(self._limit)

    def set_max_limit(self, max_limit: int) -> None:
        """Set the configured bound; a limit without observations starts at it."""
        if max_limit == self._max_limit:
            return
        self._max_limit = max_limit
        is_unused = (
            self._baseline_wait_ms is None and self._limit >= self._policy.initial_limit
        )
        self._limit = (
            float(max_limit) if is_unused else min(self._limit, float(max_limit))
        )

    def observe_first_token(
        self, wait_ms: Millis, prefill_ms: float, in_flight: int, now: Millis
    ) -> None:
        """Adapt the limit to the wait for a first token.

        Parameters
        ----------
        wait_ms : int
            Milliseconds from dispatch to the first token.
        prefill_ms : float
            Milliseconds of ``wait_ms`` that are due to the prefill of the prompt.
        in_flight : int
            This node's requests at the endpoint, this one included.
        now : int
            The present time.
        """
        excess_wait_ms = max(0.0, wait_ms - prefill_ms)
        if self._baseline_wait_ms is None:
            self._baseline_wait_ms = excess_wait_ms
            self._smoothed_wait_ms = excess_wait_ms
        # The baseline is the shortest wait observed, which corresponds to an empty
        # queue. It drifts up, so that an endpoint that has become permanently slower is
        # not throttled for ever.
        drift = _BASELINE_DRIFT * (excess_wait_ms - self._baseline_wait_ms)
        self._baseline_wait_ms = min(excess_wait_ms, self._baseline_wait_ms + drift)
        self._smoothed_wait_ms += _EXCESS_WAIT_SMOOTHING * (
            excess_wait_ms - self._smoothed_wait_ms
        )
        if (
            self._smoothed_wait_ms - self._baseline_wait_ms
            > self._policy.queue_target_ms
        ):
            self._decrease(wait_ms, now)
        elif 2 * in_flight >= self._limit:
            self._limit = min(self._max_limit, self._limit + 1 / self._limit)

    def observe_refusal(self, now: Millis) -> None:
        """Decrease the limit because the endpoint refused a request."""
        self._decrease(self._policy.queue_target_ms, now)

    def reset(self) -> None:
        """Return to the smallest limit after an ejection."""
        self._limit = float(self._policy.min_limit)
        self._baseline_wait_ms = None

    def _decrease(self, wait_ms: Millis, now: Millis) -> None:
        # One moment of congestion delays all responses in flight. Without this pause,
        # each of them would decrease the limit, which would fall to its minimum at
        # once, and the endpoint would be idle while requests are queued.
        if now < self._next_decrease_at:
            return
        self._next_decrease_at = now + wait_ms
        decreased = self._limit * self._policy.decrease_factor
        self._limit = max(float(self._policy.min_limit), decreased)
