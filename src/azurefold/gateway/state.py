"""What one gateway process holds."""

import logging
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from gevent import Greenlet
from gevent.event import Event

from azurefold.core.admission.connection_spread import ConnectionSpread
from azurefold.core.admission.queue import DEFAULT_CLASS_FLOOR
from azurefold.core.attempts.crashes import CrashTracker
from azurefold.core.attempts.crashing_parts import PartTracker
from azurefold.core.attempts.part_trials import PartTrials
from azurefold.core.clock import Clock, Millis
from azurefold.core.membership.evacuations import Evacuations
from azurefold.core.membership.freshness import TableFreshness
from azurefold.core.membership.registry import EndpointEntry, EndpointRegistry
from azurefold.core.membership.standstill import StandstillMonitor
from azurefold.core.membership.store_clock import StoreClock
from azurefold.core.membership.table_refresh import (
    PollSlot,
    RefreshTimes,
    refresh_times,
)
from azurefold.core.routes.model import RoutedService, RoutingConfiguration
from azurefold.core.routes.table import RouteTable, build_route_table
from azurefold.core.routing.cells import Cell
from azurefold.core.routing.cold_endpoints import ColdPolicy, ColdSign
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.quota_sharers import QuotaSharers
from azurefold.core.routing.quotas import QuotaReport
from azurefold.core.routing.rank_groups import GroupStatus
from azurefold.core.routing.retries import RetryAllowance, RetryBudget, RetryPolicy
from azurefold.gateway.endpoints.connections import EndpointLinks
from azurefold.gateway.endpoints.passed_on import PassedOnReader
from azurefold.gateway.service_state import GatewayService, new_gateway_service
from azurefold.gateway.settings import GatewaySettings
from azurefold.gateway.timings import Timings
from azurefold.internal.logs import log_event
from azurefold.internal.process_limits import ProcessLimits, new_process_limits

__all__ = ["FINAL_ANSWERS_MS", "GatewayState", "new_gateway_state"]

_log = logging.getLogger("azurefold.gateway")

_USUAL_NODES = 6
"""Nodes that are taken to be there while none has been heard: each user has six to
nine."""

_JOINED_HEARD_MS: Millis = 2_000
"""Nodes that join tell the others twice a second; three messages may be lost."""


_CURRENT_SHARE = 0.75
"""Of the time within which a confirmed configuration has to be in force: the rest is
for answers that were under way for long when the store's time was taken from them."""

_STARTING_MS: Millis = 5_000
"""After a start, for which a gateway with an older configuration than the others lets
them serve: by then what a store's return took back has been written again."""

_ACCEPT_AFTER_STOP_MS: Millis = 2_500
"""After the order to stop: the balancer in front needs two failed checks, a
second apart, before it sends no more."""

FINAL_ANSWERS_MS: Millis = 250
"""Before the end of a stop, to write the errors of requests that are unanswered."""

_STOP_MARGIN_MS: Millis = 400
"""Before the platform kills the process, to end what is left by ourselves."""

_MEGABYTE = 1_048_576
_SECOND_MS = 1_000
_ENDPOINTS_WAIT_MS: Millis = 50
_ENDPOINTS_WAITS = 10
"""Together half a second: a store that answers does so within some 300 ms when it is
slow. Another gateway's statement may confirm the list between two answers."""
_START_BEATS = 2
"""Heartbeats within which a process that has just started tells how long it is cold."""

_CALLERS_GONE_MS: Millis = 10_000
"""A gateway with a caller or two gets no request for seconds now and then, and each
time that quotas are dealt to others those of some endpoints rest for four seconds."""


