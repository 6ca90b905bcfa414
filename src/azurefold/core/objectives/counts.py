"""Cumulative request counts of processes and the increases between samples.

The counts of a process only increase while it runs and start from zero after a restart.
"""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = [
    "CountHistory",
    "RequestCounts",
    "Source",
    "WindowCounts",
    "count_good_from_buckets",
]


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Counts of good requests and of all requests.

    Parameters
    ----------
    good : int
        Requests that met the objective.
    total : int
        All requests to which the objective applies.
    """

    good: int
    total: int

    def __post_init__(self) -> None:
        """Reject impossible counts.

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
        """Return the sums of both counts."""
        return RequestCounts(self.good + other.good, self.total + other.total)


ZERO_COUNTS = RequestCounts(0, 0)


@dataclass(frozen=True, slots=True, order=True)
class Source:
    """The origin of a time series of counts.

    Parameters
    ----------
    process : str
        Process that published the counts.
    organisation : str
        Organisation that sent the requests; empty if the process does not publish it.
    endpoint : str
        Endpoint that answered; empty if the process does not publish it.
    """

    process: str
    organisation: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """The requests within a window.

    Parameters
    ----------
    counts : RequestCounts
        Requests within the window.
    covered : int
        Milliseconds of the window for which there are samples.
    """

    counts: RequestCounts
    covered: Millis


@dataclass(slots=True)
class CountHistory:
    """Samples of one source for one objective, in chronological order."""

    _times: list[Millis] = field(default_factory=list)
    _samples: list[RequestCounts] = field(default_factory=list)
    _increases: list[RequestCounts] = field(default_factory=list)

    def add(self, counts: RequestCounts, now: Millis) -> None:
        """Add a sample.

        A count that decreases means that the process restarted between the samples,
        so all its counts are new. A plain difference would be negative: it would
        lower the burn rate and hide an outage that ended in a restart. Requests that
        were counted between the last sample and the end of the process are lost.

        Raises
        ------
        ValueError
            If ``now`` is before the last sample.
        """
        if self._times and now < self._times[-1]:
            raise ValueError(
                f"samples must be added in order; {now} is before the last one"
            )
        self._increases.append(self._increase_up_to(counts))
        self._times.append(now)
        self._samples.append(counts)

    def _increase_up_to(self, counts: RequestCounts) -> RequestCounts:
        """Return the total increase from the first sample to ``counts``."""
        if not self._samples:
            return ZERO_COUNTS
        last, increase = self._samples[-1], self._increases[-1]
        has_restarted = (
            counts.total < last.total
            or counts.good < last.good
            or counts.bad < last.bad
        )
        if has_restarted:
            return increase + counts
        return increase + RequestCounts(
            counts.good - last.good, counts.total - last.total
        )

    def count_within(self, window: Millis, now: Millis) -> WindowCounts:
        """Return the requests within the ``window`` that ends at ``now``.

        Parameters
        ----------
        window : int
            Length of the window in milliseconds.
        now : int
            End of the window.
        """
        last = bisect_right(self._times, now) - 1
        if last < 0:
            return WindowCounts(ZERO_COUNTS, 0)
        # Start at the last sample at or before the start of the window. If the history
        # is shorter, start at the first sample; `covered` is then less than the window.
        first = max(0, bisect_right(self._times, now - window) - 1)
        start, end = self._increases[first], self._increases[last]
        counts = RequestCounts(end.good - start.good, end.total - start.total)
        return WindowCounts(counts, min(window, self._times[last] - self._times[first]))

    def drop_before(self, time: Millis) -> None:
        """Drop the samples that no window starting at or after ``time`` needs."""
        keep_from = max(0, bisect_right(self._times, time) - 1)
        del self._times[:keep_from]
        del self._samples[:keep_from]
        del self._increases[:keep_from]


def count_good_from_buckets(
    buckets: Iterable[tuple[float, int]], threshold: float
) -> int | None:
    """Return how many observations of a cumulative histogram met ``threshold``.

    Only observations up to a bucket's upper edge can be counted. The largest edge
    that does not exceed the threshold is used, so the result may be too low but never
    too high.

    Parameters
    ----------
    buckets : iterable of (float, int)
        Upper edge and cumulative count, in any order.
    threshold : float
        Threshold in the unit of the edges.

    Returns
    -------
    int or None
        None if the lowest edge exceeds the threshold, so that the histogram does not
        contain the answer.

    Examples
    --------
    >>> count_good_from_buckets([(0.5, 10), (1.0, 30), (2.0, 40)], threshold=1.1)
    30
    """
    eligible: Sequence[tuple[float, int]] = [
        bucket for bucket in buckets if bucket[0] <= threshold
    ]
    if not eligible:
        return None
    return max(eligible)[1]
