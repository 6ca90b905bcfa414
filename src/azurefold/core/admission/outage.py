"""Decides whether a request waits while all groups of its service are down.

A group does not run while one of its ranks is partitioned or has failed, and runs
again some time after the rank has returned. That time is unknown until all ranks are
present and the group forms. Callers close a stream without events after about two
seconds. They retry once, after at most a third of their remaining time.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = [
    "WaitForGroup",
    "OutageRequest",
    "RefuseRequest",
    "decide_during_outage",
    "max_retry_after",
]

_MAX_WAIT_MS: Millis = 1_200
"""Maximum wait for a group. Callers close the stream after two seconds without an
event, and the first event takes about 300 ms from the dispatch, or longer when all
waiting requests are dispatched at once."""

_MAX_WAIT_FRACTION = 0.3
"""Part of the remaining time that a request may wait, so that none waits until its
deadline."""

_FIRST_ATTEMPT_MIN_FRACTION = 0.8
"""A caller whose remaining time is below this part of the route's timeout has retried
once; most callers do not retry a second time."""

_MAX_RETRY_FRACTION = 1 / 3
"""Part of the remaining time after which callers retry at the latest."""

_MIN_RETRY_AFTER_MS: Millis = 100


@dataclass(frozen=True, slots=True)
class OutageRequest:
    """The time limits of a request that arrives while all groups are down.

    Parameters
    ----------
    time_left : int
        Milliseconds until its deadline.
    timeout : int
        Milliseconds that its route allows, counted from the caller's first attempt.
    """

    time_left: Millis
    timeout: Millis


@dataclass(frozen=True, slots=True)
class WaitForGroup:
    """Let the request wait for a group, for at most ``max_wait`` milliseconds."""

    max_wait: Millis


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse the request now; it was not run and the caller may retry."""

    retry_after: Millis


def decide_during_outage(
    request: OutageRequest, group_ready_in: Millis | None
) -> WaitForGroup | RefuseRequest:
    """Decide whether a request waits or is refused while all groups are down.

    A first attempt is refused at once, with the longest retry delay that callers
    accept, because most outages last longer than a request may wait. A repeated
    attempt waits for a short time, because its caller will probably not retry again.
    If a group is forming and will run within the maximum wait, every request waits.

    Parameters
    ----------
    request : OutageRequest
        Time limits of the request.
    group_ready_in : int or None
        Milliseconds until the group that is forming runs; None if none is forming.

    Examples
    --------
    >>> first_attempt = OutageRequest(time_left=8_000, timeout=8_000)
    >>> decide_during_outage(first_attempt, group_ready_in=None)
    RefuseRequest(retry_after=2666)
    >>> second_attempt = OutageRequest(time_left=5_300, timeout=8_000)
    >>> decide_during_outage(second_attempt, group_ready_in=None)
    WaitForGroup(max_wait=1200)
    >>> decide_during_outage(first_attempt, group_ready_in=400)
    WaitForGroup(max_wait=1200)
    """
    if group_ready_in is not None and group_ready_in <= _MAX_WAIT_MS:
        return WaitForGroup(_compute_max_wait(request))
    if request.time_left < _FIRST_ATTEMPT_MIN_FRACTION * request.timeout:
        return WaitForGroup(_compute_max_wait(request))
    return RefuseRequest(max_retry_after(request.time_left))


def _compute_max_wait(request: OutageRequest) -> Millis:
    return min(int(request.time_left * _MAX_WAIT_FRACTION), _MAX_WAIT_MS)


def max_retry_after(time_left: Millis) -> Millis:
    """Return the longest ``Retry-After`` in milliseconds that callers respect.

    A caller that retries while the group is still down gets its final refusal. A
    longer delay lets more callers retry after the group runs again.

    Parameters
    ----------
    time_left : int
        Milliseconds until the caller's deadline.
    """
    return max(_MIN_RETRY_AFTER_MS, int(time_left * _MAX_RETRY_FRACTION))
