"""Whether repeats stayed within what a site allows, in any window of time."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

__all__ = ["Allowance", "Excess", "excesses", "repeats_among"]


@dataclass(frozen=True, slots=True)
class Allowance:
    """What a site allows.

    Parameters
    ----------
    share : float
        Repeats for each request.
    slack : int
        Repeats besides, in one window.
    window : float
        Its length, in the unit of the times that are checked.
    """

    share: float
    slack: int
    window: float


@dataclass(frozen=True, slots=True)
class Excess:
    """A window with more repeats than allowed."""

    begin: float
    repeats: int
    allowed: float


def repeats_among(arrivals: Sequence[tuple[str, float]]) -> list[float]:
    """Return the times of all arrivals but the first of each request, sorted.

    Parameters
    ----------
    arrivals : sequence of (str, float)
        Requests' ids and times.

    Examples
    --------
    >>> repeats_among([("a", 1.0), ("b", 2.0), ("a", 3.0)])
    [3.0]
    """
    seen = set()
    repeats = []
    for request, at in sorted(arrivals, key=lambda arrival: arrival[1]):
        if request in seen:
            repeats.append(at)
        seen.add(request)
    return repeats


def excesses(
    requests: Sequence[float], repeats: Sequence[float], allowance: Allowance
) -> Iterator[Excess]:
    """Yield the windows in which more was repeated than allowed.

    The requests that count are those sent in the window, in the one before it or in
    the one half a window before it, whichever has most. A window with too many
    repeats can be moved to begin with a repeat, so only those are looked at.

    Parameters
    ----------
    requests, repeats : sequence of float
        Times in order: when callers sent, and when repeats arrived.
    allowance : Allowance
    """
    length = allowance.window
    for begin in repeats:
        made = _number_in(repeats, begin, begin + length)
        starts = (begin, begin - length / 2, begin - length)
        counted = max(_number_in(requests, each, each + length) for each in starts)
        allowed = allowance.share * counted + allowance.slack
        if made > allowed:
            yield Excess(begin, made, allowed)


def _number_in(times: Sequence[float], begin: float, end: float) -> int:
    return bisect_left(times, end) - bisect_left(times, begin)
