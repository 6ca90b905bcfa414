"""Cost and speed of membership, from the real state machines and codec.

``run("full")`` takes a data centre at the target size, 39 controls and 390
endpoints, in virtual time: bytes and datagrams are counted as sealed, with 28
bytes of IP and UDP each, and CPU is that of the codec and the decisions. What
a socket costs is measured apart, over loopback.
"""

import json
import statistics
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent

from azurefold.core.clock import SECOND, Millis
from azurefold.core.membership.endpoints import State
from azurefold.core.membership.messages import Probe, Send, Source
from azurefold.wire.messages import decode_message, encode_message
from azurefold.wire.seal import (
    Rejected,
    ReplayGuard,
    Sealer,
    key_ring,
    open_sealed,
    seal,
)
from azurefold.wire.udp import datagram_port
from bench.membership_network import Datagram, VirtualNetwork, started

IP_AND_UDP = 28
RING = key_ring([(1, b"k" * 32)])
WARM_UP: Millis = 150_000
LIMIT: Millis = 180_000


@dataclass(frozen=True, slots=True)
class Size:
    """What one run covers."""

    controls: int
    endpoints: int
    control_sweep: tuple[int, ...]
    endpoint_sweep: tuple[int, ...]
    steady: Millis
    trials: int
    lossy: Millis
    datagrams: int


SIZES = {
    "tiny": Size(4, 8, (2, 3, 4, 5), (4, 6, 8, 10), 10_000, 2, 20_000, 50),
    "full": Size(
        controls=39,
        endpoints=390,
        control_sweep=(13, 20, 30, 39),
        endpoint_sweep=(98, 195, 293, 390),
        steady=60_000,
        trials=20,
        lossy=1_800_000,
        datagrams=20_000,
    ),
}


@dataclass(frozen=True, slots=True)
class _Sealed:
    data: bytes
    origin: str
    to: str


@dataclass(slots=True)
class _Identity:
    sealer: Sealer
    guard: ReplayGuard = field(default_factory=ReplayGuard)


class SealedNetwork(VirtualNetwork):
    """Counts bytes and CPU of every node; all datagrams are really sealed."""

    def __init__(self, **settings) -> None:
        super().__init__(**settings)
        self._identities: dict[str, _Identity] = {}
        self.reset()

    def reset(self) -> None:
        """Count from now on."""
        self.since = self.now
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
        self.by_type: Counter[str] = Counter()
        self.cpu: Counter[str] = Counter()

    def post(self, address: str, sends: Iterable[Send]) -> None:
        """Seal and count what a node sends."""
        begun = time.process_time()
        identity = self._identity(address)
        for each in sends:
            payload = encode_message(each.message)
            data = seal(payload, RING, identity.sealer, audience=each.to)
            self.in_flight.append(_Sealed(data, address, each.to))
            self.sent[address] += len(data) + IP_AND_UDP
            self.datagrams[address] += 1
            self.by_type[type(each.message).__name__] += len(data) + IP_AND_UDP
        self.cpu[address] += time.process_time() - begun

    def deliver(self, datagram: _Sealed) -> None:
        """Open and count a datagram at its receiver."""
        if datagram.to not in self.nodes or self.is_cut(datagram.origin, datagram.to):
            return
        begun = time.process_time()
        guard = self._identity(datagram.to).guard
        opened = open_sealed(datagram.data, RING, guard, audience=datagram.to)
        if isinstance(opened, Rejected):
            raise AssertionError(f"a good datagram was refused: {opened.reason}")
        message = decode_message(opened.payload)
        source = Source(opened.sender, opened.incarnation, datagram.origin)
        plain = Datagram(source, datagram.to, message)
        sends = self.nodes[datagram.to].receive(plain, self.now)
        self.cpu[datagram.to] += time.process_time() - begun
        self.received[datagram.to] += len(datagram.data) + IP_AND_UDP
        self.datagrams[datagram.to] += 1
        self.post(datagram.to, sends)

    def tick(self) -> None:
        """Let each node do what is due, and count its CPU."""
        for address, node in list(self.nodes.items()):
            draw = self._random.randrange(2**32)
            begun = time.process_time()
            sends = node.tick(self.now, draw)
            self.cpu[address] += time.process_time() - begun
            if sends:
                self.post(address, sends)

    def _identity(self, address: str) -> _Identity:
        record = self.nodes[address].record
        known = self._identities.get(address)
        if known is None or known.sealer.incarnation != record.incarnation:
            known = _Identity(Sealer(record.name, record.incarnation))
            self._identities[address] = known
        return known

    def per_second(self, nodes: list) -> dict[str, float]:
        """Return means and the greatest of some nodes' traffic and CPU."""
        seconds = (self.now - self.since) / SECOND
        addresses = [node.record.udp_address for node in nodes]
        both = [(self.sent[a] + self.received[a]) / seconds for a in addresses]
        datagrams = [self.datagrams[a] / seconds for a in addresses]
        cpu = [self.cpu[a] / seconds for a in addresses]
        return {
            "bytes_per_s": round(statistics.mean(both), 1),
            "bytes_per_s_max": round(max(both), 1),
            "datagrams_per_s": round(statistics.mean(datagrams), 2),
            "cpu_share_of_core": round(statistics.mean(cpu), 6),
        }


