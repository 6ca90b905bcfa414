"""A budget that keeps retries a small share of the requests.

When many endpoints fail, every request fails at first, and naive retries
multiply the load on those that are left, which then fail too. Seen as load
that stays high long after the first fault is gone. Retries paid for from
recent first attempts cannot do that (Google SRE book, "Handling overload").
"""

from dataclasses import dataclass
from math import exp

from azurefold.core.clock import Millis

__all__ = ["RetryBudget", "RetryPolicy"]


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Size of the budget.

    Parameters
    ----------
    share : float
        Retries allowed for each first attempt.
    allowance : float
        Retries a second allowed besides, so that a quiet node can retry.
    window : int
        Milliseconds over which attempts are remembered (time constant).
    """

    share: float = 0.08
    allowance: float = 0.2
    window: Millis = 10_000


class RetryBudget:
    """Recent requests and the retries they pay for.

    Parameters
    ----------
    policy : RetryPolicy, optional
        Size of the budget.
    """

    def __init__(self, policy: RetryPolicy | None = None) -> None:
        self._policy = policy or RetryPolicy()
        self._requests = 0.0
        self._retries = 0.0
        self._at: Millis = 0

    def set_policy(self, policy: RetryPolicy) -> None:
        """Take in another size of the budget."""
        self._policy = policy

    def request_started(self, now: Millis) -> None:
        """Note a request's first attempt."""
        self._decay(now)
        self._requests += 1.0

    def left(self, now: Millis) -> float:
        """Return how many retries the budget would pay for now."""
        self._decay(now)
        idle = self._policy.allowance * self._policy.window / 1_000
        return max(0.0, self._policy.share * self._requests + idle - self._retries)

    def try_retry(self, now: Millis) -> bool:
        """Take one retry out of the budget, if it has one left."""
        if self.left(now) < 1.0:
            return False
        self._retries += 1.0
        return True

    def _decay(self, now: Millis) -> None:
        elapsed = now - self._at
        if elapsed <= 0:
            return
        kept = exp(-elapsed / self._policy.window)
        self._requests *= kept
        self._retries *= kept
        self._at = now
