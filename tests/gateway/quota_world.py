"""Gateways on one clock before endpoints that name quotas while they are in need."""

import random
from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

import gevent
from tests.gateway.conftest import settings_of

from azurefold.core.admission.messages import Priority
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import RoutedService, RoutingConfiguration
from azurefold.core.routing.messages import (
    Answered,
    Cancelled,
    Chosen,
)
from azurefold.core.routing.quotas import QuotaReport
from azurefold.entry.admission import Ticket
from azurefold.gateway.callers.connections import accepts_connection
from azurefold.gateway.peers.exchange import Exchange, Peer, _decode, new_exchange
from azurefold.gateway.peers.messages import Coordination
from azurefold.gateway.peers.portions import sent_at
from azurefold.gateway.state import new_gateway_state
from azurefold.platform.headers import AnswerHead
from azurefold_standins.quota_allowance import Need, quota_excesses, share_used

STEP_MS = 20
LOOK_MS = 60
TICK_MS = 240
HEAD_AFTER_MS = 100
ENDS_AFTER_MS = 400
STABLE_MS = 3_000
EXCUSED_MS = 5_000
SERVICE = "drafts"
SLOTS = 6


@dataclass(eq=False)
class Gateway:
    """One process, and what it suffers."""

    name: str
    exchange: Exchange
    started: int
    stands_until: int = -1
    cut_until: int = -1
    excused_until: int = -1
    has_callers: bool = True

    @property
    def pool(self):
        return self.exchange.state.services[SERVICE].admission.pool


