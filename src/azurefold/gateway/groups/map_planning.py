"""Which map a group should have, and whether the change pays."""

from collections.abc import Sequence
from dataclasses import dataclass

import gevent

from azurefold.core.balance.plan import MapPlan, WeightLoadLimits, plan_layers
from azurefold.core.balance.policy import BalancePolicy, ReplicaSplit
from azurefold.core.clock import Millis
from azurefold.core.routes.model import Engine, RoutedService
from azurefold.gateway.groups.view import GroupView

__all__ = [
    "Sampling",
    "is_worth_balancing",
    "is_worth_changing",
    "pass_share",
    "plan_map",
    "sampling_of",
]

_SAMPLE_EVERY_MS: Millis = 1_000
"""Popularity can change from one second to the next."""

_FEWEST_SAMPLED = 2
_MOST_SAMPLED = 4
_LARGE_GROUP = 32
"""All ranks see much the same popularity: one rank's counts of a second have 92 in
100 in common with those of all 72 ranks, two ranks' 94, four ranks' 95, eight ranks'
96 (read from all ranks twice a second for 20 s under load). Ranks of a large group
that serves more requests are cheap to ask beside those."""

_NUMBERS_A_SECOND = 8_192
"""Counts read from ranks: each has a price, and 400 of them stop the group for half
a millisecond. Four ranks of 1,728 counts a second cost it 9 ms in each second."""

_FIRST_SAMPLE_MS: Millis = 250
"""Until the first sample after a takeover: the map in force may be of long ago."""

_DRIFT_LIFE_MS: Millis = 4_000
"""For as long popularity stays alike."""

_MOST_LOADS = 64
"""Experts of one layer that one change may load."""

_LOADING_MS = 450.0
"""That one change may take at any rank's link. Popularity stays alike for some four
seconds: a change that helps most at once, and another one for the rest, serve more
streams on time than one that takes a second."""

_STEPS_AT_ONCE = 4
"""Of planning, without letting other work go on; a step takes up to 1 ms."""

_TOLERATED_EXCESS = 0.10
_GIGABYTE_WEIGHT = 0.0085
"""Price of loading a gigabyte where a layer is all there is: as much as an excess of
the slowest rank by 0.002 over the four seconds. An expert of 880 MB in one of four
layers has to lower its layer's excess by 0.0075."""

_MEGABYTES = 1_000.0

_GAINS = ((0.6, 0.15), (0.45, 0.3))
_EASY_GAIN = 0.7
"""Mean skew that a change has to gain where a pass takes such a share, or more, of the
time between two events that callers are promised, and where it takes less. A change
takes two exchanges with all ranks, moves gigabytes, and loading slows the passes by 15
in 100, while nobody is late by some skew as long as passes are short."""

_EASY_SHARE = 0.42
_EASY_SAMPLE_FACTOR = 2
"""Samples are as many times rarer while passes take less than that share."""

_USUAL_PROMISE_MS: Millis = 120
"""For services whose routes promise no time between events."""


@dataclass(frozen=True, slots=True)
class Sampling:
    """How often how many ranks are asked for their counts.

    Parameters
    ----------
    ranks : int
    every : int
        Milliseconds between two rounds.
    """

    ranks: int
    every: Millis


def is_worth_balancing(view: RoutedService) -> bool:
    """Whether a service has groups whose maps can be changed."""
    return view.engine is not None and view.engine.is_expert_parallel


def sampling_of(size: int, samples: int, engine: Engine, pass_share: float) -> Sampling:
    """Return how a service's groups are sampled at present.

    Parameters
    ----------
    size : int
        Ranks of its largest group.
    samples : int
        Rounds taken in so far.
    engine : Engine
    pass_share : float
        What a pass takes of the promised time between two events.
    """
    numbers = _numbers_of_a_rank(engine)
    affordable = max(1, _NUMBERS_A_SECOND // numbers)
    wanted = _MOST_SAMPLED if size >= _LARGE_GROUP else _FEWEST_SAMPLED
    ranks = min(wanted, size, affordable)
    if samples == 0:
        return Sampling(ranks, _FIRST_SAMPLE_MS)
    usual = max(_SAMPLE_EVERY_MS, ranks * numbers * 1_000 // _NUMBERS_A_SECOND)
    is_easy = pass_share < _EASY_SHARE
    return Sampling(ranks, usual * _EASY_SAMPLE_FACTOR if is_easy else usual)


def pass_share(pass_ms: float, promised_gap: Millis) -> float:
    """Return what a pass takes of the promised time between two events."""
    return pass_ms / (promised_gap or _USUAL_PROMISE_MS)


def plan_map(
    view: GroupView, popularity: Sequence[Sequence[float]], engine: Engine
) -> MapPlan:
    """Return a group's map for the present popularity.

    Lets other work go on between steps: a plan takes some 50 ms, in which no event
    of any stream would go out.
    """
    speeds = tuple(
        1.0 / max(1.0, view.views[rank].slowdown) for rank in range(view.size)
    )
    policy = _policy(engine)
    limits = WeightLoadLimits(engine.max_loads_per_change, _loads_of_a_rank(engine))
    steps = plan_layers(view.placements, popularity, speeds, policy, limits)
    for number, plan in enumerate(steps):
        if plan is not None:
            return plan
        if number % _STEPS_AT_ONCE == 0:
            gevent.sleep(0)
    raise AssertionError("planning ends with a plan")


def _loads_of_a_rank(engine: Engine) -> int:
    """Return how many experts one change may load at a rank, over all layers."""
    if not engine.expert_load_ms:
        return engine.max_loads_per_change * engine.layer_sets
    return max(1, round(_LOADING_MS / engine.expert_load_ms))


def is_worth_changing(plan: MapPlan, share: float) -> bool:
    """Whether a plan gains enough while passes take such a share of the promise."""
    least = next((gain for from_, gain in _GAINS if share >= from_), _EASY_GAIN)
    return plan.skew_before - plan.skew_after >= least


def _numbers_of_a_rank(engine: Engine) -> int:
    return engine.layer_sets * engine.experts


def _policy(engine: Engine) -> BalancePolicy:
    gigabytes = engine.expert_mb / _MEGABYTES
    return BalancePolicy(
        skew_weight=1.0,
        move_weight=_GIGABYTE_WEIGHT * gigabytes * engine.layer_sets,
        placement_lifetime=_DRIFT_LIFE_MS,
        max_weight_loads=_MOST_LOADS,
        tolerated_excess=_TOLERATED_EXCESS,
        split=ReplicaSplit.EVEN,
    )
