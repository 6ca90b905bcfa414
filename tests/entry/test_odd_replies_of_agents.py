"""An agent's odd reply counts as lost, and its odd numbers as none."""

from types import SimpleNamespace

import pytest
from tests.odd_json import DIGITS, NESTED

from azurefold.entry.agents import _not_taken, _running
from azurefold.entry.lines import LostError
from azurefold.wire.attempts import HEADER_RUNNING


@pytest.mark.parametrize("text", ["", "x", "-1", "9" * 300, "9" * DIGITS])
def test_an_odd_number_of_running_attempts_counts_as_none(text):
    """Guards against an answer 500 though the agent runs the request."""
    assert _running({HEADER_RUNNING: text}) == 0


@pytest.mark.parametrize(
    "fields",
    [f'"reason":"full","later":{NESTED}', '"reason":"\\ud800"', '"reason":"\xff"'],
)
def test_a_refusal_that_cannot_be_read_counts_as_lost(fields):
    body = b"{" + fields.encode("latin-1") + b"}"
    with pytest.raises(LostError):
        _not_taken(SimpleNamespace(read=lambda: body, status_code=409))