@dataclass(slots=True)
class GatewayState:
    """Configuration, endpoints, and the requests in flight.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    draw : random.Random
    registry : EndpointRegistry
    links : EndpointLinks
    services : dict of str to GatewayService
    configuration : RoutingConfiguration or None
        The newest, whose routes and keys are used even where a service failed to take
        it in; None until the first one was read.
    routes : RouteTable
    draining : bool
        Whether the process has been told to stop.
    drain_began : int
        When it was told.
    stops_at : int
        When the process ends, once it has been told to stop.
    unanswered : set of Greenlet
        Those of requests whose callers have nothing of an answer yet.
    in_flight : int
        Requests read and not yet answered.
    unwritten : int
        Requests whose answers are there and not yet written.
    answers : Counter of (str, str)
        By service and result.
    streams : Counter of (str, str)
        Endpoints' streams by service and by what ends their bodies.
    broken_replies : Counter of (str, str)
        Endpoints' answers that were broken, by service and reason.
    answers_passed_on : Counter of str
        Answers that were not kept until they were whole, by service.
    passed_on : set of PassedOnReader
        Callers of such answers at present.
    slow_readers_cut_off : int
        Of these, those that were cut off as other requests waited.
    limits : ProcessLimits
        Of memory and descriptors.
    timings : Timings
        Of answers, for the metrics.
    nodes : int
        Gateways, this one included.
    cell : Cell
        The gateways whose loads are known here.
    retry_part : RetryAllowance
        Of the retries that all gateways may make beside a share of the requests.
    crashes : CrashTracker
        Endpoint crashes by request, including those reported by other gateways.
    crashing_parts : PartTracker
        The same by shared part of prompts.
    part_trials : PartTrials
        Of prompts with parts that may crash endpoints.
    evacuations : Evacuations
        Data centres whose endpoints get no new requests.
    configuration_freshness, endpoints_freshness : TableFreshness
        What is in force here of the store's two tables, and as of when.
    store_time : StoreClock
    standstill : StandstillMonitor
        Whether this process stood still for so long that endpoints may have left.
    endpoints_heard : Event
        Set by each answer of the store on endpoints.
    turn : PollSlot
        This gateway's place among those that tell each other what they know.
    is_cut_off : bool
        Whether this gateway reaches neither store nor peers nor any group.
    unreadable_entries : int
        Rows that named no endpoint to use, as often as they were written.
    failed_reloads : int
        Settings files that were not taken in when they changed.
    oversized_messages : int
        Messages to other gateways from which something was left out to fit.
    demand_changed : Event
        Set when a request has got an endpoint, or waits for one, which the other
        gateways of the cell do not know of yet.
    is_grantor : bool
        Whether this gateway issues permits for cold endpoints.
    permits_wanted : Event
        Set when a request waits for a service whose endpoints can be cold.
    store_returned : Event
        Set when the store has come back from an older copy: rows of this process may be
        gone.
    store_returns : int
        How often it has.
    spread : ConnectionSpread
        Which new connections of callers are accepted.
    lateness : int
        Milliseconds by which this process's loops run late.
    coordinator_stalls : Counter of str
        How often this gateway gave its coordination up as a loop of it made no
        progress, by reason.
    class_floor : float
        Guaranteed share of the tokens for each less urgent class that waits.
    uses_size_hints : bool
        Whether the work of a request is estimated from its hint.
    """

    settings: GatewaySettings
    clock: Clock
    draw: random.Random
    links: EndpointLinks
    registry: EndpointRegistry = field(default_factory=EndpointRegistry)
    services: dict[str, GatewayService] = field(default_factory=dict)
    configuration: RoutingConfiguration | None = None
    routes: RouteTable = field(default_factory=lambda: build_route_table(()))
    draining: bool = False
    drain_began: Millis = 0
    stops_at: Millis = 0
    unanswered: set[Greenlet] = field(default_factory=set)
    in_flight: int = 0
    unwritten: int = 0
    answers: Counter[tuple[str, str]] = field(default_factory=Counter)
    streams: Counter[tuple[str, str]] = field(default_factory=Counter)
    broken_replies: Counter[tuple[str, str]] = field(default_factory=Counter)
    answers_passed_on: Counter[str] = field(default_factory=Counter)
    passed_on: set[PassedOnReader] = field(default_factory=set)
    slow_readers_cut_off: int = 0
    limits: ProcessLimits = field(kw_only=True)
    timings: Timings = field(default_factory=Timings)
    nodes: int = _USUAL_NODES
    cell: Cell = field(default_factory=Cell)
    retry_part: RetryAllowance = field(kw_only=True)
    crashes: CrashTracker = field(default_factory=CrashTracker)
    crashing_parts: PartTracker = field(default_factory=PartTracker)
    part_trials: PartTrials = field(default_factory=PartTrials)
    evacuations: Evacuations = field(default_factory=Evacuations)
    configuration_freshness: TableFreshness = field(default_factory=TableFreshness)
    endpoints_freshness: TableFreshness = field(default_factory=TableFreshness)
    store_time: StoreClock = field(default_factory=StoreClock)
    standstill: StandstillMonitor = field(default_factory=StandstillMonitor)
    endpoints_heard: Event = field(default_factory=Event)
    turn: PollSlot = field(default_factory=PollSlot)
    is_cut_off: bool = False
    unreadable_entries: int = 0
    failed_reloads: int = 0
    oversized_messages: int = 0
    demand_changed: Event = field(default_factory=Event)
    is_grantor: bool = False
    permits_wanted: Event = field(default_factory=Event)
    store_returned: Event = field(default_factory=Event)
    store_returns: int = 0
    spread: ConnectionSpread = field(default_factory=ConnectionSpread)
    lateness: Millis = 0
    coordinator_stalls: Counter = field(default_factory=Counter)
    class_floor: float = DEFAULT_CLASS_FLOOR
    uses_size_hints: bool = False
    _version: int = 0
    _version_at_start: int = 0
    _requested_at: Millis | None = None
    _evacuated: frozenset[str] = frozenset()
    _logged_evacuated: frozenset[str] = frozenset()
    _is_doubted: bool = True
    _started_at: Millis = field(init=False)

    def __post_init__(self) -> None:
        self._started_at = self.clock.now()

    @property
    def version(self) -> int:
        """Of the last configuration that all services took in; 0 before the first."""
        return self._version

    @property
    def pending(self) -> RoutingConfiguration | None:
        """The configuration that some services failed to take in; usually None."""
        newest = self.configuration
        is_pending = newest is not None and newest.version != self._version
        return newest if is_pending else None

    @property
    def is_ready(self) -> bool:
        """Whether new requests should be sent here."""
        is_usable = self.configuration is not None and self.registry.is_loaded
        if self._is_starting and self._is_outdated:
            return False
        return is_usable and not self.is_cut_off and not self.draining

    @property
    def _is_starting(self) -> bool:
        return self.clock.now() - self._started_at < _STARTING_MS

    @property
    def _is_outdated(self) -> bool:
        """Whether the others had a newer configuration when this gateway started.

        The store gives an older one after its return from a copy. Configurations that
        come later are waited for by their age alone.
        """
        return self._version < self._version_at_start

    @property
    def renewal_times(self) -> RefreshTimes:
        """How old what is known of the store's tables may grow."""
        bounds = [self.settings.apply_ms, self.settings.drain_ms]
        if self.settings.evacuate_ms:
            bounds.append(self.settings.evacuate_ms)
        return refresh_times(min(bounds))

    @property
    def store_now(self) -> Millis | None:
        """The store's time; None before its first answer."""
        return self.store_time.at(self.clock.now())

    @property
    def configuration_age_ms(self) -> Millis | None:
        """For how long the configuration may have changed unnoticed."""
        return self.configuration_freshness.age(self.store_now)

    @property
    def endpoints_age_ms(self) -> Millis | None:
        """For how long endpoints may have changed unnoticed."""
        return self.endpoints_freshness.age(self.store_now)

    @property
    def has_outdated_endpoints(self) -> bool:
        """Whether endpoints may have left unnoticed while this process stood still."""
        return (
            not self.standstill.is_running(self.clock.now()) and self.check_standstill()
        )

    def check_standstill(self) -> bool:
        """Return whether the endpoint list has to be renewed before it is used."""
        before = self.standstill.is_outdated
        age, bound = self.endpoints_age_ms, self.settings.drain_ms
        is_outdated = self.standstill.check(self.clock.now(), age, bound)
        if is_outdated != before:
            event = "endpoints_outdated" if is_outdated else "endpoints_renewed"
            log_event(_log, event, logging.WARNING, age_ms=age, bound_ms=bound)
        return is_outdated

    def await_endpoints(self) -> bool:
        """Wait for a short time for a newer endpoint list; return whether it came."""
        for _ in range(_ENDPOINTS_WAITS):
            self.endpoints_heard.clear()
            self.endpoints_heard.wait(_ENDPOINTS_WAIT_MS / _SECOND_MS)
            if not self.has_outdated_endpoints:
                return True
        return False

    def on_endpoints_lost(self) -> None:
        """Go on with the known endpoints: the store does not answer."""
        self.registry.on_store_lost()
        if self.standstill.is_outdated:
            log_event(_log, "endpoints_not_renewed", age_ms=self.endpoints_age_ms)
        self.standstill.release()

    @property
    def node_names(self) -> frozenset[str]:
        """All gateways of the site that are known, this one included."""
        return frozenset({self.settings.name}).union(*self.cell.cells)

    @property
    def endpoints_known_at(self) -> Millis:
        """When the endpoints were last known in full; now if that isn't known."""
        return self.clock.now() - (self.endpoints_age_ms or 0)

    @property
    def is_current(self) -> bool:
        """Whether a route or key that is not known here is in force nowhere."""
        age = self.configuration_age_ms
        if age is None or self._is_doubted or self._is_outdated:
            return False
        return age <= _CURRENT_SHARE * self.settings.apply_ms

    @property
    def has_callers(self) -> bool:
        """Whether there have been requests lately."""
        if self._requested_at is None:
            return False
        return self.clock.now() - self._requested_at < _CALLERS_GONE_MS

    @property
    def is_waiting(self) -> bool:
        """Whether requests wait for a place at an endpoint."""
        return any(service.admission.waiting for service in self.services.values())

    @property
    def waiting_by_class(self) -> dict[str, tuple[int, ...]]:
        """Waiting requests by class, of each service with three or more classes."""
        return {
            name: service.admission.queue.lengths
            for name, service in self.services.items()
            if service.admission.is_classed
        }

    @property
    def turned_away(self) -> int:
        """Requests refused in the last second because quotas are used up here."""
        now = self.clock.now()
        services = self.services.values()
        return sum(service.admission.turned_away.at(now) for service in services)

    @property
    def services_with_cold(self) -> list[GatewayService]:
        """Services of the configuration whose endpoints can be cold."""
        present = self.configuration.services if self.configuration else ()
        return [
            service
            for name, service in self.services.items()
            if service.cold_policy.is_enabled and name in present
        ]

    def begin_drain(self) -> None:
        """Refuse new requests that the stop may cut off from now on."""
        self.draining = True
        self.drain_began = self.clock.now()
        # A reload does not move the moment at which the platform kills the process.
        grace = self.settings.stop_grace_ms
        self.stops_at = self.drain_began + grace - _STOP_MARGIN_MS

    def accepts_request(self, deadline: Millis, *, is_safe_to_rerun: bool) -> bool:
        """Whether a new request should get its answer before the process ends.

        One that must not run twice is accepted only if its deadline is before the stop.
        Others usually take much less than they may, and their callers can come back.
        """
        if not self.draining:
            return True
        now = self.clock.now()
        if now - self.drain_began > _ACCEPT_AFTER_STOP_MS:
            return False
        if is_safe_to_rerun:
            return 2 * (self.stops_at - now) >= self.stops_at - self.drain_began
        return deadline <= self.stops_at - FINAL_ANSWERS_MS

    def note_request(self) -> None:
        """Note that a caller has sent a request."""
        self._requested_at = self.clock.now()

    def confirm_configuration(self) -> None:
        """Note that the store has answered a call for the configuration."""
        self._is_doubted = False

    def note_peer_version(self, version: int) -> None:
        """Note which configuration another gateway has in force."""
        if self._is_starting:
            self._version_at_start = max(self._version_at_start, version)

    def doubt_configuration(self) -> None:
        """Note that the store may have something newer and cannot tell."""
        self._is_doubted = True

    def note_store_return(self) -> None:
        """Note that the store has come back from an older copy."""
        self.store_returns += 1
        self.evacuations.on_store_restored()
        self.store_returned.set()

    def apply(self, configuration: RoutingConfiguration) -> None:
        """Put a newer configuration in force, or the pending one.

        Raises
        ------
        ExceptionGroup
            If some services failed to take it in; all others have it. Its version is
            not in force then, and it has to be applied again.
        """
        self.configuration = configuration
        self.routes = build_route_table(configuration.routes)
        failures = []
        for view in configuration.services.values():
            try:
                self._configure(view)
            except Exception as error:  # noqa: BLE001
                error.add_note(f"service {view.name}")
                failures.append(error)
        routes = configuration.route_names_by_service()
        for name, service in self.services.items():
            service.promised_gap_ms = configuration.promised_gap_ms(name)
            service.set_classes(configuration.priority_classes(name))
            service.estimator.set_routes(routes.get(name, ()))
        try:
            self.spread_endpoints()
        except ExceptionGroup as group:
            failures.append(group)
        if failures:
            raise ExceptionGroup(
                f"services that did not take version {configuration.version} in",
                failures,
            )
        self._version = configuration.version

    def note_crash(
        self, identity: int, parts: Iterable[int], entry: EndpointEntry
    ) -> None:
        """Note that an endpoint crashed while running a request, and report it.

        Parameters
        ----------
        identity : int
            Identity of the request.
        parts : iterable of int
            Parts of its prompt that may be the cause.
        entry : EndpointEntry
        """
        incarnation = endpoint_hash(f"{entry.name}@{entry.started_at_ms}")
        now = self.clock.now()
        self.crashes.record_crash(identity, incarnation, now)
        self.crashing_parts.record_crash(parts, incarnation, now)
        self.demand_changed.set()

    def endpoint_restarted(self, name: str) -> None:
        """Forget what is known of an endpoint's former start.

        What goes wrong without: its connections are of a process that is gone, which
        shows only when a request on one gets no answer, and its requests in flight
        wait for that until their deadlines.
        """
        self.links.sever(name)
        now = self.clock.now()
        entry = self.registry.entries.get(name)
        for service in self.services.values():
            service.admission.pool.forget(name, now)
            if entry is not None and not entry.cold_left_ms and name in service.entries:
                # The entry was written before the first requests came.
                service.record_cold_sign(name, ColdSign.RESTARTED, now)

    def spread_endpoints(self) -> None:
        """Hand the present endpoints to their services.

        Raises
        ------
        ExceptionGroup
            If some services failed to take them in; all others have them.
        """
        now = self.clock.now()
        by_service = {name: [] for name in self.services}
        for entry in self.registry.entries.values():
            if entry.service in by_service:
                by_service[entry.service].append(entry)
        failures = []
        for name, entries in by_service.items():
            try:
                self.services[name].set_endpoints(
                    entries, self.cell, now, self.evacuations.data_centres
                )
            except Exception as error:  # noqa: BLE001
                error.add_note(f"service {name}")
                failures.append(error)
        if failures:
            raise ExceptionGroup("services that did not take endpoints in", failures)

    def put_evacuations_in_force(self) -> None:
        """Put evacuations in force that have begun or ended since the last call.

        Raises
        ------
        ExceptionGroup
            If some services failed to take them in; all others have them. The next
            call tries again.
        """
        evacuated = self.evacuations.data_centres
        if evacuated == self._evacuated:
            return
        for name in sorted(evacuated ^ self._logged_evacuated):
            self._log_evacuation(name)
        self._logged_evacuated = evacuated
        for service in self.services.values():
            service.end_evacuation(self._evacuated - evacuated, self.clock.now())
        self.spread_endpoints()
        self._evacuated = evacuated

    def tick_evacuations(self) -> None:
        """End the evacuations that were not written again after a restore."""
        self.evacuations.tick(self.clock.now())
        self.put_evacuations_in_force()

    def _log_evacuation(self, name: str) -> None:
        row = self.evacuations.rows.get(name)
        entries = self.registry.entries.values()
        log_event(
            _log,
            "evacuation_ended" if row is None else "evacuation_in_force",
            logging.WARNING,
            data_centre=name,
            row=row,
            age_ms=self.configuration_age_ms,
            endpoints=sum(entry.data_centre == name for entry in entries),
        )
        known = self.settings.data_centres
        if row is not None and known and name not in known:
            log_event(
                _log,
                "evacuation_unknown",
                logging.ERROR,
                data_centre=name,
                known=",".join(sorted(known)),
            )

    def endpoints_told_departed(self, marks: tuple[int, ...], by: str) -> None:
        """Use no endpoint that another gateway knows to have left."""
        registry = self.registry
        names = [
            name
            for name in (*registry.entries, *registry.withheld)
            if endpoint_hash(name) in marks
        ]
        taken = registry.withhold_reported(names, self.clock.now())
        if taken:
            told = ",".join(sorted(taken))
            log_event(_log, "endpoints_withheld", endpoints=told, told_by=by)
            self.spread_endpoints()

    def group_told(self, news: GroupStatus) -> None:
        """Take in what the coordinator tells of a group."""
        for name, service in self.services.items():
            if endpoint_hash(name) == news.service:
                service.group_told(news, self.clock.now())

    def quota_words(self) -> dict[int, QuotaReport]:
        """Return what the other gateways should be told of quotas, by endpoint."""
        now = self.clock.now()
        return {
            endpoint_hash(endpoint): word
            for service in self.services.values()
            for endpoint, word in service.admission.pool.quota_reports(now).items()
        }

    def quota_told(self, endpoint: int, word: QuotaReport, by: str) -> None:
        """Take in what another gateway was told of the quota of a marked endpoint."""
        for service in self.services.values():
            service.quota_told(endpoint, word, by, self.clock.now())

    def owes_quotas_to_all(self, told_at: Millis) -> bool:
        """Whether other cells need to hear of a quota that was named here."""
        return self.cell.count > 1 and any(
            service.admission.pool.has_own_quota_report_since(told_at)
            for service in self.services.values()
            if not service.is_divided
        )

    def share_quotas(self, nodes: frozenset[str]) -> None:
        """Take in the gateways of the cell that can use endpoints' quotas."""
        for service in self.services.values():
            sharers = QuotaSharers(
                self.settings.name,
                nodes,
                self.cell.number,
                self.cell.count,
                service.is_divided,
            )
            service.share_quotas(sharers, self.clock.now())

    def set_cell(self, cell: Cell) -> None:
        """Take in another division of the gateways."""
        if cell != self.cell:
            self.cell = cell
            self.spread_endpoints()

    def set_nodes(self, nodes: int) -> None:
        """Take in how many gateways there are, this one included."""
        if nodes != self.nodes:
            log_event(_log, "nodes_counted", nodes=nodes, before=self.nodes)
        self.nodes = nodes
        self._set_retry_part()

    def take_settings(self, settings: GatewaySettings) -> None:
        """Take in settings that have changed."""
        self.settings = settings
        self._set_retry_part()
        for service in self.services.values():
            service.admission.retries.set_policy(_retry_policy(settings))
            self._set_cold_policy(service, service.view)

    def _set_retry_part(self) -> None:
        part = self.settings.retry_slack / self.nodes
        self.retry_part.set_retries(part, self.clock.now())

    def _configure(self, view) -> None:
        known = self.services.get(view.name)
        if known is not None:
            known.configure(view)
            self._set_cold_policy(known, view)
            return
        service = new_gateway_service(
            view,
            self.settings.data_centre,
            self.clock,
            self.draw.getrandbits(32),
            RetryBudget(_retry_policy(self.settings), self.retry_part),
            self.class_floor,
            uses_size_hints=self.uses_size_hints,
        )
        self._set_cold_policy(service, view)
        self.services[view.name] = service

    def _set_cold_policy(self, service: GatewayService, view: RoutedService) -> None:
        settings = self.settings
        rate = view.cold_requests_per_s
        allowed = rate * settings.cold_overage + settings.cold_slack
        policy = ColdPolicy(
            requests_per_s=min(rate, allowed),
            sign_ms=view.cold_start_ms + _START_BEATS * settings.heartbeat_ms,
        )
        service.set_cold_policy(policy)
        service.admission.on_demand = (
            self._note_demand if policy.is_enabled else self.demand_changed.set
        )

    def _note_demand(self) -> None:
        self.demand_changed.set()
        self.permits_wanted.set()


def new_gateway_state(
    settings: GatewaySettings,
    clock: Clock,
    class_floor: float = DEFAULT_CLASS_FLOOR,
    *,
    uses_size_hints: bool = False,
) -> GatewayState:
    """Return the state of a process that has just started."""
    # Of a process that may have been here before nobody knows what it has spent.
    first = settings.retry_slack / _USUAL_NODES if settings.is_first_start else 0.0
    settling = settings.retry_window_ms + _JOINED_HEARD_MS
    limits = new_process_limits(settings.memory_mb * _MEGABYTE, settings.descriptors)
    return GatewayState(
        settings,
        clock,
        random.Random(),
        EndpointLinks(clock, limits.idle_links),
        limits=limits,
        retry_part=RetryAllowance(first, settling, clock.now()),
        class_floor=class_floor,
        uses_size_hints=uses_size_hints,
    )


def _retry_policy(settings: GatewaySettings) -> RetryPolicy:
    return RetryPolicy(settings.retry_share, settings.retry_window_ms)
