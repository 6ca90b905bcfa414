"""What one change of the configuration costs, by its size.

Four real control processes of one data centre, one entry and the platform's
stand-in; all that moves between them over TCP goes through counting relays.
"""

import statistics
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import gevent

from azurefold_standins.operator import accept
from azurefold_standins.site import Layout, Site, new_site
from bench.slopes_fit import Fit, fit
from bench.slopes_process import CountingRelay, counting_relay, cpu_s, resident_mb
from bench.slopes_site import (
    configuration,
    counters,
    rewrite,
    until_in_force,
    until_platform_listens,
)

__all__ = ["CONTROLS_MEASURED", "PARTS", "measure_part"]

CONTROLS_MEASURED = 4
_POLLERS = 2
_ONE_DATA_CENTRE = Layout({"hall": CONTROLS_MEASURED}, ())
_N_SERVICES = 29
_ENDPOINTS_OF_A_SERVICE = 134
_STRIDE = 37
_UNITS = {
    "control_cpu_ms": "ms a change",
    "entry_cpu_ms": "ms a change",
    "watch_bytes": "B a change",
    "peer_bytes": "B a change",
    "platform_bytes": "B a change",
    "poller_bytes_per_s": "B/s",
    "table_reads": "table reads a change",
    "object_reads": "object reads a change",
    "control_resident_mb": "MB",
    "entry_resident_mb": "MB",
    "in_force_s": "s",
}


@dataclass(frozen=True, slots=True)
class Size:
    """What one run covers."""

    organisations: tuple[int, ...]
    services: tuple[int, ...]
    data_centres: tuple[int, ...]
    changes: int
    rest_s: float


SIZES = {
    "tiny": Size((8, 16, 24, 32), (1, 2, 3, 4), (1, 2, 3, 4), 2, 2.0),
    "full": Size(
        (1_025, 2_050, 4_100, 8_200), (8, 15, 22, 29), (1, 4, 7, 10), 30, 30.0
    ),
}


@dataclass(slots=True)
class Fleet:
    """Processes of one measurement, and the relays between them."""

    site: Site
    text: dict
    to_entry: CountingRelay
    to_platform: CountingRelay
    to_peers: list[CountingRelay]

    @property
    def watched(self) -> list[str]:
        """Names of the processes whose CPU is counted."""
        return [*self.site.controls, self.site.entries[0]]

    def cpu(self) -> dict[str, float]:
        """Return the CPU seconds so far of each."""
        return {n: cpu_s(self.site.processes[n].pid) for n in self.watched}

    def resident_mb(self, name: str) -> float:
        """Return the resident memory of one."""
        return resident_mb(self.site.processes[name].pid)

    def bytes(self) -> dict[str, int]:
        """Return the bytes so far, by what moved them."""
        return {
            "watch_bytes": self.to_entry.both_ways,
            "peer_bytes": sum(relay.both_ways for relay in self.to_peers),
            "platform_bytes": self.to_platform.both_ways,
        }

    def change(self, number: int) -> float:
        """Change one organisation; return the seconds until it is in force."""
        names = list(self.text["organisations"])
        name = names[number * _STRIDE % len(names)]
        self.text["organisations"][name] = {"share": 2 + number}
        return until_in_force(self.site, self.watched, accept(self.site, self.text))


@contextmanager
def _fleet(text: dict, layout: Layout = _ONE_DATA_CENTRE) -> Iterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        site = new_site(layout, Path(folder))
        fleet = _with_relays(site, text)
        try:
            site.start("platform")
            until_platform_listens(site)
            revision = accept(site, text)
            site.start(*fleet.watched)
            until_in_force(site, fleet.watched, revision)
            yield fleet
        finally:
            site.processes.kill_all()


def _with_relays(site: Site, text: dict) -> Fleet:
    to_platform = counting_relay(site.address("platform", "http"))
    to_entry = counting_relay(site.address(site.controls[0], "grpc"))
    to_peers = {
        name: counting_relay(site.address(name, "grpc")) for name in site.controls
    }
    for name in site.controls:
        peers = [
            {
                "name": other,
                "data_centre": site.data_centre_of(other),
                "udp": site.address(other, "udp"),
                "grpc": relay.address,
            }
            for other, relay in to_peers.items()
            if other != name
        ]
        rewrite(site, name, peers=peers, platform=[to_platform.address])
    rewrite(
        site, site.entries[0], control=to_entry.address, platform=[to_platform.address]
    )
    return Fleet(site, text, to_entry, to_platform, list(to_peers.values()))


