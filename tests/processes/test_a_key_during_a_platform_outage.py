"""What a caller with a key is told while the platform is away."""

import json

import pytest

from azurefold_standins.operator import fetch

pytestmark = pytest.mark.scenario


@pytest.fixture
def outage(site):
    """The platform refuses everything, for one test."""
    address = site.address("platform", "http")
    fetch(address, "/faults", "PUT", json.dumps({"mode": "down"}).encode())
    yield
    fetch(address, "/faults", "PUT", json.dumps({"mode": "ok"}).encode())


def test_a_call_is_answered_at_once_and_truthfully(site, client, outage):
    # Symptom: a store is told "not run" of a booking that was made earlier.
    # Sequence: the first call runs and its answer is lost, the platform goes
    # down, the caller repeats its key. Cause: refusing this call says nothing
    # of earlier ones, and the row that would tell cannot be read.
    answer = client.post("/services/bookings/book", {"slot": "o"}, Idempotency_Key="o")
    assert answer.status in (502, 503)
    assert answer.ran == "unknown"
    assert answer.json["error"]["this_call"] == "not_run"
    assert int(answer.headers["retry-after"]) >= 1
    journal = fetch(site.address("engine-bookings-0", "http"), "/journal")
    assert b'\\"slot\\": \\"o\\"' not in journal.body


def test_idempotent_requests_are_served_all_the_same(client, outage):
    assert client.complete("lot 20", 8).status == 200
