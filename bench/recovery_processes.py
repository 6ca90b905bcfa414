"""Recovery of real processes on loopback, killed and started again by id."""

import json
import statistics
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from azurefold_standins.client import Client
from azurefold_standins.operator import accept, fetch, status, wait_ready
from azurefold_standins.processes import wait_until
from azurefold_standins.site import Endpoint, Layout, Site, new_site


@contextmanager
def _site() -> Iterator[Site]:
    endpoints = tuple(
        Endpoint(f"bookings-{n}", "bookings", hall)
        for n, hall in enumerate(("fukuoka-hall", "kumamoto-hall"))
    )
    layout = Layout({"fukuoka-hall": 2, "kumamoto-hall": 2}, endpoints)
    with tempfile.TemporaryDirectory() as folder:
        site = new_site(layout, Path(folder))
        try:
            site.start()
            accept(site, _configuration(layout))
            wait_ready(site)
            yield site
        finally:
            site.processes.kill_all()


def _configuration(layout: Layout) -> dict:
    service = {
        "kind": "plain",
        "data_centres": list(layout.data_centres),
        "endpoints": [endpoint.name for endpoint in layout.endpoints],
        "idempotent": False,
    }
    return {"services": {"bookings": service}, "organisations": {"union": {}}}


def processes(trials: int) -> list[dict]:
    """Return a row for each role, with the platform up and down."""
    with _site() as site:
        rows = []
        for mode in ("ok", "down"):
            _platform(site, mode)
            for role, knows in _ROLES.items():
                rows.append(
                    {"role": role, "platform": mode} | _each(site, knows, trials)
                )
        _platform(site, "ok")
        rows.append({"role": "all at once", "platform": "ok"} | _all_at_once(site))
    return rows


def _platform(site: Site, mode: str) -> None:
    body = b'{"mode": "%s"}' % mode.encode()
    fetch(site.address("platform", "http"), "/faults", "PUT", body)


def _each(site: Site, knows: tuple[str, Callable], trials: int) -> dict:
    name, condition = knows
    up, ready, reads = [], [], []
    for _ in range(trials):
        before = _platform_reads(site)
        site.processes[name].kill()
        begun = time.monotonic()
        site.start(name)
        wait_until(lambda: _is_up(site, name), f"{name} is up")
        up.append(time.monotonic() - begun)
        wait_until(lambda: condition(site, name), f"{name} knows what it needs")
        ready.append(time.monotonic() - begun)
        reads.append(_platform_reads(site) - before)
    return _summary(up, ready) | {"platform_reads_all_nodes": statistics.median(reads)}


def _summary(up: list[float], ready: list[float]) -> dict:
    knowing = [both - alone for both, alone in zip(ready, up, strict=True)]
    return {
        "trials": len(up),
        "up_s": round(statistics.median(up), 2),
        "knows_s": round(statistics.median(ready), 2),
        "knows_s_max": round(max(ready), 2),
        "knows_after_up_s": round(statistics.median(knowing), 2),
    }


def _is_up(site: Site, name: str) -> bool:
    return fetch(site.address(name, "metrics"), "/healthz").status == 200


def _entry_knows(site: Site, name: str) -> bool:
    if fetch(site.address(name, "metrics"), "/readyz").status != 200:
        return False
    services = status(site, name)["services"]
    near = _endpoints_near(site, name)
    return near <= {each for s in services.values() for each in s["endpoints"]}


def _control_knows(site: Site, name: str) -> bool:
    shown = status(site, name)
    serving = {e["name"] for e in shown["endpoints"] if e["state"] == "serving"}
    return shown["revision"] > 0 and _endpoints_near(site, name) <= serving


def _endpoints_near(site: Site, name: str) -> set[str]:
    near = site.data_centre_of(name)
    return {e.name for e in site.layout.endpoints if e.data_centre == near}


def _agent_serves(site: Site, name: str) -> bool:
    """Ask an entry near the agent; the answer's id names who gave it."""
    incarnation = status(site, name)["incarnation"]
    entry = Client(site.address("entry-fukuoka-hall-0", "listen"), "union")
    answer = entry.post("/services/bookings/probe", {})
    given_by = answer.headers.get("azurefold-answer-id", "")
    return given_by.startswith(f"bookings-0~{incarnation}~")


_ROLES = {
    "entry": ("entry-fukuoka-hall-0", _entry_knows),
    "control": ("control-fukuoka-hall-0", _control_knows),
    "agent": ("agent-bookings-0", _agent_serves),
}


def _all_at_once(site: Site) -> dict:
    agents = [f"agent-{endpoint.name}" for endpoint in site.layout.endpoints]
    names = [*site.controls, *site.entries, *agents]
    before = _platform_reads(site)
    for name in names:
        site.processes[name].kill()
    begun = time.monotonic()
    site.start(*names)
    wait_until(lambda: all(_is_up(site, name) for name in names), "all are up")
    up = time.monotonic() - begun
    wait_until(
        lambda: all(_entry_knows(site, name) for name in site.entries),
        "all entries know what they need",
    )
    ready = time.monotonic() - begun
    reads = _platform_reads(site) - before
    return _summary([up], [ready]) | {"platform_reads_all_nodes": reads}


def _platform_reads(site: Site) -> int:
    page = fetch(site.address("platform", "http"), "/counters")
    counters = json.loads(page.body)
    return counters["reads"] + counters["object_reads"]
