"""The balancers compared: azurefold's with both users' weights, and baselines.

All get the same decayed popularity and start from the same packed placement.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from azurefold.core.balance.move_search import propose_rebalance
from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import Assignment, Placement, assign_evenly
from azurefold.core.balance.policy import BalancePolicy, MoveWindow
from azurefold.core.balance.proposal import LayerView
from azurefold.core.balance.shares import (
    balance_replica_loads,
    build_assignment,
    build_layer_loads,
    compute_excess,
)
from azurefold.core.clock import Millis
from bench.balance_traces import BOOKING_END, BOOKING_START, MINUTE

__all__ = [
    "HINOKUNI",
    "UNION",
    "Balancer",
    "Situation",
    "balancers",
    "fetched",
    "proposing",
]

HINOKUNI = BalancePolicy(skew_weight=1.0, move_weight=2.0)
UNION = BalancePolicy(
    skew_weight=0.1,
    move_weight=4.0,
    min_reshare_gain=0.02,
    move_windows=(MoveWindow(BOOKING_START, BOOKING_END, factor=float("inf")),),
)

_REPACK_INTERVAL: Millis = 10 * MINUTE
_REPACK_THRESHOLD = 0.15


@dataclass(frozen=True, slots=True)
class Situation:
    """What a balancer may look at when it decides."""

    time_of_day: Millis
    rates: tuple[tuple[float, ...], ...]
    speeds: tuple[float, ...]
    in_force: tuple[Assignment, ...]


@dataclass(frozen=True, slots=True)
class Balancer:
    """A way to decide, with its name in the tables."""

    name: str
    decide: Callable[[Situation], Sequence[Assignment]]


def balancers() -> list[Balancer]:
    """Return all that are compared."""
    return [
        Balancer("never move", lambda situation: situation.in_force),
        Balancer("never move, new shares", _share_anew),
        Balancer("interval re-pack", _at_interval(_repack)),
        Balancer("re-pack, ranks matched, new shares", _matched_and_shared),
        Balancer("threshold re-pack", _at_threshold),
        Balancer("azurefold, Hinokuni", proposing(HINOKUNI)),
        Balancer("azurefold, Union", proposing(UNION)),
    ]


def fetched(old: Placement, new: Placement) -> int:
    """Return how many weights have to be loaded to go from one to the other."""
    pairs = zip(old.ranks, new.ranks, strict=True)
    return sum(len(set(after) - set(before)) for before, after in pairs)


def proposing(policy: BalancePolicy) -> Callable[[Situation], Sequence[Assignment]]:
    """Return azurefold's own way to decide under ``policy``."""

    def decide(situation: Situation) -> Sequence[Assignment]:
        views = [
            LayerView(layer, rates, assignment, situation.speeds)
            for layer, (rates, assignment) in enumerate(
                zip(situation.rates, situation.in_force, strict=True)
            )
        ]
        proposal = propose_rebalance(views, policy, situation.time_of_day)
        return [layer.assignment for layer in proposal.layers]

    return decide


def _share_anew(situation: Situation) -> Sequence[Assignment]:
    result = []
    for rates, assignment in zip(situation.rates, situation.in_force, strict=True):
        state = build_layer_loads(assignment, rates, situation.speeds)
        balance_replica_loads(state)
        result.append(build_assignment(state, assignment.placement.slots_per_rank))
    return result


def _at_interval(
    one: Callable[[Sequence[float], Assignment], Assignment],
) -> Callable[[Situation], Sequence[Assignment]]:
    def decide(situation: Situation) -> Sequence[Assignment]:
        if situation.time_of_day % _REPACK_INTERVAL:
            return situation.in_force
        pairs = zip(situation.rates, situation.in_force, strict=True)
        return [one(rates, assignment) for rates, assignment in pairs]

    return decide


def _matched_and_shared(situation: Situation) -> Sequence[Assignment]:
    packed = tuple(_at_interval(_repack_matched)(situation))
    return _share_anew(replace(situation, in_force=packed))


def _at_threshold(situation: Situation) -> Sequence[Assignment]:
    """Pack anew where loads, which is all this method looks at, are uneven."""
    result = []
    equal = (1.0,) * len(situation.speeds)
    for rates, assignment in zip(situation.rates, situation.in_force, strict=True):
        seen = compute_excess(assignment.rank_loads(rates), equal)
        over = seen > _REPACK_THRESHOLD
        result.append(_repack(rates, assignment) if over else assignment)
    return result


def _repack(rates: Sequence[float], assignment: Assignment) -> Assignment:
    old = assignment.placement
    return assign_evenly(pack_experts(rates, len(old.ranks), old.slots_per_rank))


def _repack_matched(rates: Sequence[float], assignment: Assignment) -> Assignment:
    """Pack anew, then give each rank the bin that it already holds most of."""
    old = assignment.placement
    bins = pack_experts(rates, len(old.ranks), old.slots_per_rank).ranks
    overlaps = sorted(
        (-len(set(bins[b]) & set(old.ranks[r])), r, b)
        for r in range(len(bins))
        for b in range(len(bins))
    )
    bin_of: dict[int, int] = {}
    used: set[int] = set()
    for _, rank, bin_index in overlaps:
        if rank not in bin_of and bin_index not in used:
            bin_of[rank] = bin_index
            used.add(bin_index)
    ranks = tuple(bins[bin_of[rank]] for rank in range(len(bins)))
    return assign_evenly(Placement(old.n_experts, old.slots_per_rank, ranks))
