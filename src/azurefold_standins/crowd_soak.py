"""A randomized soak of gateways on small machines, pressed by misbehaving callers.

::

    python -m azurefold_standins.crowd_soak --seed 7 --seconds 10

Beside them ordinary callers keep using their open connections, and gateways are killed,
stopped and started again, paused and told to read their settings, while configurations
change; signals come in series and overlap. No process may end by itself or pass the
memory and descriptors of its machine, no answer may be wrong, none may be refused as
not run that ran, and when the crowd is gone each gateway serves. Only processes started
here are ended.
"""

import argparse
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from azurefold_standins.gateway_caller import Call, Caller, Kind, Result
from azurefold_standins.gateway_site import GatewaySite, new_gateway_site
from azurefold_standins.misbehaving_callers import MisbehavingCaller
from azurefold_standins.processes import Process

__all__ = ["CrowdSoak", "memory_kb", "open_descriptors", "run_crowd_soak"]

MACHINE_MB = 96
MACHINE_FDS = 512
_ORDINARY_CALLERS = 4
_PAUSE_S = 0.05
_SETTLE_S = 3.0
_SERVED_WITHIN_S = 30.0
_LONGEST_DOWN_S = 2.0


def memory_kb(process: Process) -> int:
    """Return the most memory that a process has had, in KB."""
    status = Path(f"/proc/{process.pid}/status").read_text("utf-8")
    [line] = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1])


def open_descriptors(process: Process) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


