"""A data centre round one real control process, in the measuring process.

The control under test runs as a process of its own; its peers and endpoints run
here on real sockets with the product's own state machines and loops, so that a
whole data centre fits on one machine. They have no platform and no gRPC: their
store is in memory.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from azurefold.border.settings import ControlSettings, load_settings
from azurefold.control.configuration import ConfigurationLoop
from azurefold.control.membership import MembershipLoop
from azurefold.core.configuration.acceptance import WriteSucceeded
from azurefold.core.configuration.follower import create_follower
from azurefold.core.configuration.head import NO_HEAD, Head
from azurefold.core.configuration.messages import HeadAnnouncement, PlatformPolled
from azurefold.core.membership.directory import Directory
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.messages import Send, Source
from azurefold.core.membership.presence import Presence
from azurefold.internal.clock import monotonic_clock
from azurefold.internal.process import ring_from_settings
from azurefold.site_store.configuration_store import Base
from azurefold.wire.messages import AnyMessage, encode_message
from azurefold.wire.seal import KeyRing, Sealer, seal
from azurefold.wire.udp import DatagramPort, datagram_port
from azurefold_standins.site import Site

__all__ = ["Surroundings", "surround"]

_IP_AND_UDP = 28
_TICK_S = 0.25
_INCARNATION = 1_800_000_000_000
_N_SERVICES = 29


@dataclass(slots=True)
class MemoryStore:
    """The accepted configuration for neighbours, without a platform."""

    head: Head = NO_HEAD
    contents: dict[str, bytes] = field(default_factory=dict)
    looks: int = 0

    def poll(self) -> PlatformPolled:
        """Return the mark, and count the look."""
        self.looks += 1
        return PlatformPolled(self.head.head_id if self.head.revision else None, 1)

    def read_base(self) -> Base:
        """Return the head."""
        return Base(self.head, 1)

    def read_contents(self, hashes: tuple[str, ...]) -> dict[str, bytes]:
        """Return contents by hash."""
        return {each: self.contents[each] for each in hashes}

    def write_back(self, *_: object) -> WriteSucceeded:
        """Take a head back; never needed, as nothing restores this store."""
        return WriteSucceeded()


@dataclass(slots=True)
class NeighbourPeers:
    """Addresses that a neighbour announces to; it calls nobody."""

    near: list[str]
    far: list[str]

    def caller(self, name: str) -> None:
        """Return no caller, so that contents come from the store."""


@dataclass(slots=True)
class Surroundings:
    """Neighbours, far peers and endpoints of one control process."""

    site: Site
    control: str
    ring: KeyRing
    store: MemoryStore = field(default_factory=MemoryStore)
    datagrams: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)
    neighbours: list[Endpoint] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)
    far: str = ""
    _ports: dict[str, DatagramPort] = field(default_factory=dict)
    _machines: dict[str, Directory | Presence] = field(default_factory=dict)
    _loops: dict[str, ConfigurationLoop] = field(default_factory=dict)

    @property
    def under_test(self) -> str:
        """Datagram address of the control under test."""
        return self.site.address(self.control, "udp")

    def both_ways(self) -> int:
        """Bytes to and from the control under test, with IP and UDP."""
        return self.bytes.total()

    def add(self, number: int, role: Role) -> Endpoint:
        """Bind a port for one neighbour or endpoint."""
        host = self.under_test.rpartition(":")[0]
        name = f"hall-{role.name.lower()}-{number:03d}"
        port = self._bind(host, name)
        udp = int(port.address.rpartition(":")[2])
        record = Endpoint(
            name=name,
            incarnation=_INCARNATION,
            address=port.address,
            udp_port=udp,
            role=role,
            service="" if role is Role.CONTROL else f"model-{number % _N_SERVICES:02d}",
            version=1 if role is Role.CONTROL else 0,
            announced=State.SERVING if role is Role.CONTROL else State.JOINING,
        )
        self._ports[name] = port
        (self.neighbours if role is Role.CONTROL else self.endpoints).append(record)
        return record

    def add_far(self) -> None:
        """Bind the one port behind which all far peers stand."""
        self._ports["far"] = self._bind(self.under_test.rpartition(":")[0], "far")
        self.far = self._ports["far"].address

    def start(self) -> None:
        """Let all of them run."""
        clock = monotonic_clock()
        near = [self.under_test, *(each.udp_address for each in self.neighbours)]
        seeds = tuple(near[:3])
        for record in self.neighbours:
            others = [each for each in near if each != record.udp_address]
            directory = Directory(record, clock.now(), tuple(others))
            directory.merge([*self.neighbours, *self.endpoints], clock.now())
            self._machines[record.name] = directory
            self._start_neighbour(record.name, directory, others)
        for record in self.endpoints:
            presence = Presence(record, clock.now(), seeds)
            self._machines[record.name] = presence
            gevent.spawn(self._run_endpoint, record.name, presence)
        if self.far:
            gevent.spawn(self._run_far)
        for port in self._ports.values():
            port.start()

    def stop(self) -> None:
        """Close all ports."""
        for port in self._ports.values():
            port.stop()

    def accept(self, head: Head, contents: dict[str, bytes]) -> None:
        """Show neighbours what the platform holds."""
        self.store.contents.update(contents)
        self.store.head = head

    def reset(self) -> None:
        """Count from now on."""
        self.bytes.clear()
        self.datagrams.clear()

    def _start_neighbour(self, name: str, directory: Directory, near: list) -> None:
        clock, draw = monotonic_clock(), random.Random(name)
        send = self._sender(name)
        membership = MembershipLoop(directory, clock, draw, send)
        loop = ConfigurationLoop(
            create_follower(name, "hall"),
            self.store,
            NeighbourPeers(near, [self.far] if self.far else []),
            clock,
            draw,
            send,
            membership.live_controls,
        )
        self._loops[name] = loop
        gevent.spawn(membership.run)
        gevent.spawn(loop.run)

    def _run_endpoint(self, name: str, presence: Presence) -> None:
        clock, send = monotonic_clock(), self._sender(name)
        gevent.sleep(random.Random(name).random())
        send(presence.announce(State.SERVING, clock.now()))
        while True:
            gevent.sleep(_TICK_S)
            send(presence.tick(clock.now()))

    def _run_far(self) -> None:
        # Each control of the target tells one far peer each second, drawn from
        # all: each hears one a second.
        send = self._sender("far")
        while True:
            gevent.sleep(1.0)
            if self.store.head.revision:
                send(
                    [
                        Send(
                            self.under_test,
                            HeadAnnouncement(self.store.head.head_id, 500),
                        )
                    ]
                )

    def _sender(self, name: str) -> Callable[[list[Send]], None]:
        def send(sends: list[Send]) -> None:
            for each in sends:
                if each.to == self.under_test:
                    self._count(each.message, name)
            self._ports[name].send(sends)

        return send

    def _count(self, message: AnyMessage, name: str) -> None:
        # Sealed once more only for its length, in the name of its sender.
        sealer = Sealer(name, _INCARNATION)
        data = seal(encode_message(message), self.ring, sealer)
        kind = type(message).__name__
        self.bytes[kind] += len(data) + _IP_AND_UDP
        self.datagrams[kind] += 1

    def _bind(self, host: str, name: str) -> DatagramPort:
        def receive(message: AnyMessage, source: Source) -> list[Send]:
            if source.origin == self.under_test:
                self._count(message, self.control)
            return self._receive(name, message, source)

        return datagram_port(
            f"{host}:0",
            self.ring,
            Sealer(name, _INCARNATION),
            receive,
            lambda reason: self.datagrams.update([f"rejected {reason}"]),
        )

    def _receive(self, name: str, message: AnyMessage, source: Source) -> list[Send]:
        now = monotonic_clock().now()
        if isinstance(message, HeadAnnouncement):
            if name in self._loops:
                self._loops[name].receive(message, source.name)
            return []
        machine = self._machines.get(name)
        if machine is None:
            return []
        origin = source if isinstance(machine, Directory) else source.origin
        sends = machine.receive(message, origin, now)
        for each in sends:
            if each.to == self.under_test:
                self._count(each.message, name)
        return sends


def surround(site: Site, control: str, peers: int, endpoints: int) -> Surroundings:
    """Return the surroundings of a control process that has its settings."""
    path = str(site.folder / f"{control}.jsonc")
    keys = load_settings(path, ControlSettings).keys
    world = Surroundings(site, control, ring_from_settings(keys))
    for number in range(peers):
        world.add(number, Role.CONTROL)
    for number in range(endpoints):
        world.add(number, Role.ENDPOINT)
    world.add_far()
    return world
