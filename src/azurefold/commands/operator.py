"""``azurefold``: the operators' command line."""

import fileinput
import getpass
import sys
from collections.abc import Callable

import fire
import msgspec

from azurefold import __version__
from azurefold.border.configuration import ConfigurationModel, load_configuration
from azurefold.border.findings import FindingsError
from azurefold.border.settings import OperatorSettings, load_settings
from azurefold.commands.apply import ApplyOptions
from azurefold.commands.apply import apply as apply_text
from azurefold.commands.check import check as check_text
from azurefold.commands.check import diff as diff_text
from azurefold.commands.check import show as show_accepted
from azurefold.commands.drain import control_callers
from azurefold.commands.drain import drain as drain_endpoint
from azurefold.commands.explain import Lateness, explain
from azurefold.commands.explain_request import explain_request
from azurefold.commands.fleet import Fleet, fleet
from azurefold.commands.rebalance import rebalance as rebalance_group
from azurefold.commands.reports import Exit, Report, render_json
from azurefold.commands.status import outcome as tell_outcome
from azurefold.commands.status import status as tell_status
from azurefold.commands.status import watch as watch_status
from azurefold.core.clock import Millis
from azurefold.internal.clock import monotonic_clock
from azurefold.site_store.client import platform_client
from azurefold.site_store.configuration_store import (
    ConfigurationStore,
    configuration_store,
)

__all__ = ["Commands", "main"]

_SETTINGS = "operator.jsonc"


class Commands:
    """Configure azurefold and see what is in force where.

    Each command takes ``--json`` for programs and ``--settings`` for the file
    with the addresses of the platform and of the control processes. Exit codes:
    0 done, 1 refused, 2 bad input, 3 unknown, 4 not everywhere, 5 no answer.
    """

    def check(self, text: str, json: bool = False) -> None:
        """Check a configuration text; nothing is sent anywhere."""
        _finish(lambda: check_text(_text(text)), json)

    def diff(self, text: str, settings: str = _SETTINGS, json: bool = False) -> None:
        """Show what a text would change."""
        _finish(lambda: diff_text(_text(text), _store(_load(settings))), json)

    def show(self, settings: str = _SETTINGS, json: bool = False) -> None:
        """Print the accepted configuration with its revision."""
        _finish(lambda: show_accepted(_store(_load(settings))), json)

    def apply(
        self,
        text: str,
        base: int | None = None,
        settings: str = _SETTINGS,
        author: str | None = None,
        wait: bool = True,
        wait_timeout_ms: Millis = 10_000,
        accept_timeout_ms: Millis = 10_000,
        over_restored: bool = False,
        json: bool = False,
    ) -> None:
        """Have a text accepted, if its base is still what is accepted."""
        options = ApplyOptions(
            base=base,
            author=author if author is not None else _user(),
            wait=wait,
            accept_timeout_ms=accept_timeout_ms,
            wait_timeout_ms=wait_timeout_ms,
            over_restored=over_restored,
        )
        _finish(lambda: _apply(text, settings, options), json)

    def outcome(
        self,
        revision: int,
        edit_id: str,
        settings: str = _SETTINGS,
        json: bool = False,
    ) -> None:
        """Tell what became of an edit whose answer was lost."""
        _finish(
            lambda: tell_outcome(_store(_load(settings)), revision, str(edit_id)), json
        )

    def status(self, settings: str = _SETTINGS, json: bool = False) -> None:
        """Tell what the platform shows and each control process holds."""
        _finish(lambda: _status(_load(settings)), json)

    def watch(
        self,
        settings: str = _SETTINGS,
        for_ms: Millis | None = None,
        json: bool = False,
    ) -> None:
        """Print each change of the status until interrupted."""
        _finish(lambda: _watch(_load(settings), for_ms, _speaker(json)), False)

    def drain(
        self,
        endpoint: str,
        settings: str = _SETTINGS,
        timeout_ms: Millis = 60_000,
        json: bool = False,
    ) -> None:
        """Have an endpoint leave and wait until nothing is in flight there."""
        say = _nothing if json else _say
        _finish(lambda: _drain(endpoint, _load(settings), timeout_ms, say), json)

    # As text, since ids such as 12e4567 are numbers to the command line's parser.
    @fire.decorators.SetParseFns(request=str)
    def explain(
        self,
        *logs: str,
        request: str | None = None,
        by_priority: bool = False,
        first_ms: Millis = 500,
        gap_ms: Millis = 150,
        json: bool = False,
    ) -> None:
        """Sort the requests of gateways' logs by what became of them; - for input.

        With ``--request`` and an id, tell the decisions on that request.
        """
        late = Lateness(first_ms, gap_ms)
        with fileinput.input(logs, encoding="utf-8", errors="replace") as lines:
            if request is None:
                _finish(lambda: explain(lines, late, by_priority=by_priority), json)
            else:
                _finish(lambda: explain_request(lines, request), json)

    def rebalance(
        self,
        group: str,
        explain: bool = False,
        settings: str = _SETTINGS,
        json: bool = False,
    ) -> None:
        """Decide on a group's expert map now; --explain changes nothing."""
        _finish(lambda: _rebalance(group, _load(settings), explain), json)


