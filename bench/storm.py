"""Runs per key under a storm of repeats, while agents and entries are killed.

Every key is sent by several callers at the same moment, at entries of two data
centres; each comes back with the key until it has an answer or gives up.
Printed are the runs per key, which must never exceed one, and what callers were
told in the end.
"""

import json
import random
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent.pool import Pool

from azurefold_standins.callers import Caller, Request
from azurefold_standins.operator import accept, fetch, wait_ready
from azurefold_standins.site import Endpoint, Layout, Site, new_site

__all__ = ["run"]

_SEED = 7
_REPEATS = 3
_AT_ONCE = 48
_KILL_EVERY_S = 1.5
_DOWN_S = 0.5
_LATENCY_MS = 150


@dataclass(frozen=True, slots=True)
class _Size:
    keys: int
    kills: int


_SIZES = {"tiny": _Size(keys=20, kills=1), "full": _Size(keys=600, kills=12)}


def run(size: str) -> dict:
    """Measure once and return the figures."""
    chosen = _SIZES[size]
    with tempfile.TemporaryDirectory(prefix="azurefold-storm-") as folder:
        site = new_site(_layout(), Path(folder))
        try:
            site.start()
            accept(site, _configuration())
            wait_ready(site)
            return _storm(site, chosen)
        finally:
            site.processes.kill_all()


def _layout() -> Layout:
    endpoints = [
        Endpoint(f"bookings-{n}", "bookings", data_centre)
        for n, data_centre in enumerate(("hall-a", "hall-a", "hall-b", "hall-b"))
    ]
    return Layout({"hall-a": 2, "hall-b": 2}, tuple(endpoints), latency_ms=_LATENCY_MS)


def _configuration() -> dict:
    service = {
        "kind": "plain",
        "data_centres": ["hall-a", "hall-b"],
        "endpoints": [f"bookings-{n}" for n in range(4)],
        "priority": "confirmation",
        "idempotent": False,
    }
    return {"services": {"bookings": service}, "organisations": {"union": {}}}


def _storm(site: Site, size: _Size) -> dict:
    caller = Caller([site.address(name, "listen") for name in site.entries])
    requests = [
        Request("booking", "union", key=f"k{n}", body=json.dumps({"slot": n}))
        for n in range(size.keys)
    ]
    sends = [request for request in requests for _ in range(_REPEATS)]
    pool = Pool(_AT_ONCE)
    killer = gevent.spawn(_kill_some, site, size.kills)
    pause = size.kills * (_KILL_EVERY_S + _DOWN_S) / len(sends)
    jobs = []
    for number, request in enumerate(sends):
        jobs.append(pool.spawn(caller.send, number, request))
        # Paced over the whole time of the kills; a burst would be over before
        # the second one.
        gevent.sleep(pause)
    pool.join()
    killer.join()
    return _figures(site, size, requests, [job.value for job in jobs])


def _kill_some(site: Site, kills: int) -> None:
    draw = random.Random(_SEED)
    victims = [f"agent-{e.name}" for e in site.layout.endpoints] + site.entries
    for _ in range(kills):
        gevent.sleep(_KILL_EVERY_S)
        process = site.processes[draw.choice(victims)]
        process.kill()
        gevent.sleep(_DOWN_S)
        process.start()


def _figures(site: Site, size: _Size, requests: list, outcomes: list) -> dict:
    runs: Counter = Counter()
    for endpoint in site.layout.endpoints:
        page = fetch(site.address(f"engine-{endpoint.name}", "http"), "/journal")
        runs.update(json.loads(page.body))
    told = Counter(outcome.result for outcome in outcomes)
    per_key = [runs[request.body] for request in requests]
    return {
        "keys": size.keys,
        "calls": len(outcomes),
        "kills": size.kills,
        "most_runs_per_key": max(per_key),
        "keys_run": sum(1 for each in per_key if each),
        "answered": told["answered"],
        "refused": told["refused"],
        "unknown": told["unknown"],
        "share_unknown": round(told["unknown"] / len(outcomes), 4),
        "target_met": max(per_key) <= 1,
    }


if __name__ == "__main__":
    for name, figure in run("full").items():
        print(f"{name:20} {figure}")
