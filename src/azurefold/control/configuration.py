"""Follows the accepted configuration and passes it on to peers."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent.event import Event

from azurefold.control.exchange import (
    packed_head,
    packed_sections,
    unpacked_head,
    unpacked_sections,
)
from azurefold.control.peers import Peers
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.follower import Follower
from azurefold.core.configuration.head import NO_HEAD, Head, HeadId
from azurefold.core.configuration.messages import (
    Action,
    Alarm,
    Announce,
    AnnouncementReceived,
    Apply,
    FetchFailed,
    FetchHead,
    FetchSections,
    HeadAnnouncement,
    HeadFetched,
    Peer,
    Platform,
    PollNow,
    SectionsFetched,
    Source,
    Tick,
    WriteBack,
)
from azurefold.core.configuration.messages import Event as FollowerEvent
from azurefold.core.configuration.sections import assemble_configuration
from azurefold.core.membership.messages import Send
from azurefold.internal.logs import log_event
from azurefold.site_store.configuration_store import Base, ConfigurationStore
from azurefold.site_store.messages import Unavailable
from azurefold.wire.grpc_caller import CallError
from azurefold.wire.orders import (
    METHOD_GET_HEAD,
    METHOD_GET_SECTIONS,
    GetHead,
    GetSections,
    HeadReply,
    SectionsReply,
)
from azurefold.wire.seal import Opened

__all__ = ["ConfigurationLoop"]

_log = logging.getLogger("azurefold.control")

_SECOND_MS = 1_000
_TICK_MS: Millis = 200
_FETCH_TIMEOUT_MS: Millis = 1_000
_GOSSIP_MS: Millis = 1_000
_NEAR_FANOUT = 2
_NEAR_FANOUT_OF_NEWS = 4
_FAR_EVERY = 4
_HEADS_KEPT = 32


@dataclass(slots=True)
class ConfigurationLoop:
    """Feeds the follower with events and carries out what it wants done."""

    follower: Follower
    store: ConfigurationStore
    peers: Peers
    clock: Clock
    draw: random.Random
    send: Callable[[list[Send]], None]
    live: Callable[[], frozenset[str]]
    changed: Event = field(default_factory=Event)
    applied_at: Millis = 0
    _raw: bytes = b""
    _raw_revision: int = 0
    _recent: dict[int, Head] = field(default_factory=dict)
    _told: HeadId = NO_HEAD.head_id
    _told_at: Millis = 0
    _told_times: int = 0

    @property
    def revision(self) -> int:
        """The revision in force here; 0 if there is none."""
        return self.follower.head.revision

    @property
    def raw(self) -> bytes:
        """The configuration in force as JSON, put together when asked for."""
        if self._raw_revision != self.revision:
            self._raw = msgspec.json.encode(
                assemble_configuration(self.follower.sections)
            )
            self._raw_revision = self.revision
        return self._raw

    def recent_head(self, revision: int, edit_id: str) -> Head | None:
        """Return a head held here lately, or None if it was another or too old."""
        head = self._recent.get(revision)
        return head if head is not None and head.edit_id == edit_id else None

    def run(self) -> None:
        """Tick for ever; now and then tell some peers what is held here."""
        while True:
            gevent.sleep(_TICK_MS / _SECOND_MS)
            now = self.clock.now()
            n_peers = len(self.peers.near) + len(self.peers.far)
            self._handle(Tick(self.live(), self.draw.random(), n_peers))
            if self._may_repeat(now):
                age = self.follower.age_ms(now)
                self._announce(Announce(self.follower.head.head_id, age))

    def receive(self, news: HeadAnnouncement, sender: str) -> None:
        """Take what a peer says of the head that it holds."""
        self._handle(AnnouncementReceived(news.head_id, Peer(sender), news.age_ms))

    def give_head(self, request: GetHead, sender: Opened) -> HeadReply:
        """Answer a peer that asks for the head, by a delta where one will do."""
        head = self.follower.head
        if not head.revision:
            return HeadReply("")
        return HeadReply(packed_head(head, self._recent.get(request.revision)))

    def give_sections(self, request: GetSections, sender: Opened) -> SectionsReply:
        """Answer a peer that asks for contents."""
        held = self.follower.get_contents(request.hashes)
        return SectionsReply(packed_sections(held))

    def _handle(self, event: FollowerEvent) -> None:
        for action in self.follower.handle(event, self.clock.now()):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case PollNow():
                gevent.spawn(self._poll)
            case FetchHead(source=source):
                gevent.spawn(self._fetch_head, source)
            case FetchSections(source=source, hashes=hashes):
                gevent.spawn(self._fetch_sections, source, hashes)
            case Apply():
                self._apply(action)
            case Announce():
                self._announce(action)
            case Alarm(kind=kind, held=held, received=received):
                log_event(
                    _log,
                    "configuration_alarm",
                    logging.ERROR,
                    kind=kind.name.lower(),
                    held=held.revision,
                    heard=received.revision,
                )
            case WriteBack():
                gevent.spawn(self._write_back, action)

    def _poll(self) -> None:
        self._handle(self.store.poll())

    def _fetch_head(self, source: Source) -> None:
        head = self._head_from(source)
        if head is None:
            self._handle(FetchFailed(source))
        else:
            self._handle(HeadFetched(head, source))

    def _head_from(self, source: Source) -> Head | None:
        match source:
            case Platform():
                base = self.store.read_base()
                return base.head if isinstance(base, Base) else None
            case Peer(name=name):
                return self._head_from_peer(name)

    def _head_from_peer(self, name: str) -> Head | None:
        base = self.follower.head
        head = self._ask_head(name, base.revision, base)
        if head is None and base.revision:
            # The delta starts from another head of the same number, as after a
            # restore of the store. Only the whole head tells what is held there.
            head = self._ask_head(name, NO_HEAD.revision, base)
        return head

    def _ask_head(self, name: str, revision: int, base: Head) -> Head | None:
        reply = self._ask(name, METHOD_GET_HEAD, GetHead(revision), HeadReply)
        return unpacked_head(reply.head, base) if reply and reply.head else None

    def _fetch_sections(self, source: Source, hashes: tuple[str, ...]) -> None:
        contents = self._contents_from(source, hashes)
        if contents is None:
            self._handle(FetchFailed(source))
        else:
            self._handle(SectionsFetched(contents, source))

    def _contents_from(
        self, source: Source, hashes: tuple[str, ...]
    ) -> dict[str, bytes] | None:
        match source:
            case Platform():
                read = self.store.read_contents(hashes)
                return None if isinstance(read, Unavailable) else read
            case Peer(name=name):
                request = GetSections(hashes)
                reply = self._ask(name, METHOD_GET_SECTIONS, request, SectionsReply)
                return unpacked_sections(reply.contents) if reply else None

    def _ask(self, name: str, method: str, request: object, kind: type) -> object:
        caller = self.peers.caller(name)
        if caller is None:
            return None
        try:
            return caller.call(method, request, kind, _FETCH_TIMEOUT_MS)
        except CallError as error:
            log_event(_log, "peer_failed", peer=name, why=error)
            return None

    def _apply(self, action: Apply) -> None:
        self._recent[action.head.revision] = action.head
        while len(self._recent) > _HEADS_KEPT:
            del self._recent[min(self._recent)]
        self.applied_at = self.clock.now()
        log_event(_log, "revision_applied", revision=action.head.revision)
        self.changed.set()
        self.changed.clear()

    def _announce(self, action: Announce) -> None:
        """Tell news at once and to more peers; else only now and then.

        Each look at the platform and each tick come here. Told each time, a
        mark that all know would take most of the bytes that control may move.
        """
        now = self.clock.now()
        is_news = action.head_id != self._told
        if action.head_id.revision < max(1, self._told.revision):
            return
        if not is_news and not self._may_repeat(now):
            return
        self._told, self._told_at = action.head_id, now
        self._told_times += 1
        fanout = _NEAR_FANOUT_OF_NEWS if is_news else _NEAR_FANOUT
        chosen = _some(self.draw, self.peers.near, fanout)
        if is_news or self._told_times % _FAR_EVERY == 0:
            chosen += _some(self.draw, self.peers.far, 1)
        news = HeadAnnouncement(action.head_id, action.age_ms)
        self.send([Send(to, news) for to in chosen])

    def _may_repeat(self, now: Millis) -> bool:
        return now - self._told_at >= _GOSSIP_MS

    def _write_back(self, action: WriteBack) -> None:
        done = self.store.write_back(
            action.head, action.sections, action.expected_version
        )
        log_event(_log, "written_back", revision=action.head.revision, took_effect=done)


def _some(draw: random.Random, of: list[str], most: int) -> list[str]:
    return draw.sample(of, min(most, len(of)))
