"""Gateways before one group of ranks, whose passes grow with the requests they run."""

import random
from collections import deque
from dataclasses import dataclass, field

import gevent
from tests.gateway.quota_world import SERVICE, QuotaSite

from azurefold.core.admission.messages import Priority
from azurefold.core.attempts.outcome import Failure
from azurefold.core.routes.model import Engine, RoutedService, RoutingConfiguration
from azurefold.core.routing.messages import Answered
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.rank_groups import GroupStatus, Standing
from azurefold.entry.admission import Ticket
from azurefold.gateway.callers.connections import accepts_connection

SLOTS = 3
STEP_MS, STEPS_PER_PASS = 5.85, 8
FIXED_MS = STEP_MS * STEPS_PER_PASS
REQUEST_MS, PREFILL_MS = 17.0, 15.0
EVENTS_PER_STREAM = 17
OBJECTIVE_MS, PROMISED_GAP_MS, LONGEST_WAIT_MS = 508, 150, 1_200
STATUS_EVERY_MS, REPORT_AGE_MS = 500, 500
ORGANISATIONS = 40
WORLD_STEP_MS = 5

ENGINE = Engine(
    slots=SLOTS,
    steps_per_pass=STEPS_PER_PASS,
    step_ms=STEP_MS,
    layer_sets=10,
    experts=384,
    expert_slots_per_rank=3,
)


@dataclass(eq=False)
class Stream:
    """One caller's request, and what the caller sees of its answer."""

    number: str
    gateway: str
    asked_at: int
    endpoint: str = ""
    sent_at: int | None = None
    first_at: int | None = None
    last_at: int = 0
    events: int = 0
    longest_gap: int = 0
    is_refused: bool = False

    @property
    def is_on_time(self):
        if self.first_at is None or self.first_at - self.asked_at > OBJECTIVE_MS:
            return False
        return self.longest_gap <= PROMISED_GAP_MS


