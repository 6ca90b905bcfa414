"""What becomes of a request while all groups of its service are down.

A group stands still while one of its ranks is cut off or dead, and runs again some
time after the rank is back. When that will be nobody knows, until all ranks are
there and the group forms. Callers leave a stream that shows nothing for some two
seconds, and come back once after a third of the time that they have left, at most.
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

_LONGEST_WAIT_MS: Millis = 1_200
"""For a group: callers leave after two seconds without an event, and the first one
takes some 300 ms from the dispatch, more when all who waited go at once."""

_MOST_OF_LEFT = 0.3
"""Part of the time left that may be spent on waiting: nobody is held to the end."""

_CAME_BACK_SHARE = 0.8
"""A caller that has less of the route's time than this share has come back once,
and most come back no second time."""

_RETURN_SHARE = 1 / 3
"""Part of the time left after which callers come back at the latest."""

_LEAST_RETRY_MS: Millis = 100


@dataclass(frozen=True, slots=True)
class OutageRequest:
    """A request that finds all groups down.

    Parameters
    ----------
    left : int
        Milliseconds until its deadline.
    timeout : int
        Milliseconds that its route allows from a caller's first attempt on.
    """

    left: Millis
    timeout: Millis


@dataclass(frozen=True, slots=True)
class WaitForGroup:
    """Let it wait for a group, for so many milliseconds at most."""

    max_wait: Millis


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse it now; it has not run and may come back."""

    retry_after: Millis


def decide_during_outage(
    request: OutageRequest, group_ready_in: Millis | None
) -> WaitForGroup | RefuseRequest:
    """Decide about a request while all groups are down.

    Who comes for the first time is refused at once and told to come back as late as
    callers do: most outages last longer than anyone may wait. Who has come back has
    no other chance than to wait a little. While a group forms it is known to run
    within the wait, so everybody waits for it.

    Parameters
    ----------
    request : OutageRequest
    group_ready_in : int or None
        Milliseconds until a group that forms will run; None if none forms.

    Examples
    --------
    >>> first_call = OutageRequest(left=8_000, timeout=8_000)
    >>> decide_during_outage(first_call, group_ready_in=None)
    RefuseRequest(retry_after=2666)
    >>> repeat = OutageRequest(left=5_300, timeout=8_000)
    >>> decide_during_outage(repeat, group_ready_in=None)
    WaitForGroup(max_wait=1200)
    >>> decide_during_outage(first_call, group_ready_in=400)
    WaitForGroup(max_wait=1200)
    """
    if group_ready_in is not None and group_ready_in <= _LONGEST_WAIT_MS:
        return WaitForGroup(_longest_wait(request))
    if request.left < _CAME_BACK_SHARE * request.timeout:
        return WaitForGroup(_longest_wait(request))
    return RefuseRequest(max_retry_after(request.left))


def _longest_wait(request: OutageRequest) -> Millis:
    return min(int(request.left * _MOST_OF_LEFT), _LONGEST_WAIT_MS)


def max_retry_after(left: Millis) -> Millis:
    """Return the longest ``Retry-After`` that a caller heeds.

    What comes back to a group that is still down is refused for good; those that a
    longer time brings behind the group's return are served.

    Parameters
    ----------
    left : int
        Milliseconds until the caller's deadline.
    """
    return max(_LEAST_RETRY_MS, int(left * _RETURN_SHARE))
