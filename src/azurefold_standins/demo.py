"""``make demo``: two data centres serve real requests while parts of them fail.

Starts everything as separate processes, has the example configuration checked
and accepted by the operators' command, sends the example prompts, kills an
entry and drains an endpoint on the way, and counts what the callers got against
what the endpoints say they ran.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from gevent.pool import Pool

from azurefold.border.configuration import load_configuration
from azurefold.commands.report import burn_text
from azurefold.core.clock import Millis
from azurefold.internal.clock import monotonic_clock
from azurefold_standins.callers import Caller, Outcome, Request, read_requests
from azurefold_standins.operator import wait_ready
from azurefold_standins.processes import wait_until
from azurefold_standins.site import Endpoint, Layout, Site, new_site
from azurefold_standins.tally import Tally, tally

__all__ = ["main"]

_EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
_AT_ONCE = 16
_KILL_AFTER = 0.35
_DRAIN_AFTER = 0.6
_DRAINED = "drafts-1"
_LEFT_OUT = 24


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--keep", action="store_true", help="keep logs and settings")
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="azurefold-demo-"))
    site = new_site(_layout(), folder)
    try:
        return _run(site, arguments.rounds)
    finally:
        site.processes.kill_all()
        if arguments.keep:
            print(f"logs and settings are in {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)


def _layout() -> Layout:
    drafts = [
        Endpoint(f"drafts-{rank}", "recall-drafts", "fukuoka-hall", "drafts", rank)
        for rank in range(4)
    ]
    bookings = [
        Endpoint("bookings-0", "bookings", "fukuoka-hall"),
        Endpoint("bookings-1", "bookings", "kumamoto-hall"),
    ]
    data_centres = {"fukuoka-hall": 1, "kumamoto-hall": 1}
    return Layout(data_centres, (*drafts, *bookings))


def _run(site: Site, rounds: int) -> int:
    print("starting two data centres on loopback")
    site.start()
    text = str(_EXAMPLES / "demo.jsonc")
    _operate(site, "check", text)
    _wait_for_platform(site)
    _operate(site, "apply", text)
    wait_ready(site)
    _operate(site, "status")
    requests = read_requests(_EXAMPLES / "prompts.jsonl", rounds)
    print(f"sending {len(requests)} requests")
    clock = monotonic_clock()
    started = clock.now()
    outcomes = _send_all(site, requests)
    counted = tally(site, requests, outcomes)
    _report(site, text, clock.now() - started)
    return _conclude(counted)


def _wait_for_platform(site: Site) -> None:
    platform = site.processes["platform"]
    wait_until(lambda: "listening" in platform.output(), "the platform listens")


def _operate(site: Site, *words: str) -> None:
    """Run one of the operators' commands, as an operator would."""
    print(f"$ azurefold {' '.join(_shown(word) for word in words)}", flush=True)
    settings = ("--settings", str(site.folder / "operator.jsonc"))
    more = () if words[0] == "check" else settings
    command = [sys.executable, "-m", "azurefold.commands.operator", *words, *more]
    done = subprocess.run(command, check=False, env=os.environ)
    if done.returncode:
        raise RuntimeError(f"azurefold {words[0]} ended with {done.returncode}")


def _shown(word: str) -> str:
    path = Path(word)
    return str(Path("examples") / path.name) if path.is_absolute() else word


def _send_all(site: Site, requests: list[Request]) -> list[Outcome]:
    entries = [site.address(name, "listen") for name in site.entries]
    caller = Caller(entries)
    events = {
        int(len(requests) * _KILL_AFTER): lambda: _kill_entry(site),
        int(len(requests) * _DRAIN_AFTER): lambda: _operate(site, "drain", _DRAINED),
    }
    pool = Pool(_AT_ONCE)
    sent = []
    for number, request in enumerate(requests):
        if number in events:
            events[number]()
        sent.append(pool.spawn(caller.send, number, request))
    pool.join()
    return [each.value for each in sent]


def _kill_entry(site: Site) -> None:
    name = site.entries[0]
    print(f"killing {name} with requests in flight", flush=True)
    site.processes[name].kill()


def _report(site: Site, text: str, since_ms: Millis) -> None:
    alive = [name for name in site.entries if site.processes[name].running]
    addresses = [site.address(name, "metrics") for name in alive]
    configuration = load_configuration(text).to_core()
    print(f"service-level burn, as counted by {', '.join(alive)}:")
    print(burn_text(addresses, configuration, since_ms))


def _conclude(counted: Tally) -> int:
    for line in counted.details[:_LEFT_OUT]:
        print(line)
    print(counted.line())
    return 0 if counted.good else 1


if __name__ == "__main__":
    sys.exit(main())
