"""Service-level burn: how fast budgets go, when they end, and who is hit worst."""

from collections.abc import Callable
from dataclasses import dataclass, field

from azurefold.core.clock import SECOND, Millis
from azurefold.core.objectives.counts import (
    ZERO_COUNTS,
    CountHistory,
    RequestCounts,
    Source,
    WindowCounts,
)
from azurefold.core.objectives.objective import (
    BURN_WINDOWS_MS,
    Objective,
    burn_rate,
    remaining_budget,
    time_to_exhaustion,
)

__all__ = ["BurnReport", "ObjectiveLog", "Offender", "WindowBurn", "build_burn_report"]

_OFFENDERS_SHOWN = 5
_STEADY_WINDOW: Millis = 60 * 60 * SECOND


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn within one window.

    Parameters
    ----------
    window : int
        Length in milliseconds.
    observed : WindowCounts
        What happened, and how much of the window the samples cover.
    rate : float or None
        Burn rate; None when no request came.
    """

    window: Millis
    observed: WindowCounts
    rate: float | None


@dataclass(frozen=True, slots=True)
class Offender:
    """An organisation or endpoint that missed the objective most.

    Parameters
    ----------
    name : str
        Which one.
    counts : RequestCounts
        Its requests.
    rate : float
        Its own burn rate.
    share_of_bad : float
        Its share of all bad requests.
    """

    name: str
    counts: RequestCounts
    rate: float
    share_of_bad: float


@dataclass(frozen=True, slots=True)
class BurnReport:
    """All that is to be said of one objective of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    objective : Objective
        What is asked for.
    windows : tuple of WindowBurn
        Shortest first.
    period : WindowCounts
        What happened in the objective's period.
    budget_left : float
        Share of the budget left, below 0 if overspent.
    ends_in : int or None
        Milliseconds until it ends at the rate of ``ends_window``; None if it
        does not.
    ends_window : int
        The window whose rate is taken to go on.
    worst_organisations, worst_endpoints : tuple of Offender
        Those with most bad requests in the period, worst first.
    """

    service: str
    objective: Objective
    windows: tuple[WindowBurn, ...]
    period: WindowCounts
    budget_left: float
    ends_in: Millis | None
    ends_window: Millis
    worst_organisations: tuple[Offender, ...]
    worst_endpoints: tuple[Offender, ...]


@dataclass(frozen=True, slots=True)
class _Visits:
    """When a process was sampled last, and the time before that."""

    before: Millis | None
    last: Millis


@dataclass(slots=True)
class ObjectiveLog:
    """Samples of all sources for one objective of one service."""

    service: str
    objective: Objective
    _histories: dict[Source, CountHistory] = field(default_factory=dict)
    _visits: dict[str, _Visits] = field(default_factory=dict)

    def add(self, source: Source, counts: RequestCounts, now: Millis) -> None:
        """Take in cumulative counts that ``source`` published.

        A process publishes a source only from its first request on. Of a process
        that was sampled before, a new source therefore stood at zero then. Without
        that, the first requests of every organisation on every endpoint, perhaps
        its only bad ones, would be missing from the report.

        Parameters
        ----------
        source : Source
            Whose counts.
        counts : RequestCounts
            Since its process started.
        now : int
            When they were read, in milliseconds.
        """
        self.record_scrape(source.process, now)
        visits = self._visits[source.process]
        history = self._histories.get(source)
        if history is None:
            history = self._histories[source] = CountHistory()
            if visits.before is not None:
                history.add(ZERO_COUNTS, visits.before)
        history.add(counts, now)

    def record_scrape(self, process: str, now: Millis) -> None:
        """Note that a process was sampled, even if it publishes no source yet.

        Parameters
        ----------
        process : str
            Which one.
        now : int
            When, in milliseconds, in the order of time.
        """
        visits = self._visits.setdefault(process, _Visits(None, now))
        if visits.last < now:
            self._visits[process] = _Visits(visits.last, now)

    def forget(self, now: Millis) -> None:
        """Drop what is older than the objective's period."""
        for history in self._histories.values():
            history.forget(now - self.objective.period)

    def over(self, window: Millis, now: Millis) -> dict[Source, WindowCounts]:
        """Return what happened within the window that ends ``now``, by source."""
        return {
            source: history.over(window, now)
            for source, history in sorted(self._histories.items())
        }


def build_burn_report(
    log: ObjectiveLog, now: Millis, windows: tuple[Millis, ...] = BURN_WINDOWS_MS
) -> BurnReport:
    """Return the burn of one objective.

    The end of the budget is reckoned at the rate of the shortest window that is
    at least an hour long, or else of the longest: over five minutes a single
    hiccup would foretell the end within the day.

    Parameters
    ----------
    log : ObjectiveLog
        The samples.
    now : int
        The present time in milliseconds.
    windows : tuple of int
        Lengths in milliseconds.

    Raises
    ------
    ValueError
        If there is no window.
    """
    if not windows:
        raise ValueError("give at least one window to reckon a burn rate over")
    objective = log.objective
    burns = tuple(_window_burn(log, window, now) for window in sorted(windows))
    by_source = log.over(objective.period, now)
    period = _together(by_source)
    left = remaining_budget(period.counts, objective)
    steady = next((b for b in burns if b.window >= _STEADY_WINDOW), burns[-1])
    return BurnReport(
        service=log.service,
        objective=objective,
        windows=burns,
        period=period,
        budget_left=left,
        ends_in=time_to_exhaustion(left, steady.rate, objective),
        ends_window=steady.window,
        worst_organisations=_worst(by_source, objective, _organisation),
        worst_endpoints=_worst(by_source, objective, _endpoint),
    )


def _window_burn(log: ObjectiveLog, window: Millis, now: Millis) -> WindowBurn:
    observed = _together(log.over(window, now))
    return WindowBurn(window, observed, burn_rate(observed.counts, log.objective))


def _together(by_source: dict[Source, WindowCounts]) -> WindowCounts:
    counts = sum((observed.counts for observed in by_source.values()), ZERO_COUNTS)
    covered = max((observed.covered for observed in by_source.values()), default=0)
    return WindowCounts(counts, covered)


def _organisation(source: Source) -> str:
    return source.organisation


def _endpoint(source: Source) -> str:
    return source.endpoint


def _worst(
    by_source: dict[Source, WindowCounts],
    objective: Objective,
    name_of: Callable[[Source], str],
) -> tuple[Offender, ...]:
    by_name: dict[str, RequestCounts] = {}
    for source, observed in by_source.items():
        name = name_of(source)
        by_name[name] = by_name.get(name, ZERO_COUNTS) + observed.counts
    bad = sum(counts.bad for counts in by_name.values())
    offenders = [
        Offender(name, counts, rate, counts.bad / bad)
        for name, counts in by_name.items()
        if name and counts.bad and (rate := burn_rate(counts, objective)) is not None
    ]
    offenders.sort(key=lambda offender: (-offender.counts.bad, offender.name))
    return tuple(offenders[:_OFFENDERS_SHOWN])
