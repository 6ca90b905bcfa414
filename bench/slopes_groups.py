"""What groups of ranks cost at rest: leases in the table, coordinators' CPU."""

import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import gevent

from azurefold_standins.operator import accept
from azurefold_standins.site import Endpoint, Layout, Site, new_site
from bench.slopes_fit import Fit, fit
from bench.slopes_process import cpu_s
from bench.slopes_site import (
    counters,
    known_endpoints,
    until,
    until_platform_listens,
)

__all__ = ["PARTS", "measure_part"]

_RANKS_OF_A_GROUP = 2


@dataclass(frozen=True, slots=True)
class Size:
    """What one run covers."""

    groups: tuple[int, ...]
    rest_s: float


SIZES = {"tiny": Size((1, 2, 3, 4), 2.0), "full": Size((1, 2, 4, 8), 30.0)}


def _by_groups(size: Size) -> dict[str, Fit]:
    rows = []
    for groups in size.groups:
        with _groups(groups) as site:
            pids = [site.processes[name].pid for name in site.controls]
            gevent.sleep(size.rest_s / 2)
            before, begun = counters(site), time.monotonic()
            spent = sum(map(cpu_s, pids))
            gevent.sleep(size.rest_s)
            passed, after = time.monotonic() - begun, counters(site)
            rows.append(
                {
                    "table_writes": (after["writes"] - before["writes"]) / passed,
                    "table_reads": (after["reads"] - before["reads"]) / passed,
                    "control_core_share": (sum(map(cpu_s, pids)) - spent) / passed,
                }
            )
    units = {
        "table_writes": "writes/s",
        "table_reads": "reads/s",
        "control_core_share": "of a core",
    }
    return {
        figure: fit("groups", unit, size.groups, [row[figure] for row in rows])
        for figure, unit in units.items()
    }


@contextmanager
def _groups(groups: int) -> Iterator[Site]:
    ranks = tuple(
        Endpoint(f"drafts-{g}-{n}", "recall-drafts", "hall", f"drafts-{g}", n)
        for g in range(groups)
        for n in range(_RANKS_OF_A_GROUP)
    )
    names = {f"drafts-{g}": [] for g in range(groups)}
    for rank in ranks:
        names[rank.group].append(rank.name)
    service = {
        "kind": "model",
        "model": "recall-drafter",
        "data_centres": ["hall"],
        "endpoints": [rank.name for rank in ranks],
        "groups": names,
    }
    text = {"services": {"recall-drafts": service}, "organisations": {}}
    with tempfile.TemporaryDirectory() as folder:
        site = new_site(Layout({"hall": 2}, ranks), Path(folder))
        try:
            site.start()
            until_platform_listens(site)
            accept(site, text)
            until(lambda: known_endpoints(site) == len(ranks))
            yield site
        finally:
            site.processes.kill_all()


_PARTS = {"at_rest": _by_groups}
PARTS = tuple(_PARTS)
"""What can be measured here."""


def measure_part(size: str, part: str) -> dict[str, dict]:
    """Return the fits of one part by their names."""
    fits = _PARTS[part](SIZES[size])
    return {f"groups.{part}.{name}": each.as_dict() for name, each in fits.items()}
