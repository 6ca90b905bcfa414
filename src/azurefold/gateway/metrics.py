"""What a gateway counts, read off its state when somebody asks."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from azurefold.entry.histogram import add_counts
from azurefold.gateway.state import GatewayState

__all__ = ["gateway_registry"]

_SECOND_MS = 1_000


class _GatewayCollector(Collector):
    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def collect(self) -> Iterator[Metric]:
        state = self._state
        yield _counter("answers", "Final answers to callers", "result", state.answers)
        yield _counter(
            "streams", "Streams by what ends their body", "framing", state.streams
        )
        yield _counter(
            "broken_replies",
            "Answers of endpoints that are broken",
            "reason",
            state.broken_replies,
        )
        passed_on = CounterMetricFamily(
            "azurefold_gateway_answers_passed_on",
            "Answers that were not kept until they were whole",
            labels=["service"],
        )
        for name, number in state.answers_passed_on.items():
            passed_on.add_metric([name], number)
        yield passed_on
        cut_off = state.slow_readers_cut_off
        yield _gauge(
            "slow_readers_cut_off", "Answers unread while others wait", cut_off
        )
        yield _gauge("configuration_version", "Version in force", state.version)
        yield self._table_ages()
        yield _gauge("in_flight", "Requests not yet answered", state.in_flight)
        yield _gauge("unwritten", "Answers not yet written", state.unwritten)
        yield _gauge("nodes", "Gateways heard, this one included", state.nodes)
        yield _gauge(
            "connections_opened", "Connections to endpoints", state.links.opened
        )
        unreadable = state.unreadable_entries
        yield _gauge("unreadable_entries", "Rows that name no endpoint", unreadable)
        failed = state.failed_reloads
        yield _gauge("failed_reloads", "Settings files not taken in", failed)
        returns = state.store_returns
        yield _gauge("store_returns", "Returns from an older copy", returns)
        withheld = len(state.registry.withheld)
        yield _gauge("withheld_endpoints", "Entries that an older copy has", withheld)
        oversized = state.oversized_messages
        yield _gauge("oversized_messages", "Messages cut down to fit", oversized)
        crashes = state.crashes
        yield _gauge("crash_suspects", "Requests with crashes", crashes.size)
        quarantined = crashes.count_quarantined(state.clock.now())
        yield _gauge("quarantined_requests", "Requests that are refused", quarantined)
        parts = state.crashing_parts
        yield _gauge("crash_suspect_parts", "Parts of prompts with crashes", parts.size)
        refused = parts.count_quarantined(state.clock.now())
        yield _gauge("quarantined_parts", "Parts whose prompts are refused", refused)
        declined = state.spread.declined
        yield _gauge("connections_declined", "Connections closed unread", declined)
        yield self._coordinator_stalls()
        yield self._endpoints()
        yield self._evacuated()
        yield self._cold_endpoints()
        yield self._cold_permits()
        yield _gauge("cold_grantor", "1 if it issues permits", state.is_grantor)
        yield self._quotas()
        yield self._waiting()
        yield self._waiting_by_class()
        yield self._waits()
        yield self._refusals()
        yield self._retries()
        yield self._retry_budget()
        yield self._ignored_hints()

    def _table_ages(self) -> Metric:
        family = GaugeMetricFamily(
            "azurefold_gateway_table_age_seconds",
            "For how long a table of the store may have changed unnoticed",
            labels=["table"],
        )
        state = self._state
        ages = {
            "configuration": state.configuration_age_ms,
            "endpoints": state.endpoints_age_ms,
        }
        for table, age in ages.items():
            if age is not None:
                family.add_metric([table], age / _SECOND_MS)
        return family

    def _coordinator_stalls(self) -> Metric:
        family = CounterMetricFamily(
            "azurefold_gateway_coordinator_stalls",
            "Times that this gateway gave coordination up for want of progress",
            labels=["why"],
        )
        for why, number in self._state.coordinator_stalls.items():
            family.add_metric([why], number)
        return family

    def _endpoints(self) -> Metric:
        family = GaugeMetricFamily(
            "azurefold_gateway_endpoints",
            "Endpoints by service and whether they get new work",
            labels=["service", "state"],
        )
        for name, service in self._state.services.items():
            ejected = len(service.admission.pool.ejected)
            leaving = sum(1 for entry in service.entries.values() if entry.leaving)
            family.add_metric([name, "ejected"], ejected)
            family.add_metric([name, "leaving"], leaving)
            family.add_metric([name, "all"], len(service.entries))
        return family

    def _evacuated(self) -> Metric:
        family = GaugeMetricFamily(
            "azurefold_gateway_evacuated",
            "Endpoints that get no requests as their data centre is evacuated",
            labels=["data_centre"],
        )
        entries = self._state.registry.entries.values()
        for name in sorted(self._state.evacuations.data_centres):
            number = sum(entry.data_centre == name for entry in entries)
            family.add_metric([name], number)
        return family

    def _cold_endpoints(self) -> Metric:
        family = GaugeMetricFamily(
            "azurefold_gateway_cold_endpoints",
            "Endpoints that get requests only with permits",
            labels=["service"],
        )
        for service in self._state.services_with_cold:
            cold = service.admission.pool.cold
            family.add_metric([service.view.name], len(cold.names))
        return family

    def _cold_permits(self) -> Metric:
        family = CounterMetricFamily(
            "azurefold_gateway_cold_permits",
            "Permits for cold endpoints, and those that this gateway issued",
            labels=["service", "result"],
        )
        for service in self._state.services_with_cold:
            counts = service.admission.pool.cold.counts
            for result in ("asked", "granted", "used", "expired", "issued"):
                number = getattr(counts, result)
                family.add_metric([service.view.name, result], number)
        return family

    def _quotas(self) -> Metric:
        family = GaugeMetricFamily(
            "azurefold_gateway_quotas",
            "Requests a second: named by endpoints in need, and this gateway's parts",
            labels=["service", "of"],
        )
        for name, service in self._state.services.items():
            parts = service.admission.pool.quota_shares.values()
            family.add_metric([name, "all"], sum(part.quota for part in parts))
            family.add_metric([name, "here"], sum(part.rate for part in parts))
        return family

    def _waiting(self) -> Metric:
        family = GaugeMetricFamily(
            "azurefold_gateway_waiting",
            "Requests that wait for an endpoint",
            labels=["service"],
        )
        for name, service in self._state.services.items():
            family.add_metric([name], service.admission.waiting)
        return family

    def _waiting_by_class(self) -> Metric:
        family = GaugeMetricFamily(
            "azurefold_gateway_class_waiting",
            "Requests that wait here and at other gateways, of services with three or "
            "more priority classes",
            labels=["service", "class", "at"],
        )
        for name, service in self._state.services.items():
            if not service.admission.is_classed:
                continue
            queue = service.admission.queue
            for at, counts in (("here", queue.lengths), ("elsewhere", queue.elsewhere)):
                for index, number in enumerate(counts):
                    family.add_metric([name, str(index), at], number)
        return family

    def _waits(self) -> Metric:
        family = HistogramMetricFamily(
            "azurefold_gateway_queue_wait_seconds",
            "From a request's arrival in the queue to its endpoint",
            labels=["service", "class"],
        )
        for name, service in self._state.services.items():
            for index, counts in service.admission.seen.waits.items():
                add_counts(family, [name, str(int(index))], counts)
        return family

    def _refusals(self) -> Metric:
        family = CounterMetricFamily(
            "azurefold_gateway_class_refusals",
            "Requests that got no endpoint, by priority class and reason",
            labels=["service", "class", "reason"],
        )
        for name, service in self._state.services.items():
            for key, number in service.admission.class_refusals.items():
                index, reason = key
                family.add_metric([name, str(index), reason], number)
        return family

    def _retries(self) -> Metric:
        family = CounterMetricFamily(
            "azurefold_gateway_retries",
            "Further attempts that were made, or denied for want of budget",
            labels=["service", "result"],
        )
        for name, service in self._state.services.items():
            for result, number in service.admission.seen.retries.items():
                family.add_metric([name, result], number)
        return family

    def _retry_budget(self) -> Metric:
        family = GaugeMetricFamily(
            "azurefold_gateway_retry_budget",
            "Further attempts that the budget would pay for now",
            labels=["service"],
        )
        now = self._state.clock.now()
        for name, service in self._state.services.items():
            family.add_metric([name], service.admission.retries.retries_left(now))
        return family

    def _ignored_hints(self) -> Metric:
        family = CounterMetricFamily(
            "azurefold_gateway_ignored_hints",
            "Requests whose length hint was ignored",
            labels=["service", "why"],
        )
        for name, service in self._state.services.items():
            for why, number in service.ignored_hints.items():
                family.add_metric([name, why], number)
        return family


def _counter(
    name: str, text: str, label: str, counts: Counter[tuple[str, str]]
) -> Metric:
    family = CounterMetricFamily(
        f"azurefold_gateway_{name}", text, labels=["service", label]
    )
    for labels, number in counts.items():
        family.add_metric(labels, number)
    return family


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"azurefold_gateway_{name}", text, value=value)


def gateway_registry(state: GatewayState) -> CollectorRegistry:
    """Return the registry of one gateway's metrics."""
    registry = CollectorRegistry()
    timings = state.timings
    for histogram in (
        timings.first_events,
        timings.event_gaps,
        timings.requests,
        timings.estimate_ratios,
    ):
        registry.register(histogram)
    registry.register(_GatewayCollector(state))
    return registry
