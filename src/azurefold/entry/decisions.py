"""Shows at ``/metrics`` what an entry decided, read when it is asked for."""

from collections.abc import Iterator

from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from azurefold.entry.histogram import add_counts
from azurefold.entry.services import Service
from azurefold.entry.state import EntryState
from azurefold.internal.families import counter_family

__all__ = ["DecisionsCollector"]

_GAUGES = {
    "waiting": "Requests that wait for an endpoint",
    "endpoints": "Endpoints that requests may go to",
    "in_flight": "Attempts that have not ended",
    "room": "Requests that the endpoints have room for",
    "draft_room": "The same for drafts, which leave some to confirmations",
    "retry_budget": "Retries that the budget would pay for now",
}


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
        yield _by_label(services, "refusals", "reason", "Refused in queue or pool")
        yield _by_label(services, "ejections", "cause", "Endpoints left out")
        yield _by_label(services, "retries", "result", "Further attempts, or none")
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
        families = {
            name: GaugeMetricFamily(f"azurefold_entry_{name}", text, labels=["service"])
            for name, text in _GAUGES.items()
        }
        for service in services:
            admission = service.admission
            pool = admission.pool
            values = {
                "waiting": admission.waiting,
                "endpoints": len(pool.endpoints) - len(pool.ejected),
                "in_flight": pool.in_flight,
                "room": pool.room,
                "draft_room": pool.draft_room,
                "retry_budget": admission.retries.left(now),
            }
            for name, value in values.items():
                families[name].add_metric([service.view.name], value)
        yield from families.values()


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


def _by_label(services: list[Service], name: str, label: str, text: str) -> Metric:
    family = CounterMetricFamily(
        f"azurefold_entry_{name}", text, labels=["service", label]
    )
    for service in services:
        for value, number in getattr(service.admission.seen, name).items():
            family.add_metric([service.view.name, value], number)
    return family
