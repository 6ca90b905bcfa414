"""Routes, services and organisations of a configuration that is in force."""

from dataclasses import dataclass, field
from enum import Enum

from azurefold.core.clock import Millis

__all__ = [
    "CallerLimits",
    "Destination",
    "Engine",
    "KeyHolder",
    "Route",
    "AnswerKind",
    "RoutedService",
    "RoutingConfiguration",
]


class AnswerKind(Enum):
    """What kind of answer a route gives, and whether it may be run twice."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service and its weight among those of one route."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    name, host, prefix : str
        The prefix begins and ends with a slash.
    kind : AnswerKind
    destinations : tuple of Destination
        At least one.
    timeout_ms : int
        Longest time that a caller is kept waiting for the end of an answer.
    objective_ms : int
        Time to the answer, or to a stream's first event, that is on time.
    event_gap_ms : int
        Longest time between two events of a stream that is on time; 0 if the
        route has none.
    priority : int
        0 goes first.
    max_attempts : int
        Endpoints that one request may be sent to.
    is_public : bool
        Whether callers need no key.
    is_resumable : bool
        Whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: AnswerKind
    destinations: tuple[Destination, ...]
    timeout_ms: Millis
    objective_ms: Millis
    event_gap_ms: Millis = 0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_safe_to_rerun(self) -> bool:
        """Whether a second run of a request does no harm."""
        match self.kind:
            case AnswerKind.IDEMPOTENT:
                return True
            case AnswerKind.NON_IDEMPOTENT:
                return False
            case AnswerKind.STREAMING:
                return self.is_resumable


@dataclass(frozen=True, slots=True)
class Engine:
    """What the engines of a model service can do.

    Parameters
    ----------
    slots : int
        Requests that one rank runs at a time.
    steps_per_pass : int
        Token steps in one pass of a group.
    step_ms : float
        Milliseconds that each of them takes whatever the requests.
    layer_sets, experts, expert_slots_per_rank : int
        Sets of layers that share a placement, experts in each, and weights of
        one set that a rank has room for; 0 where experts are not split up.
    max_loads_per_change : int
        Experts of one set that may be new to a rank in one map change.
    expert_mb : float
        Megabytes of one expert's weights.
    link_mbps : float
        Megabits a second at which a rank loads weights.
    form_ms : int
        From a replaced rank's return until its group runs again.
    """

    slots: int
    steps_per_pass: int = 1
    step_ms: float = 0.0
    layer_sets: int = 0
    experts: int = 0
    expert_slots_per_rank: int = 0
    max_loads_per_change: int = 0
    expert_mb: float = 0.0
    link_mbps: float = 0.0
    form_ms: Millis = 0

    @property
    def expert_load_ms(self) -> float:
        """Milliseconds in which a rank loads one expert."""
        return self.expert_mb * 8_000.0 / self.link_mbps if self.link_mbps else 0.0

    @property
    def is_expert_parallel(self) -> bool:
        """Whether ranks of a group share the experts under a map."""
        return self.layer_sets > 0


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A service as its endpoints need to be treated.

    Parameters
    ----------
    name : str
    max_connections : int
        Connections that one endpoint takes from all nodes together.
    engine : Engine or None
        None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, in bytes, and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: Millis = 3_000
    idle_timeout_ms: Millis = 15_000


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """The organisation that a key belongs to.

    Parameters
    ----------
    organisation : str
    priority : int or None
        Goes before that of the route; None leaves the route's.
    """

    organisation: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """A whole configuration under its version.

    Parameters
    ----------
    version : int
        Rises from one accepted configuration to the next.
    routes : tuple of Route
    services : dict of str to RoutedService
    holders : dict of str to KeyHolder
        By key.
    is_key_required : bool
        Whether requests on routes that are not public need a key.
    limits : CallerLimits
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, RoutedService] = field(default_factory=dict)
    key_holders: dict[str, KeyHolder] = field(default_factory=dict)
    is_key_required: bool = False
    limits: CallerLimits = CallerLimits()

    def promised_gap_ms(self, service: str) -> Millis:
        """Return the shortest time between events that a service's routes promise.

        0 where none promises any.
        """
        gaps = [
            route.event_gap_ms
            for route in self.routes
            if route.event_gap_ms
            and service in {each.service for each in route.destinations}
        ]
        return min(gaps, default=0)
