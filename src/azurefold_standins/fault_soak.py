"""A randomized soak of gateways as separate processes, with faults from outside.

::

    python -m azurefold_standins.fault_soak --seed 7 --seconds 20

A seed gives the series of faults: gateways killed, paused, stopped and started
again by signals; links delayed, cut and silenced by a relay; a store that is
down, silent, slow, forgets its history or loses answers; endpoints that lose
answers, break off, refuse, take orders late and leave; configurations meanwhile;
data centres that are evacuated. Faults overlap, and for some seconds now and then
most calls go to one gateway. Some callers have three priorities, and more calls than
there are slots while a data centre is evacuated. Others call for streams whose
endpoints, processes of their own, are killed, paused and stopped, break off, send wrong
bytes or begin anew. Callers check each answer while it runs, byte by byte, and what
callers and endpoints saw is compared at the end. Only processes started here are ended.
"""

import argparse
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import chain, islice
from pathlib import Path

from azurefold_standins.bare_layout import CLASS_ROUTES, EndpointFaults, Journal
from azurefold_standins.caller_shares import hint_failures, priority_inversions
from azurefold_standins.changes_in_force import (
    Leaving,
    arrivals_after,
    late_routes,
    wait_until_served,
)
from azurefold_standins.evacuations_in_force import (
    Disturbance,
    EvacuationSeries,
    late_arrivals,
)
from azurefold_standins.gateway_caller import Call, Caller, Kind, Result
from azurefold_standins.gateway_site import GatewaySite, new_gateway_site
from azurefold_standins.quota_allowance import Need, quota_excesses
from azurefold_standins.retry_allowance import Allowance, excesses, repeats_among
from azurefold_standins.stream_series import StreamSeries

__all__ = ["Finding", "Soak", "check", "main", "run_soak"]


_CALLERS = 6
_CLASS_CALLERS = 8
"""For each priority while faults are injected, later one."""

_STREAM_CALLERS = 4
_STREAMERS = 4

_PAUSE_S = 0.03
_UNSERVED_PAUSE_S = 0.3
"""As long as an answer takes: calls that fail at once must not outnumber all others in
the shares of the priorities."""

_QUIET_S = 8.0
_STABLE_S = 3.0
"""Until all must be well again, and a quota that was named must be kept to."""

_PREFERENCE_S = 3.0
_PREFERRED_SHARE = 0.8

_LONGEST_FAULT_S = 3.0
_LONGEST_ANSWER_S = 5.3
"""The routes' timeout of 4 s, and 1.3 s for a busy machine."""

_RETRIES = Allowance(share=0.05, slack=9, window=10)
"""So few that some faults want more than are allowed."""

_SERVICE_OF = {Kind.DRAFT: "drafts", Kind.ACK: "desk", Kind.LIST: "desk"}

_SPAN_S = (0.2, 1.0)
"""For which the store loses answers."""

_LONGEST_GATHER_S = 0.35
"""From a change until gateways that have read it call again."""

_WATCHED_S = 4.0
"""From an endpoint's leaving until it comes back."""

_AWAY_MS = 300
_LONGEST_REWRITE_S = 1.5
"""From the store's return until operators and endpoints have written all again."""

_LONGEST_HOLD_S = 4.0
"""A hold whose coordinator died: 1.7 s of silence, the takeover, two looks."""


@dataclass(frozen=True, slots=True)
class Finding:
    """A promise that did not hold."""

    promise: str
    detail: str