def main() -> None:
    """Run the command line."""
    if sys.argv[1:] == ["--version"]:
        print(f"azurefold {__version__}")
        return
    fire.Fire(Commands, name="azurefold")


def _finish(run: Callable[[], Report], as_json: bool) -> None:
    try:
        report = run()
    except FindingsError as error:
        report = _refused(error)
    if as_json:
        print(render_json(report))
    else:
        stream = sys.stderr if report.exit is Exit.BAD_INPUT else sys.stdout
        for line in report.lines:
            print(line, file=stream)
    sys.exit(report.exit)


def _refused(error: FindingsError) -> Report:
    data = [
        {
            "file": each.place.file,
            "line": each.place.line,
            "column": each.place.column,
            "path": each.place.path,
            "problem": each.problem,
            "expected": each.expected,
        }
        for each in error.findings
    ]
    return Report(Exit.BAD_INPUT, (str(error),), {"findings": data})


def _text(path: str) -> ConfigurationModel:
    return load_configuration(str(path))


def _load(path: str) -> OperatorSettings:
    return load_settings(str(path), OperatorSettings)


def _store(settings: OperatorSettings) -> ConfigurationStore:
    client = platform_client(settings.platform, settings.platform_timeout_ms)
    return configuration_store(client)


def _fleet(settings: OperatorSettings) -> Fleet:
    return fleet(settings.controls)


def _apply(text: str, settings_path: str, options: ApplyOptions) -> Report:
    model, settings = _text(text), _load(settings_path)
    clock = monotonic_clock()
    return apply_text(model, _store(settings), _fleet(settings), clock, options)


def _status(settings: OperatorSettings) -> Report:
    return tell_status(_store(settings), _fleet(settings))


def _watch(
    settings: OperatorSettings, for_ms: Millis | None, say: Callable[[str], None]
) -> Report:
    clock = monotonic_clock()
    until = None if for_ms is None else clock.now() + for_ms
    return watch_status(_store(settings), _fleet(settings), clock, say, until)


def _drain(
    endpoint: str,
    settings: OperatorSettings,
    timeout_ms: Millis,
    say: Callable[[str], None],
) -> Report:
    clock = monotonic_clock()
    callers = control_callers(settings.controls, settings.keys)
    return drain_endpoint(str(endpoint), callers, clock, say, clock.now() + timeout_ms)


def _rebalance(group: str, settings: OperatorSettings, explain_only: bool) -> Report:
    callers = control_callers(settings.controls, settings.keys)
    return rebalance_group(str(group), callers, explain_only)


def _speaker(as_json: bool) -> Callable[[str], None]:
    return _say_json if as_json else _say


def _say(line: str) -> None:
    print(line, flush=True)


def _say_json(line: str) -> None:
    print(msgspec.json.encode({"event": line}).decode(), flush=True)


def _nothing(line: str) -> None:
    """Say nothing: programs read the one line at the end."""


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


if __name__ == "__main__":
    main()
