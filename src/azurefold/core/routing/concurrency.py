"""How many requests this node keeps in flight at one endpoint.

Additive increase, multiplicative decrease on the delay that the endpoint's
own queue adds to the first token, in the manner of Netflix's
concurrency-limits and TCP Vegas. Requests beyond the limit wait here, where
priorities and fairness are known, and not in an engine's queue.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["ConcurrencyLimit", "ConcurrencyPolicy"]


@dataclass(frozen=True, slots=True)
class ConcurrencyPolicy:
    """Bounds and pace of a limit.

    Parameters
    ----------
    initial, smallest, largest : int
        Requests in flight.
    queue_target : int
        Milliseconds of queueing at the endpoint that are put up with.
    decrease : float
        Factor applied when the target is exceeded.
    """

    initial: int = 16
    smallest: int = 1
    largest: int = 256
    queue_target: Millis = 600
    decrease: float = 0.85


_SMOOTHING = 0.2
_BASE_DRIFT = 0.01


class ConcurrencyLimit:
    """The limit of one endpoint.

    Parameters
    ----------
    policy : ConcurrencyPolicy
        Bounds and pace.
    """

    def __init__(self, policy: ConcurrencyPolicy) -> None:
        self._policy = policy
        self._largest = policy.largest
        self._limit = float(policy.initial)
        self._base: float | None = None
        self._smoothed = 0.0
        self._next_decrease: Millis = 0

    @property
    def limit(self) -> int:
        """Requests this node may have in flight there."""
        return int(self._limit)

    def set_largest(self, largest: int) -> None:
        """Take in the operators' bound; a limit still untried begins there."""
        if largest == self._largest:
            return
        self._largest = largest
        untried = self._base is None and self._limit >= self._policy.initial
        self._limit = float(largest) if untried else min(self._limit, float(largest))

    def observe_first_token(
        self, wait: Millis, prefill: float, in_flight: int, now: Millis
    ) -> None:
        """Learn from the wait for a first token.

        Parameters
        ----------
        wait : int
            Milliseconds from dispatch to the first token.
        prefill : float
            Milliseconds of ``wait`` that the prompt itself explains.
        in_flight : int
            Requests this node had there, this one included.
        now : int
            The present time.
        """
        excess = max(0.0, wait - prefill)
        if self._base is None:
            self._base = excess
            self._smoothed = excess
        # The lowest wait seen stands for an empty queue. It drifts up, so that
        # an endpoint that became slower for good is not throttled for ever.
        drift = _BASE_DRIFT * (excess - self._base)
        self._base = min(excess, self._base + drift)
        self._smoothed += _SMOOTHING * (excess - self._smoothed)
        if self._smoothed - self._base > self._policy.queue_target:
            self._decrease(wait, now)
        elif 2 * in_flight >= self._limit:
            self._limit = min(self._largest, self._limit + 1 / self._limit)

    def observe_refusal(self, now: Millis) -> None:
        """Learn that the endpoint would not take a request."""
        self._decrease(self._policy.queue_target, now)

    def restart(self) -> None:
        """Begin again from the smallest limit, after an ejection."""
        self._limit = float(self._policy.smallest)
        self._base = None

    def _decrease(self, wait: Millis, now: Millis) -> None:
        # One congested moment shows in every answer in flight. Without this
        # pause each of them would shrink the limit and it would fall to the
        # smallest at once; seen as an endpoint idle beside a full queue.
        if now < self._next_decrease:
            return
        self._next_decrease = now + wait
        shrunk = self._limit * self._policy.decrease
        self._limit = max(float(self._policy.smallest), shrunk)
