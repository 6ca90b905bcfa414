"""The operators' configuration as the platform's store holds it."""

import logging
from dataclasses import replace

import msgspec

from azurefold.border.decoding import (
    Count,
    MillisecondsField,
    json_decoder,
    unreadable_as,
)
from azurefold.core.routes.model import (
    AnswerKind,
    CallerLimits,
    Destination,
    Engine,
    KeyHolder,
    Route,
    RoutedService,
    RoutingConfiguration,
)
from azurefold.internal.logs import log_event

__all__ = [
    "KEY",
    "TABLE",
    "BadConfigurationError",
    "ConfigurationDecoder",
    "decode_configuration",
]

TABLE = "op"
"""The table in which operators write."""

KEY = "config"
"""The row of the newest configuration, always whole."""

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_LEAST_URGENT = 9
_LONGEST_COLD_START_S = 3_600
_MOST_COLD_PER_S = 1e6
"""What names more was not meant; 1e308 seconds are infinite as milliseconds."""

_MOST_SHOWN = 10
_LONGEST_SHOWN = 80
"""Values in one log line, and characters of each."""

_MOST = {"ColdStartS": _LONGEST_COLD_START_S, "ColdPerS": _MOST_COLD_PER_S}


class BadConfigurationError(ValueError):
    """A configuration of a form that this version does not know."""


