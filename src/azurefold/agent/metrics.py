"""What an agent counts."""

from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge
from prometheus_client.metrics_core import (
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from azurefold.agent.runner import Runner
from azurefold.internal.families import counter_family

__all__ = ["AgentMetrics", "new_agent_metrics"]


@dataclass(slots=True)
class AgentMetrics:
    """Counters of one agent."""

    registry: CollectorRegistry
    rejected: Counter
    running: Gauge
    leaving: Gauge


class _AttemptsCollector(Collector):
    """What became of attempts, read from the runner when it is asked for."""

    def __init__(self, runner: Runner) -> None:
        self._runner = runner

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics as the library's registry wants them."""
        seen = self._runner.seen
        yield counter_family(
            "azurefold_agent_attempts", "Dispatches", "result", seen.attempts
        )
        yield counter_family(
            "azurefold_agent_ended", "Attempts that have ended", "phase", seen.ended
        )
        yield counter_family(
            "azurefold_agent_freed",
            "Answers given up before their time",
            "why",
            {"memory": seen.freed},
        )
        streams = {"resumed": seen.resumes, "cancelled": seen.cancelled}
        yield counter_family(
            "azurefold_agent_streams", "Orders about engine streams", "order", streams
        )
        channels = GaugeMetricFamily(
            "azurefold_agent_channels", "Entries that follow attempts on a channel"
        )
        channels.add_metric([], len(self._runner.channels))
        yield channels


def new_agent_metrics(runner: Runner) -> AgentMetrics:
    """Return an agent's metrics in a registry of their own."""
    registry = CollectorRegistry()
    metrics = AgentMetrics(
        registry=registry,
        rejected=Counter(
            "azurefold_agent_rejected",
            "Requests and orders refused for their signature",
            ["reason"],
            registry=registry,
        ),
        running=Gauge(
            "azurefold_agent_running", "Attempts in flight", registry=registry
        ),
        leaving=Gauge(
            "azurefold_agent_leaving", "1 once new work is refused", registry=registry
        ),
    )
    registry.register(_AttemptsCollector(runner))
    metrics.running.set_function(lambda: runner.ledger.running_count)
    metrics.leaving.set_function(lambda: float(runner.ledger.is_leaving))
    return metrics
