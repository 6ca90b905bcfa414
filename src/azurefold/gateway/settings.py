"""What a gateway process is told when it starts."""

from dataclasses import dataclass, fields

from azurefold.core.clock import Millis

__all__ = ["GatewaySettings", "changed_settings"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses and bounds of one process.

    Parameters
    ----------
    name, data_centre : str
        Of the VM.
    callers : str
        ``"ip:port"`` on which callers connect.
    admin : str
        ``"ip:port"`` of health checks.
    peers_port : int
        UDP port on which gateways tell each other their loads; 0 for none.
    store : str
        ``"ip:port"`` of the store.
    stop_grace_ms : int
        From SIGTERM until the process is killed.
    stall_ms : int
        How long a group waits for a rank that does not answer.
    heartbeat_ms : int
        Between two heartbeats of an endpoint.
    retry_share : float
        Retries that all nodes together may make for each request.
    retry_slack : float
        Retries besides, in one window over all nodes.
    retry_window_ms : int
        The window.
    fenced_orders : bool
        Whether engines refuse orders of an older fence.
    is_first_start : bool
        Whether the whole system starts for the first time, so that no process of it
        has been there before.
    link_mbps : float
        Megabits a second of the VM's own link; 0 if it is not told.
    drain_ms : int
        Within which an endpoint that leaves has to get no new work.
    apply_ms : int
        Within which a confirmed configuration has to be in force.
    evacuate_ms : int
        Within which an evacuation of a data centre has to be in force; 0 if the
        deployment names no such bound.
    cold_overage, cold_slack : float
        In any second a cold endpoint may get ``cold_overage`` times its service's
        ``cold_requests_per_s``, and ``cold_slack`` requests more, from all gateways.
    memory_mb, descriptors : int
        Of the VM; 0 if they are not told.
    data_centres : frozenset of str
        All data centres of the deployment; empty if they are not told.
    invalid : tuple of str
        Values that were told and cannot be used, for which the defaults hold.
    """

    name: str
    data_centre: str
    callers: str
    admin: str
    peers_port: int
    store: str
    stop_grace_ms: Millis
    stall_ms: Millis
    heartbeat_ms: Millis
    retry_share: float
    retry_slack: float
    retry_window_ms: Millis
    fenced_orders: bool
    is_first_start: bool = False
    link_mbps: float = 0.0
    drain_ms: Millis = 2_000
    apply_ms: Millis = 2_000
    evacuate_ms: Millis = 0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    memory_mb: int = 0
    descriptors: int = 0
    data_centres: frozenset[str] = frozenset()
    invalid: tuple[str, ...] = ()

    @property
    def ip(self) -> str:
        """Address of this VM."""
        return self.callers.rpartition(":")[0]


def changed_settings(old: GatewaySettings, new: GatewaySettings) -> list[str]:
    """Return the names of the settings that differ."""
    names = [field.name for field in fields(GatewaySettings)]
    return [name for name in names if getattr(old, name) != getattr(new, name)]
