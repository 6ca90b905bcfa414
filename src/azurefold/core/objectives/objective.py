"""Objectives of a service and the arithmetic of their budgets."""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.clock import SECOND, Millis
from azurefold.core.objectives.counts import RequestCounts

__all__ = [
    "BURN_WINDOWS_MS",
    "DEFAULT_PERIOD_MS",
    "Objective",
    "ObjectiveKind",
    "remaining_budget",
    "time_to_exhaustion",
    "burn_rate",
]

_MINUTE: Millis = 60 * SECOND
_HOUR: Millis = 60 * _MINUTE
_DAY: Millis = 24 * _HOUR

BURN_WINDOWS_MS: tuple[Millis, ...] = (5 * _MINUTE, _HOUR, 6 * _HOUR, 3 * _DAY)
DEFAULT_PERIOD_MS: Millis = 30 * _DAY


class ObjectiveKind(Enum):
    """What an objective is about."""

    FIRST_TOKEN = "first token"
    BETWEEN_TOKENS = "between tokens"
    ANSWERED_WHOLE = "answered whole"


@dataclass(frozen=True, slots=True)
class Objective:
    """A share of requests that must be good.

    Parameters
    ----------
    kind : ObjectiveKind
        What is measured.
    target : float
        Share of good requests asked for, above 0 and below 1.
    threshold : int or None
        Milliseconds within which a request is good; None for answered whole.
    period : int
        Milliseconds over which the budget is spent.
    """

    kind: ObjectiveKind
    target: float
    threshold: Millis | None = None
    period: Millis = DEFAULT_PERIOD_MS

    def __post_init__(self) -> None:
        """Refuse an objective whose budget cannot be reckoned.

        Raises
        ------
        ValueError
            If the target leaves no budget or all of it, or the threshold does
            not fit the kind.
        """
        if not 0 < self.target < 1:
            raise ValueError(
                f"the target must lie between 0 and 1, not {self.target}; "
                "1 leaves no budget to burn"
            )
        timed = self.kind is not ObjectiveKind.ANSWERED_WHOLE
        if timed != (self.threshold is not None):
            need = "a threshold" if timed else "no threshold"
            raise ValueError(f"an objective on {self.kind.value} takes {need}")

    @property
    def error_budget(self) -> float:
        """Share of requests that may be bad."""
        return 1.0 - self.target


def burn_rate(counts: RequestCounts, objective: Objective) -> float | None:
    """Return how fast the budget burns; 1.0 spends it just over the period.

    None when no request came: that is not the same as none that failed.

    Examples
    --------
    >>> objective = Objective(ObjectiveKind.ANSWERED_WHOLE, target=0.99)
    >>> round(burn_rate(RequestCounts(good=98, total=100), objective), 6)
    2.0
    """
    if counts.total == 0:
        return None
    return counts.bad / counts.total / objective.error_budget


def remaining_budget(counts: RequestCounts, objective: Objective) -> float:
    """Return the share of the period's budget that is left, below 0 if overspent.

    Parameters
    ----------
    counts : RequestCounts
        Requests of the period so far. The budget is a share of these, so it
        grows with traffic.
    objective : Objective
        What is asked for.
    """
    burnt = burn_rate(counts, objective)
    return 1.0 if burnt is None else 1.0 - burnt


def time_to_exhaustion(
    left: float, rate: float | None, objective: Objective
) -> Millis | None:
    """Return after how many milliseconds the budget ends at this burn rate.

    Parameters
    ----------
    left : float
        Share of the budget left.
    rate : float or None
        Burn rate that is taken to go on.
    objective : Objective
        Whose period the rate refers to.

    Returns
    -------
    int or None
        0 if it has ended already; None if it does not end at this rate.

    Examples
    --------
    >>> day = 24 * 3_600_000
    >>> objective = Objective(ObjectiveKind.ANSWERED_WHOLE, 0.99, period=30 * day)
    >>> time_to_exhaustion(0.5, 3.0, objective) // day
    5
    """
    if left <= 0:
        return 0
    if not rate:
        return None
    return round(left * objective.period / rate)
