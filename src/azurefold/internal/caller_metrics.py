"""What the limits on callers hold and do, for the metrics of all binaries."""

from collections.abc import Iterator, Sequence

from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from azurefold.core.callers.memory import MemoryBudget
from azurefold.internal.caller_connections import OpenConnections

__all__ = ["CallerLimitsCollector"]


class CallerLimitsCollector(Collector):
    """Reads the budget of a process and the connections of its servers."""

    def __init__(
        self, budget: MemoryBudget, servers: Sequence[OpenConnections]
    ) -> None:
        self._budget = budget
        self._servers = servers

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics as the library's registry wants them."""
        budget = self._budget
        memory = GaugeMetricFamily(
            "azurefold_caller_memory_bytes",
            "Held for callers, the most so far, and what may be held",
            labels=["kind"],
        )
        memory.add_metric(["held"], budget.held)
        memory.add_metric(["most_held"], budget.most_held)
        memory.add_metric(["limit"], budget.limit)
        yield memory
        yield CounterMetricFamily(
            "azurefold_caller_memory_refusals",
            "Times that nothing more could be held for a caller",
            value=budget.refused,
        )
        connections = GaugeMetricFamily(
            "azurefold_caller_connections",
            "Connections open, the most so far, and how many may be",
            labels=["server", "kind"],
        )
        actions = CounterMetricFamily(
            "azurefold_caller_limit_actions",
            "Connections and requests that a limit refused or closed",
            labels=["server", "action", "why"],
        )
        for server in self._servers:
            connections.add_metric([server.name, "open"], len(server))
            connections.add_metric([server.name, "most_open"], server.most_open)
            connections.add_metric([server.name, "limit"], server.limit)
            for (action, why), number in server.events.items():
                actions.add_metric([server.name, action, why], number)
        yield connections
        yield actions
