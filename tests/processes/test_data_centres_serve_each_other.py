"""Callers come in anywhere, whichever data centre holds the endpoints."""

import json

import pytest
from tests.processes.conftest import CONFIGURATION

from azurefold_standins.client import Client
from azurefold_standins.operator import accept, fetch, status, wait_ready
from azurefold_standins.processes import wait_until
from azurefold_standins.site import Endpoint, Layout, new_site
from azurefold_standins.text import whole_text

pytestmark = pytest.mark.scenario


@pytest.fixture(scope="module")
def halls(tmp_path_factory):
    """Two data centres; all endpoints are in the first."""
    endpoints = (
        Endpoint("drafts-0", "recall-drafts", "hall", "drafts", 0),
        Endpoint("drafts-1", "recall-drafts", "hall", "drafts", 1),
        Endpoint("bookings-0", "bookings", "hall"),
    )
    layout = Layout({"hall": 1, "other": 1}, endpoints)
    site = new_site(layout, tmp_path_factory.mktemp("halls"))
    try:
        site.start()
        accept(site, CONFIGURATION)
        wait_ready(site)
        wait_until(lambda: _sees_all(site), "the other hall sees all endpoints")
        yield site
    finally:
        site.processes.kill_all()


def _sees_all(site):
    services = status(site, "entry-other-0").get("services", {})
    seen = {name: len(service["endpoints"]) for name, service in services.items()}
    return seen == {"recall-drafts": 2, "bookings": 1}


@pytest.fixture
def far(halls):
    """A caller of the data centre that has no endpoints."""
    return Client(halls.address("entry-other-0", "listen"), "union")


@pytest.fixture
def near(halls):
    """A caller of the data centre that has the endpoints."""
    return Client(halls.address("entry-hall-0", "listen"), "union")


def test_an_entry_without_endpoints_uses_those_of_another_data_centre(far):
    answer = far.complete("lot 1", 20)
    assert answer.json["choices"][0]["text"] == whole_text("lot 1", 20)


def test_an_answer_is_resumed_through_another_data_centre(near, far):
    events = [event for event in near.stream("lot 2", 20) if event.kind == "text"]
    rest = list(far.resume(events[3].event_id))
    had = "".join(event.text for event in events[:4])
    text = had + "".join(event.text for event in rest if event.kind == "text")
    assert text == whole_text("lot 2", 20)


def test_a_key_repeated_in_another_data_centre_runs_once(halls, near, far):
    body = {"slot": "far-1"}
    answers = [
        caller.post("/services/bookings/book", body, Idempotency_Key="far")
        for caller in (near, far)
    ]
    assert answers[0].body == answers[1].body
    journal = fetch(halls.address("engine-bookings-0", "http"), "/journal")
    assert json.loads(journal.body).count(json.dumps(body)) == 1
