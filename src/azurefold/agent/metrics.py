"""What an agent counts."""

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge

from azurefold.agent.runner import Runner

__all__ = ["AgentMetrics", "new_agent_metrics"]


@dataclass(slots=True)
class AgentMetrics:
    """Counters of one agent."""

    registry: CollectorRegistry
    rejected: Counter
    running: Gauge
    leaving: Gauge


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
    metrics.running.set_function(lambda: runner.ledger.running)
    metrics.leaving.set_function(lambda: float(runner.ledger.leaving))
    return metrics