def _steady(controls: int, endpoints: int, duration: Millis) -> SealedNetwork:
    network = started(controls, endpoints, make=SealedNetwork)
    network.run(WARM_UP)
    network.reset()
    network.run(duration)
    return network


def _fit(sizes: Iterable[int], values: Iterable[float]) -> dict:
    xs, ys = list(sizes), list(values)
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [abs(y - slope * x - intercept) for x, y in zip(xs, ys, strict=True)]
    return {
        "sizes": xs,
        "values": ys,
        "slope": slope,
        "intercept": intercept,
        "residual_max": max(residuals),
    }


def _sweep(sizes: tuple[int, ...], measure: Callable[[int], dict]) -> dict:
    measured = [measure(size) for size in sizes]
    return {
        figure: _fit(sizes, [each[figure] for each in measured])
        for figure in ("bytes_per_s", "datagrams_per_s", "cpu_share_of_core")
    }


def _control_cost(controls: int, endpoints: int, duration: Millis) -> dict:
    network = _steady(controls, endpoints, duration)
    return network.per_second(network.controls())


def _traffic(size: Size) -> dict:
    network = _steady(size.controls, size.endpoints, size.steady)
    seconds = size.steady / SECOND * size.controls
    return {
        "control": network.per_second(network.controls()),
        "endpoint": network.per_second(network.endpoints()),
        "bytes_sent_per_control_and_s_by_type": {
            kind: round(count / seconds, 1) for kind, count in network.by_type.items()
        },
    }


