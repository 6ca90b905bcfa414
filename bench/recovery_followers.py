"""Configuration followers of many data centres in virtual time.

No simulator of a cluster: the real followers, a heap of events and a platform
that answers a limited number of reads a second.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from azurefold.core.clock import SECOND, Millis
from azurefold.core.configuration.follower import (
    Follower,
    FollowerPolicy,
    create_follower,
)
from azurefold.core.configuration.head import NO_HEAD
from azurefold.core.configuration.messages import (
    Action,
    Announce,
    AnnouncementReceived,
    Event,
    FetchFailed,
    FetchHead,
    FetchSections,
    HeadFetched,
    Peer,
    Platform,
    PlatformPolled,
    PollFailed,
    PollNow,
    SectionsFetched,
    Source,
    Tick,
)
from bench.recovery_platform import READ_LATENCY, READS_PER_SECOND, TablePlatform

TICK: Millis = 200
GOSSIP: Millis = 1_000
READS_AT_ONCE = 8
NEAR_FANOUT = 3
FAR_FANOUT = 1
TIMEOUT: Millis = 1_000
PEER_LATENCY: Millis = 3


@dataclass(slots=True)
class _Node:
    name: str
    data_centre: int
    machine: Follower
    started_at: Millis
    ready_at: Millis | None = None
    received: int = 0


@dataclass(slots=True)
class _Fetch:
    """Objects asked for by one node, eight at a time."""

    node: _Node
    action: FetchSections
    left: list[str]
    under_way: int = 0
    got: dict[str, bytes] = field(default_factory=dict)
    failed: bool = False


class Followers:
    """Control processes of several data centres and their platform.

    Parameters
    ----------
    data_centres, per_data_centre : int
        How many.
    n_sections : int
        Sections of the configuration.
    alone_ms : int
        How long a process that starts knows of no other in its data centre.
    limit : int or None
        See :class:`TablePlatform`.
    policy : FollowerPolicy, optional
        Times of all followers.
    """

    def __init__(
        self,
        data_centres: int,
        per_data_centre: int,
        n_sections: int,
        alone_ms: Millis,
        limit: int | None = READS_PER_SECOND,
        policy: FollowerPolicy | None = None,
        seed: int = 0,
    ) -> None:
        self.now: Millis = 0
        self.platform = TablePlatform(limit)
        self.n_sections = n_sections
        self.cut: set[int] = set()
        self._alone_ms = alone_ms
        self._policy = policy
        self._draw = random.Random(seed)
        self._events: list[tuple[Millis, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.nodes: dict[str, _Node] = {}
        self._members: dict[int, list[str]] = {}
        for hall in range(data_centres):
            names = [f"control-{hall}-{n}" for n in range(per_data_centre)]
            self._members[hall] = names
        self.platform.edit(0, n_sections)

    def start(self, data_centre: int | None = None) -> None:
        """Start, or start again, all processes of one data centre or of all."""
        halls = self._members if data_centre is None else [data_centre]
        for hall in halls:
            for name in self._members[hall]:
                self.start_one(name, hall)

    def start_one(self, name: str, data_centre: int) -> None:
        """Start, or start again, one process."""
        machine = create_follower(name, f"hall-{data_centre}", self._policy)
        node = _Node(name, data_centre, machine, self.now)
        self.nodes[name] = node
        # A process's own start and import time spread the first ticks.
        self._at(self.now + self._draw.randrange(TICK), lambda: self._tick(node))
        self._at(self.now + self._draw.randrange(GOSSIP), lambda: self._gossip(node))

    def run_until(self, condition: Callable[[], bool], limit: Millis) -> Millis | None:
        """Return how long it took until ``condition`` held, or None."""
        begun = self.now
        while self.now - begun < limit:
            if condition():
                return self.now - begun
            self.run(50)
        return None

    def run(self, duration: Millis) -> None:
        """Let time pass."""
        until = self.now + duration
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = until

    def all_hold_the_head(self, data_centre: int | None = None) -> bool:
        """Return whether all processes hold what the platform shows."""
        return all(
            node.machine.head.revision >= self.platform.head.revision
            for node in self.nodes.values()
            if data_centre in (None, node.data_centre)
        )

    def reads(self, since: Millis = 0) -> dict[str, int]:
        """Return reads of the platform from ``since`` on."""
        each = [n for s, n in self.platform.asked.items() if s >= since // SECOND]
        return {"reads": sum(each), "busiest_second": max(each, default=0)}

    def _at(self, when: Millis, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def _is_current(self, node: _Node) -> bool:
        return self.nodes.get(node.name) is node

    def _tick(self, node: _Node) -> None:
        if not self._is_current(node):
            return
        alone = self.now - node.started_at < self._alone_ms
        known = [node.name] if alone else self._members[node.data_centre]
        # The settings name all peers; who of them lives is known later.
        n_peers = sum(len(each) for each in self._members.values()) - 1
        self._feed(node, Tick(frozenset(known), self._draw.random(), n_peers))
        self._at(self.now + TICK, lambda: self._tick(node))

    def _gossip(self, node: _Node) -> None:
        if not self._is_current(node):
            return
        self._announce(node, node.machine.age_ms(self.now))
        self._at(self.now + GOSSIP, lambda: self._gossip(node))

    def _announce(self, node: _Node, age_ms: Millis | None) -> None:
        head_id = node.machine.head.head_id
        if head_id == NO_HEAD.head_id:
            return
        near = [n for n in self._members[node.data_centre] if n != node.name]
        far = [n for n in self.nodes if self.nodes[n].data_centre != node.data_centre]
        chosen = self._draw.sample(near, min(NEAR_FANOUT, len(near)))
        chosen += self._draw.sample(far, min(FAR_FANOUT, len(far)))
        for name in chosen:
            heard = AnnouncementReceived(head_id, Peer(node.name), age_ms)
            self._send(node, name, heard)

    def _send(self, node: _Node, to: str, event: Event) -> None:
        hearer = self.nodes.get(to)
        if hearer is not None and self._linked(node, hearer):
            hearer.received += 1
            self._at(self.now + PEER_LATENCY, lambda: self._feed(hearer, event))

    def _linked(self, one: _Node, other: _Node) -> bool:
        halls = {one.data_centre, other.data_centre}
        return len(halls) == 1 or not halls & self.cut

    def _feed(self, node: _Node, event: Event) -> None:
        if not self._is_current(node):
            return
        for action in node.machine.handle(event, self.now):
            self._carry_out(node, action)
        if node.ready_at is None and node.machine.head.revision > 0:
            node.ready_at = self.now

    def _carry_out(self, node: _Node, action: Action) -> None:
        match action:
            case PollNow():
                self._read(node, lambda: self._polled(node), PollFailed())
            case FetchHead(source=Platform() as source):
                found = HeadFetched(self.platform.head, source)
                failed = FetchFailed(source)
                self._read(node, lambda: self._feed(node, found), failed)
            case FetchHead(source=Peer() as source):
                self._ask_peer(node, source, self._head_of)
            case FetchSections(source=Platform()):
                self._fetch(node, action)
            case FetchSections(source=Peer() as source):
                self._ask_peer(node, source, _contents_of(action))
            case Announce(age_ms=age_ms):
                self._announce(node, age_ms)

    def _polled(self, node: _Node) -> None:
        self._feed(node, PlatformPolled(self.platform.head.head_id, 1))

    def _read(self, node: _Node, then: Callable[[], None], failed: Event) -> None:
        at = None if node.data_centre in self.cut else self.platform.answer_at(self.now)
        if at is None or at - self.now > TIMEOUT:
            self._at(self.now + READ_LATENCY, lambda: self._feed(node, failed))
        else:
            self._at(at, then)

    def _head_of(self, peer: _Node, source: Source) -> Event:
        return HeadFetched(peer.machine.head, source)

    def _ask_peer(
        self, node: _Node, source: Peer, answer: Callable[[_Node, Source], Event]
    ) -> None:
        peer = self.nodes[source.name]
        node.received += 1
        if not self._linked(node, peer) or not peer.machine.head.revision:
            failed = FetchFailed(source)
            self._at(self.now + TIMEOUT, lambda: self._feed(node, failed))
            return
        self._at(
            self.now + 2 * PEER_LATENCY,
            lambda: self._feed(node, answer(peer, source)),
        )

    def _fetch(self, node: _Node, action: FetchSections) -> None:
        fetch = _Fetch(node, action, list(action.hashes))
        for _ in range(READS_AT_ONCE):
            self._fetch_next(fetch)

    def _fetch_next(self, fetch: _Fetch) -> None:
        if not fetch.left or not self._is_current(fetch.node):
            return
        hashed = fetch.left.pop()
        fetch.under_way += 1
        at = (
            None
            if fetch.node.data_centre in self.cut
            else self.platform.answer_at(self.now)
        )
        lost = at is None or at - self.now > TIMEOUT
        done_at = self.now + READ_LATENCY if lost else at
        self._at(done_at, lambda: self._fetched(fetch, hashed, lost))

    def _fetched(self, fetch: _Fetch, hashed: str, lost: bool) -> None:
        # One lost object fails the whole request, and the rest is still read:
        # so does configuration_store.read_contents.
        fetch.under_way -= 1
        if not lost:
            fetch.got[hashed] = self.platform.objects[hashed]
        elif not fetch.failed:
            fetch.failed = True
            self._feed(fetch.node, FetchFailed(fetch.action.source))
        self._fetch_next(fetch)
        if not fetch.failed and not fetch.left and not fetch.under_way:
            came = SectionsFetched(fetch.got, fetch.action.source)
            self._feed(fetch.node, came)


def _contents_of(action: FetchSections) -> Callable[[_Node, Source], Event]:
    def answer(peer: _Node, source: Source) -> Event:
        return SectionsFetched(peer.machine.get_contents(action.hashes), source)

    return answer
