"""Retry budget: limits retries to a small share of the requests in any time window.

When many endpoints fail, unlimited retries multiply the load on the remaining
endpoints until they fail too, and the load stays high long after the first fault has
ended. A budget that is filled by recent first attempts prevents this (Google SRE book,
"Handling overload").

The limit holds for every window of time, wherever it starts, and for all nodes
together. The budget therefore counts requests exactly, in steps of time. With a
decaying sum, budget that has decayed could be spent again within the same window, up to
twice the limit: nine nodes on one clock made 234 retries in ten seconds where 184 were
allowed.
"""

from collections import deque
from dataclasses import dataclass
from itertools import accumulate

from azurefold.core.clock import Millis

__all__ = ["RetryBudget", "RetryAllowance", "RetryPolicy"]

_STEP_MS: Millis = 100
"""Length of the steps in which requests and retries are counted.

A window of ten seconds has a hundred steps, so rounding costs a hundredth of the
limit."""

_DELIVERY_STEPS = 5
"""Steps within which a granted retry reaches its endpoint.

Half a second, which covers one retransmitted packet."""

_SKIPPED_START_STEPS = 2
"""Steps at the start of a window whose requests are not counted.

A window may start anywhere within its first step, and a request is counted when it has
been read, some milliseconds after it was sent."""


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Size of the budget.

    Parameters
    ----------
    retries_per_request : float
        Retries allowed per request.
    window_ms : int
        Length in milliseconds of the windows for which the limit holds.
    """

    retries_per_request: float = 0.08
    window_ms: Millis = 10_000


class RetryAllowance:
    """This node's fixed allowance of retries, in addition to the share of requests.

    An increase takes effect only after the settling time, because another node may have
    spent the same retries within the present window: an earlier process of a node that
    has restarted, a node that has left, or one that was missing from a list for a
    moment. With immediate increases all nodes together exceed the limit although each
    respects its allowance: 198 retries where 184 are allowed, with nine nodes that
    restart, and 303 with nine nodes that see only three.

    Parameters
    ----------
    retries : float
        Retries per window.
    settling_ms : int, default=0
        Milliseconds until an increase takes effect.
    now : int, default=0
        The present time.
    """

    def __init__(
        self, retries: float, settling_ms: Millis = 0, now: Millis = 0
    ) -> None:
        self._settling_ms = settling_ms
        self._history = deque([(now, retries)])

    def set_retries(self, retries: float, now: Millis) -> None:
        """Change the allowance."""
        if retries != self._history[-1][1]:
            self._history.append((now, retries))

    def effective_retries(self, now: Millis) -> float:
        """Return the smallest allowance that applied within the settling time."""
        while len(self._history) > 1 and self._history[1][0] <= now - self._settling_ms:
            self._history.popleft()
        return min(retries for _, retries in self._history)


class RetryBudget:
    """Counts recent requests and retries, and grants retries within the limit.

    Parameters
    ----------
    policy : RetryPolicy, optional
        Size of the budget.
    allowance : RetryAllowance, optional
        Additional retries, so that a node with few requests can retry; 2 by default.
    """

    def __init__(
        self,
        policy: RetryPolicy | None = None,
        allowance: RetryAllowance | None = None,
    ) -> None:
        self._policy = policy or RetryPolicy()
        self._allowance = allowance or RetryAllowance(2.0)
        self._requests = _StepCounts()
        self._retries = _StepCounts()

    def set_policy(self, policy: RetryPolicy) -> None:
        """Change the size of the budget."""
        self._policy = policy

    def record_request(self, now: Millis) -> None:
        """Count the first attempt of a request."""
        self._requests.add(now // _STEP_MS, self._first_needed_step(now))

    def retries_left(self, now: Millis) -> float:
        """Return how many retries the budget allows at ``now``.

        This is the smallest number left in any window that can contain ``now``: from
        the window that started one window length ago to the one that starts now.

        The requests of a window are the mean of two counts: the requests within the
        window so far, and those in the window that starts half a window earlier. Such
        means are additive: however load moves between nodes, the means of all nodes
        add up to the mean over all requests, and so to no more than the larger of the
        two counts. Counting the requests of the window up to now instead would add up
        to twice the load when callers move from one node to another.
        """
        window = self._policy.window_ms // _STEP_MS
        half_window = window // 2
        current_step = now // _STEP_MS
        first_step = self._first_needed_step(now)
        first_window_step = first_step + half_window
        window_count = current_step + 1 - first_window_step
        arrival_offset = half_window + _DELIVERY_STEPS
        # A retry arrives at its endpoint up to ``_DELIVERY_STEPS`` after it is granted.
        # A window of arrivals therefore includes the retries granted that much earlier.
        # Running totals by step from ``first_step``; future steps add nothing.
        requests = self._requests.totals(first_step, current_step + 1)
        requests += requests[-1:] * window
        retries = self._retries.totals(first_window_step, current_step + 1)
        windows = zip(
            requests[arrival_offset + _SKIPPED_START_STEPS :],
            requests[arrival_offset + window :],
            requests[arrival_offset - half_window + _SKIPPED_START_STEPS :],
            requests[arrival_offset - half_window + window :],
            retries[:window_count],
            strict=False,
        )
        half_retry_ratio = self._policy.retries_per_request / 2
        least_left = min(
            half_retry_ratio * (end - start + earlier_end - earlier_start)
            + retries_before
            for start, end, earlier_start, earlier_end, retries_before in windows
        )
        return max(
            0.0, least_left - retries[-1] + self._allowance.effective_retries(now)
        )

    def is_half_left(self, now: Millis) -> bool:
        """Whether as many retries are left as were spent in the last window."""
        first_step = self._first_needed_step(now)
        spent = self._retries.totals(first_step, now // _STEP_MS + 1)[-1]
        return self.retries_left(now) >= max(1.0, spent)

    def try_acquire(self, now: Millis) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self.retries_left(now) < 1.0:
            return False
        self._retries.add(now // _STEP_MS, self._first_needed_step(now))
        return True

    def _first_needed_step(self, now: Millis) -> int:
        """Return the earliest step on which any window containing ``now`` depends."""
        window = self._policy.window_ms // _STEP_MS
        return now // _STEP_MS - window - _DELIVERY_STEPS - window // 2


class _StepCounts:
    """Event counts by time step; counts of old steps are discarded."""

    def __init__(self) -> None:
        self._counts: deque[list[int]] = deque()

    def add(self, step: int, oldest: int) -> None:
        """Count an event and discard steps before ``oldest``; steps never decrease."""
        self._discard_before(oldest)
        if self._counts and self._counts[-1][0] >= step:
            self._counts[-1][1] += 1
        else:
            self._counts.append([step, 1])

    def totals(self, begin: int, end: int) -> list[int]:
        """Return the running totals from ``begin`` to ``end``; the first is 0."""
        by_step = [0] * (end - begin)
        for step, count in self._counts:
            if step >= begin:
                by_step[step - begin] += count
        return list(accumulate(by_step, initial=0))

    def _discard_before(self, oldest: int) -> None:
        # Called when events are added, because totals are only read after failures.
        while self._counts and self._counts[0][0] < oldest:
            self._counts.popleft()