def _measure(fleet: Fleet, size: Size) -> dict[str, float]:
    gevent.sleep(size.rest_s / 2)
    resting = _spent(fleet, lambda: gevent.sleep(size.rest_s))
    times: list[float] = []

    def change_all() -> None:
        times.extend(fleet.change(number) for number in range(size.changes))

    changing = _spent(fleet, change_all)
    each = {
        figure: (rate - resting.rates[figure]) * changing.seconds / size.changes
        for figure, rate in changing.rates.items()
    }
    return {
        "control_cpu_ms": 1_000
        * statistics.fmean(each[name] for name in fleet.site.controls),
        "entry_cpu_ms": 1_000 * each[fleet.site.entries[0]],
        "watch_bytes": each["watch_bytes"],
        # What one sends another receives: a control has both ends of its share.
        "peer_bytes": 2 * each["peer_bytes"] / CONTROLS_MEASURED,
        "platform_bytes": each["platform_bytes"] / CONTROLS_MEASURED,
        "poller_bytes_per_s": resting.rates["platform_bytes"] / _POLLERS,
        "table_reads": each["reads"] / CONTROLS_MEASURED,
        "object_reads": each["object_reads"] / CONTROLS_MEASURED,
        "control_resident_mb": fleet.resident_mb(fleet.site.controls[0]),
        "entry_resident_mb": fleet.resident_mb(fleet.site.entries[0]),
        "in_force_s": statistics.median(times),
    }


@dataclass(frozen=True, slots=True)
class _Spent:
    seconds: float
    rates: dict[str, float]


def _spent(fleet: Fleet, action: Callable[[], None]) -> _Spent:
    begun = time.monotonic()
    before = {**fleet.cpu(), **fleet.bytes(), **counters(fleet.site)}
    action()
    after = {**fleet.cpu(), **fleet.bytes(), **counters(fleet.site)}
    passed = time.monotonic() - begun
    return _Spent(passed, {k: (after[k] - before[k]) / passed for k in before})


def _sweep(driver: str, sizes: tuple[int, ...], text: Callable, size: Size) -> dict:
    rows = []
    for each in sizes:
        with _fleet(text(each)) as fleet:
            rows.append(_measure(fleet, size))
    return {
        figure: fit(driver, unit, sizes, [row[figure] for row in rows])
        for figure, unit in _UNITS.items()
    }


def _by_organisations(size: Size) -> dict[str, Fit]:
    return _sweep(
        "organisations",
        size.organisations,
        lambda n: configuration(_N_SERVICES, n, _N_SERVICES * _ENDPOINTS_OF_A_SERVICE),
        size,
    )


def _by_services(size: Size) -> dict[str, Fit]:
    return _sweep(
        "services",
        size.services,
        lambda n: configuration(n, 100, n * _ENDPOINTS_OF_A_SERVICE),
        size,
    )


def _by_data_centres(size: Size) -> dict[str, Fit]:
    """At rest; one service has endpoints in no data centre that is measured."""
    rows = []
    for number in size.data_centres:
        layout = Layout({f"hall-{n}": 1 for n in range(number)}, ())
        with _fleet(configuration(1, 100, 100), layout) as fleet:
            gevent.sleep(size.rest_s / 2)
            rates = _spent(fleet, lambda: gevent.sleep(size.rest_s)).rates
            controls = fleet.site.controls
            rows.append(
                {
                    "core_share": statistics.fmean(rates[each] for each in controls),
                    "bytes_per_s": 2 * rates["peer_bytes"] / number,
                }
            )
    units = {"core_share": "of a core", "bytes_per_s": "B/s"}
    return {
        figure: fit("data centres", unit, size.data_centres, [r[figure] for r in rows])
        for figure, unit in units.items()
    }


_PARTS = {
    "by_organisations": _by_organisations,
    "by_services": _by_services,
    "by_data_centres": _by_data_centres,
}
PARTS = tuple(_PARTS)
"""What can be measured here."""


def measure_part(size: str, part: str) -> dict[str, dict]:
    """Return the fits of one part by their names."""
    fits = _PARTS[part](SIZES[size])
    return {f"changes.{part}.{name}": each.as_dict() for name, each in fits.items()}
