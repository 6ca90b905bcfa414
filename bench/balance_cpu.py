"""CPU time to decide on one layer that is far from level: the dear case.

Each case packs a layer for one popularity, then shows another with strong noise
and one slow rank, so that shares and several moves have to be worked out. A case
is the same work each time and is timed three times: the least is what the work
takes, and judged; the most shows what else the machine and the interpreter's
garbage collection added, and is shown beside it.
"""

import random
import time
from statistics import median

from azurefold.core.balance.move_search import propose_layer
from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import assign_evenly
from azurefold.core.balance.policy import BalancePolicy
from azurefold.core.balance.proposal import LayerView
from azurefold.core.clock import SECOND

__all__ = ["run"]

_LIMIT_MS = 20.0
_SIGMA = 0.5
_SLOW_SPEED = 0.7
_POLICY = BalancePolicy(skew_weight=1.0, move_weight=2.0)
_SHAPES = ((256, 32, 10), (256, 16, 18), (64, 32, 4))
_CASES = {"tiny": 1, "full": 200}
_REPEATS = 3


def run(size: str) -> dict:
    """Time the decisions; ``size`` is "tiny" or "full"."""
    rows = [_row(*shape, _CASES[size]) for shape in _SHAPES]
    return {"title": "CPU to decide on one layer", "size": size, "rows": rows}


def _row(n_experts: int, n_ranks: int, slots: int, cases: int) -> dict:
    rng = random.Random(n_ranks)
    views = [_view(n_experts, n_ranks, slots, rng) for _ in range(cases)]
    timed = [[_time(view) for _ in range(_REPEATS)] for view in views]
    least = sorted(map(min, timed))
    return {
        "experts": n_experts,
        "ranks": n_ranks,
        "cases": cases,
        "median ms": round(median(least), 1),
        "p95 ms": round(least[int(0.95 * (cases - 1))], 1),
        "max ms": round(least[-1], 1),
        "limit ms": _LIMIT_MS,
        "met": "met" if least[-1] <= _LIMIT_MS else "not met",
        "max of all repeats ms": round(max(map(max, timed)), 1),
    }


def _view(n_experts: int, n_ranks: int, slots: int, rng: random.Random) -> LayerView:
    popular = [place**-0.8 for place in range(1, n_experts + 1)]
    rng.shuffle(popular)
    assignment = assign_evenly(pack_experts(popular, n_ranks, slots))
    rates = tuple(rate * rng.lognormvariate(0, _SIGMA) for rate in popular)
    speeds = (_SLOW_SPEED,) + (1.0,) * (n_ranks - 1)
    return LayerView(0, rates, assignment, speeds)


def _time(view: LayerView) -> float:
    started = time.process_time()
    propose_layer(
        view, _POLICY, time_of_day=0, weight_loads_left=_POLICY.max_weight_loads
    )
    return (time.process_time() - started) * SECOND
