"""The burn report's arithmetic, from exposition text to the printed line."""

import json
import re
from pathlib import Path

import pytest
from prometheus_client import Counter, generate_latest

from azurefold import __version__
from azurefold.border.configuration import parse_configuration
from azurefold.commands import report
from azurefold.commands.report_history import load_history, save_history, thinned
from azurefold.commands.report_readings import Reading, parse_tallies, too_fine
from azurefold.commands.report_settings import ReportSettings, load_report_settings
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.objectives import burn
from azurefold.entry.metrics import new_entry_metrics
from azurefold.internal.admin_http import AdminViews, admin_server
from azurefold.internal.process_limits import new_process_limits

MINUTE = 60_000
HOUR = 60 * MINUTE
TEXT = """{"services": {
  "drafts": {"kind": "model", "model": "m", "data_centres": ["f"], "endpoints": ["d0"],
             "objectives": {"target_share": 0.95}},
  "bookings": {"kind": "plain", "data_centres": ["f"], "endpoints": ["b0"],
               "objectives": {"first_token_ms": 500, "target_share": 0.9}}}}"""


@pytest.fixture
def configuration():
    return parse_configuration("text.jsonc", TEXT).to_core()


@pytest.fixture
def entry():
    """Return an entry's metrics, as the entry itself makes them."""
    return new_entry_metrics(manual_clock(ManualTime()))


def traffic(entry, first=(), between=(), answers=(), organisations=()):
    """Count known traffic on the service of drafts."""
    for seconds in first:
        entry.first_token.of("drafts").observe(int(seconds * 1_000))
    for seconds in between:
        entry.between_tokens.of("drafts").observe(int(seconds * 1_000))
    for result, number in answers:
        entry.answers.labels(service="drafts", result=result).inc(number)
    for name, result, number in organisations:
        counter = entry.organisation_answers
        counter.labels(organisation=name, result=result).inc(number)


def reading(entry, configuration, at, process="10.0.0.1:9090"):
    text = generate_latest(entry.registry).decode()
    return Reading(at, process, parse_tallies(text, configuration))


def by_name(reports):
    return {(each.service, each.objective.kind.value): each for each in reports}


def test_known_traffic_gives_known_burn(entry, configuration):
    start = reading(entry, configuration, 0)
    traffic(
        entry,
        first=[0.3] * 80 + [1.1] * 10 + [1.2] * 10,
        between=[0.07] * 990 + [0.08] * 10,
        answers=[("answered", 90), ("not_run", 6), ("unknown", 4), ("abandoned", 50)],
        organisations=[("shops", "answered", 60), ("shops", "other", 8)]
        + [("union", "answered", 30), ("union", "other", 2)],
    )
    end = reading(entry, configuration, HOUR)
    told = by_name(report.burn_reports([start, end], configuration, HOUR))
    first = told["drafts", "first token"]
    assert [burn.rate for burn in first.windows] == pytest.approx([2.0] * 4)
    assert told["drafts", "between tokens"].windows[1].rate == pytest.approx(0.2)
    whole = told["drafts", "answered whole"]
    assert (whole.period.counts.bad, whole.period.counts.total) == (10, 100)
    assert whole.budget_left == pytest.approx(-1.0)
    assert whole.ends_in == 0
    # At a fifth of the rate that spends it in 30 days, 80% last for 120 days.
    assert told["drafts", "between tokens"].ends_in == pytest.approx(120 * 24 * HOUR)
    assert told["bookings", "answered whole"].windows[0].rate is None
    organisations = told["all services by organisation", "answered whole"]
    worst = [(each.name, each.counts.bad) for each in organisations.worst_organisations]
    assert worst == [("shops", 8), ("union", 2)]
    assert not whole.worst_organisations
    assert not whole.worst_endpoints


def check_first_failures_count(entry, configuration):
    empty = reading(entry, configuration, 0)
    assert empty.tallies == ()
    traffic(entry, answers=[("unknown", 3)])
    later = reading(entry, configuration, MINUTE)
    told = by_name(report.burn_reports([empty, later], configuration, MINUTE))
    assert told["drafts", "answered whole"].period.counts.bad == 3


def test_first_requests_between_two_readings_count(entry, configuration):
    """Symptom: the first failures of a fresh entry are in no report.

    Sequence: an entry that has served nothing is read, it fails its first
    requests, it is read again. Cause: a service's counts are published from its
    first request on, and where they appear is taken for where they start.
    """
    check_first_failures_count(entry, configuration)


def test_mutant_that_forgets_empty_readings_is_caught(
    entry, configuration, monkeypatch
):
    def visit_only_with_counts(log, process, now):
        log._scrape_times[process] = burn._ScrapeTimes(None, now)

    monkeypatch.setattr(burn.ObjectiveLog, "record_scrape", visit_only_with_counts)
    with pytest.raises(AssertionError):
        check_first_failures_count(entry, configuration)


def test_endpoints_are_told_where_entries_publish_them(entry, configuration):
    start = reading(entry, configuration, 0)
    counter = Counter(
        "azurefold_entry_endpoint_answers",
        "Answers by endpoint",
        ["endpoint", "result"],
        registry=entry.registry,
    )
    counter.labels(endpoint="d0", result="answered").inc(7)
    counter.labels(endpoint="d0", result="other").inc(3)
    end = reading(entry, configuration, MINUTE)
    told = by_name(report.burn_reports([start, end], configuration, MINUTE))
    endpoints = told["all services by endpoint", "answered whole"].worst_endpoints
    assert [(each.name, each.counts.bad) for each in endpoints] == [("d0", 3)]


