"""What a gateway knows of one service."""

import logging
import random
from collections import Counter
from collections.abc import Set
from dataclasses import dataclass, field, replace

from azurefold.core.admission.classes import (
    LOWEST_PRIORITY,
    PriorityClasses,
    clamp_priority,
)
from azurefold.core.admission.event_size import EventSize
from azurefold.core.admission.queue import DEFAULT_CLASS_FLOOR, FairQueue, QueuePolicy
from azurefold.core.admission.stall import StallMonitor
from azurefold.core.admission.work_estimate import HintFault, WorkEstimator
from azurefold.core.attempts.events import EventGapMonitor
from azurefold.core.clock import Clock, Millis
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import RoutedService
from azurefold.core.routing.cells import Cell
from azurefold.core.routing.cold_endpoints import ColdPolicy, ColdSign
from azurefold.core.routing.endpoint import ExchangedLoads
from azurefold.core.routing.pass_limit import (
    CLASSED_GAP_SHARE,
    STEADY_GAP_SHARE,
    PassLimit,
)
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool import Pool
from azurefold.core.routing.quota_sharers import QuotaSharers
from azurefold.core.routing.quotas import QuotaReport
from azurefold.core.routing.rank_groups import GroupStatus, RankGroups
from azurefold.core.routing.retries import RetryBudget
from azurefold.core.routing.work_left import EngineSize
from azurefold.gateway.callers.calls import Call
from azurefold.gateway.class_admission import ClassAdmission
from azurefold.gateway.cold_news import ColdNews
from azurefold.gateway.endpoint_notices import EndpointNotices
from azurefold.gateway.quota_news import QuotaNews
from azurefold.internal.logs import log_event
from azurefold.platform.headers import AnswerHead

__all__ = ["GatewayService", "new_gateway_service"]

_log = logging.getLogger("azurefold.gateway")

_QUEUE = QueuePolicy(max_length=256, max_per_organisation=128, newest_first_after=150)
"""An answer's first event has to come within 400 ms, of which the engine takes
up to 250."""

_BEYOND_SLOTS = 1
"""Requests an endpoint may have beyond its slots: one that is there when a
slot falls free saves the way from here, some 3 ms, for each request."""

_OTHER_DATA_CENTRE_MS: Millis = 30
"""A nearer endpoint is taken when it has no more requests than one further
away; a request more at a rank costs the next one some 80 ms."""

_LIMIT_LOGGED_EVERY_MS: Millis = 1_000
_HINT_LOGGED_EVERY_MS: Millis = 1_000

_USUAL_FIRST_MS = 150.0
_FIRST_SMOOTHING = 0.05
"""Of the time to a first event: it follows a change of load within some seconds."""


