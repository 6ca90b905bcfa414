"""Histograms that cost little to add to.

The library's take a lock for each number, for threads that an entry does not
have; at one number a token that was a tenth of all its time.
"""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate

from prometheus_client.metrics_core import HistogramMetricFamily
from prometheus_client.registry import Collector

__all__ = ["Counts", "ServiceHistogram", "add_counts"]

_SECOND_MS = 1_000


@dataclass(slots=True)
class Counts:
    """How often each range of times was observed.

    Parameters
    ----------
    bounds : tuple of int, shape (n_buckets,)
        Upper bounds in milliseconds, ascending; above the last one everything
        else is counted.
    """

    bounds: tuple[int, ...]
    numbers: list[int] = field(init=False)
    total_ms: int = 0

    def __post_init__(self) -> None:
        self.numbers = [0] * (len(self.bounds) + 1)

    def observe(self, milliseconds: int) -> None:
        """Add one time."""
        self.numbers[bisect_left(self.bounds, milliseconds)] += 1
        self.total_ms += milliseconds


class ServiceHistogram(Collector):
    """A histogram of times for each service.

    Parameters
    ----------
    name : str
        Of the metric; its unit is seconds.
    documentation : str
    bounds : tuple of int
        See :class:`Counts`.
    """

    def __init__(self, name: str, documentation: str, bounds: tuple[int, ...]):
        self._name = name
        self._documentation = documentation
        self._bounds = bounds
        self._services: dict[str, Counts] = {}

    def of(self, service: str) -> Counts:
        """Return a service's counts, to add to."""
        counts = self._services.get(service)
        if counts is None:
            counts = Counts(self._bounds)
            self._services[service] = counts
        return counts

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yield the metric as the library's registry wants it."""
        family = HistogramMetricFamily(
            self._name, self._documentation, labels=["service"]
        )
        for service, counts in self._services.items():
            add_counts(family, [service], counts)
        yield family


def add_counts(
    family: HistogramMetricFamily, labels: list[str], counts: Counts
) -> None:
    """Add counts to a metric that is being shown."""
    family.add_metric(labels, _buckets(counts), counts.total_ms / _SECOND_MS)


def _buckets(counts: Counts) -> list[tuple[str, float]]:
    bounds = [str(bound / _SECOND_MS) for bound in counts.bounds]
    return list(zip([*bounds, "+Inf"], accumulate(counts.numbers), strict=True))
