"""Retry budget, recovery, shared limits and ejection, in virtual time.

Run it with ``python -m bench.limits``. Seeds are fixed.
"""

from dataclasses import dataclass
from random import Random

from azurefold.core.admission.drain import jitter_retry_after
from azurefold.core.admission.limits import Allowed, OrganisationLimits
from azurefold.core.routing.messages import (
    Answered,
    Chosen,
    Ejected,
    Failed,
    RouteRequest,
)
from azurefold.core.routing.pool import Pool
from azurefold.core.routing.retries import RetryBudget
from bench.routing_engine import Timeline

_ENDPOINTS = tuple(f"endpoint-{number:02}" for number in range(15))
_SERVED_A_SECOND = 200
_OUTAGE = 30_000
_STEP = 20


@dataclass(frozen=True, slots=True)
class Size:
    """Seconds of virtual time of each part."""

    seconds: int


SIZES = {"tiny": Size(12), "full": Size(60)}


def added_load(seconds: int, *, budgeted: bool) -> float:
    """Return retries over requests while a third of the endpoints fail."""
    random = Random(1)
    budget = RetryBudget()
    requests = retries = 0
    for now in range(0, seconds * 1_000, 10):
        requests += 1
        budget.record_request(now)
        tries = 0
        while random.random() < 1 / 3 and tries < 3:
            if budgeted and not budget.try_acquire(now):
                break
            tries += 1
        retries += tries
    return retries / requests