@dataclass
class GroupSite(QuotaSite):
    """A site whose endpoints are the ranks of one group.

    Parameters
    ----------
    streams_per_second : float
        Of all callers.
    callers : int
        Each of them sends to one gateway.
    skew : float
        Work of the busiest rank relative to the mean.
    preferred : str
        Gateway that gets most new connections; empty if none does.
    preferred_share : float
        Share of the new connections that it gets.
    """

    per_second: float = 0.0
    step_ms: int = WORLD_STEP_MS
    streams_per_second: float = 100.0
    callers: int = 100
    skew: float = 1.25
    preferred: str = ""
    preferred_share: float = 0.0
    streams: list[Stream] = field(default_factory=list)

    def __post_init__(self):
        self._at_rank = {}
        self._in_pass = []
        self._pass_ends = 0
        self._running = deque(maxlen=REPORT_AGE_MS // WORLD_STEP_MS)
        self._next_status = 0
        super().__post_init__()
        self._callers = random.Random(self.seed)
        self._entries = [self._callers.choice(self.names) for _ in range(self.callers)]

    @property
    def mean_running(self):
        """Requests that a rank runs, on average."""
        running = sum(min(SLOTS, len(each)) for each in self._at_rank.values())
        return running / len(self.ranks)

    def run_group(self, ms):
        """Let callers ask, the group compute and gateways talk for some time."""
        end = self.time.at + ms
        while self.time.at < end:
            self._compute()
            self._call()
            self.run(self.step_ms)

    def stand_still(self, ms):
        """Have the pass under way last for longer, as while the group is held."""
        self._pass_ends += ms
        self.run_group(ms)

    def share_refused(self, since, until):
        """Return the share of the streams asked for in a time that were refused."""
        asked = [s for s in self.streams if since <= s.asked_at < until]
        return sum(stream.is_refused for stream in asked) / len(asked)

    def share_on_time(self, since=0):
        """Return the share of the streams that were on time, of those asked for."""
        settled = self.time.at - LONGEST_WAIT_MS - 2 * EVENTS_PER_STREAM * FIXED_MS
        asked = [s for s in self.streams if since <= s.asked_at < settled]
        return sum(stream.is_on_time for stream in asked) / len(asked)

    def _compute(self):
        now = self.time.at
        if now >= self._pass_ends:
            for stream in self._in_pass:
                self._send_event(stream, now)
            self._begin_pass(now)
        self._running.append(self.mean_running)
        if now >= self._next_status:
            self._next_status = now + STATUS_EVERY_MS
            self._tell_status()

    def _begin_pass(self, now):
        ranks = self._at_rank.values()
        self._in_pass = [stream for streams in ranks for stream in streams[:SLOTS]]
        work_ms = REQUEST_MS * self.mean_running * (0.15 + 0.85 * self.skew)
        if any(stream.events == 0 for stream in self._in_pass):
            work_ms += PREFILL_MS
        self._pass_ends = now + round(FIXED_MS + work_ms)

    def _send_event(self, stream, now):
        service = self._service_of(stream.gateway)
        service.group_served(stream.endpoint, stream.sent_at, now)
        stream.events += 1
        if stream.first_at is None:
            stream.first_at = now
            service.first_event(now - stream.sent_at)
        else:
            gap = now - stream.last_at
            stream.longest_gap = max(stream.longest_gap, gap)
            service.event_gap(stream.endpoint, gap, now)
        stream.last_at = now
        if stream.events == EVENTS_PER_STREAM:
            self._at_rank[stream.endpoint].remove(stream)
            self._state_of(stream.gateway).in_flight -= 1
            service.admission.finished(stream.endpoint, stream.number, Answered(136))

    def _tell_status(self):
        status = GroupStatus(
            endpoint_hash(SERVICE),
            endpoint_hash("group"),
            1,
            Standing.RUNS,
            tuple(map(endpoint_hash, self.ranks)),
            self._running[0],
        )
        for gateway in self.by_name.values():
            gateway.exchange.state.group_told(status)

    def _call(self):
        expected = self.streams_per_second * self.step_ms / 1_000
        count = int(expected + self._callers.random())
        for _ in range(count):
            name = self._choose_gateway()
            stream = Stream(f"s{len(self.streams)}", name, self.time.at)
            self.streams.append(stream)
            gevent.spawn(self._ask_for, stream)

    def _choose_gateway(self):
        if self.preferred and self._callers.random() < self.preferred_share:
            gateway = self.by_name[self.preferred].exchange
            if accepts_connection(gateway.state, gateway.loads):
                return self.preferred
        return self._callers.choice(self._entries)

    def _ask_for(self, stream):
        self._state_of(stream.gateway).in_flight += 1
        self._ask_service_for(stream)
        if stream.is_refused:
            self._state_of(stream.gateway).in_flight -= 1

    def _ask_service_for(self, stream):
        service = self._service_of(stream.gateway)
        service.check_stall(self.time.at)
        on_time_by = stream.asked_at + OBJECTIVE_MS - round(service.usual_first_ms)
        organisation = f"o{self._callers.randrange(ORGANISATIONS)}"
        ticket = Ticket(
            stream.number,
            organisation,
            Priority.DRAFT,
            1,
            stream.asked_at + LONGEST_WAIT_MS,
            latest_on_time_start=on_time_by,
        )
        chosen = service.admission.acquire(ticket)
        if isinstance(chosen, Failure):
            self.refused += 1
            stream.is_refused = True
            return
        service.request_sent(self.time.at)
        stream.endpoint, stream.sent_at = chosen.endpoint, self.time.at
        self._at_rank.setdefault(chosen.endpoint, []).append(stream)

    def _state_of(self, name):
        return self.by_name[name].exchange.state

    def _service_of(self, name):
        return self._state_of(name).services[SERVICE]

    def _start(self, name):
        gateway = super()._start(name)
        state = gateway.exchange.state
        view = RoutedService(SERVICE, 1_000, ENGINE)
        state.apply(RoutingConfiguration(2, (), {SERVICE: view}))
        state.services[SERVICE].promised_gap_ms = PROMISED_GAP_MS
        return gateway
