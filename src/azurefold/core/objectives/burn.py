"""Reports how fast error budgets burn, when they run out and who is affected most."""

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

__all__ = [
    "BurnReport",
    "ObjectiveLog",
    "Offender",
    "WindowBurn",
    "build_burn_report",
]

_MAX_OFFENDERS = 5
_MIN_FORECAST_WINDOW_MS: Millis = 60 * 60 * SECOND


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn rate within one window.

    Parameters
    ----------
    window : int
        Length of the window in milliseconds.
    observed : WindowCounts
        Requests within the window, and how much of it the samples cover.
    rate : float or None
        Burn rate; None if there were no requests.
    """

    window: Millis
    observed: WindowCounts
    rate: float | None


@dataclass(frozen=True, slots=True)
class Offender:
    """An organisation or endpoint with many requests that missed the objective.

    Parameters
    ----------
    name : str
        Name of the organisation or endpoint.
    counts : RequestCounts
        Its requests.
    rate : float
        Its own burn rate.
    share_of_bad : float
        Its fraction of all bad requests.
    """

    name: str
    counts: RequestCounts
    rate: float
    share_of_bad: float


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The state of the error budget of one objective of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    objective : Objective
        Objective that the report is about.
    windows : tuple of WindowBurn
        Burn rates, shortest window first.
    period : WindowCounts
        Requests within the objective's period.
    budget_left : float
        Remaining fraction of the error budget, below 0 if overspent.
    ends_in : int or None
        Milliseconds until the budget is used up at the rate of ``ends_window``; None
        if it never is.
    ends_window : int
        Window whose burn rate is assumed to continue.
    worst_organisations, worst_endpoints : tuple of Offender
        Those with the most bad requests in the period, worst first.
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
class _ScrapeTimes:
    """Times of the last two scrapes of a process; ``previous`` is None after one."""

    previous: Millis | None
    last: Millis


@dataclass(slots=True)
class ObjectiveLog:
    """Samples of all sources for one objective of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    objective : Objective
        Objective to which the counts refer.
    """

    service: str
    objective: Objective
    _histories: dict[Source, CountHistory] = field(default_factory=dict)
    _scrape_times: dict[str, _ScrapeTimes] = field(default_factory=dict)

    def add(self, source: Source, counts: RequestCounts, now: Millis) -> None:
        """Add the cumulative counts that ``source`` published.

        A process publishes a source only after its first request. If the process was
        scraped before, the count of a new source was therefore zero at that time.
        Without this starting point the report would miss the first requests of every
        organisation on every endpoint, which may be its only bad ones.

        Parameters
        ----------
        source : Source
            Source of the counts.
        counts : RequestCounts
            Counts since the start of the process.
        now : int
            When they were read, in milliseconds.
        """
        self.record_scrape(source.process, now)
        scrape_times = self._scrape_times[source.process]
        history = self._histories.get(source)
        if history is None:
            history = self._histories[source] = CountHistory()
            if scrape_times.previous is not None:
                history.add(ZERO_COUNTS, scrape_times.previous)
        history.add(counts, now)

    def record_scrape(self, process: str, now: Millis) -> None:
        """Record that a process was scraped, even if it publishes no source yet.

        Parameters
        ----------
        process : str
            Name of the process.
        now : int
            Time of the scrape in milliseconds; calls must be in chronological order.
        """
        scrape_times = self._scrape_times.setdefault(process, _ScrapeTimes(None, now))
        if scrape_times.last < now:
            self._scrape_times[process] = _ScrapeTimes(scrape_times.last, now)

    def drop_expired(self, now: Millis) -> None:
        """Drop samples that are older than the objective's period."""
        for history in self._histories.values():
            history.drop_before(now - self.objective.period)

    def count_within(self, window: Millis, now: Millis) -> dict[Source, WindowCounts]:
        """Return the requests within the window that ends at ``now``, by source."""
        return {
            source: history.count_within(window, now)
            for source, history in sorted(self._histories.items())
        }


def build_burn_report(
    log: ObjectiveLog, now: Millis, windows: tuple[Millis, ...] = BURN_WINDOWS_MS
) -> BurnReport:
    """Return the burn report of one objective.

    The forecast of when the budget runs out uses the shortest window of at least an
    hour, or the longest window if there is none. Over five minutes, a single short
    disturbance would predict that the budget runs out within the day.

    Parameters
    ----------
    log : ObjectiveLog
        Samples of the objective.
    now : int
        Current time in milliseconds.
    windows : tuple of int
        Lengths of the windows in milliseconds.

    Raises
    ------
    ValueError
        If ``windows`` is empty.
    """
    if not windows:
        raise ValueError("at least one window is needed to compute a burn rate")
    objective = log.objective
    burns = tuple(_compute_window_burn(log, window, now) for window in sorted(windows))
    by_source = log.count_within(objective.period, now)
    period = _sum_sources(by_source)
    remaining = remaining_budget(period.counts, objective)
    forecast = next(
        (burn for burn in burns if burn.window >= _MIN_FORECAST_WINDOW_MS), burns[-1]
    )
    return BurnReport(
        service=log.service,
        objective=objective,
        windows=burns,
        period=period,
        budget_left=remaining,
        ends_in=time_to_exhaustion(remaining, forecast.rate, objective),
        ends_window=forecast.window,
        worst_organisations=_find_worst(by_source, objective, _get_organisation),
        worst_endpoints=_find_worst(by_source, objective, _get_endpoint),
    )


def _compute_window_burn(log: ObjectiveLog, window: Millis, now: Millis) -> WindowBurn:
    observed = _sum_sources(log.count_within(window, now))
    return WindowBurn(window, observed, burn_rate(observed.counts, log.objective))


def _sum_sources(by_source: dict[Source, WindowCounts]) -> WindowCounts:
    counts = sum((observed.counts for observed in by_source.values()), ZERO_COUNTS)
    covered = max((observed.covered for observed in by_source.values()), default=0)
    return WindowCounts(counts, covered)


def _get_organisation(source: Source) -> str:
    return source.organisation


def _get_endpoint(source: Source) -> str:
    return source.endpoint


def _find_worst(
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
    return tuple(offenders[:_MAX_OFFENDERS])