@dataclass(slots=True)
class Soak:
    """One run.

    Parameters
    ----------
    site : GatewaySite
    draw : random.Random
    seconds : float
        For which faults are injected.
    returns : bool
        Whether the store also comes back from an older copy, after all else.
    preference : int
        Seed of which gateway gets most calls when.
    """

    site: GatewaySite
    draw: random.Random
    seconds: float
    returns: bool = False
    preference: int = 0
    findings: list[Finding] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    leavings: list[Leaving] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    callers: list[Caller] = field(default_factory=list)
    class_callers: list[dict[int, Caller]] = field(default_factory=list)
    needy: str = ""
    need: Need | None = None
    evacuations: EvacuationSeries = field(init=False)
    streams: StreamSeries = field(init=False)
    _stop: threading.Event = field(default_factory=threading.Event)
    _calm: threading.Event = field(default_factory=threading.Event)
    _paused: set[str] = field(default_factory=set)
    _undo: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    _serial: int = 0

    def __post_init__(self) -> None:
        self.evacuations = EvacuationSeries(self.site, self.preference)
        self.streams = StreamSeries(self.site, self.preference)

    def run(self) -> None:
        """Call and disturb, then check."""
        threads = [
            threading.Thread(target=self._call, args=(n,)) for n in range(_CALLERS)
        ]
        threads += [
            threading.Thread(target=self._call_in_classes, args=(n,))
            for n in range(_CLASS_CALLERS)
        ]
        signals = (self._stop, self._calm)
        threads += [
            threading.Thread(
                target=self.streams.call, args=(n, *signals, self._choose_gateway)
            )
            for n in range(_STREAM_CALLERS)
        ]
        threads.append(
            threading.Thread(target=self.streams.disturb_endpoints, args=signals)
        )
        for thread in threads:
            thread.start()
        try:
            quiet_from = self._disturb_and_calm()
        finally:
            self._stop.set()
            for thread in threads:
                thread.join()
        self.findings += check(self, quiet_from)

    @property
    def calls(self) -> list[Call]:
        """All calls of all callers."""
        groups = [group.values() for group in self.class_callers]
        callers = [*self.callers, *chain.from_iterable(groups), *self.streams.callers]
        return [call for caller in callers for call in caller.calls]

    @property
    def calls_by_priority(self) -> dict[int, list[Call]]:
        """Calls of those callers that call in all priorities at the same moments."""
        return {
            priority: [
                call for group in self.class_callers for call in group[priority].calls
            ]
            for priority in CLASS_ROUTES.values()
        }

    def _call(self, number: int) -> None:
        draw = random.Random(self.draw.random() + number)
        caller = Caller(f"c{number}-{draw.getrandbits(24):x}", draw)
        self.callers.append(caller)
        while not self._stop.is_set():
            gateway = self._choose_gateway(draw)
            kind = draw.choice(list(Kind))
            caller.call(kind, gateway, self.site.gateways[gateway])
            time.sleep(_PAUSE_S)

    def _call_in_classes(self, number: int) -> None:
        """Call one gateway in all priorities at once, so that faults hit all alike."""
        draw = random.Random(f"{self.preference} classes {number}")
        group = {
            priority: Caller(f"p{priority}-{number}", draw)
            for priority in CLASS_ROUTES.values()
        }
        self.class_callers.append(group)

        def call(prefix: str, priority: int) -> Result:
            address = self.site.gateways[gateway]
            return group[priority].call(Kind.LIST, gateway, address, prefix).result

        with ThreadPoolExecutor(len(group)) as pool:
            while not self._stop.is_set() and not (number and self._calm.is_set()):
                gateway = draw.choice(list(self.site.gateways))
                results = set(pool.map(call, CLASS_ROUTES, CLASS_ROUTES.values()))
                is_served = results == {Result.WHOLE}
                time.sleep(_PAUSE_S if is_served else _UNSERVED_PAUSE_S)

    def _choose_gateway(self, draw: random.Random) -> str:
        """Return the gateway for a call: for some seconds now and then mostly one."""
        gateways = list(self.site.gateways)
        window = int(time.monotonic() // _PREFERENCE_S)
        preferred = random.Random(f"{self.preference} {window}").choice(
            [*gateways, *[None] * len(gateways)]
        )
        if preferred is not None and draw.random() < _PREFERRED_SHARE:
            return preferred
        return draw.choice(gateways)

    def _disturb_and_calm(self) -> float:
        """Return from when on all must be well again."""
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            self._disturb()
            time.sleep(self.draw.uniform(0.1, 0.7))
            self._undo_due(time.monotonic())
            self.evacuations.step(time.monotonic())
        self._calm.set()
        self.evacuations.end()
        self._undo_due(float("inf"))
        quiet_from = time.monotonic() + _STABLE_S
        # The fault of a gateway that was started again ends when it serves: it is
        # ready before it has read the endpoints' table.
        wait_until_served(self.site, self.draw)
        self.evacuations.evacuate_in_time()
        lost_until = self._lose_answers_after_a_change()
        undisturbed = lost_until + _STABLE_S + self.draw.uniform(0.0, 0.3)
        time.sleep(max(0.0, undisturbed - time.monotonic()))
        self._change_in_time()
        if self.returns:
            self._return_from_a_copy()
        self._name_quota()
        time.sleep(_QUIET_S)
        return quiet_from

    def _disturb(self) -> None:
        faults = (
            self._kill,
            self._pause,
            self._stop_and_start,
            self._store_fault,
            self._forget,
            self._cut,
            self._silence,
            self._endpoint_faults,
            self._leave,
            self._configure,
        )
        fault = self.draw.choice(faults)
        self.faults[fault.__name__.strip("_")] += 1
        fault()

    def _later(self, undo: Callable[[], None], *gateways: str) -> None:
        """Undo a fault later; until then it disturbs the gateways."""
        after = self.draw.uniform(0.3, _LONGEST_FAULT_S)
        began = time.monotonic()

        def undo_and_note() -> None:
            undo()
            self._note_disturbed(gateways, began)

        self._undo.append((began + after, undo_and_note))

    def _note_disturbed(self, gateways: Iterable[str], began: float) -> None:
        now = time.monotonic()
        self.disturbances += [Disturbance(name, began, now) for name in gateways]

    def _undo_due(self, now: float) -> None:
        due = [undo for at, undo in self._undo if at <= now]
        self._undo = [(at, undo) for at, undo in self._undo if at > now]
        for undo in due:
            undo()

    def _gateway(self) -> str:
        return self.draw.choice(list(self.site.gateways))

    def _kill(self) -> None:
        gateway = self._gateway()
        process = self.site.processes[gateway]
        process.kill()
        self._later(lambda: process.running or process.start(), gateway)

    def _pause(self) -> None:
        gateway = self._gateway()
        process = self.site.processes[gateway]
        process.send(signal.SIGSTOP)
        self._later(lambda: process.send(signal.SIGCONT), gateway)

    def _stop_and_start(self) -> None:
        gateway = self._gateway()
        process = self.site.processes[gateway]
        process.send(signal.SIGTERM)

        def restart() -> None:
            process.stop()
            process.start()

        self._later(restart, gateway)

    def _store_fault(self) -> None:
        mode = self.draw.choice(["down", "silent", "lose_answers", "ok"])
        self.site.store_faults(mode=mode, latency_ms=self.draw.choice([0, 200]))
        cut_off = self.site.gateways if mode != "ok" else ()
        self._later(self.site.store_faults, *cut_off)

    def _forget(self) -> None:
        self.site.forget_history()

    def _cut(self) -> None:
        link = self.draw.choice(list(self.site.links))
        delay = self.draw.choice([0, 60])
        self.site.link_faults(link, cut=not delay, delay_ms=delay)
        cut_off = () if delay else self._gateways_behind(link)
        self._later(lambda: self.site.link_faults(link), *cut_off)

    def _silence(self) -> None:
        link = self.draw.choice(list(self.site.links))
        self.site.silence(link)
        self._note_disturbed(self._gateways_behind(link), time.monotonic())

    def _gateways_behind(self, link: str) -> list[str]:
        """Return the gateway that a link connects with the store, if it is one."""
        return [name for name in self.site.gateways if link == f"store-{name}"]

    def _endpoint_faults(self) -> None:
        share = self.draw.choice([0.05, 0.3])
        name = self.draw.choice(["break_off", "lose", "refuse", "late_orders"])
        self.site.endpoint_faults(EndpointFaults(**{name: share}))
        self._later(lambda: self.site.endpoint_faults(EndpointFaults()))

    def _leave(self) -> None:
        endpoint = self.draw.choice([e for e in self.site.endpoints if e.rank is None])
        self.site.register(endpoint, leaving=True)
        self._later(lambda: self.site.register(endpoint))

    def _lose_answers_after_a_change(self) -> float:
        """Return when the store answers again on new connections."""
        if self.draw.random() < 0.5:
            self._configure()
        else:
            self.site.register(self.draw.choice(self.site.endpoints))
        time.sleep(self.draw.uniform(0, _LONGEST_GATHER_S))
        span = self.draw.uniform(*_SPAN_S)
        mode = self.draw.choice(["silent", "lose_answers"])
        self.site.store_faults(mode=mode, span_ms=round(span * 1_000))
        return time.monotonic() + span

    def _change_in_time(self) -> None:
        """Add a route and have an endpoint leave, and watch both."""
        endpoint = self.draw.choice([e for e in self.site.endpoints if e.rank is None])
        self.site.register(endpoint, leaving=True)
        left = time.monotonic()
        self._configure()
        for late in late_routes(self.site, self.site.extra_routes[0], self.draw):
            self.findings.append(Finding("a route is in force in time", late))
        time.sleep(max(0.0, left + _WATCHED_S - time.monotonic()))
        self.leavings.append(Leaving(endpoint.name, left, time.monotonic()))
        self.site.register(endpoint)

    def _return_from_a_copy(self) -> None:
        """Have an endpoint leave, and the store forget it for a while."""
        endpoint = self.draw.choice([e for e in self.site.endpoints if e.rank is None])
        self.site.copy_store()
        self.site.register(endpoint, leaving=True)
        left = time.monotonic()
        self._configure()
        time.sleep(_STABLE_S)
        self.site.store_faults(mode="down", span_ms=_AWAY_MS)
        self.site.return_to_copy()
        time.sleep(self.draw.uniform(0.0, _LONGEST_REWRITE_S))
        self.site.write_again(self.draw)
        time.sleep(_WATCHED_S)
        self.leavings.append(Leaving(endpoint.name, left, time.monotonic()))
        self.site.register(endpoint)
        time.sleep(_STABLE_S)

    def _name_quota(self) -> None:
        """Have one endpoint name a quota from now on."""
        self.needy = self.draw.choice(self.site.endpoints).name
        rate = self.draw.choice([0.5, 2.0])
        self.need = Need([(round(time.monotonic() * 1_000), rate)])
        self.site.endpoint_faults(EndpointFaults(quotas={self.needy: rate}))

    def _configure(self) -> None:
        self._serial += 1
        self.site.configure(f"/extra-{self._serial}/")


def check(soak: Soak, quiet_from: float) -> list[Finding]:
    """Compare what callers and endpoints saw with what is promised.

    Parameters
    ----------
    soak : Soak
    quiet_from : float
        From when on, on the machine's steady clock, all must be well again.
    """
    journal = soak.site.journal()
    found = []

    def note(promise: str, call: Call) -> None:
        found.append(Finding(promise, f"{call} runs={journal.runs.get(call.id, 0)}"))

    for call in soak.calls:
        runs = journal.runs.get(call.id, 0)
        if call.result is Result.WRONG:
            note("whole answer", call)
        if call.kind is Kind.ACK and runs > 1:
            note("at most once", call)
        if call.result is Result.REFUSED and call.kind is Kind.ACK and runs:
            note("not run is true", call)
        is_journalled = isinstance(call.kind, Kind)
        if call.result is Result.WHOLE and is_journalled and not runs:
            note("an answer of an endpoint", call)
        if call.status == 404 or call.status == 401:
            note("what is in force is known", call)
        if call.sent_at > quiet_from and call.result is not Result.WHOLE:
            note("all is well again", call)
    slow = [call for call in soak.calls if call.sent_at > quiet_from]
    found += [
        Finding("final answer in time", str(call))
        for call in slow
        if call.took_s > _LONGEST_ANSWER_S
    ]
    if journal.split_at is not None:
        found.append(Finding("one map in each pass", f"pass {journal.split_at}"))
    found += _retry_findings(soak.calls, journal)
    found += _quota_findings(soak, journal)
    found += [
        Finding("an endpoint that leaves gets no more", late)
        for late in arrivals_after(soak.leavings, journal)
    ]
    found += [
        Finding("an evacuated data centre gets no more", late)
        for late in late_arrivals(
            soak.evacuations.evacuations,
            soak.site.endpoints,
            journal,
            soak.calls,
            soak.disturbances,
        )
    ]
    found += [
        Finding("more urgent calls are served as often", inversion)
        for inversion in priority_inversions(soak.calls_by_priority)
    ]
    found += [
        Finding("no call fails for its hint", failure)
        for failure in hint_failures(
            call for call in soak.calls if isinstance(call.kind, Kind)
        )
    ]
    versions = {name: soak.site.status(name)["version"] for name in soak.site.gateways}
    if set(versions.values()) != {soak.site.version}:
        found.append(Finding("in force everywhere", f"{versions}"))
    return found


def _retry_findings(calls: list[Call], journal: Journal) -> Iterator[Finding]:
    """Yield the first window of each service that has too many repeats."""
    for service, arrivals in journal.arrivals.items():
        sent = [call.sent_at for call in calls if _SERVICE_OF.get(call.kind) == service]
        over = excesses(sorted(sent), repeats_among(arrivals), _RETRIES)
        for excess in islice(over, 1):
            yield Finding("retries stay allowed", f"{service}: {excess}")


def _quota_findings(soak: Soak, journal: Journal) -> Iterator[Finding]:
    """Yield the first window in which the endpoint in need got too much."""
    need = soak.need
    if need is None:
        return
    arrivals = [(round(at * 1_000), "") for at in journal.times.get(soak.needy, ())]
    need.told[""] = need.begin
    since = need.begin + round(_STABLE_S * 1_000)
    for excess in islice(quota_excesses(need, arrivals, since), 1):
        yield Finding("a quota is kept to", f"{soak.needy}: {excess}")


def run_soak(
    seed: int, seconds: float, folder: Path, gateways: int = 3, *, returns: bool = False
) -> Soak:
    """Run one seed and return what came of it."""
    draw = random.Random(seed)
    site = new_gateway_site(
        folder, gateways, retries=_RETRIES, streamers=_STREAMERS, is_contended=True
    )
    soak = Soak(site, draw, seconds, returns, preference=seed)
    try:
        site.start()
        soak.run()
    finally:
        site.processes.kill_all()
    return soak


def _summary(soak: Soak) -> str:
    """Return how much there was for the checks of evacuations and priorities."""
    evacuations = soak.evacuations.evacuations
    longest = max((each.until - each.confirmed for each in evacuations), default=0.0)
    shares = {
        priority: f"{sum(c.result is Result.WHOLE for c in calls)}/{len(calls)}"
        for priority, calls in soak.calls_by_priority.items()
    }
    return f"evacuations={len(evacuations)} longest={longest:.1f}s served={shares}"


def main() -> None:
    """Run one or more seeds; exit 1 if a promise did not hold."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="so many from --seed on")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument(
        "--returns", action="store_true", help="the store comes back from a copy, too"
    )
    parser.add_argument("--keep", help="folder for logs of seeds that failed")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(arguments.keep or scratch) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            soak = run_soak(
                seed,
                arguments.seconds,
                folder,
                arguments.gateways,
                returns=arguments.returns,
            )
        results = Counter(call.result.value for call in soak.calls)
        faults = sum(soak.faults.values())
        verdict = "failed" if soak.findings else "held"
        print(f"seed={seed} {verdict} faults={faults} {dict(results)}", flush=True)
        print(f"  {_summary(soak)}", flush=True)
        counts = Counter(finding.promise for finding in soak.findings)
        first = {each.promise: each.detail for each in reversed(soak.findings)}
        for promise, count in counts.items():
            print(f"  {promise} ({count}): {first[promise]}", flush=True)
        failed += bool(soak.findings)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
