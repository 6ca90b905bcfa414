"""Odd answers and files are told to the operator; no command ends in them."""

import msgspec
import pytest
from gevent.server import StreamServer
from hypothesis import given, settings
from tests.odd_json import DIGITS, odd_texts

from azurefold.border.configuration import parse_configuration
from azurefold.border.findings import FindingsError
from azurefold.border.settings import OperatorControl
from azurefold.commands.fleet import Silent, fleet
from azurefold.commands.report_history import load_history
from azurefold.commands.report_readings import read_entries
from azurefold.core.clock import ManualTime, manual_clock

READING = {
    "at": 5,
    "process": "10.0.0.1:80",
    "tallies": [["a", "answered_whole", None, "", "", 1, 2]],
}


@settings(max_examples=200, deadline=None)
@given(odd_texts([READING]))
def test_an_odd_file_of_readings_is_a_finding_or_of_use(tmp_path_factory, text):
    """Guards against a report that ends in a traceback at its own history."""
    path = tmp_path_factory.mktemp("history") / "readings.json"
    path.write_text(text)
    try:
        readings = load_history(str(path), 10)
    except FindingsError:
        return
    assert all(0 <= reading.at <= 10 for reading in readings)


METRICS = """\
# TYPE azurefold_entry_answers counter
azurefold_entry_answers_total{{service="a",result="answered"}} {number}
# TYPE azurefold_entry_organisation_answers counter
azurefold_entry_organisation_answers_total{{organisation="o",result="z"}} {number}
# TYPE azurefold_entry_endpoint_answers counter
azurefold_entry_endpoint_answers_total{{endpoint="e",result="answered"}} {number}
# TYPE azurefold_entry_first_token_seconds histogram
azurefold_entry_first_token_seconds_bucket{{service="a",le="{edge}"}} {number}
azurefold_entry_first_token_seconds_bucket{{service="a",le="+Inf"}} {number}
"""
NO_EDGE = METRICS.replace(',le="{edge}"', "")
SERVICES = """
{"services": {"a": {"kind": "model", "model": "m", "data_centres": ["f"],
  "endpoints": ["d0"], "objectives": {"first_token_ms": 500, "target_share": 0.95}}}}
"""


def served(body):
    """Serve ``body`` as the answer to everything."""

    def answer(sock, address):
        sock.recv(65_536)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall((head + body).encode())

    server = StreamServer(("127.0.0.1", 0), answer)
    server.start()
    return server


@pytest.mark.parametrize("edge", ["0.5", "x", "9" * 300, "NaN"])
@pytest.mark.parametrize("number", ["+Inf", "-Inf", "NaN", "1e308", "x", "9" * DIGITS])
@pytest.mark.parametrize("text", [METRICS, NO_EDGE], ids=["edge", "no-edge"])
def test_odd_metrics_of_an_entry_make_it_silent(text, number, edge):
    """Guards against one entry for which the report of all others ends."""
    configuration = parse_configuration("text.jsonc", SERVICES).to_core()
    server = served(text.format(number=number, edge=edge))
    clock = manual_clock(ManualTime())
    address = f"127.0.0.1:{server.server_port}"
    readings, silent, _ = read_entries([address], configuration, clock, 2_000)
    server.stop(timeout=0)
    assert len(readings) + len(silent) == 1
    msgspec.json.encode(readings)


STATUS = {"name": "c-1", "data_centre": "dc-a", "revision": 3, "edit_id": "e"}


@settings(max_examples=30, deadline=None)
@given(odd_texts(STATUS))
def test_an_odd_status_makes_a_control_process_silent_or_is_of_use(text):
    """Guards against one control process for which nobody's status is told."""
    server = served(text)
    control = OperatorControl(
        name="c-1", data_centre="dc-a", status=f"127.0.0.1:{server.server_port}"
    )
    told = fleet([control]).statuses()
    server.stop(timeout=0)
    assert len(told) == 1
    if not isinstance(told[0], Silent):
        assert 0 <= told[0].revision <= 2**53
