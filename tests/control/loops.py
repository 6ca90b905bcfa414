"""Control processes that ask one another directly, without sockets."""

from dataclasses import dataclass, field

import msgspec

from azurefold.control.configuration import ConfigurationLoop
from azurefold.core.configuration.head import NO_HEAD, Head, build_next_head
from azurefold.core.configuration.messages import AnnouncementReceived, PlatformPolled
from azurefold.core.configuration.sections import content_hash, split_configuration
from azurefold.site_store.configuration_store import Base
from azurefold.wire.orders import METHOD_GET_HEAD


@dataclass
class DirectCaller:
    """Calls another loop's handlers and keeps what it answered."""

    other: ConfigurationLoop
    replies: list = field(default_factory=list)

    def call(self, method, request, kind, timeout_ms):
        asked_for_head = method == METHOD_GET_HEAD
        give = self.other.give_head if asked_for_head else self.other.give_sections
        reply = give(request, None)
        self.replies.append(reply)
        return msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=kind)


@dataclass
class OwnStore:
    """A platform that only one loop reads."""

    head: Head = NO_HEAD
    contents: dict = field(default_factory=dict)

    def read_base(self):
        return Base(self.head, 1)

    def read_contents(self, hashes):
        return {each: self.contents[each] for each in hashes}


@dataclass
class FewPeers:
    near: list = field(default_factory=list)
    far: list = field(default_factory=list)
    callers: dict = field(default_factory=dict)

    def caller(self, name):
        return self.callers.get(name)


def text(organisations=200, **changed):
    """Return a configuration; ``changed`` are shares of organisations."""
    named = {f"o-{n:03d}": {"share": 1.0} for n in range(organisations)}
    named |= {name.replace("_", "-"): {"share": s} for name, s in changed.items()}
    return {"services": {"bookings": {"kind": "plain"}}, "organisations": named}


def head_of(raw, base: Head = NO_HEAD, edit_id: str = "") -> Head:
    hashes = {
        name: content_hash(data) for name, data in split_configuration(raw).items()
    }
    return build_next_head(base, edit_id or f"e{base.revision + 1}", hashes)


def hold(loop, head, raw):
    """Let a loop hold a head, as the platform gives it."""
    loop.store.head = head
    loop.store.contents = {
        content_hash(each): each for each in split_configuration(raw).values()
    }
    loop._handle(PlatformPolled(head.head_id, 1))
    assert loop.follower.head == head


def hear(loop, head_id, peer):
    loop._handle(AnnouncementReceived(head_id, peer, 0))
