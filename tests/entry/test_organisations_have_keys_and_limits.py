"""Callers prove their organisation, and none takes more than its limit."""

import hashlib
from random import Random

import pytest
from tests.entry.conftest import ManualClock

from azurefold.core.configuration.model import Organisation
from azurefold.entry.organisations import new_organisations
from azurefold.entry.requests import BadRequestError

KEY = "a key"


@pytest.fixture
def time():
    """A clock at 1,000 ms."""
    return ManualClock()


@pytest.fixture
def organisations(time):
    """One organisation with a key, one limited in each way, one free."""
    found = new_organisations(time.clock, 1, "entry")
    sha = hashlib.sha256(KEY.encode()).hexdigest()
    known = {
        "union": Organisation("union", api_key_sha256=sha),
        "many": Organisation("many", requests_per_second=2.0),
        "long": Organisation("long", tokens_per_second=100.0),
        "free": Organisation("free"),
    }
    found.apply(known, known.keys())
    return found


def test_the_right_key_passes(organisations):
    organisations.check_key("union", f"Bearer {KEY}")
    organisations.check_key("free", None)


@pytest.mark.parametrize(
    "sent", [None, "", KEY, "Bearer", "Bearer another", f"Basic {KEY}"]
)
def test_any_other_key_is_refused(organisations, sent):
    with pytest.raises(BadRequestError) as refused:
        organisations.check_key("union", sent)
    assert refused.value.status == 401


def granted(organisations, time, name, tokens, seconds):
    """Return how many of 50 requests a second are let through."""
    passed = 0
    for step in range(seconds * 50):
        time.now += 20
        passed += organisations.admit(name, tokens) is None
        if step % 50 == 0:
            organisations.tick()
    return passed


@pytest.mark.parametrize(("name", "tokens"), [("many", 1), ("long", 50)])
def test_an_organisation_gets_its_rate_and_no_more(organisations, time, name, tokens):
    passed = granted(organisations, time, name, tokens, 60)
    assert 2.0 * 60 * 0.9 <= passed <= 2.0 * 60 * 1.1 + 2


def test_an_organisation_without_a_limit_is_never_refused(organisations, time):
    assert granted(organisations, time, "free", 10_000, 10) == 500
    assert not organisations.limited


def test_refused_callers_come_back_at_different_times(organisations, time):
    organisations.draw = Random(1)
    answers = [organisations.admit("many", 1) for _ in range(40)]
    times = {one.retry_after_ms for one in answers if one is not None}
    assert len(times) > 20
    assert organisations.limited["requests"] > 20


def test_a_change_keeps_what_it_does_not_name(organisations):
    changed = {"free": Organisation("free", share=2.0)}
    organisations.apply(changed, {"union", "free"})
    assert organisations.shares == {"free": 2.0}
    with pytest.raises(BadRequestError):
        organisations.check_key("union", None)
    assert all(organisations.admit("many", 1) is None for _ in range(20))