class _Split(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    weight: float = msgspec.field(name="Weight", default=1.0)


class _Route(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    host: str = msgspec.field(name="Hostname")
    prefix: str = msgspec.field(name="Prefix")
    kind: AnswerKind = msgspec.field(name="RouteKind")
    timeout_ms: MillisecondsField = msgspec.field(name="TimeoutMs")
    objective_ms: MillisecondsField = msgspec.field(name="SloMs", default=0)
    priority: int = msgspec.field(name="Priority", default=0)
    # Either one service or a split over several, never both.
    service: str | None = msgspec.field(name="Service", default=None)
    split: list[_Split] = msgspec.field(name="Split", default_factory=list)
    max_attempts: Count = msgspec.field(name="MaxAttempts", default=1)
    public: bool = msgspec.field(name="Public", default=False)
    resumable: bool = msgspec.field(name="Resumable", default=False)
    # A pause between events, although its name speaks of tokens: one event
    # holds several.
    event_gap_ms: MillisecondsField = msgspec.field(name="TbtTargetMs", default=0)


class _Engine(msgspec.Struct):
    slots: Count = msgspec.field(name="Slots")
    stride: Count = msgspec.field(name="Stride", default=1)
    step_ms: MillisecondsField = 0.0
    layer_sets: Count = msgspec.field(name="Sets", default=0)
    experts: Count = msgspec.field(name="Experts", default=0)
    places: Count = msgspec.field(name="Placements", default=0)
    # Not places that are free: experts of one set that may be new to a rank
    # in one change.
    loads_per_change: Count = msgspec.field(name="Spare", default=0)
    expert_mb: float = msgspec.field(name="ExpertSizeMb", default=0.0)
    link_mbps: float = msgspec.field(name="LinkMbps", default=0.0)
    form_ms: MillisecondsField = 0.0
    memory_tokens: float = msgspec.field(name="KvCapacity", default=0)


class _Service(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    max_connections: Count = msgspec.field(name="MaxConns", default=64)
    engine: _Engine | None = msgspec.field(name="Engine", default=None)
    # Of any type: a wrong one must not hold up all of a configuration.
    cold_start_s: object = msgspec.field(name="ColdStartS", default=0.0)
    cold_per_s: object = msgspec.field(name="ColdPerS", default=0.0)


class _Limits(msgspec.Struct):
    max_header_bytes: Count = msgspec.field(name="MaxHeaderBytes", default=16_384)
    max_body_bytes: Count = msgspec.field(name="MaxBodyBytes", default=4_194_304)
    header_timeout_ms: MillisecondsField = msgspec.field(
        name="HeaderTimeoutMs", default=3_000
    )
    idle_timeout_ms: MillisecondsField = msgspec.field(
        name="IdleTimeoutMs", default=15_000
    )


class _Tenant(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    keys: list[str] = msgspec.field(name="ApiKeys", default_factory=list)
    priority: int | None = msgspec.field(name="Priority", default=None)


class _Configuration(msgspec.Struct):
    version: Count = msgspec.field(name="Version")
    routes: list[msgspec.Raw] = msgspec.field(name="Routes", default_factory=list)
    services: list[_Service] = msgspec.field(name="Services", default_factory=list)
    limits: _Limits = msgspec.field(name="Limits", default_factory=_Limits)
    tenants: list[_Tenant] | None = msgspec.field(name="Tenants", default=None)


_decode = json_decoder(_Configuration)
_decode_route = json_decoder(_Route)


class ConfigurationDecoder:
    """Decodes configurations that follow one another, of which little changes.

    Each comes whole. What goes wrong if all of it is decoded each time: no event of any
    stream goes out meanwhile. At a thousand routes that is longer than what a pass
    leaves of the pause that callers are promised, and shows as streams that are late
    at the gateways that read configurations, and at no other. So routes whose text is
    that of the last time are taken over.

    Priorities outside 0 to 9 are taken for the nearest of these. For values on cold
    endpoints that are no numbers within bounds, those hold that the service had before,
    or the defaults. Both are logged once, not each time the same configuration is read.
    """

    def __init__(self) -> None:
        self._routes: dict[bytes, Route] = {}
        self._services: dict[str, RoutedService] = {}
        self._invalid: list[str] = []
        self._logged: list[str] = []

    def decode(self, data: bytes) -> RoutingConfiguration:
        """Decode a configuration.

        Raises
        ------
        BadConfigurationError
            If it is not of the known form.
        """
        self._invalid = []
        with unreadable_as(BadConfigurationError):
            return self._decoded(_decode(data))

    def _decoded(self, read: _Configuration) -> RoutingConfiguration:
        routes = self._decode_routes(read.routes)
        services = {each.name: self._service(each) for each in read.services}
        configuration = RoutingConfiguration(
            version=read.version,
            routes=tuple(map(self._with_valid_priority, routes.values())),
            services=services,
            key_holders=self._key_holders(read.tenants or []),
            is_key_required=bool(read.tenants),
            limits=_limits(read.limits),
        )
        self._routes, self._services = routes, services
        self._log_invalid(read.version)
        return configuration

    def _decode_routes(self, texts: list[msgspec.Raw]) -> dict[bytes, Route]:
        decoded = {}
        for text in map(bytes, texts):
            known = self._routes.get(text)
            decoded[text] = known or _route(_decode_route(text))
        return decoded

    def _with_valid_priority(self, route: Route) -> Route:
        priority = self._priority(route.name, route.priority)
        return (
            route if priority == route.priority else replace(route, priority=priority)
        )

    def _key_holders(self, tenants: list[_Tenant]) -> dict[str, KeyHolder]:
        holders = {}
        for tenant in tenants:
            told = tenant.priority
            priority = None if told is None else self._priority(tenant.name, told)
            holder = KeyHolder(tenant.name, priority)
            holders |= dict.fromkeys(tenant.keys, holder)
        return holders

    def _priority(self, name: str, told: int) -> int:
        if not 0 <= told <= _LEAST_URGENT:
            self._note_invalid(name, "Priority", told)
        return max(0, min(_LEAST_URGENT, told))

    def _service(self, read: _Service) -> RoutedService:
        before = self._services.get(read.name, RoutedService(read.name, 0))
        start_s = self._number(read, "ColdStartS", read.cold_start_s)
        per_s = self._number(read, "ColdPerS", read.cold_per_s)
        return RoutedService(
            name=read.name,
            max_connections=read.max_connections,
            engine=None if read.engine is None else _engine(read.engine),
            cold_start_ms=(
                before.cold_start_ms if start_s is None else round(start_s * _SECOND_MS)
            ),
            cold_requests_per_s=before.cold_requests_per_s if per_s is None else per_s,
        )

    def _number(self, read: _Service, name: str, told: object) -> float | None:
        """Return a number within its bounds; None for what is none, which is noted."""
        is_number = isinstance(told, int | float) and not isinstance(told, bool)
        if is_number and 0 <= told <= _MOST[name]:
            return float(told)
        self._note_invalid(read.name, name, told)
        return None

    def _note_invalid(self, owner: str, name: str, told: object) -> None:
        self._invalid.append(f"{owner}.{name}={told!r}"[:_LONGEST_SHOWN])

    def _log_invalid(self, version: int) -> None:
        if self._invalid and self._invalid != self._logged:
            log_event(
                _log,
                "configuration_values_invalid",
                logging.ERROR,
                version=version,
                number=len(self._invalid),
                values="; ".join(self._invalid[:_MOST_SHOWN]),
                used="the nearest priority, the service's values before",
            )
        self._logged = self._invalid


def decode_configuration(data: bytes) -> RoutingConfiguration:
    """Decode one configuration by itself.

    Raises
    ------
    BadConfigurationError
        If it is not of the known form.
    """
    return ConfigurationDecoder().decode(data)


def _route(read: _Route) -> Route:
    split = tuple(Destination(each.service, each.weight) for each in read.split)
    single = (Destination(read.service or ""),)
    return Route(
        name=read.name,
        host=read.host,
        prefix=read.prefix,
        kind=read.kind,
        destinations=split or single,
        timeout_ms=int(read.timeout_ms),
        objective_ms=int(read.objective_ms),
        event_gap_ms=int(read.event_gap_ms),
        priority=read.priority,
        max_attempts=read.max_attempts,
        is_public=read.public,
        is_resumable=read.resumable,
    )


def _engine(engine: _Engine) -> Engine:
    return Engine(
        slots=engine.slots,
        steps_per_pass=engine.stride,
        step_ms=engine.step_ms,
        layer_sets=engine.layer_sets,
        experts=engine.experts,
        expert_slots_per_rank=engine.places,
        max_loads_per_change=engine.loads_per_change,
        expert_mb=engine.expert_mb,
        link_mbps=engine.link_mbps,
        form_ms=int(engine.form_ms),
        memory_tokens=max(0, int(engine.memory_tokens)),
    )


def _limits(read: _Limits) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=read.max_header_bytes,
        max_body_bytes=read.max_body_bytes,
        header_timeout_ms=int(read.header_timeout_ms),
        idle_timeout_ms=int(read.idle_timeout_ms),
    )
