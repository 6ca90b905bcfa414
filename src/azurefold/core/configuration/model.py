"""The configuration as the processes use it, once it has been validated."""

from dataclasses import dataclass, field
from enum import StrEnum

from azurefold.core.clock import Millis

__all__ = [
    "Balance",
    "BookingHours",
    "Configuration",
    "Group",
    "Limits",
    "Objectives",
    "Organisation",
    "Priority",
    "Service",
    "ServiceKind",
]


class ServiceKind(StrEnum):
    """What stands behind a service's endpoints."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(StrEnum):
    """Class of a service's requests, the more urgent one first."""

    CONFIRMATION = "confirmation"
    DRAFT = "draft"


@dataclass(frozen=True, slots=True)
class Objectives:
    """What a service promises its callers.

    Parameters
    ----------
    first_token_ms : int
        Limit for the first token, or for the answer of a plain service.
    between_tokens_ms : int
        Limit for the time between two tokens.
    target_share : float
        Share of requests that must keep the limits, in (0, 1).
    """

    first_token_ms: Millis = 1_100
    between_tokens_ms: Millis = 70
    target_share: float = 0.95


@dataclass(frozen=True, slots=True)
class Limits:
    """What a service bears.

    Parameters
    ----------
    timeout_ms : int
        Longest time for one request.
    max_queue : int
        Most requests waiting at one entry.
    concurrency : int
        Most requests under way at one endpoint.
    """

    timeout_ms: Millis = 30_000
    max_queue: int = 256
    concurrency: int = 32


@dataclass(frozen=True, slots=True)
class BookingHours:
    """A window of each day in which moving experts is dearer.

    Parameters
    ----------
    start_minute, end_minute : int
        Minutes since midnight UTC; an end before the start passes midnight.
    move_factor : float
        What ``move_weight`` is multiplied by in the window.
    """

    start_minute: int
    end_minute: int
    move_factor: float


@dataclass(frozen=True, slots=True)
class Balance:
    """How even load is weighed against the cost of moving experts.

    Parameters
    ----------
    skew_weight, move_weight : float
        Weights of the slowest rank's excess and of moves.
    booking_hours : tuple of BookingHours
        Windows in which moves are dearer.
    """

    skew_weight: float = 1.0
    move_weight: float = 1.0
    booking_hours: tuple[BookingHours, ...] = ()


@dataclass(frozen=True, slots=True)
class Group:
    """A lock-step group of ranks.

    Parameters
    ----------
    name : str
        Unique in the whole configuration.
    endpoints : tuple of str, shape (n_ranks,)
        The endpoint of each rank.
    """

    name: str
    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A service that requests are routed to."""

    name: str
    kind: ServiceKind
    data_centres: tuple[str, ...]
    endpoints: tuple[str, ...]
    groups: tuple[Group, ...] = ()
    model: str = ""
    priority: Priority = Priority.DRAFT
    depends_on: tuple[str, ...] = ()
    is_idempotent: bool = True
    objectives: Objectives = Objectives()
    limits: Limits = Limits()
    balance: Balance = Balance()


@dataclass(frozen=True, slots=True)
class Organisation:
    """A caller's organisation.

    Parameters
    ----------
    name : str
        Its name.
    share : float
        Weight in the fair share within a priority class.
    requests_per_second, tokens_per_second : float or None
        Rate limits over all entries; ``None`` means no limit.
    api_key_sha256 : str
        Hash of its key in hexadecimal digits; empty if it needs none.
    """

    name: str
    share: float = 1.0
    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    api_key_sha256: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything operators have accepted, by name."""

    services: dict[str, Service] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)

    def find_service(self, endpoint: str) -> Service | None:
        """Return the service that ``endpoint`` belongs to."""
        for service in self.services.values():
            if endpoint in service.endpoints:
                return service
        return None
