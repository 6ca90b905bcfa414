"""Routes, services and API keys of the active configuration."""

from dataclasses import dataclass, field
from enum import Enum

from azurefold.core.admission.classes import PriorityClasses, new_priority_classes
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
    """Kind of the answers of a route; decides whether a request is safe to rerun."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service to which a route sends requests, with its relative weight."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Destinations and limits of the requests with one host and path prefix.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route, and the host and path prefix of its requests. The prefix
        starts and ends with a slash.
    kind : AnswerKind
        Kind of the answers.
    destinations : tuple of Destination
        At least one.
    timeout_ms : int
        Maximum time until the answer is complete.
    objective_ms : int
        Longest time after which an answer, or the first event of a stream, is on time.
    event_gap_ms : int
        Longest time between two events of a stream that is on time; 0 if the route
        sets no such limit.
    priority : int
        Requests with lower numbers go first; 0 is the highest priority.
    max_attempts : int
        Maximum number of endpoints to which one request is sent.
    is_public : bool
        Whether callers need no API key.
    is_resumable : bool
        Whether a stream can be continued by another endpoint.
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
        """Whether running a request a second time is harmless."""
        match self.kind:
            case AnswerKind.IDEMPOTENT:
                return True
            case AnswerKind.NON_IDEMPOTENT:
                return False
            case AnswerKind.STREAMING:
                return self.is_resumable


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity and timing of the engines of a model service.

    Parameters
    ----------
    slots : int
        Requests that one rank runs concurrently.
    steps_per_pass : int
        Token steps in one pass of a group.
    step_ms : float
        Fixed duration of one token step in milliseconds, independent of the requests.
    layer_sets, experts, expert_slots_per_rank : int
        Sets of layers that share a placement, experts in each set, and experts of
        one set whose weights fit on one rank. 0 if the experts are not distributed
        over the ranks.
    max_loads_per_change : int
        Experts of one set that a rank may load in one map change.
    expert_mb : float
        Size of one expert's weights in megabytes.
    link_mbps : float
        Rate at which a rank loads weights, in megabits per second.
    form_ms : int
        Milliseconds from the return of a replaced rank until its group runs again.
    memory_tokens : int
        Tokens of prompts and answers that one engine holds at once; 0 if not known.
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
    memory_tokens: int = 0

    @property
    def expert_load_ms(self) -> float:
        """Milliseconds that a rank needs to load the weights of one expert."""
        return self.expert_mb * 8_000.0 / self.link_mbps if self.link_mbps else 0.0

    @property
    def is_expert_parallel(self) -> bool:
        """Whether a map distributes the experts over the ranks of a group."""
        return self.layer_sets > 0


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A service and the limits of its endpoints.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one endpoint accepts from all nodes together.
    engine : Engine or None
        None for a plain service.
    cold_start_ms : int
        How long an endpoint is cold after it has started.
    cold_requests_per_s : float
        Requests per second that a cold endpoint tolerates from all nodes together; 0
        if there is no such limit.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    cold_start_ms: Millis = 0
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Maximum size of requests in bytes and timeouts for receiving them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: Millis = 3_000
    idle_timeout_ms: Millis = 15_000


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """The organisation that an API key belongs to.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    priority : int or None
        Overrides the priority of the route unless None.
    """

    organisation: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the complete configuration.

    Parameters
    ----------
    version : int
        Increases with each accepted configuration.
    routes : tuple of Route
        All routes.
    services : dict of str to RoutedService
        Services by name.
    key_holders : dict of str to KeyHolder
        Key holders by API key.
    is_key_required : bool
        Whether requests on routes that are not public need an API key.
    limits : CallerLimits
        Limits on what callers send.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, RoutedService] = field(default_factory=dict)
    key_holders: dict[str, KeyHolder] = field(default_factory=dict)
    is_key_required: bool = False
    limits: CallerLimits = CallerLimits()

    def route_names_by_service(self) -> dict[str, set[str]]:
        """Return the names of the routes that lead to each service."""
        names: dict[str, set[str]] = {}
        for route in self.routes:
            for destination in route.destinations:
                names.setdefault(destination.service, set()).add(route.name)
        return names

    def promised_gap_ms(self, service: str) -> Millis:
        """Return the shortest event gap that the routes of a service promise.

        0 if none of them sets one.
        """
        gaps = [
            route.event_gap_ms
            for route in self._routes_to(service)
            if route.event_gap_ms
        ]
        return min(gaps, default=0)

    def priority_classes(self, service: str) -> PriorityClasses:
        """Return the priority classes of a service."""
        routes = self._routes_to(service)
        holders = {each.priority for each in self.key_holders.values()}
        if not self.is_key_required or any(route.is_public for route in routes):
            holders.add(None)
        return new_priority_classes((route.priority for route in routes), holders)

    def _routes_to(self, service: str) -> list[Route]:
        return [
            route
            for route in self.routes
            if any(each.service == service for each in route.destinations)
        ]
