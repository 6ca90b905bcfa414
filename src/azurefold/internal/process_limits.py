"""What a process may use of its machine, and how much of that is for callers."""

import os
import resource
from dataclasses import dataclass

from azurefold.core.callers.memory import (
    OWN_BYTES,
    MemoryBudget,
    new_memory_budget,
)
from azurefold.internal.caller_connections import OpenConnections

__all__ = ["GRPC_OWN_BYTES", "ProcessLimits", "new_process_limits"]

GRPC_OWN_BYTES = 96 * 1_048_576
"""For a program itself that loads gRPC."""

_FILES = 200
"""Descriptors for logs, libraries and the event loop."""

_CALLERS_SHARE = 0.4
"""Of the sockets. Each request may need a second one, to an endpoint."""

_IDLE_LINKS_SHARE = 0.1
_ADMIN_SHARE = 0.025
_MOST_ADMIN = 64
_LEAST_SOCKETS = 40


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Bounds of one process.

    Parameters
    ----------
    budget : MemoryBudget
        Of what is held for callers.
    sockets : int
        Sockets that the process may have open.
    """

    budget: MemoryBudget
    sockets: int

    def caller_connections(self, name: str) -> OpenConnections:
        """Return the connections of the server for callers.

        They give way where the budget is used up.
        """
        limit = int(self.sockets * _CALLERS_SHARE)
        connections = OpenConnections(self.budget, limit, name)
        self.budget.make_room = connections.make_room
        return connections

    def admin_connections(self, name: str) -> OpenConnections:
        """Return the connections of one port of health checks or metrics.

        They take nothing of the budget, so that callers cannot keep them out.
        """
        limit = max(2, min(_MOST_ADMIN, int(self.sockets * _ADMIN_SHARE)))
        return OpenConnections(self.budget, limit, name, is_charged=False)

    @property
    def rpc_connections(self) -> int:
        """Connections that other processes of the system may have open."""
        return int(self.sockets * _CALLERS_SHARE)

    @property
    def idle_links(self) -> int:
        """Connections to endpoints that are kept for later requests."""
        return int(self.sockets * _IDLE_LINKS_SHARE)


def new_process_limits(
    memory_bytes: int = 0, descriptors: int = 0, own_bytes: int = OWN_BYTES
) -> ProcessLimits:
    """Return the limits of a process.

    Parameters
    ----------
    memory_bytes : int, default=0
        Of the machine, or of the slot on it; 0 for all memory there is.
    descriptors : int, default=0
        0 for as many as the system allows; never more than that.
    own_bytes : int
        What the program needs for itself.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY or 0 < descriptors < allowed:
        allowed = descriptors or _machine_descriptors()
    return ProcessLimits(
        new_memory_budget(memory_bytes or _machine_bytes(), own_bytes),
        max(_LEAST_SOCKETS, allowed - _FILES),
    )


def _machine_bytes() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def _machine_descriptors() -> int:
    return os.sysconf("SC_OPEN_MAX")
