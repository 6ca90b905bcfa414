"""What an entry's interfaces work with."""

from dataclasses import dataclass

from azurefold.core.clock import Clock, Millis
from azurefold.entry.agents import Agents
from azurefold.entry.claims import ClaimWriter
from azurefold.entry.metrics import EntryMetrics
from azurefold.entry.organisations import Organisations
from azurefold.entry.services import Services

__all__ = ["EntryLimits", "EntryState"]


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """What a caller may send.

    Parameters
    ----------
    max_body_bytes : int
    body_timeout_ms : int
        A body that takes longer is refused, however slowly it drips.
    """

    max_body_bytes: int
    body_timeout_ms: Millis


@dataclass(slots=True)
class EntryState:
    """What the callers' interface works with."""

    services: Services
    organisations: Organisations
    agents: Agents
    claims: ClaimWriter
    metrics: EntryMetrics
    clock: Clock
    wall: Clock
    limits: EntryLimits
    draining: bool = False
    in_flight: int = 0
