"""How often each expert of one layer is chosen, as a decayed rate."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from azurefold.core.clock import SECOND, Millis

__all__ = ["Popularity", "new_popularity", "update_popularity"]


@dataclass(frozen=True, slots=True)
class Popularity:
    """Decayed rates of one layer.

    Parameters
    ----------
    rates : tuple of float
        Tokens a second for each expert.
    observed_at : int or None
        When the last counts were taken, in milliseconds; None before the first.
    time_constant : int
        Milliseconds after which an old count weighs 1/e.
    """

    rates: tuple[float, ...]
    observed_at: Millis | None
    time_constant: Millis


def new_popularity(n_experts: int, time_constant: Millis) -> Popularity:
    """Return the popularity of a layer that has not been observed yet.

    Raises
    ------
    ValueError
        If there is no expert or the time constant is not positive.
    """
    if n_experts < 1:
        raise ValueError(f"a layer needs at least one expert, not {n_experts}")
    if time_constant <= 0:
        raise ValueError(f"the time constant must be above 0 ms, not {time_constant}")
    return Popularity((0.0,) * n_experts, None, time_constant)


def update_popularity(
    popularity: Popularity, counts: Sequence[int], span: Millis, now: Millis
) -> Popularity:
    """Take in the tokens counted for each expert over the last ``span``.

    The first counts are taken as they are: a rate that had to climb from zero
    would look like a wave of demand to everything that reads it.

    Parameters
    ----------
    popularity : Popularity
        The rates so far.
    counts : sequence of int
        Tokens for each expert within ``span``.
    span : int
        Milliseconds over which the counts were taken.
    now : int
        The present time in milliseconds.

    Raises
    ------
    ValueError
        If the counts are not one for each expert, or ``span`` is not positive.

    Examples
    --------
    >>> update_popularity(new_popularity(2, 60_000), [500, 1_500], 1_000, now=0).rates
    (500.0, 1500.0)
    """
    if len(counts) != len(popularity.rates):
        raise ValueError(
            f"got {len(counts)} counts for {len(popularity.rates)} experts; "
            "give one for each expert of the layer"
        )
    if span <= 0:
        raise ValueError(f"counts need a span above 0 ms, not {span}")
    fresh = [count * SECOND / span for count in counts]
    if popularity.observed_at is None:
        return Popularity(tuple(fresh), now, popularity.time_constant)
    elapsed = max(0, now - popularity.observed_at)
    weight = 1.0 - math.exp(-elapsed / popularity.time_constant)
    rates = tuple(
        old + weight * (new - old)
        for old, new in zip(popularity.rates, fresh, strict=True)
    )
    return Popularity(rates, now, popularity.time_constant)
