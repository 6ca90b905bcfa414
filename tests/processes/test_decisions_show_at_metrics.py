"""What entries and agents decide shows at ``/metrics`` after use."""

import hashlib
import os

import pytest

from azurefold_standins.client import Client
from azurefold_standins.operator import accept, fetch, wait_ready
from azurefold_standins.processes import wait_until
from azurefold_standins.site import Endpoint, Layout, new_site

pytestmark = pytest.mark.scenario

KEY = "a key of the quality team"
CONFIGURATION = {
    "services": {
        "recall-drafts": {
            "kind": "model",
            "model": "recall-drafter",
            "data_centres": ["hall"],
            "endpoints": ["drafts-0"],
            "groups": {"drafts": ["drafts-0"]},
        },
        "bookings": {
            "kind": "plain",
            "data_centres": ["hall"],
            "endpoints": ["bookings-0"],
            "priority": "confirmation",
            "idempotent": False,
        },
    },
    "organisations": {
        "union": {},
        "slow": {"requests_per_second": 0.1},
        "quality": {"api_key_sha256": hashlib.sha256(KEY.encode()).hexdigest()},
    },
}


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """One entry, one engine, one plain service."""
    endpoints = (
        Endpoint("drafts-0", "recall-drafts", "hall", "drafts", 0),
        Endpoint("bookings-0", "bookings", "hall"),
    )
    site = new_site(Layout({"hall": 1}, endpoints), tmp_path_factory.mktemp("site"))
    try:
        site.start()
        accept(site, CONFIGURATION)
        wait_ready(site)
        yield site
    finally:
        site.processes.kill_all()


@pytest.fixture
def caller(site):
    """Return a function that makes a caller of an organisation."""
    return lambda name: Client(site.address(site.entries[0], "listen"), name)


def metrics(site, name):
    """Return a process's metrics as a mapping from name with labels to value."""
    lines = fetch(site.address(name, "metrics"), "/metrics").body.decode().splitlines()
    pairs = (line.rpartition(" ") for line in lines if not line.startswith("#"))
    return {name: float(value) for name, _, value in pairs}


def test_a_wrong_key_is_refused_and_the_right_one_passes(caller):
    refused = caller("quality").complete("lot 1", 3, Authorization="Bearer other")
    assert (refused.status, refused.ran) == (401, "not_run")
    right = caller("quality").complete("lot 1", 3, Authorization=f"Bearer {KEY}")
    assert right.status == 200


def test_too_many_requests_get_429_and_a_time_to_come_back(caller):
    answers = [caller("slow").complete("lot 2", 3) for _ in range(4)]
    refused = [answer for answer in answers if answer.status == 429]
    assert len(refused) >= 2
    assert all(answer.ran == "not_run" for answer in refused)
    assert all(int(answer.headers["retry-after"]) >= 1 for answer in refused)


def test_an_entry_shows_its_decisions(site, caller):
    body = {"slot": os.urandom(4).hex()}
    for _ in range(2):
        caller("union").post("/services/bookings", body, Idempotency_Key="k")
    list(caller("union").stream("lot 3", 20))
    caller("union").post("/v1/completions", b"{")
    [caller("slow").complete("lot 4", 1) for _ in range(3)]
    shown = metrics(site, site.entries[0])
    drafts = 'service="recall-drafts"'
    wait = f'azurefold_entry_queue_wait_seconds_count{{priority="draft",{drafts}}}'
    assert shown[wait] >= 1
    assert shown[f"azurefold_entry_room{{{drafts}}}"] > 0
    assert shown[f"azurefold_entry_retry_budget{{{drafts}}}"] > 0
    assert shown['azurefold_entry_claims_total{result="taken"}'] == 1
    assert shown['azurefold_entry_claims_total{result="followed"}'] == 1
    assert shown['azurefold_entry_limited_total{what="requests"}'] >= 1
    assert shown['azurefold_entry_bad_requests_total{reason="bad_body"}'] >= 1


def test_an_agent_shows_its_attempts(site, caller):
    list(caller("union").stream("lot 5", 20))

    def shown_whole():
        shown = metrics(site, "agent-drafts-0")
        done = shown.get('azurefold_agent_ended_total{phase="done"}', 0)
        begun = shown.get('azurefold_agent_attempts_total{result="started"}', 0)
        return done >= 1 and begun >= done

    wait_until(shown_whole, "the agent shows what it ran")
    assert metrics(site, "agent-drafts-0")["azurefold_agent_channels"] == 1
