"""Which map a group should have, and whether the change pays."""

from dataclasses import dataclass

import gevent

from azurefold.core.balance.plan import MapPlan, plan_layer
from azurefold.core.balance.policy import BalancePolicy, Split
from azurefold.core.clock import Millis
from azurefold.core.routes.model import Engine, RoutedService
from azurefold.gateway.group_view import GroupView

__all__ = [
    "Sampling",
    "is_worth_balancing",
    "is_worth_changing",
    "plan_map",
    "sampling_of",
]

_SAMPLE_EVERY_MS: Millis = 1_000
"""Popularity can change from one second to the next."""

_NUMBERS_A_SECOND = 1_024
"""Counts read from ranks: each has a price, and 400 of them stop the group for
half a millisecond. Four ranks of 256 counts a second show the popularity well
enough to bring the slowest rank from 3.1 times the mean to 1.4."""

_LEAST_SAMPLED = 2
"""Counts of fewer ranks show whose requests came, not what is popular. With 72
ranks of 1,728 counts one rank a second is all that can be paid for: maps made
from it cost 0.17 to 0.23 of a day's worth of 0.39 and gained nothing, so the map
that such a group forms with is kept."""

_FIRST_SAMPLE_MS: Millis = 400
"""Until the first sample after a takeover: the map in force may be of long ago."""

_SAMPLED_RANKS = 4

_POLICY = BalancePolicy(
    skew_weight=1.0,
    move_weight=0.03,
    drift_life=4_000,
    max_loads=64,
    tolerated_excess=0.10,
    split=Split.EVEN,
)
"""A move has to lower the excess of the slowest rank of one layer by 0.0075
over the four seconds for which popularity stays alike."""

_LEAST_GAIN = 0.12
"""Mean skew that a change has to gain: it takes two exchanges with all ranks,
and loading slows the passes by 15 in 100."""

_EASY_GAIN = 0.5
"""The same while passes are quick: nobody is late by some skew then."""

_QUICK_PASS_MS = 42.0
"""A pass well below the 120 ms that callers are promised between events."""

_EASY_SAMPLE_FACTOR = 2
"""Samples are as many times rarer while passes are quick."""


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
    """Whether the counts of enough ranks can be paid for."""
    engine = view.engine
    if engine is None or not engine.splits_experts:
        return False
    return _NUMBERS_A_SECOND // _numbers_of_a_rank(engine) >= _LEAST_SAMPLED


def sampling_of(view: GroupView, engine: Engine) -> Sampling:
    """Return how a group is sampled at present."""
    numbers = _numbers_of_a_rank(engine)
    affordable = max(1, _NUMBERS_A_SECOND // numbers)
    ranks = min(_SAMPLED_RANKS, view.size, affordable)
    if view.popularity.samples == 0:
        return Sampling(ranks, _FIRST_SAMPLE_MS)
    usual = max(_SAMPLE_EVERY_MS, ranks * numbers * 1_000 // _NUMBERS_A_SECOND)
    return Sampling(ranks, usual * _EASY_SAMPLE_FACTOR if _is_easy(view) else usual)


def plan_map(view: GroupView, engine: Engine) -> MapPlan:
    """Return the map for the present popularity.

    Lets other work go on between two layers: a plan of all takes some 50 ms, in
    which no event of any stream would go out.
    """
    speeds = tuple(1.0 / max(1.0, view.views[rank].pace) for rank in range(view.size))
    layers = []
    for placement, rates in zip(view.placements, view.popularity.rates, strict=True):
        loads = engine.loads_per_change
        layers.append(plan_layer(placement, rates, speeds, _POLICY, loads))
        gevent.sleep(0)
    return MapPlan(tuple(layers))


def is_worth_changing(view: GroupView, plan: MapPlan) -> bool:
    """Whether a plan gains enough at the present pace."""
    least = _EASY_GAIN if _is_easy(view) else _LEAST_GAIN
    return plan.skew_before - plan.skew_after >= least


def _is_easy(view: GroupView) -> bool:
    return view.pass_ms < _QUICK_PASS_MS


def _numbers_of_a_rank(engine: Engine) -> int:
    return engine.layer_sets * engine.experts
