"""Find ranks that are slow as such, whatever load they carry."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from azurefold.core.clock import Millis

__all__ = [
    "RankPace",
    "Straggler",
    "initial_paces",
    "update_paces",
    "planning_speeds",
    "find_stragglers",
]

SLOW_FROM = 1.15
SOUND_BELOW = 1.08
CONSECUTIVE = 3
_FRESH_WEIGHT = 0.4


@dataclass(frozen=True, slots=True)
class RankPace:
    """What is known of one rank's pace.

    Parameters
    ----------
    slowdown : float
        Smoothed time per token over the median of all ranks; 1.0 is sound.
    against : int
        Observations in a row that speak against the present verdict.
    slow_since : int or None
        When the rank was found slow, in milliseconds; None while it is sound.
    """

    slowdown: float = 1.0
    against: int = 0
    slow_since: Millis | None = None


@dataclass(frozen=True, slots=True)
class Straggler:
    """A rank to report: the whole group waits for it.

    Parameters
    ----------
    rank : int
        Which rank.
    slowdown : float
        Its time per token over the median of all ranks.
    slow_for : int
        Milliseconds since it was found slow.
    """

    rank: int
    slowdown: float
    slow_for: Millis


def initial_paces(n_ranks: int) -> tuple[RankPace, ...]:
    """Return the paces of a group in which every rank counts as sound."""
    return (RankPace(),) * n_ranks


def update_paces(
    paces: tuple[RankPace, ...],
    loads: Sequence[float],
    times: Sequence[float],
    now: Millis,
) -> tuple[RankPace, ...]:
    """Take in own compute times of one step, without the wait for others.

    A rank's verdict changes only after three observations in a row. What would
    go wrong with one: a single pause of the VM takes load from a sound rank,
    seen as weight loads to and fro. The two thresholds lie apart for the same
    reason.

    Parameters
    ----------
    paces : tuple of RankPace
        What was known before.
    loads : sequence of float
        Tokens that each rank worked on.
    times : sequence of float
        Time that each rank needed for them, in any one unit.
    now : int
        The present time in milliseconds.

    Raises
    ------
    ValueError
        If loads or times are not one for each rank.
    """
    if not len(paces) == len(loads) == len(times):
        raise ValueError(
            f"got {len(loads)} loads and {len(times)} times for {len(paces)} ranks; "
            "give one of each for every rank"
        )
    unit_times = [
        time / load if load > 0 else None
        for load, time in zip(loads, times, strict=True)
    ]
    known = [unit for unit in unit_times if unit is not None]
    middle = median(known) if known else 0.0
    if middle <= 0:
        return paces
    return tuple(
        pace if unit is None else _observe_rank(pace, unit / middle, now)
        for pace, unit in zip(paces, unit_times, strict=True)
    )


def _observe_rank(pace: RankPace, slowdown: float, now: Millis) -> RankPace:
    smoothed = pace.slowdown + _FRESH_WEIGHT * (slowdown - pace.slowdown)
    if pace.slow_since is None:
        speaks_against = slowdown >= SLOW_FROM
    else:
        speaks_against = slowdown < SOUND_BELOW
    against = pace.against + 1 if speaks_against else 0
    if against < CONSECUTIVE:
        return RankPace(smoothed, against, pace.slow_since)
    if pace.slow_since is None:
        return RankPace(smoothed, 0, now)
    return RankPace(smoothed, 0, None)


def planning_speeds(paces: tuple[RankPace, ...]) -> tuple[float, ...]:
    """Return the speed to plan with for each rank; 1.0 unless it is slow."""
    return tuple(
        1.0 if pace.slow_since is None else 1.0 / max(pace.slowdown, 1.0)
        for pace in paces
    )


def find_stragglers(paces: tuple[RankPace, ...], now: Millis) -> tuple[Straggler, ...]:
    """Return the ranks to report as slow at ``now``."""
    return tuple(
        Straggler(rank, pace.slowdown, now - pace.slow_since)
        for rank, pace in enumerate(paces)
        if pace.slow_since is not None
    )
