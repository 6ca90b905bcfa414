"""Cumulative counts as processes publish them, and what happened between two.

RequestCounts only grow while a process lives and start from zero when it restarts.
"""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = [
    "RequestCounts",
    "CountHistory",
    "WindowCounts",
    "Source",
    "count_good_from_buckets",
]


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Requests counted since a process started.

    Parameters
    ----------
    good : int
        Requests that met the objective.
    total : int
        All requests that the objective applies to.
    """

    good: int
    total: int

    def __post_init__(self) -> None:
        """Refuse counts that no process can have.

        Raises
        ------
        ValueError
            If not 0 <= good <= total.
        """
        if not 0 <= self.good <= self.total:
            raise ValueError(f"good must lie in 0..{self.total}, not {self.good}")

    @property
    def bad(self) -> int:
        """Requests that missed the objective."""
        return self.total - self.good

    def __add__(self, other: "RequestCounts") -> "RequestCounts":
        """Return both together."""
        return RequestCounts(self.good + other.good, self.total + other.total)


ZERO_COUNTS = RequestCounts(0, 0)


@dataclass(frozen=True, slots=True, order=True)
class Source:
    """Where counts come from.

    Parameters
    ----------
    process : str
        The process that published them.
    organisation : str
        Whose requests they are; empty where the process does not tell.
    endpoint : str
        Which endpoint answered; empty where the process does not tell.
    """

    process: str
    organisation: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """What happened in a span of time.

    Parameters
    ----------
    counts : RequestCounts
        Requests within the span.
    covered : int
        Milliseconds of the span for which there are samples.
    """

    counts: RequestCounts
    covered: Millis


@dataclass(slots=True)
class CountHistory:
    """Samples of one source for one objective, in the order of their time."""

    _times: list[Millis] = field(default_factory=list)
    _samples: list[RequestCounts] = field(default_factory=list)
    _grown: list[RequestCounts] = field(default_factory=list)

    def add(self, counts: RequestCounts, now: Millis) -> None:
        """Take in a sample.

        A total that falls means that the process restarted between the samples,
        so all that it counts now is new. What goes wrong otherwise: the
        difference is negative, the burn rate shows less than nothing and an
        outage that ended in a restart is never seen. What the process counted
        after the last sample before it died is lost to us.

        Raises
        ------
        ValueError
            If ``now`` is before the last sample.
        """
        if self._times and now < self._times[-1]:
            raise ValueError(f"samples must come in order; {now} is before the last")
        self._grown.append(self._grown_to(counts))
        self._times.append(now)
        self._samples.append(counts)

    def _grown_to(self, counts: RequestCounts) -> RequestCounts:
        if not self._samples:
            return ZERO_COUNTS
        last, grown = self._samples[-1], self._grown[-1]
        restarted = (
            counts.total < last.total
            or counts.good < last.good
            or counts.bad < last.bad
        )
        if restarted:
            return grown + counts
        return grown + RequestCounts(counts.good - last.good, counts.total - last.total)

    def over(self, window: Millis, now: Millis) -> WindowCounts:
        """Return what happened within the ``window`` that ends ``now``.

        Parameters
        ----------
        window : int
            Length in milliseconds.
        now : int
            Its end.
        """
        last = bisect_right(self._times, now) - 1
        if last < 0:
            return WindowCounts(ZERO_COUNTS, 0)
        # The last sample at or before the window's start; with a younger history
        # the first one, and `covered` says that the window is not full.
        first = max(0, bisect_right(self._times, now - window) - 1)
        start, end = self._grown[first], self._grown[last]
        counts = RequestCounts(end.good - start.good, end.total - start.total)
        return WindowCounts(counts, min(window, self._times[last] - self._times[first]))

    def forget(self, before: Millis) -> None:
        """Drop samples that no window reaching back to ``before`` needs."""
        keep_from = max(0, bisect_right(self._times, before) - 1)
        del self._times[:keep_from]
        del self._samples[:keep_from]
        del self._grown[:keep_from]


def count_good_from_buckets(
    buckets: Iterable[tuple[float, int]], threshold: float
) -> int | None:
    """Return how many observations of a cumulative histogram met ``threshold``.

    An edge between two buckets cannot be told apart from below, so the largest
    edge that is not above the threshold counts: rather too few good than too
    many.

    Parameters
    ----------
    buckets : iterable of (float, int)
        Upper edge and cumulative count, in any order.
    threshold : float
        In the unit of the edges.

    Returns
    -------
    int or None
        None if even the lowest edge is above the threshold: the histogram
        cannot tell.

    Examples
    --------
    >>> count_good_from_buckets([(0.5, 10), (1.0, 30), (2.0, 40)], threshold=1.1)
    30
    """
    fitting: Sequence[tuple[float, int]] = [
        bucket for bucket in buckets if bucket[0] <= threshold
    ]
    if not fitting:
        return None
    return max(fitting)[1]