@dataclass(slots=True)
class GatewayService:
    """Admission to one service and its endpoints.

    Parameters
    ----------
    view : RoutedService
        What the configuration says of it.
    data_centre : str
        Of this process.
    admission : ClassAdmission
    entries : dict of str to EndpointEntry
        Its endpoints by name.
    is_divided : bool
        Whether its endpoints are dealt out to cells of gateways.
    event_gap_monitor : EventGapMonitor
        Gaps of its streams through this gateway, as a sign that a map fits no longer.
    groups : RankGroups
        Of its endpoints, where they are ranks.
    promised_gap_ms : int
        Longest time between two events of a stream that is on time; 0 if no route
        promises any.
    usual_first_ms : float
        From sending a request to the first event, or the whole answer.
    classes : PriorityClasses
        Of its requests.
    uses_size_hints : bool
        Whether the work of a request follows its hint; else its maximum counts.
    estimator : WorkEstimator
        Of the work of requests with a hint.
    event_size : EventSize
        Tokens in an event of its streams.
    ignored_hints : Counter of HintFault
        Requests whose hint was ignored, by why.
    """

    view: RoutedService
    data_centre: str
    admission: ClassAdmission
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    is_divided: bool = False
    event_gap_monitor: EventGapMonitor = field(default_factory=EventGapMonitor)
    groups: RankGroups = field(default_factory=RankGroups)
    promised_gap_ms: Millis = 0
    usual_first_ms: float = _USUAL_FIRST_MS
    classes: PriorityClasses = PriorityClasses()
    uses_size_hints: bool = False
    estimator: WorkEstimator = field(default_factory=WorkEstimator)
    event_size: EventSize = field(default_factory=EventSize)
    ignored_hints: Counter[HintFault] = field(default_factory=Counter)
    _hint_logged_at: Millis | None = None
    _dealt_at: dict[str, Millis] = field(default_factory=dict)
    _cell_number: int = 0
    _dealt: dict[str, int] = field(default_factory=dict)
    _limits: dict[int, PassLimit] = field(default_factory=dict)
    _limit_logged_at: dict[int, Millis] = field(default_factory=dict)
    _names: dict[int, str] = field(default_factory=dict)
    _stall_monitor: StallMonitor = field(default_factory=StallMonitor)
    _is_stalled: bool = False
    _are_all_down: bool = False
    _rank_ratios: dict[int, float] = field(default_factory=dict)
    _quota_news: QuotaNews = field(init=False)
    _endpoint_notices: EndpointNotices = field(init=False)
    _cold_news: ColdNews = field(init=False)

    def __post_init__(self) -> None:
        self._quota_news = QuotaNews(self.view.name, self.admission.pool)
        self._endpoint_notices = EndpointNotices(self.view.name, self.admission.pool)
        self._cold_news = ColdNews(self.view.name, self.admission.pool)

    @property
    def is_group(self) -> bool:
        """Whether its endpoints are ranks that run in lock-step."""
        engine = self.view.engine
        return engine is not None and engine.is_expert_parallel

    def stream_ended(self, events: int, max_answer_tokens: int) -> None:
        """Take in the length of a stream that ended whole."""
        self.event_size.observe(events, max_answer_tokens)
        self._set_engine_size()

    def note_ignored_hint(self, fault: HintFault, now: Millis) -> bool:
        """Count a hint that is ignored; return whether to log it, once a second."""
        self.ignored_hints[fault] += 1
        logged_at = self._hint_logged_at
        if logged_at is not None and now - logged_at < _HINT_LOGGED_EVERY_MS:
            return False
        self._hint_logged_at = now
        return True

    def dealt_at(self, endpoint: str) -> Millis:
        """Return since when this node's cell sends to an endpoint."""
        return self._dealt_at.get(endpoint, 0)

    @property
    def cells_visited(self) -> set[int]:
        """Other cells, by number, whose endpoints run requests of this node."""
        if not self.is_divided:
            return set()
        homes = map(self._dealt.get, self.admission.pool.loads)
        return {home for home in homes if home not in (None, self._cell_number)}

    @property
    def seems_to_run(self) -> bool:
        """Whether any group is neither down nor gives cause for doubt."""
        groups = self.groups
        return any(
            not groups.is_down(name) and not groups.is_suspected(name)
            for name in self.entries
        )

    def forms_in(self, now: Millis) -> Millis | None:
        """Return until when a group that forms anew will run; None if none does."""
        since = self.groups.forming_since(self._receiving)
        if since is None:
            return None
        return max(0, since + self.view.engine.form_ms - now)

    def group_told(self, news: GroupStatus, now: Millis) -> None:
        """Take in what the coordinator tells of a group."""
        if self.groups.update_status(news, now):
            self._pause_groups(f"coordinator_{news.standing.name.lower()}")
        limit = self._limits.get(news.group)
        if limit is not None and news.running is not None:
            mean = news.running * self._ranks_per_receiving_rank(news.group)
            limit.record_group_mean(mean, now)

    def rank_refused(self, endpoint: str, at_fault: str, now: Millis) -> bool:
        """Note that a rank refused; return whether that is put down to its group.

        Parameters
        ----------
        endpoint : str
        at_fault : str
            Name or address of the rank that is the cause; empty if none was named.
        now : int
        """
        named = (at_fault, *self._names_at(at_fault))
        cause = next((name for name in named if name in self.entries), "")
        if at_fault and cause != endpoint:
            if cause:
                self.record_cold_sign(cause, ColdSign.NAMED_BY_RANK, now)
            self.groups.record_refusal(endpoint, cause, now)
        elif not self.admission.pool.is_within_slots(endpoint):
            return False
        elif not self.groups.record_refusal_with_room(endpoint, now):
            self._pause_groups("rank_refused_with_room")
            return True
        self._pause_groups("rank_refused")
        return True

    def group_served(self, endpoint: str, sent_at: Millis, now: Millis) -> None:
        """Note an event of a request that was sent to a rank at ``sent_at``."""
        self._stall_monitor.record_event(now)
        self.check_stall(now)
        if self.groups.record_event(endpoint, sent_at, now):
            self._pause_groups("rank_served")

    def request_sent(self, now: Millis) -> None:
        """Note that a request was sent to an endpoint."""
        self._stall_monitor.record_dispatch(now)

    def check_stall(self, now: Millis) -> None:
        """Refuse no request for its expected wait while the groups stand still."""
        if not self.is_group:
            return
        if not self.admission.pool.in_flight:
            self._stall_monitor.record_idle()
        is_stalled = self._stall_monitor.is_stalled(now)
        if is_stalled == self._is_stalled:
            return
        self._is_stalled = is_stalled
        log_event(
            _log,
            "group_stalled" if is_stalled else "group_moves",
            service=self.view.name,
            in_flight=self.admission.pool.in_flight,
            waiting=self.admission.waiting,
        )
        if is_stalled:
            self.admission.queue.pause(now)
        elif not self.admission.pool.is_unavailable:
            # In an outage no request is in flight either, and the queue stays paused.
            self.admission.resume()

    def first_event(self, taken: Millis) -> None:
        """Take in the time from sending a request to its first event or answer."""
        self.usual_first_ms += _FIRST_SMOOTHING * (taken - self.usual_first_ms)

    def event_gap(self, endpoint: str, gap: Millis, now: Millis) -> None:
        """Take in the time between two events of a stream of an endpoint."""
        self.event_gap_monitor.observe(gap, now)
        if self.is_group and self.promised_gap_ms:
            self._limit_passes(self.groups.group_of(endpoint), gap, now)

    def _limit_passes(self, group: int, gap: Millis, now: Millis) -> None:
        """Let a group have fewer requests while its passes are long."""
        engine = self.view.engine
        fixed = engine.steps_per_pass * engine.step_ms
        limit = self._limits.setdefault(group, PassLimit(fixed))
        is_classed = self.admission.is_classed
        limit.steady_share = CLASSED_GAP_SHARE if is_classed else STEADY_GAP_SHARE
        if not limit.is_due(now):
            return
        pool = self.admission.pool
        ranks = [name for name in pool.endpoints if self.groups.group_of(name) == group]
        if not ranks:
            # All of them are evacuated; the streams there are the last ones.
            return
        limit.observe(gap, pool.mean_running(ranks), now)
        mean = limit.max_requests_per_rank(self.promised_gap_ms, engine.slots, now)
        pool.limit_requests(ranks, mean)
        self._log_limit(group, limit, mean, now)
        if self.admission.waiting:
            self.admission.pump()

    def _log_limit(
        self, group: int, limit: PassLimit, mean: float, now: Millis
    ) -> None:
        logged_at = self._limit_logged_at.get(group)
        if logged_at is not None and now - logged_at < _LIMIT_LOGGED_EVERY_MS:
            return
        self._limit_logged_at[group] = now
        group_mean = limit.group_mean(now)
        log_event(
            _log,
            "requests_limited",
            service=self.view.name,
            group=group,
            pass_ms=f"{limit.pass_ms:.0f}",
            promised_gap_ms=self.promised_gap_ms,
            requests=f"{limit.requests:.2f}",
            limit=f"{mean:.2f}",
            group_requests=None if group_mean is None else f"{group_mean:.2f}",
            slots=self.view.engine.slots,
            room=self.admission.pool.room,
            waiting=self.admission.waiting,
            contenders=self.admission.contenders,
        )

    def lost_reach(self, endpoint: str, now: Millis) -> None:
        """Note that no connection to an endpoint could be made in time.

        Its group is only doubted: it may be this node alone that does not reach the
        rank. Events of the group's other ranks show that it runs.
        """
        self.admission.pool.mark_unreachable(endpoint, now)
        self.record_cold_sign(endpoint, ColdSign.UNREACHABLE, now)
        if self.is_group and self.groups.mark_suspected(endpoint):
            self._pause_groups("rank_out_of_reach")

    def record_backoff(
        self, endpoint: str, request: str, head: AnswerHead, now: Millis
    ) -> None:
        """Apply the backoff that an endpoint's answer requests, if any."""
        if self._endpoint_notices.record_backoff(endpoint, request, head, now):
            self.admission.refuse_unservable()

    def record_leaving(
        self, endpoint: str, request: str, head: AnswerHead, now: Millis
    ) -> None:
        """Exclude the endpoint if its answer announces that it is leaving."""
        self._endpoint_notices.record_leaving(endpoint, request, head, now)

    @property
    def cold_policy(self) -> ColdPolicy:
        """What is known of cold endpoints of this service."""
        return self.admission.pool.cold.policy

    def set_cold_policy(self, policy: ColdPolicy) -> None:
        """Set what is known of cold endpoints of this service."""
        was_enabled = self.cold_policy.is_enabled
        self.admission.pool.cold.configure(policy)
        if policy.is_enabled and not was_enabled:
            # What entries said before was not recorded.
            entries = self.entries.values()
            self._cold_news.read_entries({}, entries, self.admission.clock.now())

    def record_cold_sign(self, endpoint: str, sign: ColdSign, now: Millis) -> None:
        """Treat an endpoint as cold, because its process may have ended."""
        self._cold_news.record_sign(endpoint, sign, now)

    def end_evacuation(self, data_centres: frozenset[str], now: Millis) -> None:
        """Treat the endpoints of data centres as cold that had no traffic."""
        self._cold_news.end_evacuation(self.entries.values(), data_centres, now)

    def record_permits(
        self, asked_at: Millis, permits: dict[int, int], wait_ms: Millis, now: Millis
    ) -> None:
        """Record the answer to an ask for permits, and use them."""
        held = [(self._names.get(mark, ""), number) for mark, number in permits.items()]
        cold = self.admission.pool.cold
        for endpoint in cold.record_grant(asked_at, held, wait_ms, now):
            self.admission.use_permits(endpoint)

    def quota_answered(
        self, endpoint: str, head: AnswerHead, sent_at: Millis, now: Millis
    ) -> None:
        """Take in the quota that an endpoint's own answer names, or names no more."""
        self._quota_news.answered(endpoint, head, sent_at, now)

    def quota_told(self, mark: int, word: QuotaReport, by: str, now: Millis) -> None:
        """Take in what another gateway was told of the quota of a marked endpoint."""
        endpoint = self._names.get(mark)
        if endpoint:
            self._quota_news.told(endpoint, word, by, now)

    def share_quotas(self, sharers: QuotaSharers, now: Millis) -> None:
        """Take in the gateways among which endpoints' quotas are dealt out."""
        self.admission.pool.share_quotas(sharers, now)

    def tick(self) -> None:
        """Look at what time changes; call it a few times a second."""
        self.check_stall(self.admission.clock.now())
        self.admission.tick()
        self._cold_news.tick(self.admission.clock.now())
        if self.admission.pool.cold.names:
            self.admission.refuse_without_permits()
        self._quota_news.log_parts()

    def address_of(self, endpoint: str) -> str:
        """Return an endpoint's address; empty if it is gone."""
        entry = self.entries.get(endpoint)
        return entry.address if entry else ""

    def _names_at(self, address: str) -> list[str]:
        return [name for name, e in self.entries.items() if e.address == address]

    @property
    def _receiving(self) -> Set[str]:
        """Endpoints that are not evacuated."""
        return self.entries.keys() - self.admission.pool.evacuated

    def _ranks_per_receiving_rank(self, group: int) -> float:
        """Return the ratio of a group's ranks to those that are not evacuated.

        The coordinator's mean counts all ranks; the limit applies to those that can
        receive requests.
        """
        if not self.admission.pool.evacuated:
            return 1.0
        ratio = self._rank_ratios.get(group)
        if ratio is None:
            # Over 3,900 endpoints this takes 1.6 ms, and reports come several times a
            # second.
            ranks = {n for n in self.entries if self.groups.group_of(n) == group}
            ratio = len(ranks) / max(1, len(ranks & self._receiving))
            self._rank_ratios[group] = ratio
        return ratio

    def _pause_groups(self, why: str) -> None:
        """Let requests go to ranks whose group is not known to be down."""
        self._rank_ratios.clear()
        paused = frozenset(filter(self.groups.is_down, self.entries))
        pool = self.admission.pool
        pool.set_suspected(frozenset(filter(self.groups.is_suspected, self.entries)))
        are_all_down = bool(self._receiving) and self._receiving <= paused
        if paused == pool.paused and are_all_down == self._are_all_down:
            return
        self._are_all_down = are_all_down
        log_event(
            _log,
            "groups_paused",
            service=self.view.name,
            ranks=len(paused),
            of=len(self.entries),
            why=why,
        )
        pool.set_paused(paused)
        if are_all_down:
            self.admission.pause()
        else:
            self.admission.resume()

    def class_of(self, call: Call) -> int:
        """Return the class of a request."""
        return self.classes.class_of(call.priority, call.route.priority)

    def engine_priority(self, call: Call) -> int:
        """Return the priority of a request at an engine, from 0 to 9."""
        if self.classes.is_extended:
            return min(LOWEST_PRIORITY, self.class_of(call))
        return clamp_priority(call.priority)

    def set_classes(self, classes: PriorityClasses) -> None:
        """Set the priority classes; waiting requests move to the new ones."""
        old, self.classes = self.classes, classes
        if old == classes or not (old.is_extended or classes.is_extended):
            return
        self.admission.set_classes(
            classes.count, lambda index: classes.find_class(old.urgency_of(index))
        )
        log_event(
            _log,
            "priority_classes",
            service=self.view.name,
            classes=classes.count,
            urgencies=",".join(f"{each:02d}" for each in classes.urgencies),
        )

    def configure(self, view: RoutedService) -> None:
        """Take in a newer configuration."""
        self.view = view
        self._set_slots()

    def set_endpoints(
        self,
        entries: list[EndpointEntry],
        cell: Cell,
        now: Millis,
        evacuated: frozenset[str] = frozenset(),
    ) -> None:
        """Take in the present endpoints, of which the cell's get requests.

        Parameters
        ----------
        entries : list of EndpointEntry
        cell : Cell
        now : int
        evacuated : frozenset of str
            Data centres whose endpoints get none. They are not dealt to cells either,
            so that each cell keeps an equal part of the others.
        """
        self._cold_news.read_entries(self.entries, entries, now)
        self.entries = {entry.name: entry for entry in entries}
        self._names = {endpoint_hash(name): name for name in self.entries}
        self._quota_news.forget_all_but(self.entries)
        self._endpoint_notices.forget_all_but(self.entries)
        excluded = frozenset(e.name for e in entries if e.data_centre in evacuated)
        staying = [e.name for e in entries if not e.leaving and e.name not in excluded]
        self.is_divided = cell.should_partition(staying)
        used = self._deal(staying, cell)
        self._dealt_at = {name: self._dealt_at.get(name, now) for name in used}
        pool = self.admission.pool
        pool.set_evacuated(excluded)
        pool.set_endpoints(used, now)
        for entry in entries:
            if entry.name not in used:
                continue
            is_near = entry.data_centre == self.data_centre
            pool.set_distance(entry.name, 0 if is_near else _OTHER_DATA_CENTRE_MS)
        self._set_slots()
        self.groups.retain_ranks(self.entries)
        self._pause_groups("endpoints_changed")
        self.admission.refuse_evacuated()
        self.admission.pump()

    def _deal(self, staying: list[str], cell: Cell) -> frozenset[str]:
        """Return the endpoints that this node's cell sends to."""
        if not self.is_divided:
            return frozenset(staying)
        before = self._dealt if self._cell_number == cell.number else {}
        self._cell_number = cell.number
        self._dealt = cell.assign_endpoints(staying)
        moved = sum(
            before.get(name, home) != home for name, home in self._dealt.items()
        )
        used = frozenset(n for n, home in self._dealt.items() if home == cell.number)
        log_event(
            _log,
            "endpoints_dealt",
            service=self.view.name,
            cell=cell.number,
            of=cell.count,
            nodes=len(cell.nodes),
            endpoints=len(used),
            of_endpoints=len(staying),
            moved=moved,
            visited=len(self.cells_visited),
        )
        return used

    def _set_slots(self) -> None:
        engine = self.view.engine
        listed = max((entry.slots for entry in self.entries.values()), default=1)
        self.admission.pool.set_slots(engine.slots if engine else listed)
        self.event_size.set_steps(engine.steps_per_pass if engine else 1)
        self._set_engine_size()

    def _set_engine_size(self) -> None:
        memory = self.view.engine.memory_tokens if self.view.engine else 0
        size = EngineSize(memory, self.event_size.tokens)
        self.admission.pool.set_engine_size(size)


def new_gateway_service(
    view: RoutedService,
    data_centre: str,
    clock: Clock,
    seed: int,
    retries: RetryBudget,
    class_floor: float = DEFAULT_CLASS_FLOOR,
    *,
    uses_size_hints: bool = False,
) -> GatewayService:
    """Return a service that has no endpoints yet."""
    pool = Pool(PoolPolicy(reserved_share=0.0, sharing=ExchangedLoads(_BEYOND_SLOTS)))
    admission = ClassAdmission(
        clock,
        random.Random(seed),
        pool=pool,
        queue=FairQueue(replace(_QUEUE, class_floor=class_floor)),
        retries=retries,
    )
    return GatewayService(view, data_centre, admission, uses_size_hints=uses_size_hints)
