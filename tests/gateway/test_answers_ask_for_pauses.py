"""Retry-After of 503 answers is parsed and logged."""

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.gateway.test_relays_answer_truthfully import relay_of

from azurefold.core.routes.model import AnswerKind
from azurefold.platform.headers import read_answer

LONGEST_MS = 3_600_000
DATE = ("Date", "Thu, 03 Dec 2026 10:00:00 GMT")


def refusal(text, *headers):
    return read_answer(503, [("Not-Executed", "1"), ("Retry-After", text), *headers])


@pytest.mark.parametrize(
    ("text", "milliseconds"),
    [
        ("3", 3_000),
        (" 0.25 ", 250),
        ("0", 0),
        ("999999999", LONGEST_MS),
        ("Thu, 03 Dec 2026 10:00:02 GMT", 2_000),
        ("Thu, 03 Dec 2026 09:00:00 GMT", 0),
    ],
)
def test_retry_after_accepts_seconds_and_dates(text, milliseconds):
    head = refusal(text, DATE)
    assert (head.backoff_ms, head.bad_backoff) == (milliseconds, "")


@given(st.text(st.characters(codec="latin-1")), st.text(st.characters(codec="latin-1")))
def test_no_text_ends_a_request(text, date):
    """Guards against losing an answer because of a header that cannot be read."""
    head = refusal(text, ("Date", date))
    assert head.backoff_ms is None or 0 <= head.backoff_ms <= LONGEST_MS


@pytest.mark.parametrize("status", [200, 429, 500])
def test_retry_after_is_ignored_unless_status_is_503(status):
    head = read_answer(status, [("Server-Seal", "s"), ("Retry-After", "3")])
    assert head.backoff_ms is None


@pytest.fixture
def service(state):
    return relay_of(state, AnswerKind.IDEMPOTENT).service


def test_backoff_is_logged_with_its_duration(service, caplog):
    with caplog.at_level(logging.WARNING, "azurefold.gateway"):
        service.record_backoff("e0", "a1", refusal("3"), 0)
    assert "event=endpoint_backoff" in caplog.text
    assert "for_ms=3000" in caplog.text


@pytest.mark.parametrize(
    "text",
    [
        "",
        "-1",
        "soon",
        "nan",
        "3, 4",
        "1e3",
        "٣",
        "Thu, 03 Dec 99999999999999999999 10:00:00 GMT",
        "Thu, 03 Dec 2026 10:00:00 +99999999999999999999",
    ],
)
def test_unreadable_retry_after_is_logged_once_per_endpoint(service, caplog, text):
    with caplog.at_level(logging.WARNING, "azurefold.gateway"):
        for endpoint in ("e0", "e1", "e0"):
            service.record_backoff(endpoint, "a1", refusal(text, DATE), 0)
    assert caplog.text.count("event=backoff_unreadable") == 2
    assert "event=endpoint_backoff" not in caplog.text