def _replacements(size: Size) -> dict:
    """One endpoint restarts each ten seconds, 30 times the target's rate."""
    network = _steady(size.controls, size.endpoints, 0)
    network.reset()
    for number in range(size.steady // 10_000):
        network.remove(network.endpoints()[number].record.udp_address)
        network.add_endpoint(number)
        network.run(10_000)
    return network.per_second(network.controls())


def _spread(size: Size, loss: float, act: Callable, wanted: State) -> dict:
    """Return how long first and last control take to learn what ``act`` does."""
    network = started(size.controls, size.endpoints, loss=loss)
    network.run(WARM_UP)
    first, last = [], []
    for trial in range(size.trials):
        node = network.endpoints()[0]
        name, begun = node.record.name, network.now
        act(network, node.record.udp_address)
        for times, reached in ((first, any), (last, all)):
            network.run_until(
                lambda name=name, reached=reached: reached(
                    state >= wanted for state in _each_state(network, name)
                ),
                LIMIT,
            )
            times.append(network.now - begun)
        network.remove(node.record.udp_address)
        network.run(250 * (trial % 8 + 1))
    return {"first": _quantiles(first), "last": _quantiles(last)}


def _each_state(network: VirtualNetwork, name: str) -> list[State]:
    records = [node.machine.record(name) for node in network.controls()]
    return [State.GONE if each is None else each.state for each in records]


def _quantiles(times: list[Millis]) -> dict:
    return {"median_ms": statistics.median(times), "max_ms": max(times)}


def _kill(network: VirtualNetwork, address: str) -> None:
    network.remove(address)


def _leave(network: VirtualNetwork, address: str) -> None:
    machine = network.nodes[address].machine
    network.post(address, machine.announce(State.LEAVING, network.now))


def _false_declarations(size: Size, loss: float) -> dict:
    network = started(size.controls, size.endpoints, loss=loss)
    network.run(WARM_UP)
    network.run(size.lossy)
    raised = [
        max(node.machine.record(name).silence for node in network.controls())
        for name in network.truth()
    ]
    return {
        "loss": loss,
        "endpoint_hours": len(raised) * size.lossy / 3_600_000,
        "declared_gone": sum((each + 1) // 2 for each in raised),
    }


def _cut(size: Size) -> dict:
    network = started(size.controls, size.endpoints, make=SealedNetwork)
    network.run(WARM_UP)
    for number, address in enumerate(network.nodes):
        network.sides[address] = number % 2
    network.reset()
    network.run(60_000)
    during = network.per_second(network.controls())
    network.sides = {}
    network.reset()
    took = network.run_until(network.agree, LIMIT)
    after = network.per_second(network.controls())
    return {"during_cut": during, "agree_after_ms": took, "while_healing": after}


def _memory(size: Size) -> int:
    tracemalloc.start()
    network = started(1, size.endpoints)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held if network.nodes else 0


def _socket_cost(datagrams: int) -> float:
    """Return CPU in us for one datagram sent and received by a real port."""
    received = []
    ports = [
        datagram_port(
            "127.0.0.1:0",
            RING,
            Sealer(name, 1),
            lambda message, source: received.append(message) or [],
            lambda reason: received.append(reason),
        )
        for name in ("one", "other")
    ]
    for port in ports:
        port.start()
    begun = time.process_time()
    for number in range(datagrams):
        ports[0].send([Send(ports[1].address, Probe())])
        if number % 50 == 0:
            gevent.sleep(0)
    while len(received) < datagrams:
        before = len(received)
        gevent.sleep(0.2)
        if len(received) == before:
            break
    spent = time.process_time() - begun
    for port in ports:
        port.stop()
    return spent / max(1, len(received)) * 1e6


def run(size: str) -> dict:
    """Return all figures for ``"tiny"`` or ``"full"``."""
    chosen = SIZES[size]
    return {
        "size": size,
        "controls": chosen.controls,
        "endpoints": chosen.endpoints,
        "traffic": _traffic(chosen),
        "with_a_restart_each_10_s": _replacements(chosen),
        "by_endpoints": _sweep(
            chosen.endpoint_sweep,
            lambda n: _control_cost(chosen.controls, n, chosen.steady),
        ),
        "by_controls": _sweep(
            chosen.control_sweep,
            lambda n: _control_cost(n, chosen.endpoints, chosen.steady),
        ),
        "detection_of_death": {
            "loss_0": _spread(chosen, 0.0, _kill, State.GONE),
            "loss_5": _spread(chosen, 0.05, _kill, State.GONE),
        },
        "news_of_leaving": {
            "loss_0": _spread(chosen, 0.0, _leave, State.LEAVING),
            "loss_5": _spread(chosen, 0.05, _leave, State.LEAVING),
        },
        "false_declarations": [
            _false_declarations(chosen, loss) for loss in (0.05, 0.3)
        ],
        "cut_in_halves": _cut(chosen),
        "directory_bytes_held": _memory(chosen),
        "socket_us_per_datagram": round(_socket_cost(chosen.datagrams), 1),
    }


if __name__ == "__main__":
    print(json.dumps(run(sys.argv[1] if len(sys.argv) > 1 else "tiny"), indent=2))
