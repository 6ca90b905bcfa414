"""A data centre's membership traffic in virtual time, for bench and tests.

No simulator of a cluster: the real state machines, a list of datagrams in
flight and a clock that moves when told to.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from azurefold.core.clock import Millis
from azurefold.core.membership.directory import Directory
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.messages import Message, Send, Source, Timing
from azurefold.core.membership.presence import Presence

STEP: Millis = 250


@dataclass(frozen=True, slots=True)
class Datagram:
    """A message under way."""

    source: Source
    to: str
    message: Message


@dataclass(slots=True)
class Node:
    """One process, either a control or an endpoint."""

    record: Endpoint
    machine: Directory | Presence
    paused: bool = False
    inbox: list[Datagram] = field(default_factory=list)

    @property
    def is_control(self) -> bool:
        """Whether this is a control process."""
        return isinstance(self.machine, Directory)

    def receive(self, datagram: Datagram, now: Millis) -> list[Send]:
        """Take a datagram and return the answers."""
        if isinstance(self.machine, Directory):
            return self.machine.receive(datagram.message, datagram.source, now)
        return self.machine.receive(datagram.message, datagram.source.origin, now)

    def tick(self, now: Millis, draw: int) -> list[Send]:
        """Do what is due and return what to send."""
        if isinstance(self.machine, Directory):
            return self.machine.tick(now, draw)
        return self.machine.tick(now)


class VirtualNetwork:
    """Nodes by address, and what is in flight between them."""

    def __init__(
        self,
        seed: int = 0,
        loss: float = 0.0,
        timing: Timing | None = None,
        make_directory: Callable[..., Directory] = Directory,
    ) -> None:
        self.now: Millis = 1_000_000
        self.nodes: dict[str, Node] = {}
        self.in_flight: list[Datagram] = []
        self.sides: dict[str, int] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.delivered: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._loss = loss
        self._timing = timing or Timing()
        self._make_directory = make_directory
        self._incarnations = 0
        self._seeds: tuple[str, ...] = ()

    def add_control(self, number: int) -> str:
        """Start, or start again, the control of that number."""
        record = self._record(number, Role.CONTROL, State.SERVING)
        if len(self._seeds) < 3 and record.udp_address not in self._seeds:
            self._seeds = (*self._seeds, record.udp_address)
        directory = self._make_directory(record, self.now, self._seeds, self._timing)
        return self._add(Node(record, directory))

    def add_endpoint(self, number: int) -> str:
        """Start, or start again, the endpoint of that number; it serves."""
        record = self._record(number, Role.ENDPOINT, State.JOINING)
        presence = Presence(record, self.now, self._seeds, self._timing)
        address = self._add(Node(record, presence))
        self.post(address, presence.announce(State.SERVING, self.now))
        return address

    def remove(self, address: str) -> None:
        """Kill a process without a word."""
        self.nodes.pop(address, None)

    def controls(self) -> list[Node]:
        """Return the live control processes."""
        return [node for node in self.nodes.values() if node.is_control]

    def endpoints(self) -> list[Node]:
        """Return the live endpoints."""
        return [node for node in self.nodes.values() if not node.is_control]

    def post(self, address: str, sends: Iterable[Send]) -> None:
        """Put what a node sends in flight."""
        record = self.nodes[address].record
        source = Source(record.name, record.incarnation, address)
        self.in_flight += [Datagram(source, each.to, each.message) for each in sends]

    def deliver(self, datagram: Datagram) -> None:
        """Hand one datagram to its receiver if it is there and reachable."""
        node = self.nodes.get(datagram.to)
        if node is None or self.is_cut(datagram.source.origin, datagram.to):
            return
        if node.paused:
            node.inbox.append(datagram)
            return
        self.delivered[type(datagram.message).__name__] += 1
        self.post(datagram.to, node.receive(datagram, self.now))

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing gets from the one address to the other."""
        if (one, other) in self.blocked:
            return True
        return self.sides.get(one, 0) != self.sides.get(other, 0)

    def tick(self) -> None:
        """Let each node that is not paused do what is due."""
        for address, node in list(self.nodes.items()):
            if not node.paused:
                draw = self._random.randrange(2**32)
                self.post(address, node.tick(self.now, draw))

    def resume(self, address: str) -> None:
        """Wake a paused node; what came meanwhile is read first."""
        node = self.nodes[address]
        node.paused = False
        waiting, node.inbox = node.inbox, []
        for datagram in waiting:
            self.deliver(datagram)

    def run(self, duration: Millis) -> None:
        """Let time pass with datagrams arriving at once, but for the loss."""
        until = self.now + duration
        while self.now < until:
            self.now += STEP
            self.tick()
            self.flush()

    def flush(self) -> None:
        """Deliver all that is in flight, answers as well."""
        while self.in_flight:
            batch, self.in_flight = self.in_flight, []
            for datagram in batch:
                if self._random.random() >= self._loss:
                    self.deliver(datagram)

    def run_until(self, condition: Callable[[], bool], limit: Millis) -> Millis | None:
        """Return how long it took until ``condition`` held, or None."""
        start = self.now
        while self.now - start < limit:
            if condition():
                return self.now - start
            self.run(STEP)
        return None

    def views(self) -> list[dict[str, tuple[int, State]]]:
        """Return what each control takes each live process for."""
        return [view(node.machine) for node in self.controls()]

    def agree(self) -> bool:
        """Return whether all controls have the same view."""
        views = self.views()
        return all(each == views[0] for each in views)

    def truth(self) -> dict[str, tuple[int, State]]:
        """Return what an all-knowing control would show."""
        return {
            own.name: (own.incarnation, own.state)
            for own in (node.machine.own for node in self.nodes.values())
            if own.state is not State.GONE
        }

    def _record(self, number: int, role: Role, announced: State) -> Endpoint:
        self._incarnations += 1
        kind = "control" if role is Role.CONTROL else "endpoint"
        host = f"10.{role.value}.{number // 250}.{number % 250 + 1}"
        return Endpoint(
            name=f"fukuoka-hall-{kind}-{number:03d}",
            incarnation=1_800_000_000_000 + self._incarnations,
            address=f"{host}:7001",
            udp_port=7002,
            role=role,
            service="" if role is Role.CONTROL else "recall-drafting",
            announced=announced,
        )

    def _add(self, node: Node) -> str:
        address = node.record.udp_address
        self.nodes[address] = node
        return address


def view(directory: Directory) -> dict[str, tuple[int, State]]:
    """Return what a control shows, without the gone."""
    return {
        record.name: (record.incarnation, record.state)
        for record in directory.records()
        if record.state is not State.GONE
    }


def started(
    controls: int,
    endpoints: int,
    make: Callable[..., VirtualNetwork] = VirtualNetwork,
    **settings,
) -> VirtualNetwork:
    """Return a data centre in which all controls know all."""
    network = make(**settings)
    for number in range(controls):
        network.add_control(number)
    for number in range(endpoints):
        network.add_endpoint(number)
    own = [replace(node.machine.own) for node in network.nodes.values()]
    for node in network.controls():
        node.machine.merge(own, network.now)
    return network