def recovery(*, spread: bool) -> dict:
    """Return how the load comes back after an outage of 30 s.

    Each refused caller returns when told. The naive ones return each second
    together, and a full second of work above what can be served is refused.
    """
    random = Random(2)
    backlog = _SERVED_A_SECOND * _OUTAGE // 1_000
    wait = 1_000 * backlog / _SERVED_A_SECOND
    due: dict[int, int] = {}
    for _ in range(backlog):
        second = jitter_retry_after(wait, random.random()) // 1_000 if spread else 1
        due[second] = due.get(second, 0) + 1
    peak = refusals = 0
    second = 0
    while any(at >= second for at in due):
        arriving = due.pop(second, 0)
        peak = max(peak, arriving)
        over = max(0, arriving - _SERVED_A_SECOND)
        refusals += over
        for _ in range(over):
            later = jitter_retry_after(1_000 * over / _SERVED_A_SECOND, random.random())
            at = second + (max(1, later // 1_000) if spread else 1)
            due[at] = due.get(at, 0) + 1
        second += 1
    return {"seconds": second, "peak": peak, "refusals": refusals}


def overshoot(seconds: int, nodes: int = 9) -> dict:
    """Return granted over limit for skewed, drifting and cut-off nodes."""
    return {
        "skewed": _granted(seconds, nodes, drift=False, cut=False),
        "drifting": _granted(seconds, nodes, drift=True, cut=False),
        "cut in two": _granted(seconds, nodes, drift=False, cut=True),
    }


def _granted(seconds: int, count: int, *, drift: bool, cut: bool) -> float:
    limit = 20_000.0
    names = [f"vm-{number}" for number in range(count)]
    nodes = [OrganisationLimits(name, {"a": limit}) for name in names]
    for node in nodes:
        node.set_nodes(frozenset(names))
    random = Random(3)
    weights = [1 / (number + 1) for number in range(count)]
    granted = 0
    for now in range(0, seconds * 1_000, 10):
        if drift and now % 5_000 == 0:
            weights = weights[1:] + weights[:1]
        for node in random.choices(nodes, weights, k=3):
            verdict = node.try_acquire("a", 200, random.random(), now)
            granted += 200 * isinstance(verdict, Allowed)
        if now % 1_000 == 0:
            _exchange(nodes, now, cut)
    return granted / (limit * seconds)


def _exchange(nodes: list[OrganisationLimits], now: int, cut: bool) -> None:
    half = len(nodes) // 2
    reports = [node.build_report(now) for node in nodes]
    for to, node in enumerate(nodes):
        for source, report in enumerate(reports):
            if not cut or (to < half) == (source < half):
                node.receive_report(report, now)


class Fleet:
    """A pool and endpoints of which one may be bad from a moment on."""

    def __init__(self, bad: str | None, after: int, noise: float) -> None:
        self.timeline = Timeline()
        self.pool = Pool()
        self.pool.set_endpoints(_ENDPOINTS, 0)
        self.bad = bad
        self.after = after
        self.noise = noise
        self.random = Random(4)
        self.ejections: list[tuple[int, Ejected]] = []
        self.sent_to_bad = 0

    @property
    def now(self) -> int:
        """The time as the decisions see it."""
        return int(self.timeline.now)

    def run(self, seconds: int) -> None:
        """Send fifty requests a second."""
        for at in range(0, seconds * 1_000, _STEP):
            self.timeline.at(at, self._send, str(at))
            if at % 1_000 == 0:
                self.timeline.at(at, self._tick)
        self.timeline.run(seconds * 1_000)

    def _tick(self) -> None:
        for ejected in self.pool.tick(self.now):
            self.ejections.append((self.now, ejected))

    def _send(self, attempt_id: str) -> None:
        draws = (self.random.random(), self.random.random())
        chosen = self.pool.choose(RouteRequest(), draws, self.now)
        if not isinstance(chosen, Chosen):
            return
        name = chosen.endpoint
        self.pool.record_start(name, attempt_id, self.now)
        is_bad = name == _ENDPOINTS[0] and self.now >= self.after and self.bad
        self.sent_to_bad += bool(is_bad)
        if is_bad and self.bad == "stuck":
            return
        if (is_bad and self.bad == "failing") or self.random.random() < self.noise:
            self.timeline.at(self.now + 20, self._end, name, attempt_id, Failed())
            return
        pace = self.random.lognormvariate(3.0, 0.3) * (8 if is_bad else 1)
        first = self.now + self.random.lognormvariate(4.0, 0.5)
        self.timeline.at(first, self._first, name, attempt_id)
        end = first + 50 * pace
        self.timeline.at(end, self._end, name, attempt_id, Answered(51))

    def _first(self, name: str, attempt_id: str) -> None:
        self.pool.record_first_token(name, attempt_id, self.now)

    def _end(self, name: str, attempt_id: str, outcome) -> None:
        ejected = self.pool.record_end(name, attempt_id, outcome, self.now)
        if ejected is not None:
            self.ejections.append((self.now, ejected))


def ejections(seconds: int) -> dict:
    """Return the time until a bad endpoint is out, and false ejections."""
    found: dict[str, dict] = {}
    for bad in ("failing", "slow", "stuck", None):
        after = seconds * 250
        fleet = Fleet(bad, after, noise=0.02)
        fleet.run(seconds)
        is_right = [one.endpoint == _ENDPOINTS[0] for _, one in fleet.ejections]
        times = [
            at - after
            for at, one in fleet.ejections
            if one.endpoint == _ENDPOINTS[0] and at >= after and bad
        ]
        found[bad or "noise only"] = {
            "ms_to_eject": min(times, default=None),
            "sent_to_it": fleet.sent_to_bad,
            "false": len(is_right) - len(times),
        }
    return found


def run(size: str) -> dict:
    """Return all figures and the verdicts on the targets."""
    seconds = SIZES[size].seconds
    added = {
        "budget": added_load(seconds, budgeted=True),
        "naive": added_load(seconds, budgeted=False),
    }
    back = {"spread": recovery(spread=True), "naive": recovery(spread=False)}
    over = overshoot(seconds)
    out = ejections(seconds)
    return {
        "added_load": added,
        "recovery": back,
        "granted_over_limit": over,
        "ejection": out,
        "targets": {
            "added load below 0.10": _verdict(added["budget"], 0.10),
            "granted below 1.10, skewed": _verdict(over["skewed"], 1.10),
            "granted below 1.10, drifting": _verdict(over["drifting"], 1.10),
            "peak of return below naive": _verdict(
                back["spread"]["peak"] / back["naive"]["peak"], 1.0
            ),
            "no false ejection under noise": _verdict(out["noise only"]["false"], 0.5),
        },
    }


def _verdict(value: float, bound: float) -> dict:
    return {"value": round(value, 3), "met": value < bound}


def main() -> None:
    """Print the table."""
    found = run("full")
    for part in ("added_load", "recovery", "granted_over_limit", "ejection"):
        for name, value in found[part].items():
            print(f"{part:20} {name:12} {value}")
    for target, verdict in found["targets"].items():
        word = "met" if verdict["met"] else "NOT MET"
        print(f"{word:8}{verdict['value']:8.3f}  {target}")


if __name__ == "__main__":
    main()
