"""What a control process counts."""

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge

from azurefold.control.configuration import ConfigurationLoop
from azurefold.control.membership import MembershipLoop

__all__ = ["ControlMetrics", "new_control_metrics"]


@dataclass(slots=True)
class ControlMetrics:
    """Counters of one control process."""

    registry: CollectorRegistry
    rejected: Counter
    not_sent: Counter

    def show(
        self, configuration: ConfigurationLoop, membership: MembershipLoop
    ) -> None:
        """Show the state of both loops as gauges."""
        self._gauge(
            "azurefold_control_revision",
            "Revision of the configuration in force",
            lambda: configuration.revision,
        )
        self._gauge(
            "azurefold_control_alarms",
            "Alarms on the configuration since the start",
            lambda: len(configuration.follower.alarms),
        )
        self._gauge(
            "azurefold_control_endpoints",
            "Endpoints that are there",
            lambda: len(membership.endpoints()),
        )
        self._gauge(
            "azurefold_control_live_controls",
            "Control processes of this data centre that are there",
            lambda: len(membership.live_controls()),
        )

    def _gauge(self, name: str, text: str, read: object) -> None:
        Gauge(name, text, registry=self.registry).set_function(read)


def new_control_metrics() -> ControlMetrics:
    """Return a control process's metrics in a registry of their own."""
    registry = CollectorRegistry()
    return ControlMetrics(
        registry=registry,
        rejected=Counter(
            "azurefold_control_rejected",
            "Datagrams and calls refused for their seal",
            ["reason"],
            registry=registry,
        ),
        not_sent=Counter(
            "azurefold_control_not_sent",
            "Datagrams that could not be sent",
            ["reason"],
            registry=registry,
        ),
    )
