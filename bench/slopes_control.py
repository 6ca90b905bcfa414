"""What one real control process uses: CPU, memory, bytes, the platform's table.

The process under test, an entry beside it and the platform's stand-in are real
processes; the rest of its data centre is in :mod:`bench.slopes_surroundings`.
Bytes that gRPC and HTTP move are counted by relays.
"""

import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import gevent

from azurefold.core.configuration.head import decode_head
from azurefold.core.configuration.sections import content_hash, split_configuration
from azurefold_standins.operator import accept, status
from azurefold_standins.site import Layout, Site, new_site
from bench.slopes_fit import Fit, fit
from bench.slopes_process import (
    CountingRelay,
    counting_relay,
    resident_mb,
    usage,
)
from bench.slopes_site import (
    configuration,
    counters,
    full_raw,
    rewrite,
    table_row,
    until,
    until_in_force,
    until_platform_listens,
)
from bench.slopes_surroundings import Surroundings, surround

__all__ = ["PARTS", "measure_part"]

_CONTROL, _ENTRY = "control-hall-0", "entry-hall-0"
_N_SERVICES = 29


@dataclass(frozen=True, slots=True)
class Size:
    """What one run covers."""

    peers: tuple[int, ...]
    endpoints: tuple[int, ...]
    far: tuple[int, ...]
    settle_s: float
    watch_s: float


SIZES = {
    "tiny": Size((1, 2, 3, 4), (2, 4, 6, 8), (1, 2, 3, 4), 2.0, 2.0),
    "full": Size((9, 19, 29, 38), (98, 195, 293, 390), (44, 88, 176, 351), 15.0, 30.0),
}


@dataclass(frozen=True, slots=True)
class Setting:
    """One control process and what is round it."""

    peers: int = 3
    endpoints: int = 8
    organisations: int = 100
    services: int = _N_SERVICES
    far: int = 1


@dataclass(slots=True)
class Bench:
    """Processes, relays and surroundings of one measurement."""

    setting: Setting
    site: Site
    world: Surroundings
    to_entry: CountingRelay
    to_platform: CountingRelay
    configuration: dict

    def pid(self, name: str) -> int:
        """Return a process's id."""
        return self.site.processes[name].pid

    def accept(self) -> int:
        """Have the configuration accepted, also by the neighbours."""
        revision = accept(self.site, self.configuration)
        row = table_row(self.site, "configuration/head")
        contents = split_configuration(full_raw(self.configuration)).values()
        self.world.accept(
            decode_head(row), {content_hash(each): each for each in contents}
        )
        return revision

    def wait_for(self, revision: int) -> float:
        """Return the seconds until the control and its entry hold a revision."""
        return until_in_force(self.site, (_CONTROL, _ENTRY), revision)

    def known_endpoints(self) -> int:
        """Return how many endpoints the control shows as serving."""
        shown = status(self.site, _CONTROL).get("endpoints", [])
        return sum(each["state"] == "serving" for each in shown)


@contextmanager
def bench(setting: Setting) -> Iterator[Bench]:
    """Run one measurement's processes, and end them by their ids."""
    with tempfile.TemporaryDirectory() as folder:
        site = new_site(Layout({"hall": 1}, ()), Path(folder))
        world = surround(site, _CONTROL, setting.peers, setting.endpoints)
        to_entry = counting_relay(site.address(_CONTROL, "grpc"))
        to_platform = counting_relay(site.address("platform", "http"))
        rewrite(site, _CONTROL, platform=[to_platform.address], peers=_peers(
            world, setting.far))  # fmt: skip
        rewrite(site, _ENTRY, control=to_entry.address)
        text = configuration(setting.services, setting.organisations, setting.endpoints)
        made = Bench(setting, site, world, to_entry, to_platform, text)
        try:
            site.start("platform")
            until_platform_listens(site)
            revision = made.accept()
            world.start()
            site.start(_CONTROL, _ENTRY)
            made.wait_for(revision)
            until(lambda: made.known_endpoints() >= setting.endpoints)
            yield made
        finally:
            site.processes.kill_all()
            world.stop()
            to_entry.server.stop()
            to_platform.server.stop()


