"""Shows at ``/metrics`` what an entry decided, read when it is asked for."""

from collections.abc import Callable, Iterator, Mapping

from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from azurefold.core.routing.pool import Pool
from azurefold.entry.admission import Admission, Seen
from azurefold.entry.histogram import add_counts
from azurefold.entry.services import Service
from azurefold.entry.state import EntryState
from azurefold.internal.families import counter_family

__all__ = ["DecisionsCollector"]


class DecisionsCollector(Collector):
    """Queue, pool, retries, limits and claims of one entry.

    Parameters
    ----------
    state : EntryState
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics as the library's registry wants them."""
        services = self._state.services.all()
        yield from self._gauges(services)
        yield _waits(services)
        yield _by_label(
            services,
            "azurefold_entry_refusals",
            "Refused in queue or pool",
            "reason",
            lambda seen: seen.refusals,
        )
        yield _by_label(
            services,
            "azurefold_entry_ejections",
            "Endpoints left out",
            "cause",
            lambda seen: seen.ejections,
        )
        yield _by_label(
            services,
            "azurefold_entry_retries",
            "Further attempts, or none",
            "result",
            lambda seen: seen.retries,
        )
        yield _endpoint_answers(services)
        yield counter_family(
            "azurefold_entry_limited",
            "Refused for being over the organisation's limit",
            "what",
            self._state.organisations.limited,
        )
        yield counter_family(
            "azurefold_entry_claims",
            "Claims of callers' keys",
            "result",
            self._state.claims.results,
        )

    def _gauges(self, services: list[Service]) -> Iterator[Metric]:
        now = self._state.clock.now()
        yield _gauge(
            services,
            "azurefold_entry_waiting",
            "Requests that wait for an endpoint",
            lambda admission: admission.waiting,
        )
        yield _gauge(
            services,
            "azurefold_entry_endpoints",
            "Endpoints that requests may go to",
            lambda admission: _usable(admission.pool),
        )
        yield _gauge(
            services,
            "azurefold_entry_in_flight",
            "Attempts that have not ended",
            lambda admission: admission.pool.in_flight,
        )
        yield _gauge(
            services,
            "azurefold_entry_room",
            "Requests that the endpoints have room for",
            lambda admission: admission.pool.room,
        )
        yield _gauge(
            services,
            "azurefold_entry_draft_room",
            "The same for drafts, which leave some to confirmations",
            lambda admission: admission.pool.draft_room,
        )
        yield _gauge(
            services,
            "azurefold_entry_retry_budget",
            "Retries that the budget would pay for now",
            lambda admission: admission.retries.retries_left(now),
        )


def _usable(pool: Pool) -> int:
    return len(pool.endpoints) - len(pool.ejected)


def _gauge(
    services: list[Service],
    name: str,
    text: str,
    read: Callable[[Admission], float],
) -> Metric:
    family = GaugeMetricFamily(name, text, labels=["service"])
    for service in services:
        family.add_metric([service.view.name], read(service.admission))
    return family


def _waits(services: list[Service]) -> Metric:
    family = HistogramMetricFamily(
        "azurefold_entry_queue_wait_seconds",
        "From the request to an endpoint",
        labels=["service", "priority"],
    )
    for service in services:
        for priority, counts in service.admission.seen.waits.items():
            add_counts(family, [service.view.name, priority.name.lower()], counts)
    return family


def _endpoint_answers(services: list[Service]) -> Metric:
    family = CounterMetricFamily(
        "azurefold_entry_endpoint_answers",
        "How attempts at each endpoint ended",
        labels=["endpoint", "result"],
    )
    for service in services:
        for answer, number in service.admission.seen.endpoint_answers.items():
            family.add_metric([answer.endpoint, answer.result], number)
    return family


def _by_label(
    services: list[Service],
    name: str,
    text: str,
    label: str,
    read: Callable[[Seen], Mapping[str, int]],
) -> Metric:
    family = CounterMetricFamily(name, text, labels=["service", label])
    for service in services:
        for value, number in read(service.admission.seen).items():
            family.add_metric([service.view.name, value], number)
    return family
