"""Separate processes serve requests over sockets."""

import json

import pytest

from azurefold_standins.operator import fetch
from azurefold_standins.text import confirmation, whole_text

pytestmark = pytest.mark.scenario


def test_a_completion_comes_whole(client):
    answer = client.complete("lot 7", 40)
    assert answer.status == 200
    assert answer.json["choices"][0]["text"] == whole_text("lot 7", 40)


def test_a_stream_comes_whole_and_in_order(client):
    events = list(client.stream("lot 8", 60))
    assert events[-1].kind == "done"
    text = "".join(event.text for event in events if event.kind == "text")
    assert text == whole_text("lot 8", 60)


def test_any_entry_resumes_a_stream_from_the_last_event(site, client):
    events = [event for event in client.stream("lot 9", 30) if event.kind == "text"]
    middle = events[len(events) // 2]
    had = "".join(event.text for event in events[: len(events) // 2 + 1])
    client.address = site.address(site.entries[1], "listen")
    rest = list(client.resume(middle.event_id))
    assert rest[-1].kind == "done"
    text = had + "".join(event.text for event in rest if event.kind == "text")
    assert text == whole_text("lot 9", 30)


def test_an_answer_is_not_given_to_another_organisation(site, client):
    events = [event for event in client.stream("lot 10", 5) if event.kind == "text"]
    client.organisation = "shops"
    stolen = list(client.resume(events[0].event_id))
    assert [event.kind for event in stolen] == ["error"]


def test_a_repeated_key_runs_once_and_gets_the_same_answer(site, client):
    body = {"slot": "a-1"}
    first = client.post("/services/bookings/book", body, Idempotency_Key="k-1")
    client.address = site.address(site.entries[1], "listen")
    second = client.post("/services/bookings/book", body, Idempotency_Key="k-1")
    expected = {"confirmed": confirmation(json.dumps(body).encode())}
    assert (first.json, second.json) == (expected, expected)
    journal = fetch(site.address("engine-bookings-0", "http"), "/journal")
    assert json.loads(journal.body).count(json.dumps(body)) == 1


def test_a_key_used_for_another_request_is_refused(client):
    client.post("/services/bookings/book", {"slot": 1}, Idempotency_Key="k-2")
    other = client.post("/services/bookings/book", {"slot": 2}, Idempotency_Key="k-2")
    assert other.status == 422
    assert other.ran == "not_run"


@pytest.mark.parametrize(
    ("path", "body", "headers", "status"),
    [
        ("/v1/completions", b"{", {}, 400),
        ("/v1/completions", b'{"model": "none", "prompt": ""}', {}, 404),
        ("/services/none", b"{}", {}, 404),
        ("/services/bookings", b"x" * 2_000_000, {}, 413),
        ("/services/bookings", b"{}", {"Azurefold_Timeout_Ms": "soon"}, 400),
        ("/services/bookings", b"{}", {"Azurefold_Priority": "first"}, 400),
        ("/services/bookings", b"{}", {"Idempotency_Key": "x" * 300}, 400),
        ("/services/bookings", b"{}", {"Azurefold_Organisation": "nobody"}, 403),
        ("/v1/completions", b"{}", {"Last_Event_ID": "nonsense"}, 400),
    ],
)
def test_bad_input_gets_a_clear_answer(client, path, body, headers, status):
    answer = client.post(path, body, **headers)
    assert answer.status == status
    assert answer.ran == "not_run"
    assert answer.json["error"]["detail"]


def test_health_readiness_and_metrics_are_on_a_port_of_their_own(site):
    for name in (site.entries[0], site.controls[0], "agent-drafts-0"):
        address = site.address(name, "metrics")
        assert fetch(address, "/healthz").status == 200
        assert fetch(address, "/readyz").status == 200
        assert b"azurefold_" in fetch(address, "/metrics").body


def test_an_unsigned_request_to_an_agent_is_refused_and_counted(site):
    refused = fetch(site.address("agent-drafts-0", "http"), "/attempts/a?from=0")
    assert refused.status == 401
    page = fetch(site.address("agent-drafts-0", "metrics"), "/metrics")
    assert b'azurefold_agent_rejected_total{reason="malformed"} 1.0' in page.body


def test_a_request_ends_at_its_deadline_though_the_endpoint_goes_on(site, client):
    # Symptom: a caller waits for ever. Sequence: the group's steps become very
    # slow, the request's deadline passes while signs of life still come.
    # Cause: signs of life say that the agent is there, not that it is in time.
    slow = site.address("engine-drafts-0", "http")
    fetch(slow, "/slowdown?ms=5000", "POST")
    try:
        answer = client.complete("lot 11", 40, Azurefold_Timeout_Ms="1500")
    finally:
        fetch(slow, "/slowdown?ms=0", "POST")
    assert answer.status == 502
    assert answer.json["error"]["reason"] == "deadline_passed"
    assert answer.ran in ("ran", "unknown")
