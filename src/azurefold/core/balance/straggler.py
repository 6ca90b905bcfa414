"""Detects ranks that are slow regardless of their load."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from azurefold.core.clock import Millis

__all__ = [
    "RankPace",
    "Straggler",
    "find_stragglers",
    "initial_paces",
    "planning_speeds",
    "update_paces",
]

SLOW_THRESHOLD = 1.15
"""Slowdown from which an observation shows a healthy rank as slow."""

HEALTHY_THRESHOLD = 1.08
"""Slowdown below which an observation shows a slow rank as healthy."""

CONSECUTIVE_OBSERVATIONS = 3
"""Number of observations in a row after which the classification changes."""

_SMOOTHING_WEIGHT = 0.4
"""Weight of the newest observation in the smoothed slowdown."""


@dataclass(frozen=True, slots=True)
class RankPace:
    """The observed pace of one rank.

    Parameters
    ----------
    slowdown : float
        Smoothed time per token over the median of all ranks; 1.0 is healthy.
    contradicting_observations : int
        Consecutive observations that contradict the present classification.
    slow_since : int or None
        When the rank was classified as slow, in milliseconds; None while healthy.
    """

    slowdown: float = 1.0
    contradicting_observations: int = 0
    slow_since: Millis | None = None


@dataclass(frozen=True, slots=True)
class Straggler:
    """A slow rank for which the whole group has to wait.

    Parameters
    ----------
    rank : int
        Number of the rank.
    slowdown : float
        Its time per token over the median of all ranks.
    slow_for : int
        Milliseconds since it was classified as slow.
    """

    rank: int
    slowdown: float
    slow_for: Millis


def initial_paces(n_ranks: int) -> tuple[RankPace, ...]:
    """Return the paces of a group in which every rank is assumed to be healthy."""
    return (RankPace(),) * n_ranks


def update_paces(
    paces: tuple[RankPace, ...],
    loads: Sequence[float],
    times: Sequence[float],
    now: Millis,
) -> tuple[RankPace, ...]:
    """Return the paces updated with the compute times of one step.

    A rank's classification changes only after three consecutive observations, and
    the thresholds for slow and healthy differ. Otherwise a single pause of the VM
    would take load from a healthy rank, and its experts would be loaded elsewhere
    and back again.

    Parameters
    ----------
    paces : tuple of RankPace
        Paces before the step.
    loads : sequence of float
        Tokens that each rank processed.
    times : sequence of float
        Compute time of each rank without waits for other ranks, in any unit.
    now : int
        Current time in milliseconds.

    Raises
    ------
    ValueError
        If there is not one load and one time for each rank.
    """
    if not len(paces) == len(loads) == len(times):
        raise ValueError(
            f"got {len(loads)} loads and {len(times)} times for {len(paces)} ranks; "
            "pass one of each for every rank"
        )
    token_times = [
        time / load if load > 0 else None
        for load, time in zip(loads, times, strict=True)
    ]
    known_times = [token_time for token_time in token_times if token_time is not None]
    median_time = median(known_times) if known_times else 0.0
    if median_time <= 0:
        return paces
    return tuple(
        pace
        if token_time is None
        else _update_rank(pace, token_time / median_time, now)
        for pace, token_time in zip(paces, token_times, strict=True)
    )


def _update_rank(pace: RankPace, slowdown: float, now: Millis) -> RankPace:
    smoothed = pace.slowdown + _SMOOTHING_WEIGHT * (slowdown - pace.slowdown)
    if pace.slow_since is None:
        is_contradicting = slowdown >= SLOW_THRESHOLD
    else:
        is_contradicting = slowdown < HEALTHY_THRESHOLD
    contradicting_observations = (
        pace.contradicting_observations + 1 if is_contradicting else 0
    )
    if contradicting_observations < CONSECUTIVE_OBSERVATIONS:
        return RankPace(smoothed, contradicting_observations, pace.slow_since)
    if pace.slow_since is None:
        return RankPace(smoothed, 0, now)
    return RankPace(smoothed, 0, None)


def planning_speeds(paces: tuple[RankPace, ...]) -> tuple[float, ...]:
    """Return the speed of each rank for planning; 1.0 unless it is a straggler."""
    return tuple(
        1.0 if pace.slow_since is None else 1.0 / max(pace.slowdown, 1.0)
        for pace in paces
    )


def find_stragglers(paces: tuple[RankPace, ...], now: Millis) -> tuple[Straggler, ...]:
    """Return the ranks that are classified as slow."""
    return tuple(
        Straggler(rank, pace.slowdown, now - pace.slow_since)
        for rank, pace in enumerate(paces)
        if pace.slow_since is not None
    )