@dataclass
class QuotaSite:
    """Gateways, endpoints and the messages between them.

    Parameters
    ----------
    gateways, endpoints : int
    per_second : float
        Requests of each gateway's callers.
    ends_after_ms : int
        That an endpoint takes for a request.
    step_ms : int
        By which time goes on.
    waits_ms : int
        For which requests wait for a place at an endpoint.
    knows_store_time : bool
        Whether the store has answered the gateways.
    preferred : str or None
        Gateway to which a balancer sends most new connections.
    preferred_share : float
        Of the connections; a connection that is declined meets another gateway.
    seed : int
    """

    gateways: int
    endpoints: int
    per_second: float = 2.6
    seed: int = 1
    loss: float = 0.0
    delay_ms: tuple[int, int] = (1, 3)
    ends_after_ms: int = ENDS_AFTER_MS
    step_ms: int = STEP_MS
    waits_ms: int = 0
    knows_store_time: bool = True
    preferred: str | None = None
    preferred_share: float = 0.9
    time: ManualTime = field(default_factory=lambda: ManualTime(at=100_000))
    needs: dict[str, list[Need]] = field(default_factory=dict)
    arrivals: dict[str, list[tuple[int, str]]] = field(default_factory=dict)
    requests_of_ranks: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    asked: int = 0
    by_name: dict[str, Gateway] = field(default_factory=dict)

    def __post_init__(self):
        self._draw = random.Random(self.seed)
        self._events = []
        self._numbers = count(1)
        self.names = [f"gw-{n:03}" for n in range(self.gateways)]
        self.ranks = [f"rank-{n:03}" for n in range(self.endpoints)]
        for name in self.names:
            self.by_name[name] = self._start(name)
        self._peers = [Peer(name, name, 7_000) for name in self.names]
        for gateway in self.by_name.values():
            gateway.exchange.set_peers(self._peers)

    def run(self, ms):
        """Let callers come and gateways talk for ``ms`` milliseconds."""
        end = self.time.at + ms
        while self.time.at < end:
            self.time.at += self.step_ms
            while self._events and self._events[0][0] <= self.time.at:
                heappop(self._events)[2]()
            gevent.sleep(0)
            turn = self.time.at // self.step_ms
            for place, gateway in enumerate(self.by_name.values()):
                if gateway.stands_until > self.time.at:
                    continue
                changed = gateway.exchange.state.demand_changed
                is_look_due = (turn + place) % (LOOK_MS // self.step_ms) == 0
                if is_look_due or changed.is_set():
                    changed.clear()
                    self._look(gateway)
                if (turn + place) % (TICK_MS // self.step_ms) == 0:
                    gateway.exchange.state.services[SERVICE].tick()
                if self._draw.random() < self.per_second * self.step_ms / 1_000:
                    self._ask(gateway)

    def needs_help(self, endpoint, rate):
        """Have an endpoint name a quota, another one, or none."""
        needs = self.needs.setdefault(endpoint, [])
        is_in_need = bool(needs) and needs[-1].end is None
        if rate is None:
            if is_in_need:
                needs[-1].end = self.time.at
        elif is_in_need:
            needs[-1].rates.append((self.time.at, rate))
        else:
            needs.append(Need([(self.time.at, rate)]))

    def restart(self, name):
        """Kill a gateway; its successor knows nothing of it."""
        self.by_name[name] = self._start(name)
        self.by_name[name].exchange.set_peers(self._peers)
        self.by_name[name].excused_until = self.time.at + EXCUSED_MS

    def freeze(self, name, ms):
        gateway = self.by_name[name]
        gateway.stands_until = self.time.at + ms
        gateway.excused_until = gateway.stands_until + EXCUSED_MS

    def cut(self, name, ms):
        gateway = self.by_name[name]
        gateway.cut_until = self.time.at + ms
        gateway.excused_until = gateway.cut_until + EXCUSED_MS

    def list_shrinks(self, name, listed):
        """Show a gateway only some of the others, until messages come."""
        gateway = self.by_name[name]
        gateway.exchange.set_peers(self._peers[:listed])

    def check(self):
        """Check every window of every endpoint in need."""
        for endpoint, needs in self.needs.items():
            for number, need in enumerate(needs):
                since = need.begin + (0 if number else STABLE_MS)
                arrivals = self.arrivals.get(endpoint, [])
                over = list(quota_excesses(need, arrivals, since))
                assert not over, f"{endpoint} got more than its quota: {over[0]}"

    def used(self, endpoint, begin_after=10_000):
        """Return the share of the last need's quota that was used."""
        need = self.needs[endpoint][-1]
        begin = need.begin + begin_after
        return share_used(need, self.arrivals.get(endpoint, []), begin, self.time.at)

    def share_served(self, ms):
        """Run for ``ms`` and return the share of requests that got an endpoint."""
        asked, refused = self.asked, self.refused
        self.run(ms)
        return 1.0 - (self.refused - refused) / (self.asked - asked)

    def rate_of(self, endpoint):
        """Return the quota that an endpoint names now, if any."""
        needs = self.needs.get(endpoint, [])
        if not needs or needs[-1].end is not None:
            return None
        return needs[-1].rates[-1][1]

    def sendto(self, data, address):
        """Deliver a message, unless it is lost, late or cut off."""
        if self._draw.random() < self.loss:
            return
        due = self.time.at + self._draw.randint(*self.delay_ms)
        heappush(
            self._events,
            (due, next(self._numbers), lambda: self._deliver(data, address[0])),
        )

    def list_endpoints(self):
        """Have all gateways see the endpoints that there are now."""
        for gateway in self.by_name.values():
            self._list_endpoints(gateway.exchange.state)

    def remove(self, name):
        """Have a gateway leave once its requests have ended, and all others see it."""
        self.by_name[name].has_callers = False
        self._peers = [peer for peer in self._peers if peer.node != name]
        for gateway in self.by_name.values():
            if gateway.name != name:
                gateway.exchange.set_peers(self._peers)

    def _list_endpoints(self, state):
        entries = [
            EndpointEntry(rank, SERVICE, f"{rank}:1", "dc-a", SLOTS)
            for rank in self.ranks
        ]
        state.registry.replace_all(entries, self.time.at)
        state.spread_endpoints()

    def _start(self, name):
        settings = settings_of(name=name, is_first_start=True)
        state = new_gateway_state(settings, manual_clock(self.time))
        state.draw.seed(f"{self.seed} {name}")
        if self.knows_store_time:
            state.store_time.observe(self.time.at, self.time.at, self.time.at)
        state.apply(
            RoutingConfiguration(1, (), {SERVICE: RoutedService(SERVICE, 64, None)})
        )
        self._list_endpoints(state)

        def on_message(message):
            for beat in message.quotas:
                sent = sent_at(message, self.time.at, state.store_now)
                word = QuotaReport(beat.rate, sent - beat.age)
                state.quota_told(beat.endpoint, word, message.node)

        exchange = new_exchange(state, self.time.at, on_message, Coordination)
        exchange._sock = _Socket(self, name)
        return Gateway(name, exchange, self.time.at)

    def _look(self, gateway):
        gateway.exchange._forget_silent()
        gateway.exchange._share_quotas()
        gateway.exchange.send()

    def _deliver(self, data, name):
        gateway = self.by_name.get(name)
        message = _decode(data)
        sender = self.by_name[message.node]
        if max(gateway.stands_until, gateway.cut_until) > self.time.at:
            return
        if sender.cut_until > self.time.at:
            return
        gateway.exchange._take(message, message.node)

    def _ask(self, gateway):
        if self.preferred and self._draw.random() < self.preferred_share:
            preferred = self.by_name[self.preferred]
            exchange = preferred.exchange
            if accepts_connection(exchange.state, exchange.loads):
                gateway = preferred
        if not gateway.has_callers:
            return
        self.asked += 1
        gateway.exchange.state.note_request()
        admission = gateway.exchange.state.services[SERVICE].admission
        number, now = f"r{next(self._numbers)}", self.time.at
        ticket = Ticket(number, "o1", Priority.DRAFT, 1, now + self.waits_ms)
        if self.waits_ms:
            gevent.spawn(lambda: self._sent(gateway, number, admission.acquire(ticket)))
            return
        self._sent(gateway, number, admission._straight_through(ticket, now))

    def _sent(self, gateway, number, chosen):
        """Note where a request went, and have it answered."""
        if not isinstance(chosen, Chosen):
            self.refused += 1
            return
        endpoint, sent_at = chosen.endpoint, self.time.at
        self.requests_of_ranks[endpoint] += 1
        gateway.exchange.state.in_flight += 1
        if sent_at >= gateway.excused_until:
            self.arrivals.setdefault(endpoint, []).append((sent_at, gateway.name))

        def answer():
            if self.by_name[gateway.name] is not gateway:
                return
            rate = self.rate_of(endpoint)
            head = AnswerHead(200, number, True, False, "", False, (), quota=rate)
            service = gateway.exchange.state.services[SERVICE]
            service.quota_answered(endpoint, head, sent_at, self.time.at)
            if rate is not None:
                told = self.needs[endpoint][-1].told
                told.setdefault(gateway.name, self.time.at)

        def end():
            self.requests_of_ranks[endpoint] -= 1
            gateway.exchange.state.in_flight -= 1
            outcome = Answered() if gateway.cut_until < self.time.at else Cancelled()
            gateway.pool.record_end(endpoint, number, outcome, self.time.at)

        for after, event in ((HEAD_AFTER_MS, answer), (self.ends_after_ms, end)):
            heappush(self._events, (sent_at + after, next(self._numbers), event))


@dataclass
class _Socket:
    site: QuotaSite
    node: str

    def sendto(self, data, address):
        self.site.sendto(data, address)
