"""Quotas are read off the answers of endpoints, and kept from callers."""

import logging
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.gateway.test_endpoints_that_refuse_everything import closing
from tests.gateway.test_relays_answer_truthfully import EVENT, relay_of

from azurefold.core.routes.model import AnswerKind
from azurefold.gateway.callers.calls import Begun, GivenUp
from azurefold.gateway.callers.relay import Relay
from azurefold.platform.headers import read_answer

NAME = "Server-Limit"


def quota_in(text):
    return read_answer(200, [("Server-Seal", "s"), (NAME, text)]).quota


@pytest.mark.parametrize(
    ("text", "rate"), [("3", 3.0), ("0.25", 0.25), (" 12.5 ", 12.5), ("0", 0.0)]
)
def test_a_decimal_number_is_a_quota(text, rate):
    assert quota_in(text) == rate


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e9", "3/s", "1000001", "٣"])
def test_what_is_no_quota_is_kept_for_the_log(text):
    head = read_answer(200, [(NAME.lower(), text)])
    assert head.quota is None
    assert head.bad_quota


@given(st.text(st.characters(codec="latin-1")))
def test_no_text_ends_a_request(text):
    """An answer was lost because of a header that could not be read."""
    head = read_answer(200, [(NAME, text)])
    is_decimal = re.fullmatch(r"[0-9]+(\.[0-9]*)?", text.strip())
    assert head.quota is None or is_decimal


def test_answers_without_a_quota_name_none():
    head = read_answer(200, [("Server-Seal", "s")])
    assert (head.quota, head.bad_quota) == (None, "")


def test_callers_do_not_see_quotas():
    head = read_answer(200, [("Server-Seal", "s"), (NAME, "3")])
    assert head.forwarded == (("Server-Seal", "s"),)


@pytest.fixture
def relay(state, endpoint_script):
    """Return a request to a service whose endpoints all name a quota."""
    answers, _ = endpoint_script
    made = relay_of(state, AnswerKind.STREAMING, max_attempts=2, is_resumable=True)
    for name in made.service.admission.pool.endpoints:
        answers[name] = lambda: closing(200, [EVENT % 1], quota=0.5)
    return made


def again(relay):
    """Send another request like ``relay`` and return the parts of its answer."""
    return list(Relay(relay.call, relay.state, relay.service).run())


def test_what_no_quota_allows_is_refused_at_once(relay, caplog):
    """Requests waited for endpoints whose quotas were spent, until their deadlines."""
    endpoints = len(relay.service.admission.pool.endpoints)
    with caplog.at_level(logging.INFO, "azurefold.gateway"):
        for _ in range(endpoints):
            assert isinstance(again(relay)[0], Begun)
        (refusal,) = again(relay)
    assert isinstance(refusal, GivenUp)
    assert refusal.status == 503
    assert refusal.failure.reason == "over_quota"
    assert refusal.failure.retry_after_ms > 0
    assert caplog.text.count("quota_named") == endpoints


def test_a_quota_that_cannot_be_read_is_logged_once(relay, caplog):
    service = relay.service
    head = read_answer(200, [("Server-Seal", "s"), (NAME, "many")])
    with caplog.at_level(logging.ERROR, "azurefold.gateway"):
        for _ in range(5):
            service.quota_answered("e0", head, 0, 100)
    assert caplog.text.count("quota_unreadable") == 1
    assert not service.admission.pool.quota_shares


def test_a_refusal_without_a_quota_ends_none(relay):
    """An endpoint in need that refused a request got all others at once.

    Its refusal named no quota, and was taken for the end of its need.
    """
    again(relay)
    pool = relay.service.admission.pool
    (needy,) = pool.quota_shares
    refusal = read_answer(503, [("Not-Executed", "1")])
    relay.service.quota_answered(needy, refusal, 10**9, 10**9)
    assert needy in pool.quota_shares
