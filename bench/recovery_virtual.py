"""Recovery of membership and of configuration followers, in virtual time."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from azurefold.core.clock import SECOND, Millis
from azurefold.core.configuration.follower import FollowerPolicy
from azurefold.core.membership.directory import Directory
from bench.membership_network import Datagram, VirtualNetwork, started, view
from bench.recovery_followers import Followers

LIMIT: Millis = 180 * SECOND

_WARM_UP: Millis = 20 * SECOND
_EDITS_PER_DAY = 12_000
_DAY: Millis = 86_400 * SECOND
_WAYS = {
    "as it is": None,
    "without a wait for peers": FollowerPolicy(first_fetch_scale_ms=0),
}


@dataclass(frozen=True, slots=True)
class Size:
    """What one run covers."""

    data_centres: int
    controls: int
    endpoints: int
    sections: tuple[int, ...]
    cut: Millis
    cut_controls: int
    trials: int


class _CountingNetwork(VirtualNetwork):
    """Counts what each address receives.

    Every control is a seed, as in a control process, which gets all peers of its
    data centre from its settings.
    """

    def __init__(self, **settings) -> None:
        super().__init__(**settings)
        self.received: dict[str, int] = {}

    def know_seeds(self, controls: int) -> None:
        """Make that many controls known to all that start from now on."""
        scratch = VirtualNetwork()
        self._seeds = tuple(scratch.add_control(number) for number in range(controls))

    def deliver(self, datagram: Datagram) -> None:
        """Hand over one datagram and count it."""
        self.received[datagram.to] = self.received.get(datagram.to, 0) + 1
        super().deliver(datagram)


def membership(size: Size) -> list[dict]:
    """Return what a restart costs in a data centre's membership."""
    return [
        _restarted_control(size),
        _restarted_endpoint(size),
        _cold_start(size),
    ]


def _warm(size: Size) -> _CountingNetwork:
    network = started(size.controls, size.endpoints, make=_CountingNetwork)
    network.run(_WARM_UP)
    return network


def _restarted_control(size: Size) -> dict:
    network = _warm(size)
    network.know_seeds(size.controls)
    network.remove(network.controls()[0].record.udp_address)
    address = network.add_control(0)
    network.received.clear()
    machine = network.nodes[address].machine
    begun = network.now
    half = network.run_until(lambda: _known_share(network, machine) >= 0.5, LIMIT)
    network.run_until(lambda: _known_share(network, machine) == 1.0, LIMIT)
    row = _row("a control", network.now - begun, network.received.get(address, 0))
    return row | {"knows_half_ms": half}


def _known_share(network: VirtualNetwork, machine: Directory) -> float:
    """Return the share of live processes that a control knows in their present life."""
    truth = {name: seen[0] for name, seen in network.truth().items()}
    seen = {name: known[0] for name, known in view(machine).items()}
    return len(truth.items() & seen.items()) / len(truth)


def _restarted_endpoint(size: Size) -> dict:
    network = _warm(size)
    network.remove(network.endpoints()[0].record.udp_address)
    address = network.add_endpoint(0)
    network.received.clear()
    record = network.nodes[address].record

    def known() -> bool:
        return all(
            view(node.machine).get(record.name, (0,))[0] == record.incarnation
            for node in network.controls()
        )

    took = network.run_until(known, LIMIT)
    return _row("an endpoint, at all controls", took, network.received.get(address, 0))


def _cold_start(size: Size) -> dict:
    network = _CountingNetwork()
    network.know_seeds(size.controls)
    for number in range(size.controls):
        network.add_control(number)
    for number in range(size.endpoints):
        network.add_endpoint(number)
    machines = [node.machine for node in network.controls()]

    def half_is_known() -> bool:
        shares = (_known_share(network, machine) for machine in machines)
        return statistics.mean(shares) >= 0.5

    half = network.run_until(half_is_known, LIMIT)
    begun = network.now - (half or LIMIT)
    network.run_until(network.agree, LIMIT)
    mean = statistics.mean(
        network.received.get(node.record.udp_address, 0) for node in network.controls()
    )
    row = _row("all at once, until all agree", network.now - begun, round(mean))
    return row | {"knows_half_ms": half}


def _row(what: str, took: Millis | None, received: int) -> dict:
    return {"restarted": what, "knows_ms": took, "datagrams_received": received}


def herd(size: Size, alone_ms: Millis) -> list[dict]:
    """Restart all control processes at once, in few and in all data centres."""
    few = range(1, min(3, size.data_centres))
    sizes = [(size.data_centres, n) for n in size.sections]
    sizes += [(data_centres, size.sections[-1]) for data_centres in few]
    rows = []
    for data_centres, n_sections in sizes:
        for way, policy in _WAYS.items():
            fleet = Followers(
                data_centres, size.controls, n_sections, alone_ms, policy=policy
            )
            rows.append(_herd(fleet, n_sections, way))
    return rows


def _herd(fleet: Followers, n_sections: int, way: str) -> dict:
    fleet.start()
    took = fleet.run_until(fleet.all_hold_the_head, LIMIT)
    row = {"nodes": len(fleet.nodes), "sections": n_sections, "way": way}
    return row | {"all_hold_ms": took} | fleet.reads()


def restarts(size: Size, alone_ms: Millis) -> list[dict]:
    """Restart one control process, and one data centre of many."""
    rows = []
    for platform_up in (True, False):
        for what in ("one control", "one data centre"):
            fleet = Followers(
                size.data_centres, size.controls, size.sections[-1], alone_ms
            )
            # Built up by one data centre first: this is not the herd's figure.
            fleet.start_one("control-0-0", 0)
            fleet.run(5 * SECOND)
            fleet.start()
            fleet.run_until(fleet.all_hold_the_head, LIMIT)
            fleet.platform.up = platform_up
            fleet.run(_WARM_UP)
            rows.append(_restart(fleet, what, platform_up))
    return rows


def _restart(fleet: Followers, what: str, platform_up: bool) -> dict:
    since = fleet.now
    if what == "one control":
        fleet.start_one("control-0-0", 0)
    else:
        fleet.start(0)
    took = fleet.run_until(lambda: fleet.all_hold_the_head(0), LIMIT)
    received = _mean(
        node.received for node in fleet.nodes.values() if node.started_at >= since
    )
    row = {"restarted": what, "platform_up": platform_up, "knows_ms": took}
    return row | {"messages_received_each": received} | fleet.reads(since)


def _mean(values: Iterable[float]) -> float:
    return round(statistics.mean(values), 1)


def cut(size: Size, alone_ms: Millis) -> dict:
    """Cut a data centre from platform and peers, and link it again."""
    fleet = Followers(3, size.cut_controls, size.sections[0], alone_ms)
    fleet.start()
    fleet.run_until(fleet.all_hold_the_head, LIMIT)
    fleet.cut = {0}
    edits = 0
    every = _DAY // _EDITS_PER_DAY
    while edits * every < size.cut:
        edits += 1
        fleet.platform.edit(edits, size.sections[0])
        fleet.run(every)
    held = {node.machine.head.revision for node in fleet.nodes.values()}
    fleet.cut = set()
    since = fleet.now
    took = fleet.run_until(fleet.all_hold_the_head, LIMIT)
    alarms = sum(len(node.machine.alarms) for node in fleet.nodes.values())
    return {
        "cut_s": size.cut / SECOND,
        "edits_meanwhile": edits,
        "revisions_held_at_healing": sorted(held),
        "all_hold_after_ms": took,
        "alarms": alarms,
    } | fleet.reads(since)
