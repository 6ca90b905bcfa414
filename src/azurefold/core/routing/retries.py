"""A budget that keeps retries a small share of the requests, in any window.

When many endpoints fail, every request fails at first, and naive retries
multiply the load on those that are left, which then fail too. Seen as load
that stays high long after the first fault is gone. Retries paid for from
recent first attempts cannot do that (Google SRE book, "Handling overload").

The limit is on each window of time, wherever it begins, and on all nodes
together. Both are why the budget counts steps of time exactly: a sum that
decays lets what has decayed be spent again within the same window, up to twice
the limit (234 retries in ten seconds where 184 were allowed, with nine nodes
on one clock).
"""

from collections import deque
from dataclasses import dataclass
from itertools import accumulate

from azurefold.core.clock import Millis

__all__ = ["RetryBudget", "RetryAllowance", "RetryPolicy"]

_STEP_MS: Millis = 100
"""Requests and retries are counted in steps this long: a hundred in a window of ten
seconds, and what is lost to rounding is a hundredth of the limit."""

_DELIVERY_STEPS = 5
"""Half a second in which a retry that was paid for reaches its endpoint, with one
packet sent again on the way."""

_SKIPPED_STEPS = 2
"""At the beginning of a window: it may begin anywhere in its first step, and a request
is counted when it has been read, some milliseconds after it was sent."""


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Size of the budget.

    Parameters
    ----------
    share : float
        Retries allowed for each request.
    window : int
        Milliseconds; the limit holds for each span of this length.
    """

    share: float = 0.08
    window: Millis = 10_000


class RetryAllowance:
    """This node's part in the retries that are allowed beside the share of requests.

    A part that grows counts only after a while. What goes wrong without: somebody
    else has just spent what the larger part is made of, within the same window. That
    is a process that was killed and has started again, a node that has left, or one
    that was missing on a list for a moment. Seen as more retries than all nodes may
    make, while each keeps to its part: 198 and 303 where 184 are allowed, with nine
    nodes that start again, and with nine that take themselves for three.

    Parameters
    ----------
    retries : float
        In one window.
    settling : int, default=0
        Milliseconds until a larger part counts.
    now : int, default=0
        The present time.
    """

    def __init__(self, retries: float, settling: Millis = 0, now: Millis = 0) -> None:
        self._settling = settling
        self._told = deque([(now, retries)])

    def set(self, retries: float, now: Millis) -> None:
        """Take in another part."""
        if retries != self._told[-1][1]:
            self._told.append((now, retries))

    def at(self, now: Millis) -> float:
        """Return the least part that was in force within the settling time."""
        while len(self._told) > 1 and self._told[1][0] <= now - self._settling:
            self._told.popleft()
        return min(retries for _, retries in self._told)


class RetryBudget:
    """Recent requests and the retries they pay for.

    Parameters
    ----------
    policy : RetryPolicy, optional
        Size of the budget.
    part : RetryAllowance, optional
        Retries allowed besides, so that a quiet node can retry; 2 by default.
    """

    def __init__(
        self, policy: RetryPolicy | None = None, part: RetryAllowance | None = None
    ) -> None:
        self._policy = policy or RetryPolicy()
        self._allowance = part or RetryAllowance(2.0)
        self._requests = _StepCounts()
        self._retries = _StepCounts()

    def set_policy(self, policy: RetryPolicy) -> None:
        """Take in another size of the budget."""
        self._policy = policy

    def request_started(self, now: Millis) -> None:
        """Note a request's first attempt."""
        self._requests.add(now // _STEP_MS, self._oldest(now))

    def left(self, now: Millis) -> float:
        """Return how many retries the budget would pay for now.

        It is the least that any window leaves in which ``now`` can lie: those that
        begin now, and all that began up to a window ago.

        A window's requests are the mean of those within it, as far as it has passed,
        and of those in the window that begins half a window sooner. Such a mean is
        the same sum for one node and for all: however load moves between nodes,
        their means add up to that of all requests, and so to no more than the
        greater of the two. The requests of the window up to now would add up to
        twice the load when callers move from one node to another.
        """
        window = self._policy.window // _STEP_MS
        half = window // 2
        present = now // _STEP_MS
        begin = self._oldest(now)
        oldest = begin + half
        starts = present + 1 - oldest
        arrival = half + _DELIVERY_STEPS
        # By step from ``begin``; what is still to come counts nothing.
        requests = self._requests.totals(begin, present + 1)
        requests += requests[-1:] * window
        retries = self._retries.totals(oldest, present + 1)
        windows = zip(
            requests[arrival + _SKIPPED_STEPS :],
            requests[arrival + window :],
            requests[arrival - half + _SKIPPED_STEPS :],
            requests[arrival - half + window :],
            retries[:starts],
            strict=False,
        )
        paid_each = self._policy.share / 2
        least = min(
            paid_each * (end - start + sooner_end - sooner_start) + made
            for start, end, sooner_start, sooner_end, made in windows
        )
        return max(0.0, least - retries[-1] + self._allowance.at(now))

    def try_retry(self, now: Millis) -> bool:
        """Take one retry out of the budget, if it has one left."""
        if self.left(now) < 1.0:
            return False
        self._retries.add(now // _STEP_MS, self._oldest(now))
        return True

    def _oldest(self, now: Millis) -> int:
        """Return the first step that any window which ``now`` can lie in looks at."""
        window = self._policy.window // _STEP_MS
        return now // _STEP_MS - window - _DELIVERY_STEPS - window // 2


class _StepCounts:
    """Numbers of events by steps of time, the oldest forgotten."""

    def __init__(self) -> None:
        self._counts: deque[list[int]] = deque()

    def add(self, step: int, oldest: int) -> None:
        """Count an event, and forget those before ``oldest``; steps never go back."""
        self._forget(oldest)
        if self._counts and self._counts[-1][0] >= step:
            self._counts[-1][1] += 1
        else:
            self._counts.append([step, 1])

    def totals(self, begin: int, end: int) -> list[int]:
        """Return the running totals from ``begin`` to ``end``; the first is 0."""
        by_step = [0] * (end - begin)
        for step, number in self._counts:
            if step >= begin:
                by_step[step - begin] += number
        return list(accumulate(by_step, initial=0))

    def _forget(self, oldest: int) -> None:
        # Here and not where they are read: nobody reads while nothing fails.
        while self._counts and self._counts[0][0] < oldest:
            self._counts.popleft()