def _rest(made: Bench, size: Size) -> dict:
    """Return what the control uses while nothing changes."""
    gevent.sleep(size.settle_s)
    made.world.reset()
    begun = time.monotonic()
    wire = made.to_platform.both_ways
    looks = made.world.store.looks
    reads = counters(made.site)
    used = usage(made.pid(_CONTROL), size.watch_s)
    passed = time.monotonic() - begun
    after = counters(made.site)
    return {
        "core_share": used.core_share,
        "resident_mb": used.resident_mb,
        "udp_bytes_per_s": made.world.both_ways() / passed,
        "announce_bytes_per_s": made.world.bytes["HeadAnnouncement"] / passed,
        "datagrams_per_s": made.world.datagrams.total() / passed,
        "platform_bytes_per_s": (made.to_platform.both_ways - wire) / passed,
        "data_centre_reads_per_s": (
            after["reads"] - reads["reads"] + made.world.store.looks - looks
        )
        / passed,
        "entry_resident_mb": resident_mb(made.pid(_ENTRY)),
    }


def _sweep(
    driver: str, sizes: tuple[int, ...], make: Callable, measure: Callable, size: Size
) -> dict[str, Fit]:
    rows = []
    for each in sizes:
        with bench(make(each)) as made:
            rows.append(measure(made, size))
    units = {
        "core_share": "of a core",
        "resident_mb": "MB",
        "udp_bytes_per_s": "B/s",
        "announce_bytes_per_s": "B/s",
        "datagrams_per_s": "datagrams/s",
        "platform_bytes_per_s": "B/s",
        "data_centre_reads_per_s": "reads/s",
        "entry_resident_mb": "MB",
    }
    return {
        figure: fit(driver, unit, sizes, [row[figure] for row in rows])
        for figure, unit in units.items()
    }


def _by_peers(size: Size) -> dict[str, Fit]:
    most = size.endpoints[-1]
    return _sweep("controls near", size.peers,
                  lambda n: Setting(peers=n, endpoints=most), _rest, size)  # fmt: skip


def _by_endpoints(size: Size) -> dict[str, Fit]:
    most = size.peers[-1]
    return _sweep("endpoints", size.endpoints,
                  lambda n: Setting(peers=most, endpoints=n), _rest, size)  # fmt: skip


def _by_far(size: Size) -> dict[str, Fit]:
    # Each service has an endpoint here: nothing has to be asked for elsewhere.
    return _sweep(
        "controls far",
        size.far,
        lambda n: Setting(far=n, endpoints=_N_SERVICES),
        _rest,
        size,
    )


_PARTS = {
    "by_peers": _by_peers,
    "by_endpoints": _by_endpoints,
    "by_far_controls": _by_far,
}


def measure_part(size: str, part: str) -> dict[str, dict]:
    """Return the fits of one part by their names."""
    fits = _PARTS[part](SIZES[size])
    return {f"control.{part}.{name}": each.as_dict() for name, each in fits.items()}


PARTS = tuple(_PARTS)


def _peers(world: Surroundings, far: int) -> list[dict]:
    near = [
        _peer(each.name, "hall", each.udp_address, world) for each in world.neighbours
    ]
    return near + [
        _peer(f"far-{n:03d}", f"hall-{n % 9}", world.far, world) for n in range(far)
    ]


def _peer(name: str, data_centre: str, udp: str, world: Surroundings) -> dict:
    # Nobody answers gRPC there: contents then come from the platform.
    grpc = world.under_test.rpartition(":")[0] + ":9"
    return {"name": name, "data_centre": data_centre, "udp": udp, "grpc": grpc}
