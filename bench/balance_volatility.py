"""Trial: headroom for experts whose demand is forecast to vary much.

The paper on predicting demand volatility books capacity at the expected demand
plus a premium on its forecast variance, a GARCH(1, 1) model of forecast errors.
Here the premium is added to the popularity with which experts are placed and
shared. Compared with none, and with the same premium on a constant variance.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import replace

from azurefold.core.balance.placement import Assignment
from azurefold.core.balance.policy import BalancePolicy
from bench import balance
from bench.balance_policies import HINOKUNI, Balancer, Situation, proposing
from bench.balance_traces import Shape

__all__ = ["run"]

_SHOCK = 0.15
_KEEP = 0.80
_LONG_RUN = 0.05
_SHAPES = {
    "tiny": (Shape(4, 16, 6, 1, 24, straggler=False, seed=11),),
    "full": (
        Shape(16, 64, 6, 2, 1440, straggler=False, seed=11),
        Shape(32, 256, 10, 2, 1440, straggler=False, seed=14),
    ),
}


def run(size: str) -> dict:
    """Run the trial at ``size``, "tiny" or "full"."""
    rows = [
        row for shape in _SHAPES[size] for row in balance.run_shape(shape, _balancers())
    ]
    return {"title": "Headroom by forecast volatility (trial)", "rows": rows}


def _balancers() -> list[Balancer]:
    plain = [
        Balancer(f"no headroom, move weight {weight}", proposing(_priced(weight)))
        for weight in (1.0, 2.0, 4.0, 8.0, 16.0, 32.0)
    ]
    premiums = [
        Balancer(
            f"{name}, {premium} sd, move weight {weight}",
            _with_headroom(premium, constant, _priced(weight)),
        )
        for name, constant in (("GARCH", False), ("constant variance", True))
        for premium in (0.5, 2.0)
        for weight in (2.0, 4.0)
    ]
    return plain + premiums


def _priced(move_weight: float) -> BalancePolicy:
    return replace(HINOKUNI, move_weight=move_weight)


class _Forecast:
    """Conditional variance of one layer's forecast errors, for each expert."""

    def __init__(self, rates: Sequence[float]) -> None:
        self._expected = list(rates)
        self._long_run = [0.0] * len(rates)
        self._variance = [0.0] * len(rates)
        self._seen = 0

    def observe(self, rates: Sequence[float]) -> None:
        """Take in new rates; the forecast was that they would stay."""
        self._seen += 1
        for expert, rate in enumerate(rates):
            error = (rate - self._expected[expert]) ** 2
            step = (error - self._long_run[expert]) / self._seen
            self._long_run[expert] += step
            self._variance[expert] = (
                _LONG_RUN * self._long_run[expert]
                + _SHOCK * error
                + _KEEP * self._variance[expert]
            )
        self._expected = list(rates)

    def planned(self, premium: float, constant: bool) -> tuple[float, ...]:
        """Return the rates with the premium on top."""
        variances = self._long_run if constant else self._variance
        pairs = zip(self._expected, variances, strict=True)
        return tuple(rate + premium * math.sqrt(v) for rate, v in pairs)


def _with_headroom(
    premium: float, constant: bool, policy: BalancePolicy
) -> Callable[[Situation], Sequence[Assignment]]:
    forecasts: list[_Forecast] = []
    decide = proposing(policy)

    def with_headroom(situation: Situation) -> Sequence[Assignment]:
        if not forecasts:
            forecasts.extend(_Forecast(rates) for rates in situation.rates)
        for forecast, rates in zip(forecasts, situation.rates, strict=True):
            forecast.observe(rates)
        planned = tuple(f.planned(premium, constant) for f in forecasts)
        return decide(replace(situation, rates=planned))

    return with_headroom