@dataclass(slots=True)
class CrowdSoak:
    """One run.

    Parameters
    ----------
    site : GatewaySite
    draw : random.Random
    seconds : float
    crowd : int
        Misbehaving callers.
    findings : list of str
    """

    site: GatewaySite
    draw: random.Random
    seconds: float
    crowd: int
    findings: list[str] = field(default_factory=list)
    signals: Counter = field(default_factory=Counter)
    callers: list[Caller] = field(default_factory=list)
    misbehaving: list[MisbehavingCaller] = field(default_factory=list)
    most_kb: int = 0
    most_descriptors: int = 0
    _stop: threading.Event = field(default_factory=threading.Event)
    _calm: threading.Event = field(default_factory=threading.Event)
    _down: Counter[str] = field(default_factory=Counter)
    _undo: list[tuple[float, Callable[[], None]]] = field(default_factory=list)

    @property
    def calls(self) -> list[Call]:
        """All calls of ordinary callers."""
        return [call for caller in self.callers for call in caller.calls]

    def run(self) -> None:
        """Press, signal and look, then check."""
        threads = [
            threading.Thread(target=self._call, args=(n,))
            for n in range(_ORDINARY_CALLERS)
        ]
        for number in range(self.crowd):
            draw = random.Random(f"{self.draw.random()} {number}")
            caller = MisbehavingCaller(f"m{number}", draw)
            self.misbehaving.append(caller)
            choose = self._chooser(draw)
            arguments = (choose, self._calm)
            threads.append(threading.Thread(target=caller.run, args=arguments))
        for thread in threads:
            thread.start()
        try:
            self._disturb()
        finally:
            self._calm.set()
            self._stop.set()
            for thread in threads:
                thread.join()
        self._check_served()
        self._check_calls()

    def _chooser(self, draw: random.Random) -> Callable[[], str]:
        addresses = list(self.site.gateways.values()) * 8
        addresses += list(self.site.admins.values())
        return lambda: draw.choice(addresses)

    def _call(self, number: int) -> None:
        draw = random.Random(number)
        caller = Caller(f"c{number}", draw)
        self.callers.append(caller)
        while not self._stop.is_set():
            gateway = draw.choice(list(self.site.gateways))
            kind = draw.choice(list(Kind))
            caller.call(kind, gateway, self.site.gateways[gateway])
            time.sleep(_PAUSE_S)

    def _disturb(self) -> None:
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            disturb = self.draw.choice(
                (self._kill, self._restart, self._pause, self._reload, self._configure)
            )
            self.signals[disturb.__name__.strip("_")] += 1
            disturb(self.draw.choice(list(self.site.gateways)))
            time.sleep(self.draw.uniform(0.2, 1.2))
            self._look()
            self._undo_due(time.monotonic())
        self._undo_due(float("inf"))

    def _look(self) -> None:
        """Note processes that have ended by themselves or taken too much."""
        for name in self.site.gateways:
            if self._down[name]:
                continue
            process = self.site.processes[name]
            if not process.running:
                code = process.popen.returncode
                self.findings.append(f"{name} ended by itself with code {code}")
                process.start()
                continue
            self.most_kb = max(self.most_kb, memory_kb(process))
            descriptors = open_descriptors(process)
            self.most_descriptors = max(self.most_descriptors, descriptors)
            if memory_kb(process) > MACHINE_MB * 1_024:
                self.findings.append(f"{name} took {memory_kb(process)} KB")
            if descriptors > MACHINE_FDS:
                self.findings.append(f"{name} had {descriptors} descriptors open")

    def _undo_due(self, now: float) -> None:
        due = [undo for at, undo in self._undo if at <= now]
        self._undo = [(at, undo) for at, undo in self._undo if at > now]
        for undo in due:
            undo()

    def _until_undone(self, name: str, undo: Callable[[], None]) -> None:
        # Signals to one gateway overlap: it counts as down until all are undone.
        self._down[name] += 1

        def undo_and_note() -> None:
            undo()
            self._down[name] -= 1

        after = self.draw.uniform(0.2, _LONGEST_DOWN_S)
        self._undo.append((time.monotonic() + after, undo_and_note))

    def _kill(self, name: str) -> None:
        process = self.site.processes[name]
        process.kill()
        self._until_undone(name, lambda: process.running or process.start())

    def _restart(self, name: str) -> None:
        process = self.site.processes[name]
        process.send(signal.SIGTERM)

        def restart() -> None:
            process.stop()
            process.start()

        self._until_undone(name, restart)

    def _pause(self, name: str) -> None:
        process = self.site.processes[name]
        process.send(signal.SIGSTOP)
        self._until_undone(name, lambda: process.send(signal.SIGCONT))

    def _reload(self, name: str) -> None:
        # A process that has just started would end: its handler is not there yet.
        if not self._down[name] and self.site.is_ready(name):
            self.site.processes[name].send(signal.SIGHUP)

    def _configure(self, name: str) -> None:
        self.site.configure(f"/extra-{self.draw.randrange(1_000)}/")

    def _check_served(self) -> None:
        """Check that each gateway serves once the crowd is gone."""
        time.sleep(_SETTLE_S)
        self._look()
        caller = Caller("after", random.Random(0))
        for name, address in self.site.gateways.items():
            until = time.monotonic() + _SERVED_WITHIN_S
            result = None
            while result is not Result.WHOLE and time.monotonic() < until:
                result = caller.call(Kind.LIST, name, address).result
            if result is not Result.WHOLE:
                self.findings.append(f"{name} does not serve when the crowd is gone")

    def _check_calls(self) -> None:
        runs = self.site.journal().runs
        for call in self.calls:
            count = runs.get(call.id, 0)
            if call.result is Result.WRONG:
                self.findings.append(f"a wrong answer: {call}")
            if call.kind is Kind.ACK and count > 1:
                self.findings.append(f"ran {count} times: {call}")
            if call.result is Result.REFUSED and call.kind is Kind.ACK and count:
                self.findings.append(f"refused as not run, and ran: {call}")


def run_crowd_soak(
    seed: int, seconds: float, folder: Path, gateways: int = 2, crowd: int = 12
) -> CrowdSoak:
    """Run one seed and return what came of it."""
    machine = {"MemoryMb": MACHINE_MB, "MaxFds": MACHINE_FDS}
    site = new_gateway_site(folder, gateways, ranks=2, machine=machine)
    soak = CrowdSoak(site, random.Random(seed), seconds, crowd)
    try:
        site.start()
        soak.run()
    finally:
        site.processes.kill_all()
    return soak


def main() -> None:
    """Run one or more seeds; exit 1 if a check failed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="so many from --seed on")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--crowd", type=int, default=12)
    parser.add_argument("--keep", help="folder for the logs")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(arguments.keep or scratch) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            soak = run_crowd_soak(
                seed, arguments.seconds, folder, arguments.gateways, arguments.crowd
            )
        results = dict(Counter(call.result.value for call in soak.calls))
        requests = sum(caller.requests for caller in soak.misbehaving)
        print(
            f"seed={seed} {'failed' if soak.findings else 'held'} "
            f"signals={sum(soak.signals.values())} misbehaving={requests} "
            f"ordinary={results} most_kb={soak.most_kb} "
            f"descriptors={soak.most_descriptors}",
            flush=True,
        )
        for finding in soak.findings[:5]:
            print(f"  {finding}", flush=True)
        failed += bool(soak.findings)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
