"""Service-level objectives and the arithmetic of their error budgets."""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.clock import SECOND, Millis
from azurefold.core.objectives.counts import RequestCounts

__all__ = [
    "BURN_WINDOWS_MS",
    "DEFAULT_PERIOD_MS",
    "Objective",
    "ObjectiveKind",
    "burn_rate",
    "remaining_budget",
    "time_to_exhaustion",
]

_MINUTE_MS: Millis = 60 * SECOND
_HOUR_MS: Millis = 60 * _MINUTE_MS
_DAY_MS: Millis = 24 * _HOUR_MS

BURN_WINDOWS_MS: tuple[Millis, ...] = (
    5 * _MINUTE_MS,
    _HOUR_MS,
    6 * _HOUR_MS,
    3 * _DAY_MS,
)
DEFAULT_PERIOD_MS: Millis = 30 * _DAY_MS


class ObjectiveKind(Enum):
    """Property of a request that an objective measures."""

    FIRST_TOKEN = "first token"
    BETWEEN_TOKENS = "between tokens"
    ANSWERED_WHOLE = "answered whole"


@dataclass(frozen=True, slots=True)
class Objective:
    """The fraction of requests that must be good.

    Parameters
    ----------
    kind : ObjectiveKind
        What is measured.
    target : float
        Required fraction of good requests, between 0 and 1 exclusive.
    threshold : int or None
        Milliseconds up to which a request counts as good; None for
        ``ANSWERED_WHOLE``.
    period : int
        Milliseconds for which the error budget has to last.
    """

    kind: ObjectiveKind
    target: float
    threshold: Millis | None = None
    period: Millis = DEFAULT_PERIOD_MS

    def __post_init__(self) -> None:
        """Reject an objective whose error budget cannot be computed.

        Raises
        ------
        ValueError
            If the target is not between 0 and 1, or the threshold does not fit the
            kind.
        """
        if not 0 < self.target < 1:
            raise ValueError(
                f"the target must lie between 0 and 1, not {self.target}; "
                "1 leaves no error budget"
            )
        has_threshold = self.kind is not ObjectiveKind.ANSWERED_WHOLE
        if has_threshold != (self.threshold is not None):
            requirement = "a threshold" if has_threshold else "no threshold"
            raise ValueError(
                f"an objective of kind {self.kind.value} takes {requirement}"
            )

    @property
    def error_budget(self) -> float:
        """Fraction of requests that may be bad."""
        return 1.0 - self.target


def burn_rate(counts: RequestCounts, objective: Objective) -> float | None:
    """Return how fast the error budget burns; 1.0 uses it up exactly in one period.

    None means that there were no requests, as opposed to no bad ones.

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
    """Return the remaining fraction of the error budget, below 0 if overspent.

    Parameters
    ----------
    counts : RequestCounts
        Requests of the period so far. The budget is a fraction of these, so it
        grows with traffic.
    objective : Objective
        Objective that defines the budget.
    """
    rate = burn_rate(counts, objective)
    return 1.0 if rate is None else 1.0 - rate


def time_to_exhaustion(
    remaining: float, rate: float | None, objective: Objective
) -> Millis | None:
    """Return the milliseconds until the error budget is used up at a burn rate.

    Parameters
    ----------
    remaining : float
        Remaining fraction of the error budget.
    rate : float or None
        Burn rate that is assumed to continue.
    objective : Objective
        Objective to whose period the rate refers.

    Returns
    -------
    int or None
        0 if the budget is already used up; None if it never is at this rate.

    Examples
    --------
    >>> day = 24 * 3_600_000
    >>> objective = Objective(ObjectiveKind.ANSWERED_WHOLE, 0.99, period=30 * day)
    >>> time_to_exhaustion(0.5, 3.0, objective) // day
    5
    """
    if remaining <= 0:
        return 0
    if not rate:
        return None
    return round(remaining * objective.period / rate)
