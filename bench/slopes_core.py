"""The core's own state machines at the target's full size, on one machine."""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass

import msgspec

from azurefold.border.configuration import configuration_from_raw
from azurefold.core.balance.packing import pack_experts
from azurefold.core.configuration.follower import Follower, create_follower
from azurefold.core.configuration.head import (
    NO_HEAD,
    Head,
    build_next_head,
    compute_delta,
    encode_json,
)
from azurefold.core.configuration.messages import (
    AnnouncementReceived,
    Apply,
    HeadFetched,
    Peer,
    SectionsFetched,
)
from azurefold.core.configuration.sections import (
    Sections,
    assemble_configuration,
    canonical_bytes,
    content_hash,
    split_configuration,
)
from azurefold.core.groups.lead_time import LeadTimePolicy
from azurefold.core.groups.phases import Idle
from bench import balance_cpu
from bench.groups import UNIT_PER_MS, Simulation
from bench.membership import WARM_UP, SealedNetwork
from bench.membership_network import started
from bench.slopes_fit import Fit, fit
from bench.slopes_site import configuration, full_raw

__all__ = ["PARTS", "measure_part"]

_N_SERVICES = 29
_ENDPOINTS_OF_A_SERVICE = 134
_REPEATS = 5
_SEED = 20_261_202
_PEER = Peer("other")


@dataclass(frozen=True, slots=True)
class Size:
    """What one run covers."""

    controls: int
    endpoints: tuple[int, ...]
    organisations: tuple[int, ...]
    ranks: tuple[int, ...]
    experts: tuple[int, ...]
    steady_ms: int
    changes: int
    cases: int


SIZES = {
    "tiny": Size(3, (2, 4, 6, 8), (8, 16, 24, 32), (2, 3, 4, 5), (8, 12, 16, 20),
                 5_000, 2, 1),
    "full": Size(39, (98, 195, 293, 390), (1_025, 2_050, 4_100, 8_200), (4, 8, 16, 32),
                 (32, 64, 128, 256), 60_000, 20, 20),
}  # fmt: skip


def _membership(size: Size) -> dict[str, Fit]:
    rows = []
    for endpoints in size.endpoints:
        network = started(size.controls, endpoints, make=SealedNetwork)
        network.run(WARM_UP)
        network.reset()
        network.run(size.steady_ms)
        rows.append(network.per_second(network.controls()))
    units = {
        "bytes_per_s": "B/s",
        "datagrams_per_s": "datagrams/s",
        "cpu_share_of_core": "of a core",
    }
    return {
        figure: fit("endpoints", unit, size.endpoints, [row[figure] for row in rows])
        for figure, unit in units.items()
    }


def _configuration(size: Size) -> dict[str, Fit]:
    rows = [_one_configuration(n) for n in size.organisations]
    units = {
        "split_ms": "ms",
        "assemble_ms": "ms",
        "validate_ms": "ms",
        "follow_ms": "ms a change",
        "whole_bytes": "B",
        "head_bytes": "B",
        "delta_bytes": "B a change",
        "section_bytes": "B a change",
        "follower_mb": "MB",
    }
    return {
        figure: fit(
            "organisations", unit, size.organisations, [r[figure] for r in rows]
        )
        for figure, unit in units.items()
    }


def _one_configuration(organisations: int) -> dict[str, float]:
    endpoints = _N_SERVICES * _ENDPOINTS_OF_A_SERVICE
    text = configuration(_N_SERVICES, organisations, endpoints)
    raw = full_raw(text)
    sections = split_configuration(raw)
    first = _head(NO_HEAD, sections)
    changed = split_configuration(_with_one_change(raw))
    second = _head(first, changed)
    tracemalloc.start()
    machine = create_follower("one", "hall")
    # Copied, as contents that come from elsewhere are this process's own.
    _follow(machine, first, {k: bytes(bytearray(v)) for k, v in sections.items()})
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    begun = time.process_time()
    _follow(machine, second, changed)
    follow_s = time.process_time() - begun
    delta = canonical_bytes(asdict(compute_delta(first, second)))
    news = [data for name, data in changed.items() if sections.get(name) != data]
    return {
        "split_ms": _ms(lambda: split_configuration(raw)),
        "assemble_ms": _ms(lambda: assemble_configuration(sections)),
        "validate_ms": _ms(lambda: configuration_from_raw(raw)),
        "follow_ms": 1_000 * follow_s,
        "whole_bytes": len(msgspec.json.encode(raw)),
        "head_bytes": len(encode_json(first)),
        "delta_bytes": len(delta),
        "section_bytes": sum(map(len, news)),
        "follower_mb": held / 2**20,
    }


