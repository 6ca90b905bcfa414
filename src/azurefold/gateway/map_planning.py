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

_SAMPLED_RANKS = 4
"""All ranks see much the same popularity: one rank's counts of a second have 92 in
100 in common with those of all 72 ranks, four ranks' 95, eight ranks' 96 (read from
all ranks twice a second for 20 s under load)."""

_NUMBERS_A_SECOND = 8_192
"""Counts read from ranks: each has a price, and 400 of them stop the group for half
a millisecond. Four ranks of 1,728 counts a second cost it 9 ms in each second."""

_FIRST_SAMPLE_MS: Millis = 400
"""Until the first sample after a takeover: the map in force may be of long ago."""

_DRIFT_LIFE_MS: Millis = 4_000
"""For as long popularity stays alike."""

_MOST_LOADS = 64
"""Experts of one layer that one change may load."""

_TOLERATED_EXCESS = 0.10
_GIGABYTE_WEIGHT = 0.0085
"""Price of loading a gigabyte where a layer is all there is: as much as an excess of
the slowest rank by 0.002 over the four seconds. An expert of 880 MB in one of four
layers has to lower its layer's excess by 0.0075."""

_MEGABYTES = 1_000.0

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
    """Whether a service has groups whose maps can be changed."""
    return view.engine is not None and view.engine.splits_experts


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
    policy = _policy(engine)
    layers = []
    for placement, rates in zip(view.placements, view.popularity.rates, strict=True):
        loads = engine.loads_per_change
        layers.append(plan_layer(placement, rates, speeds, policy, loads))
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


def _policy(engine: Engine) -> BalancePolicy:
    gigabytes = engine.expert_mb / _MEGABYTES
    return BalancePolicy(
        skew_weight=1.0,
        move_weight=_GIGABYTE_WEIGHT * gigabytes * engine.layer_sets,
        drift_life=_DRIFT_LIFE_MS,
        max_loads=_MOST_LOADS,
        tolerated_excess=_TOLERATED_EXCESS,
        split=Split.EVEN,
    )