def test_threshold_between_two_edges_is_told(entry):
    odd = TEXT.replace('"objectives": {"t', '"objectives": {"first_token_ms": 600, "t')
    configuration = parse_configuration("text.jsonc", odd).to_core()
    traffic(entry, first=[0.55])
    text = generate_latest(entry.registry).decode()
    expected = "drafts: first token within 600 ms is counted at the edge of 500 ms"
    assert too_fine(text, configuration) == (expected,)


def test_history_keeps_old_readings_further_apart(tmp_path):
    kept = []
    for minute in range(24 * 60):
        kept = thinned([*kept, Reading(minute * MINUTE, "e", ())], minute * MINUTE)
    now = (24 * 60 - 1) * MINUTE
    ages = [now - each.at for each in kept]
    assert ages[0] == now
    assert len(ages) < 250
    old = [(a, b) for a, b in zip(ages, ages[1:], strict=False) if a > HOUR]
    assert max((a - b) / a for a, b in old) < 0.07
    path = str(tmp_path / "state.json")
    save_history(path, kept, now)
    assert load_history(path, now) == kept
    assert load_history(path, HOUR)[-1].at <= HOUR


@pytest.fixture
def served(entry):
    """Return the address where an entry's metrics are served."""
    views = AdminViews(entry.registry, lambda: True, dict)
    server = admin_server("127.0.0.1:0", views, "entry", new_process_limits())
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop(timeout=0)


@pytest.fixture
def run(tmp_path, capsys, monkeypatch):
    """Return a function that runs the command with settings."""

    def run(settings, *words):
        path = tmp_path / "report.jsonc"
        path.write_text(settings if isinstance(settings, str) else json.dumps(settings))
        (tmp_path / "text.jsonc").write_text(TEXT)
        command = ["azurefold-report", "--settings", str(path), *words]
        monkeypatch.setattr("sys.argv", command)
        with pytest.raises(SystemExit) as ended:
            report.main()
        captured = capsys.readouterr()
        return ended.value.code, captured.out + captured.err

    return run


def settings_for(tmp_path, *addresses, **more):
    entries = [{"name": f"e{n}", "metrics": each} for n, each in enumerate(addresses)]
    given = {"entries": entries, "configuration": str(tmp_path / "text.jsonc")}
    return given | {"apart_ms": 1} | more


def test_command_reads_entries_and_keeps_readings(run, entry, served, tmp_path):
    settings = settings_for(tmp_path, served, state=str(tmp_path / "state.json"))
    code, told = run(settings)
    assert code == 0, told
    assert "drafts: first token within 1100 ms for 95.0000%" in told
    traffic(entry, answers=[("answered", 9), ("ran", 1)])
    code, told = run(settings)
    assert code == 0, told
    assert "(1 bad of 10 in" in told
    code, told = run(settings, "--json")
    objectives = json.loads(told)["result"]["objectives"]
    whole = next(o for o in objectives if o["objective"]["kind"] == "answered whole")
    assert whole["period"]["counts"] == {"good": 9, "total": 10}


def test_silent_entries_are_named(run, served, tmp_path):
    code, told = run(settings_for(tmp_path, served, "127.0.0.1:1"))
    assert code == 4
    assert "note: 127.0.0.1:1: no metrics:" in told
    code, told = run(settings_for(tmp_path, "127.0.0.1:1"))
    assert code == 5


def test_bad_settings_are_refused_with_all_findings(run, tmp_path):
    bad = '{"entries": [{"name": "E 1"}],\n "apart_ms": 0}'
    code, told = run(bad)
    assert code == 2
    for finding in ("entries[0].metrics", "entries[0].name", ":2:", "configuration or"):
        assert finding in told
    code, told = run("{", "--json")
    assert code == 2
    assert json.loads(told)["result"]["findings"]


def test_settings_on_the_operators_page_are_accepted(tmp_path):
    page = (Path(__file__).parents[2] / "docs" / "OPERATORS.md").read_text("utf-8")
    shown = re.search(r"```\n(\{\n  \"entries\".*?)```", page, re.S)
    path = tmp_path / "report.jsonc"
    path.write_text(shown[1])
    assert len(load_report_settings(str(path)).entries) == 2
    missing = {key for key in ReportSettings.model_fields if key not in page}
    assert not missing


def test_misspelt_option_is_refused(run, served, tmp_path):
    """Symptom: --jsn prints text and the program that reads JSON fails.

    Sequence: an option is misspelt. Cause: fire runs a function first and
    looks for words that it has not understood afterwards.
    """
    code, told = run(settings_for(tmp_path, served), "--jsn")
    assert code == 2
    assert "budget" not in told
    code, told = run(settings_for(tmp_path, served), "--apart_ms", "soon")
    assert code == 2
    assert "command line: --apart_ms: is 'soon'; expected milliseconds" in told


def test_burn_text_reckons_from_a_start_at_zero(entry, served, configuration):
    traffic(entry, answers=[("answered", 19), ("not_run", 1)])
    told = report.burn_text([served, "127.0.0.1:1"], configuration, since_ms=30_000)
    assert "burn rate 1.00 (1 bad of 20), samples cover 30 s only" in told
    assert "note: 127.0.0.1:1: no metrics:" in told


def test_version(capsys, monkeypatch):
    monkeypatch.setattr("sys.argv", ["azurefold-report", "--version"])
    report.main()
    assert capsys.readouterr().out == f"azurefold-report {__version__}\n"
