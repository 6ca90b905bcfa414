"""The validated configuration as the processes use it."""

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
    """What a service's endpoints run."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(StrEnum):
    """Priority class of a service's requests, most urgent first."""

    CONFIRMATION = "confirmation"
    DRAFT = "draft"


@dataclass(frozen=True, slots=True)
class Objectives:
    """Latency objectives of a service.

    Parameters
    ----------
    first_token_ms : int
        Time limit for the first token, or for the answer of a plain service.
    between_tokens_ms : int
        Time limit between two tokens.
    target_share : float
        Share of requests that must meet the limits, in (0, 1).
    """

    first_token_ms: Millis = 1_100
    between_tokens_ms: Millis = 70
    target_share: float = 0.95


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests of a service.

    Parameters
    ----------
    timeout_ms : int
        Maximum duration of one request.
    max_queue : int
        Maximum number of requests queued at one entry.
    concurrency : int
        Maximum number of requests in flight at one endpoint.
    """

    timeout_ms: Millis = 30_000
    max_queue: int = 256
    concurrency: int = 32


@dataclass(frozen=True, slots=True)
class BookingHours:
    """A daily window in which moving experts costs more.

    Parameters
    ----------
    start_minute, end_minute : int
        Minutes since midnight UTC. If the end is before the start, the window
        spans midnight.
    move_factor : float
        Factor applied to ``move_weight`` within the window.
    """

    start_minute: int
    end_minute: int
    move_factor: float


@dataclass(frozen=True, slots=True)
class Balance:
    """Weights for balancing load against the cost of moving experts.

    Parameters
    ----------
    skew_weight, move_weight : float
        Weights of the slowest rank's excess load and of moves.
    booking_hours : tuple of BookingHours
        Windows in which moves cost more.
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
        Name, unique in the whole configuration.
    endpoints : tuple of str, shape (n_ranks,)
        Endpoint of each rank, by rank.
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
    """An organisation whose callers send requests.

    Parameters
    ----------
    name : str
        Name of the organisation.
    share : float
        Weight in fair sharing within a priority class.
    requests_per_second, tokens_per_second : float or None
        Rate limits across all entries; ``None`` means no limit.
    api_key_sha256 : str
        Hash of its API key in hexadecimal digits; empty if it needs no key.
    """

    name: str
    share: float = 1.0
    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    api_key_sha256: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The accepted services and organisations, by name."""

    services: dict[str, Service] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)

    def find_service(self, endpoint: str) -> Service | None:
        """Return the service that ``endpoint`` belongs to, or ``None``."""
        for service in self.services.values():
            if endpoint in service.endpoints:
                return service
        return None
