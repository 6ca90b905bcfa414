"""Tracks how often each expert of a layer is chosen, as an exponentially decayed rate.

Old counts lose weight with a configurable time constant.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from azurefold.core.clock import SECOND, Millis

__all__ = ["Popularity", "new_popularity", "update_popularity"]


@dataclass(frozen=True, slots=True)
class Popularity:
    """Decayed rates of the experts of one layer.

    Parameters
    ----------
    rates : tuple of float
        Tokens per second for each expert.
    observed_at : int or None
        Time of the last update in milliseconds; None before the first one.
    time_constant : int
        Milliseconds after which the weight of a count has decayed to 1/e.
    """

    rates: tuple[float, ...]
    observed_at: Millis | None
    time_constant: Millis


def new_popularity(n_experts: int, time_constant: Millis) -> Popularity:
    """Return the popularity of a layer without any observations.

    Raises
    ------
    ValueError
        If there is no expert or the time constant is not positive.
    """
    if n_experts < 1:
        raise ValueError(f"a layer needs at least one expert, not {n_experts}")
    if time_constant <= 0:
        raise ValueError(
            f"the time constant must be greater than 0 ms, not {time_constant}"
        )
    return Popularity((0.0,) * n_experts, None, time_constant)


def update_popularity(
    popularity: Popularity, counts: Sequence[int], span: Millis, now: Millis
) -> Popularity:
    """Return the popularity updated with the tokens counted during ``span``.

    The first counts set the rates directly. Rates that rose from zero instead would
    look like a surge of demand to their readers.

    Parameters
    ----------
    popularity : Popularity
        Rates before the update.
    counts : sequence of int
        Tokens for each expert within ``span``.
    span : int
        Milliseconds over which the tokens were counted.
    now : int
        Current time in milliseconds.

    Raises
    ------
    ValueError
        If there is not one count for each expert, or ``span`` is not positive.

    Examples
    --------
    >>> update_popularity(new_popularity(2, 60_000), [500, 1_500], 1_000, now=0).rates
    (500.0, 1500.0)
    """
    if len(counts) != len(popularity.rates):
        raise ValueError(
            f"got {len(counts)} counts for {len(popularity.rates)} experts; "
            "pass one for each expert of the layer"
        )
    if span <= 0:
        raise ValueError(f"the span must be greater than 0 ms, not {span}")
    observed_rates = [count * SECOND / span for count in counts]
    if popularity.observed_at is None:
        return Popularity(tuple(observed_rates), now, popularity.time_constant)
    elapsed = max(0, now - popularity.observed_at)
    weight = 1.0 - math.exp(-elapsed / popularity.time_constant)
    rates = tuple(
        old + weight * (new - old)
        for old, new in zip(popularity.rates, observed_rates, strict=True)
    )
    return Popularity(rates, now, popularity.time_constant)
