"""Expert balance over a drifting day, against baselines in the same run.

Assumed, not measured: an expert's weights are 44 MB, the weight store gives a
group 400 MB/s, a step takes 6 ms, and every step while weights load counts as
disturbed. A confirmation that arrives during such loading counts as delayed. New
maps cost nothing here: they are in force from the next tick, also a re-pack whose
weights would take longer to load, which flatters the re-packs.
"""

import random
import time
from dataclasses import dataclass, field
from statistics import fmean, quantiles

from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import (
    Assignment,
    assign_evenly,
    validate_assignment,
)
from azurefold.core.balance.popularity import (
    Popularity,
    new_popularity,
    update_popularity,
)
from azurefold.core.balance.straggler import (
    RankPace,
    initial_paces,
    planning_speeds,
    update_paces,
)
from azurefold.core.clock import SECOND
from bench.balance_policies import Balancer, Situation, balancers, fetched
from bench.balance_targets import targets
from bench.balance_traces import BOOKING_END, BOOKING_START, Shape, Tick, trace

__all__ = ["run", "run_shape"]

EXPERT_MEGABYTES = 44
STORE_MEGABYTES_PER_SECOND = 400
STEP_SECONDS = 0.006
CONFIRMATIONS_PER_SECOND = 5.0
_TIME_NOISE = 0.01

_FULL = (
    Shape(16, 64, 6, 2, 2880, straggler=False, seed=11),
    Shape(16, 256, 18, 2, 2880, straggler=False, seed=12),
    Shape(32, 64, 4, 2, 2880, straggler=False, seed=13),
    Shape(32, 256, 10, 2, 2880, straggler=False, seed=14),
    Shape(32, 256, 10, 2, 2880, straggler=True, seed=14),
)
_TINY = (Shape(4, 16, 6, 2, 24, straggler=True, seed=11),)
_SIZES = {"tiny": _TINY, "full": _FULL}


def run(size: str) -> dict:
    """Run all balancers over all traces of ``size``, "tiny" or "full".

    Returns
    -------
    dict
        ``rows``, one for each trace and balancer, and ``targets``.
    """
    rows = [row for shape in _SIZES[size] for row in run_shape(shape, balancers())]
    return {
        "title": "Expert balance",
        "size": size,
        "rows": rows,
        "targets": targets(rows),
    }


@dataclass(slots=True)
class _Lane:
    """One balancer on its way through a trace."""

    balancer: Balancer
    in_force: tuple[Assignment, ...]
    paces: tuple[RankPace, ...]
    skews: list[float] = field(default_factory=list)
    excesses: list[float] = field(default_factory=list)
    loads: int = 0
    maps: int = 0
    loading_seconds: float = 0.0
    confirmations_delayed: float = 0.0
    decision_cpu_ms: list[float] = field(default_factory=list)


def run_shape(shape: Shape, compared: list[Balancer]) -> list[dict]:
    """Run some balancers over one trace and return a row for each."""
    lanes: list[_Lane] = []
    popularity: list[Popularity] = []
    noise = random.Random(shape.seed + 1)
    for tick in trace(shape):
        if not lanes:
            popularity = _first_popularity(shape)
            lanes = _lanes(shape, tick, compared)
        times_noise = [noise.lognormvariate(0, _TIME_NOISE) for _ in tick.speeds]
        popularity = [
            update_popularity(layer, counts, shape.tick, tick.time_of_day)
            for layer, counts in zip(popularity, tick.counts, strict=True)
        ]
        for lane in lanes:
            _measure(lane, tick)
            _watch_paces(lane, tick, times_noise)
            _decide(lane, tick, popularity)
    return [_row(shape, lane) for lane in lanes]


def _first_popularity(shape: Shape) -> list[Popularity]:
    fresh = new_popularity(shape.n_experts, shape.tick)
    return [fresh for _ in range(shape.n_layers)]


def _lanes(shape: Shape, tick: Tick, compared: list[Balancer]) -> list[_Lane]:
    start = tuple(
        assign_evenly(pack_experts(counts, shape.n_ranks, shape.slots_per_rank))
        for counts in tick.counts
    )
    return [
        _Lane(balancer, start, initial_paces(shape.n_ranks)) for balancer in compared
    ]


def _measure(lane: _Lane, tick: Tick) -> None:
    speed = sum(tick.speeds)
    for step in tick.steps:
        for loads, assignment in zip(step, lane.in_force, strict=True):
            totals = assignment.rank_loads(loads)
            times = [t / s for t, s in zip(totals, tick.speeds, strict=True)]
            slowest = max(times)
            lane.skews.append(slowest / fmean(times))
            lane.excesses.append(slowest * speed / sum(loads) - 1.0)


def _watch_paces(lane: _Lane, tick: Tick, noise: list[float]) -> None:
    totals = lane.in_force[0].rank_loads(tick.steps[0][0])
    times = [
        total / speed * factor
        for total, speed, factor in zip(totals, tick.speeds, noise, strict=True)
    ]
    lane.paces = update_paces(lane.paces, totals, times, tick.time_of_day)


def _decide(lane: _Lane, tick: Tick, popularity: list[Popularity]) -> None:
    rates = tuple(layer.rates for layer in popularity)
    known = planning_speeds(lane.paces)
    situation = Situation(tick.time_of_day, rates, known, lane.in_force)
    started = time.process_time()
    decided = tuple(lane.balancer.decide(situation))
    spent = (time.process_time() - started) * SECOND
    lane.decision_cpu_ms.append(spent)
    loads = 0
    for old, new in zip(lane.in_force, decided, strict=True):
        if new is not old:
            validate_assignment(new)
            lane.maps += 1
            loads += fetched(old.placement, new.placement)
    lane.in_force = decided
    _charge(lane, loads, tick)


def _charge(lane: _Lane, loads: int, tick: Tick) -> None:
    seconds = loads * EXPERT_MEGABYTES / STORE_MEGABYTES_PER_SECOND
    lane.loads += loads
    lane.loading_seconds += seconds
    if BOOKING_START <= tick.time_of_day < BOOKING_END:
        lane.confirmations_delayed += seconds * CONFIRMATIONS_PER_SECOND


def _row(shape: Shape, lane: _Lane) -> dict:
    return {
        "trace": shape.name,
        "balancer": lane.balancer.name,
        "skew mean": round(fmean(lane.skews), 4),
        "skew p95": round(quantiles(lane.skews, n=20)[-1], 4),
        "over bound": round(fmean(lane.excesses), 4),
        "loads": lane.loads,
        "GB": round(lane.loads * EXPERT_MEGABYTES / 1000, 1),
        "loading s": round(lane.loading_seconds, 1),
        "steps disturbed": round(lane.loading_seconds / STEP_SECONDS),
        "confirmations delayed": round(lane.confirmations_delayed),
        "maps": lane.maps,
        "cpu ms/decision max": round(max(lane.decision_cpu_ms), 1),
        "stragglers": sum(pace.slow_since is not None for pace in lane.paces),
    }
