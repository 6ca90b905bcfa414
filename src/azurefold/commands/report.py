"""``azurefold-report``: how fast the service-level budgets burn."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import fire
import gevent

from azurefold import __version__
from azurefold.border.configuration import configuration_from_raw, load_configuration
from azurefold.border.findings import Finding, FindingsError, Place
from azurefold.commands.accepted import read_accepted
from azurefold.commands.report_history import load_history, save_history
from azurefold.commands.report_readings import (
    ALL_SERVICES,
    Reading,
    Tally,
    Unread,
    objectives_of,
    read_entries,
    strictest,
)
from azurefold.commands.report_settings import ReportSettings, load_report_settings
from azurefold.commands.reports import Exit, Report, render_json, unavailable_report
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.model import Configuration
from azurefold.core.objectives.burn import BurnReport, ObjectiveLog, build_burn_report
from azurefold.core.objectives.counts import RequestCounts, Source
from azurefold.core.objectives.objective import Objective
from azurefold.core.objectives.rendering import render_burn
from azurefold.internal.clock import wall_clock
from azurefold.site_store.client import platform_client
from azurefold.site_store.configuration_store import configuration_store
from azurefold.site_store.messages import Unavailable

__all__ = ["BurnInput", "burn_reports", "burn_text", "main"]

_NAME = "azurefold-report"
_SETTINGS = "report.jsonc"
_METRICS_TIMEOUT_MS: Millis = 2_000
_SECOND_MS = 1_000


class _Scope(Enum):
    SERVICE = "by service"
    ORGANISATIONS = "by organisation"
    ENDPOINTS = "by endpoint"


@dataclass(frozen=True, slots=True)
class _LogKey:
    scope: _Scope
    service: str
    kind: str
    threshold: Millis | None


@dataclass(frozen=True, slots=True)
class _Options:
    settings: str
    changes: dict[str, str | Millis]
    as_json: bool


@dataclass(slots=True)
class BurnInput:
    """Readings in the order of their time, and what could not be read."""

    readings: list[Reading]
    silent: list[Unread] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


def burn_reports(
    readings: Sequence[Reading], configuration: Configuration, now: Millis
) -> list[BurnReport]:
    """Return the burn of every objective of the configuration.

    Parameters
    ----------
    readings : sequence of Reading
        In any order.
    configuration : Configuration
        Whose objectives.
    now : int
        Milliseconds since the Unix epoch.
    """
    logs = _logs(configuration)
    for reading in sorted(readings, key=lambda each: each.at):
        for log in logs.values():
            log.record_scrape(reading.process, reading.at)
        for tally in reading.tallies:
            _feed(logs, tally, reading)
    told = [(key.scope, build_burn_report(log, now)) for key, log in logs.items()]
    return [
        report
        for scope, report in told
        if scope is _Scope.SERVICE or report.period.counts.total
    ]


def burn_text(
    addresses: Sequence[str],
    configuration: Configuration,
    since_ms: Millis,
    timeout_ms: Millis = _METRICS_TIMEOUT_MS,
) -> str:
    """Return the report on processes that all started ``since_ms`` ago.

    The readings are zero at that time and what the entries publish now.

    Parameters
    ----------
    addresses : sequence of str
        Where the entries serve ``/metrics``.
    configuration : Configuration
        Whose objectives.
    since_ms : int
        Milliseconds since the entries started.
    timeout_ms : int, default=2000
        Milliseconds for an entry to answer.
    """
    clock = wall_clock()
    readings, silent, notes = read_entries(addresses, configuration, clock, timeout_ms)
    now = clock.now()
    starts = [Reading(now - since_ms, address, ()) for address in addresses]
    told = BurnInput([*starts, *readings], silent, notes)
    return _text(burn_reports(told.readings, configuration, now), told)


def main() -> None:
    """Run the command line."""
    if "--version" in sys.argv[1:]:
        print(f"{_NAME} {__version__}")
        return
    # fire calls a function before it looks whether all words were understood.
    # The function therefore only notes the options: a misspelt one would
    # otherwise be passed over in silence, and the report be of something else.
    options = fire.Fire(_options, name=_NAME, serialize=lambda _: None)
    if isinstance(options, _Options):
        _report(options)


def _options(
    settings: str = _SETTINGS,
    configuration: str = "",
    state: str = "",
    apart_ms: Millis = 0,
    json: bool = False,
) -> _Options:
    """Tell how fast the service-level budgets burn and when they end.

    Exit codes: 0 done, 2 bad input, 4 some entries were silent, 5 no answer.

    Args:
        settings: file with the addresses of the entries.
        configuration: configuration text with the objectives; over the settings.
        state: file of earlier readings, which the run adds to; over the settings.
        apart_ms: without a state file, milliseconds between the two readings.
        json: print one line for programs.
    """
    changes = {"configuration": str(configuration), "state": str(state)}
    changes |= {"apart_ms": apart_ms}
    given = {key: value for key, value in changes.items() if value}
    return _Options(str(settings), given, json)


def _report(options: _Options) -> None:
    try:
        report = _run(_settings(options), wall_clock())
    except FindingsError as error:
        report = Report(Exit.BAD_INPUT, (str(error),), {"findings": _plain(error)})
    if options.as_json:
        print(render_json(report))
    else:
        stream = sys.stderr if report.exit is Exit.BAD_INPUT else sys.stdout
        print("\n".join(report.lines), file=stream)
    sys.exit(report.exit)


def _settings(options: _Options) -> ReportSettings:
    settings = load_report_settings(options.settings)
    apart_ms = options.changes.get("apart_ms", settings.apart_ms)
    if not isinstance(apart_ms, int) or apart_ms < 1:
        place = Place("command line", path="--apart_ms")
        finding = Finding(place, f"is {apart_ms!r}", "milliseconds, 1 or more")
        raise FindingsError("the command line is refused", [finding])
    return settings.model_copy(update=options.changes)


def _plain(error: FindingsError) -> list[str]:
    return [str(each) for each in error.findings]


def _run(settings: ReportSettings, clock: Clock) -> Report:
    configuration = _objectives(settings)
    if isinstance(configuration, Unavailable):
        return unavailable_report(configuration.reason)
    told = _readings(settings, configuration, clock)
    if len(told.silent) == len(settings.entries):
        lines = [_silent_line(each) for each in told.silent]
        return Report(Exit.UNAVAILABLE, tuple(lines), {"silent": told.silent})
    reports = burn_reports(told.readings, configuration, clock.now())
    code = Exit.NOT_REACHED if told.silent else Exit.OK
    data = {"objectives": reports, "silent": told.silent, "notes": told.notes}
    return Report(code, (_text(reports, told),), data)


def _objectives(settings: ReportSettings) -> Configuration | Unavailable:
    if settings.configuration:
        return load_configuration(settings.configuration).to_core()
    client = platform_client(settings.platform, settings.platform_timeout_ms)
    accepted = read_accepted(configuration_store(client))
    if isinstance(accepted, Unavailable):
        return accepted
    try:
        return configuration_from_raw(accepted.raw)
    except ValueError as error:
        return Unavailable(f"the accepted configuration is of another version: {error}")


def _readings(
    settings: ReportSettings, configuration: Configuration, clock: Clock
) -> BurnInput:
    addresses = [entry.metrics for entry in settings.entries]
    timeout_ms = settings.metrics_timeout_ms
    earlier = load_history(settings.state, clock.now()) if settings.state else []
    if not earlier:
        first, _, _ = read_entries(addresses, configuration, clock, timeout_ms)
        earlier = first
        gevent.sleep(settings.apart_ms / _SECOND_MS)
    present, silent, notes = read_entries(addresses, configuration, clock, timeout_ms)
    readings = [*earlier, *present]
    if settings.state:
        save_history(settings.state, readings, clock.now())
    return BurnInput(readings, silent, notes)


def _logs(configuration: Configuration) -> dict[_LogKey, ObjectiveLog]:
    logs = {}
    for service in configuration.services.values():
        for objective in objectives_of(service):
            key = _key(_Scope.SERVICE, service.name, objective)
            logs[key] = ObjectiveLog(service.name, objective)
    whole = strictest(configuration)
    for scope in (_Scope.ORGANISATIONS, _Scope.ENDPOINTS):
        title = f"{ALL_SERVICES} {scope.value}"
        logs[_key(scope, ALL_SERVICES, whole)] = ObjectiveLog(title, whole)
    return logs


def _key(scope: _Scope, service: str, objective: Objective) -> _LogKey:
    return _LogKey(scope, service, objective.kind.value, objective.threshold)


def _feed(logs: dict[_LogKey, ObjectiveLog], tally: Tally, reading: Reading) -> None:
    key = _LogKey(_scope_of(tally), tally.service, tally.kind, tally.threshold)
    log = logs.get(key)
    # Kept readings may be of services and thresholds that have changed since.
    if log is not None:
        source = Source(reading.process, tally.organisation, tally.endpoint)
        log.add(source, RequestCounts(tally.good, tally.total), reading.at)


def _scope_of(tally: Tally) -> _Scope:
    if tally.service != ALL_SERVICES:
        return _Scope.SERVICE
    return _Scope.ORGANISATIONS if tally.organisation else _Scope.ENDPOINTS


def _text(reports: Sequence[BurnReport], told: BurnInput) -> str:
    text = render_burn(reports)
    extra = [*map(_silent_line, told.silent), *told.notes]
    return text + "".join(f"note: {line}\n" for line in extra)


def _silent_line(unread: Unread) -> str:
    return f"{unread.process}: no metrics: {unread.reason}"


if __name__ == "__main__":
    main()
