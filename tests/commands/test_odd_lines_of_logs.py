"""A damaged line of a log is counted or told; no command ends in it."""

import pytest
from tests.odd_json import DIGITS

from azurefold.commands.explain import Lateness, explain
from azurefold.commands.explain_request import explain_request

LINE = (
    "time={time} level=info process=gw-1 event=request_end request=a1 "
    "result=answered_200 route=r-1 service=drafts priority={priority} "
    "took_ms={took} left_ms=1 queued_ms=0 first_ms={first} longest_gap_ms=1 events=1"
)
FIELDS = {
    "time": "2026-03-01T08:00:00.250Z",
    "priority": "5",
    "took": "900",
    "first": "120",
}
ODD_LINES = [
    LINE.format(**FIELDS | {name: odd})
    for name in FIELDS
    for odd in ("9" * DIGITS, "9" * 300, "-1", "1e999", "x", "0001-01-01T00:00:00")
]
ODD_LINES.append(LINE.format(**FIELDS | {"time": "2026-03-01T08:00:00"}))


@pytest.mark.parametrize("line", ODD_LINES, ids=range(len(ODD_LINES)))
def test_an_odd_line_of_a_log_is_counted_or_told(line):
    """Guards against one damaged line for which a command ends in a traceback."""
    good = LINE.format(**FIELDS)
    report = explain([good, line], Lateness(), by_priority=True)
    assert report.data["requests"] >= 1
    assert explain_request([good, line], "a1").lines
