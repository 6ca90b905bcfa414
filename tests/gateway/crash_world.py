"""Simulation of gateways whose endpoints are crashed by some requests."""

import random
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

import gevent
from gevent.event import Event
from tests.gateway.conftest import ScriptedStore, settings_of
from tests.gateway.row_store import RowStore
from tests.gateway.test_relays_answer_truthfully import EVENT, answer

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import (
    AnswerKind,
    Destination,
    Route,
    RoutedService,
    RoutingConfiguration,
)
from azurefold.gateway.callers.calls import Call, CutOffError
from azurefold.gateway.callers.relay import Relay
from azurefold.gateway.endpoints.connections import EndpointLinks, Link
from azurefold.gateway.endpoints.reply import BrokenReplyError
from azurefold.gateway.peers.exchange import Peer, _decode
from azurefold.gateway.peers.membership import new_peers
from azurefold.gateway.state import new_gateway_state
from azurefold.gateway.store.part_records import PartRecords
from azurefold.platform.headers import read_request

SERVICE = "drafts"
_OWN_PARTS = 2**32
"""Added to a request's number, the id of the last part of its prompt."""

SLOTS = 6
STEP_MS = 20
TIMEOUT_MS = 8_000
RESTART_MS = 3_000
STABLE_MS = 3_000
ROUTE = Route(
    "r",
    "h",
    "/r/",
    AnswerKind.STREAMING,
    (Destination(SERVICE),),
    TIMEOUT_MS,
    400,
    max_attempts=3,
    is_resumable=True,
)


@dataclass(eq=False)
class Gateway:
    """One gateway process, and until when its sends are exempt from the bound."""

    name: str
    peers: object
    records: PartRecords
    excused_until: int = 0
    cut_until: int = 0

    @property
    def state(self):
        return self.peers.state


@dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint."""

    at: int
    body: bytes
    endpoint: str
    is_excused: bool
    parts: frozenset[int] = frozenset()
    number: int = 0


@dataclass
class Outcome:
    """What became of a launched request.

    ``reason`` is None while it has no answer, and empty if it was answered.
    """

    at: int
    number: int
    parts: tuple[int, ...]
    organisation: str
    reason: str | None = None

    @property
    def first_part(self):
        return self.parts[0]


class _StubNews:
    def merge_statements(self, configuration, endpoints):
        pass


@dataclass
class _Socket:
    """A connection to one incarnation of an endpoint."""

    site: "CrashSite"
    gateway: Gateway
    endpoint: str
    body: bytes = b""
    parts: frozenset[int] = frozenset()
    number: int = 0

    def sendall(self, data):
        head, _, self.body = data.partition(b"\r\n\r\n")
        for line in head.decode().splitlines():
            name, _, value = line.partition(": ")
            if name == "Prefix-Hash":
                ids = [int(each.partition(":")[0], 16) for each in value.split(",")]
                self.parts, self.number = frozenset(ids[:-1]), ids[-1] - _OWN_PARTS
        self.site.arrive(self)

    def close(self):
        pass


@dataclass
class _PeerSocket:
    site: "CrashSite"
    name: str

    def sendto(self, data, address):
        self.site.post(data, self.name, address[0])


@dataclass
class CrashSite:
    """Gateways, endpoints, and the messages between gateways.

    Parameters
    ----------
    gateways, endpoints : int
    seed : int
    loss : float
        Fraction of messages between gateways that are lost.
    delay_ms : (int, int)
        Minimum and maximum delay of such a message.
    first_event_ms : int
        From the arrival of a request that was launched to its first event.
    is_group : bool
        Whether all endpoints stop with each crash, until all run again.
    """

    gateways: int
    endpoints: int
    seed: int = 1
    loss: float = 0.0
    delay_ms: tuple[int, int] = (1, 3)
    first_event_ms: int = 0
    is_group: bool = False
    time: ManualTime = field(default_factory=lambda: ManualTime(at=100_000))
    crashing: set[bytes] = field(default_factory=set)
    crashing_parts: set[int] = field(default_factory=set)
    arrivals: list[Arrival] = field(default_factory=list)
    crashes: list[tuple[int, bytes]] = field(default_factory=list)
    part_crashes: list[tuple[int, frozenset[int]]] = field(default_factory=list)
    by_name: dict[str, Gateway] = field(default_factory=dict)
    running: dict[str, str] = field(default_factory=dict)

    def __post_init__(self):
        self._draw = random.Random(self.seed)
        self._events = []
        self._numbers = count(1)
        self._waiting = {}
        self._greenlets = []
        self.outcomes = []
        self.rows = RowStore()
        for n in range(self.endpoints):
            self.running[f"rank-{n}.0"] = f"10.0.0.{n}:80"
        names = [f"gw-{n:03}" for n in range(self.gateways)]
        self._listed = [Peer(name, name, 7_000) for name in names]
        for name in names:
            self.by_name[name] = self._start(name)
        self.run(1_000)

    def run(self, ms):
        """Advance the clock by ``ms``, with due messages and restarts of endpoints."""
        end = self.time.at + ms
        while self.time.at < end:
            self.time.at += STEP_MS
            while self._events and self._events[0][0] <= self.time.at:
                heappop(self._events)[2]()
                self._yield()
            for gateway in self.by_name.values():
                changed = gateway.state.demand_changed
                if changed.is_set() or self.time.at % 60 == 0:
                    changed.clear()
                    gateway.peers.exchange.send()
                if self.time.at % 260 == 0:
                    gateway.records.save()

    def open(self, name, body, parts=(), organisation="o", number=None):
        """Send a request and return the first and the remaining parts of its answer.

        Its prompt has the shared ``parts`` and one of its own behind them.
        """
        gateway = self.by_name[name]
        number, now = number or next(self._numbers), self.time.at
        prefix = ",".join(f"{part:x}:40" for part in (*parts, _OWN_PARTS + number))
        head = read_request(
            [("Attempt-Id", f"a{number}"), ("Host", "h"), ("Prefix-Hash", prefix)]
        )
        call = Call(
            "POST",
            "/r/x",
            body,
            head,
            ROUTE,
            SERVICE,
            organisation,
            1,
            now,
            now + TIMEOUT_MS,
            1,
        )
        service = gateway.state.services[SERVICE]
        parts = Relay(call, gateway.state, service).run()
        return next(parts), parts

    def send(self, name, body, parts=()):
        """Send a request to a gateway and return the first part of its answer."""
        first, rest = self.open(name, body, parts)
        finish(rest)
        return first

    def launch(self, name, body, parts=(), organisation="o"):
        """Send a request that is answered while the clock advances."""

        def serve():
            number = next(self._numbers)
            outcome = Outcome(self.time.at, number, parts, organisation)
            self.outcomes.append(outcome)
            first, rest = self.open(name, body, parts, organisation, number)
            outcome.reason = getattr(getattr(first, "failure", None), "reason", "")
            finish(rest)

        self._greenlets.append(gevent.spawn(serve))
        self._yield()

    def stop(self):
        """End all requests that were launched."""
        gevent.killall(self._greenlets)

    def _yield(self):
        gevent.idle()

    def restart(self, name):
        """Replace a gateway by a new process without its state."""
        self.by_name[name] = self._start(name)
        self.by_name[name].excused_until = self.time.at + STABLE_MS

    def cut(self, name, ms):
        """Cut a gateway off from its peers."""
        gateway = self.by_name[name]
        gateway.cut_until = self.time.at + ms
        gateway.excused_until = gateway.cut_until + STABLE_MS

    def crash(self, endpoint):
        """Crash an endpoint, which restarts under another name."""
        address = self.running.pop(endpoint)
        hit = self.endpoints_of_group() if self.is_group else [endpoint]
        for each in hit:
            for wake in self._waiting.pop(each, []):
                wake.set()
        name, _, start = endpoint.partition(".")
        successor = f"{name}.{int(start) + 1}"

        def restart_endpoint():
            self.running[successor] = address
            self._list_endpoints()

        self._schedule(self.time.at + RESTART_MS, restart_endpoint)

    def endpoints_of_group(self):
        """Return the endpoints that stop when one of them crashes."""
        return [*self.running, *self._waiting]

    def sent_after_third_crash(self, body):
        """Return how often a request reached endpoints after its third crash.

        Requests within ``STABLE_MS`` of that crash, and through exempt gateways, are
        not counted.
        """
        crashes = [at for at, each in self.crashes if each == body]
        if len(crashes) < 3:
            return 0
        since = crashes[2] + STABLE_MS
        return sum(
            each.body == body and each.at > since and not each.is_excused
            for each in self.arrivals
        )

    def sent_after_fifth_crash(self, part):
        """Return how often prompts with a part reached endpoints after its fifth crash.

        Requests within ``STABLE_MS`` of that crash, and through exempt gateways, are
        not counted.
        """
        crashes = [at for at, parts in self.part_crashes if part in parts]
        if len(crashes) < 5:
            return 0
        since = crashes[4] + STABLE_MS
        return sum(
            part in each.parts and each.at > since and not each.is_excused
            for each in self.arrivals
        )

    def arrive(self, connection):
        """Record a request that reached an endpoint."""
        excused = connection.gateway.excused_until > self.time.at
        self.arrivals.append(
            Arrival(
                self.time.at,
                connection.body,
                connection.endpoint,
                excused,
                connection.parts,
                connection.number,
            )
        )

    def reply(self, link, method):
        """Return an endpoint's answer: a stream of two events, unless it crashes."""
        connection = link.sock
        if self.is_group and len(self.running) < self.endpoints:
            return answer(503, sealed=False, not_run=True, attempt_id="")
        if self.first_event_ms:
            self._await_first_event(connection)
        if connection.body in self.crashing:
            self.crashes.append((self.time.at, connection.body))
            self.crash(connection.endpoint)
            raise BrokenReplyError("closed", begun=False)
        if deadly := connection.parts & self.crashing_parts:
            self.part_crashes.append((self.time.at, deadly))
            self.crash(connection.endpoint)
            raise BrokenReplyError("closed", begun=False)
        reply = answer(pieces=[EVENT % 1, EVENT % 2], attempt_id="")
        take_piece = reply.next_bytes

        def next_bytes():
            if connection.endpoint not in self.running:
                raise BrokenReplyError("reset", begun=True)
            return take_piece()

        reply.next_bytes = next_bytes
        return reply

    def _await_first_event(self, connection):
        wake = Event()
        self._waiting.setdefault(connection.endpoint, []).append(wake)
        self._schedule(self.time.at + self.first_event_ms, wake.set)
        wake.wait()
        if connection.endpoint not in self.running:
            raise BrokenReplyError("closed", begun=False)
        if self.is_group and len(self.running) < self.endpoints:
            raise BrokenReplyError("reset", begun=False)

    def post(self, data, sender, receiver):
        """Deliver a message between gateways after a delay, unless it is lost."""
        if self._draw.random() >= self.loss:
            due = self.time.at + self._draw.randint(*self.delay_ms)
            self._schedule(due, lambda: self._deliver(data, sender, receiver))

    def _deliver(self, data, sender, receiver):
        gateways = [self.by_name[sender], self.by_name[receiver]]
        if all(each.cut_until <= self.time.at for each in gateways):
            gateways[1].peers.exchange._take(_decode(data), sender)

    def connect(self, links, endpoint, address):
        """Return a connection to the running incarnation of an endpoint."""
        if self.running.get(endpoint) != address:
            raise ConnectionRefusedError
        [gateway] = [g for g in self.by_name.values() if g.state.links is links]
        return Link(_Socket(self, gateway, endpoint))

    def _schedule(self, due, event):
        heappush(self._events, (due, next(self._numbers), event))

    def _start(self, name):
        settings = settings_of(name=name, is_first_start=True)
        state = new_gateway_state(settings, manual_clock(self.time))
        state.store_time.observe(self.time.at, self.time.at, self.time.at)
        state.draw.seed(f"{self.seed} {name}")
        view = RoutedService(SERVICE, 64, None)
        state.apply(RoutingConfiguration(1, (ROUTE,), {SERVICE: view}))
        peers = new_peers(state, ScriptedStore(), _StubNews())
        peers.exchange.incarnation = self.time.at
        peers.exchange._sock = _PeerSocket(self, name)
        peers.exchange.set_peers(self._listed)
        records = PartRecords(state, self.rows)
        records.load()
        gateway = Gateway(name, peers, records)
        self._list(state)
        return gateway

    def _list_endpoints(self):
        for gateway in self.by_name.values():
            self._list(gateway.state)

    def _list(self, state):
        entries = [
            EndpointEntry(name, SERVICE, address, "dc-a", SLOTS)
            for name, address in self.running.items()
        ]
        state.registry.replace_all(entries, self.time.at)
        state.registry.tick(self.time.at + 60_000)
        state.spread_endpoints()


def finish(parts):
    """Read the remaining parts of an answer, which may break off."""
    try:
        for _ in parts:
            pass
    except CutOffError:
        pass


def install(monkeypatch, site):
    """Connect all gateways to the simulated endpoints."""

    def take(links, endpoint, address, *, fresh):
        return site.connect(links, endpoint, address)

    def refuses(links, endpoint, address, watch_ms):
        return address not in site.running.values()

    monkeypatch.setattr(EndpointLinks, "take", take)
    monkeypatch.setattr(EndpointLinks, "keep", lambda self, *a: None)
    monkeypatch.setattr(EndpointLinks, "refuses_connections", refuses)
    monkeypatch.setattr(
        "azurefold.gateway.endpoints.attempt.read_reply",
        lambda link, method: site.reply(link, method),
    )
    return site
