"""What the path through entry and agent costs, measured on real processes.

Run it with ``python -m bench.path``. It starts sites on loopback, sends
streams through the entry and straight to the engines, and takes the time on
the CPU from ``/proc``. Figures depend on the machine and on what else runs.
"""

import json
import os
import statistics
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path

from azurefold_standins.operator import accept, wait_ready
from azurefold_standins.site import Endpoint, Layout, Site, new_site
from bench.path_load import Load, new_load

_MILLION = 1_000_000
_TOKENS_A_SECOND = 3_300
_MOST_US = 45.0
_MOST_ADDED_MS = 5.0
_RANKS = ("drafts-0", "drafts-1")


@dataclass(frozen=True, slots=True)
class Size:
    """How much of each part is run.

    Parameters
    ----------
    streams : int
        Open at the same time.
    step_ms : int
        Between two tokens of a stream.
    warm_up_s, seconds : float
        Before and during the measurement.
    asks : int
        Requests one after the other for the added time.
    """

    streams: int
    step_ms: int
    warm_up_s: float
    seconds: float
    asks: int


SIZES = {
    "tiny": Size(8, 20, 0.5, 1.0, 20),
    "full": Size(120, 34, 8.0, 12.0, 400),
}


def run(size: str) -> dict:
    """Return all figures and the verdicts on the targets."""
    one = SIZES[size]
    with _site(one.step_ms, _RANKS) as site:
        streams = {
            "through": _streams(site, one, through=True),
            "direct": _streams(site, one, through=False),
        }
    with _site(one.step_ms // 2, _RANKS[:1]) as site:
        half = replace(one, streams=one.streams // 2)
        streams["through one agent"] = _streams(site, half, through=True)
    with _site(1, _RANKS) as site:
        added = _added(site, one.asks)
    through, direct = streams["through"], streams["direct"]
    return {
        "streams": streams,
        "ratio_of_tokens": through["tokens_per_s"] / direct["tokens_per_s"],
        "added": added,
        "targets": {
            "tokens a second through one entry, at least 3300": _verdict(
                through["tokens_per_s"], _TOKENS_A_SECOND, at_least=True
            ),
            "entry, us a token": _verdict(through["entry_us"], _MOST_US),
            "one agent that carries them all, us a token": _verdict(
                streams["through one agent"]["agent_us"], _MOST_US
            ),
            "added ms to the first token, median": _verdict(
                added["first_token_through_ms"] - added["first_token_direct_ms"],
                _MOST_ADDED_MS,
            ),
            "ms of a plain kept-alive request, median": _verdict(
                added["plain_through_ms"], _MOST_ADDED_MS
            ),
        },
    }


@contextmanager
def _site(step_ms: int, names: tuple[str, ...]) -> Iterator[Site]:
    ranks = [
        Endpoint(name, "drafts", "hall", "drafts", number)
        for number, name in enumerate(names)
    ]
    plain = Endpoint("lookup-0", "lookups", "hall")
    layout = Layout({"hall": 1}, (*ranks, plain), step_ms=step_ms, latency_ms=0)
    with tempfile.TemporaryDirectory() as folder:
        site = new_site(layout, Path(folder))
        try:
            site.start()
            accept(site, _configuration(list(names)))
            wait_ready(site)
            yield site
        finally:
            site.processes.kill_all()


def _configuration(ranks: list[str]) -> dict:
    drafts = {
        "kind": "model",
        "model": "drafter",
        "data_centres": ["hall"],
        "endpoints": ranks,
        "groups": {"drafts": ranks},
        "limits": {"concurrency": 64},
    }
    lookups = {
        "kind": "plain",
        "data_centres": ["hall"],
        "endpoints": ["lookup-0"],
        "priority": "confirmation",
    }
    return {
        "services": {"drafts": drafts, "lookups": lookups},
        "organisations": {"union": {}},
    }


def _streams(site: Site, size: Size, through: bool) -> dict:
    entry = site.entries[0]
    agents = [name for name in site.addresses if name.startswith("agent-drafts-")]
    idle = _idle_cores(site, [entry, *agents], size.seconds / 4) if through else {}
    if through:
        loads = [new_load(site.address(entry, "listen"), _completion(200))]
    else:
        loads = [
            new_load(site.address(f"engine-{name}", "http"), _completion(200))
            for name in _RANKS
        ]
    with _callers(loads, size.streams // len(loads)):
        _run_all(loads, size.warm_up_s)
        before = _Reading.take(site, [entry, *agents], loads)
        _run_all(loads, size.seconds)
        after = _Reading.take(site, [entry, *agents], loads)
    tokens = after.tokens - before.tokens
    seconds = after.at - before.at
    spent = {name: after.cpu[name] - before.cpu[name] for name in after.cpu}
    found = {
        "tokens_per_s": tokens / seconds,
        "refusals": sum(load.refusals for load in loads),
    }
    if through:
        found["entry_us"] = spent[entry] / tokens * _MILLION
        found["entry_core"] = spent[entry] / seconds
        found["agent_us"] = sum(spent[name] for name in agents) / tokens * _MILLION
        found["entry_idle_core"] = idle[entry]
        found["agent_idle_core"] = sum(idle[name] for name in agents) / len(agents)
    return found


def _idle_cores(site: Site, names: list[str], seconds: float) -> dict[str, float]:
    before = _Reading.take(site, names, [])
    time.sleep(seconds)
    after = _Reading.take(site, names, [])
    took = after.at - before.at
    return {name: (after.cpu[name] - before.cpu[name]) / took for name in names}


@dataclass(frozen=True, slots=True)
class _Reading:
    at: float
    tokens: int
    cpu: dict[str, float]

    @classmethod
    def take(cls, site: Site, names: list[str], loads: list[Load]) -> "_Reading":
        cpu = {name: cpu_seconds(site.processes[name].pid) for name in names}
        return cls(time.perf_counter(), sum(load.tokens for load in loads), cpu)


def cpu_seconds(pid: int) -> float:
    """Return the seconds of CPU that a process has used, its threads included."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")


@contextmanager
def _callers(loads: list[Load], callers: int) -> Iterator[None]:
    for load in loads:
        load.add(callers)
    try:
        yield
    finally:
        for load in loads:
            load.close()


def _run_all(loads: list[Load], seconds: float) -> None:
    end = time.perf_counter() + seconds
    slice_s = seconds if len(loads) == 1 else 0.005
    while time.perf_counter() < end:
        for load in loads:
            load.run(slice_s)


def _added(site: Site, asks: int) -> dict:
    entry = site.address(site.entries[0], "listen")
    engine = site.address(f"engine-{_RANKS[0]}", "http")
    plain = site.address("engine-lookup-0", "http")
    first = {"through": entry, "direct": engine}
    found = {
        f"first_token_{name}_ms": _first_token(address, asks)
        for name, address in first.items()
    }
    found["plain_through_ms"] = _plain(entry, "/services/lookups", asks)
    found["plain_direct_ms"] = _plain(plain, "/", asks)
    return found


def _first_token(address: str, asks: int) -> float:
    load = new_load(address, _completion(2))
    with _callers([load], 1):
        load.run_until(asks)
    return statistics.median(load.first_token_ms)


def _plain(address: str, path: str, asks: int) -> float:
    load = new_load(address, lambda _: _request(path, b"{}", "plain"))
    started = time.perf_counter()
    with _callers([load], 1):
        times = []
        for number in range(1, asks + 1):
            load.run_until(number)
            now = time.perf_counter()
            times.append((now - started) * 1_000)
            started = now
    return statistics.median(times)


def _completion(max_tokens: int) -> Callable[[int], bytes]:
    name = f"path-{time.time_ns()}"

    def request(number: int) -> bytes:
        body = {
            "model": "drafts",
            "prompt": f"lot {number}",
            "max_tokens": max_tokens,
            "stream": True,
        }
        return _request(
            "/v1/completions", json.dumps(body).encode(), f"{name}-{number}"
        )

    return request


def _request(path: str, body: bytes, request_id: str) -> bytes:
    head = (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\n"
        "Content-Type: application/json\r\nAzurefold-Organisation: union\r\n"
        f"Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _verdict(value: float, bound: float, at_least: bool = False) -> dict:
    met = value >= bound if at_least else value <= bound
    return {"value": round(value, 3), "bound": bound, "met": met}


def main() -> None:
    """Print the figures."""
    found = run("full")
    for name, figures in (found["streams"] | {"added": found["added"]}).items():
        print(name, {key: round(value, 3) for key, value in figures.items()})
    print("ratio of tokens", round(found["ratio_of_tokens"], 3))
    for target, verdict in found["targets"].items():
        word = "met" if verdict["met"] else "NOT MET"
        print(f"{word:8}{verdict['value']:9.2f}  {target}")


if __name__ == "__main__":
    main()