def _head(base: Head, sections: Sections) -> Head:
    hashes = {name: content_hash(data) for name, data in sections.items()}
    return build_next_head(base, f"{base.revision + 1:032x}", hashes)


def _with_one_change(raw: dict) -> dict:
    organisations = dict(raw["organisations"])
    name = next(iter(organisations))
    organisations[name] = {**organisations[name], "share": 9.0}
    return {**raw, "organisations": organisations}


def _follow(machine: Follower, head: Head, sections: Sections) -> None:
    contents = {head.sections[name]: data for name, data in sections.items()}
    machine.handle(AnnouncementReceived(head.head_id, _PEER, 0), 0)
    machine.handle(HeadFetched(head, _PEER), 0)
    applied = machine.handle(SectionsFetched(contents, _PEER), 0)
    if not any(isinstance(action, Apply) for action in applied):
        raise AssertionError("the head was not applied")


def _ms(work: Callable[[], object]) -> float:
    times = []
    for _ in range(_REPEATS):
        begun = time.process_time()
        work()
        times.append(1_000 * (time.process_time() - begun))
    return min(times)


def _maps(size: Size) -> dict[str, Fit]:
    messages, decisions, coded = [], [], []
    most = size.experts[-1]
    for ranks in size.ranks:
        messages.append(_messages_of_a_change(ranks, size.changes))
    ranks = size.ranks[-1]
    for experts in size.experts:
        slots = max(1, -(-experts * 5 // (ranks * 4)))
        rates = [place**-0.8 for place in range(1, experts + 1)]
        coded.append(
            len(msgspec.msgpack.encode(pack_experts(rates, ranks, slots).ranks))
        )
        decisions.append(_decision_ms(experts, ranks, slots, size.cases))
    if not coded[-1] > coded[0]:
        raise AssertionError(f"a map of {most} experts is not the largest")
    return {
        "messages_a_change": fit("ranks", "messages a change", size.ranks, messages),
        "map_bytes": fit("experts", "B a layer", size.experts, coded),
        "decision_ms": fit("experts", "ms a layer", size.experts, decisions),
    }


def _messages_of_a_change(ranks: int, changes: int) -> float:
    policy = LeadTimePolicy(default_step_time=5.0 * UNIT_PER_MS)
    world = Simulation(
        ranks, 0.5 * UNIT_PER_MS, 5 * UNIT_PER_MS, policy, random.Random(_SEED)
    )
    world.run_until(500 * UNIT_PER_MS)
    counts = []
    for serial in range(changes):
        while not isinstance(world.coordinator.phase, Idle):
            world.run_until(world.now + UNIT_PER_MS)
        before = world.sequence
        world.change(f"map-{serial}")
        while not isinstance(world.coordinator.phase, Idle):
            world.run_until(world.now + UNIT_PER_MS)
        counts.append(world.sequence - before)
    return statistics.fmean(counts)


def _decision_ms(experts: int, ranks: int, slots: int, cases: int) -> float:
    row = balance_cpu._row(experts, ranks, slots, cases)
    return row["median ms"]


_PARTS = {"membership": _membership, "configuration": _configuration, "maps": _maps}
PARTS = tuple(_PARTS)
"""What can be measured here."""


def measure_part(size: str, part: str) -> dict[str, dict]:
    """Return the fits of one part by their names."""
    fits = _PARTS[part](SIZES[size])
    return {f"core.{part}.{name}": each.as_dict() for name, each in fits.items()}
