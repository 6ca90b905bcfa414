"""An endpoint that announces that it is leaving gets no further requests."""

import logging

import pytest
from tests.gateway.test_endpoints_that_ask_for_a_pause import (
    send_request,
    send_requests,
)
from tests.gateway.test_endpoints_that_refuse_everything import closing
from tests.gateway.test_relays_answer_truthfully import EVENT, relay_of

from azurefold.core.routes.model import AnswerKind
from azurefold.core.routing.rank_groups import RankGroups
from azurefold.gateway.callers.calls import Begun
from azurefold.gateway.endpoints.attempt import Attempt, Progress
from azurefold.gateway.endpoints.connections import EndpointLinks, Link
from azurefold.platform.headers import read_answer

LEAVING_ENDPOINT = "e0"
DRAIN_MS = 2_000

ANSWERS = {
    "answered": {"status": 200, "pieces": [EVENT % 1]},
    "failed": {"status": 500, "pieces": [b"error"]},
    "refused": {"status": 503, "sealed": False, "not_run": True},
}


@pytest.fixture(params=sorted(ANSWERS))
def relay(request, state, endpoint_script):
    """Return a relay to three endpoints, one of which announces that it is leaving."""
    answers, _ = endpoint_script
    for name in ("e1", "e2"):
        answers[name] = lambda: closing(200, [EVENT % 1])
    answers[LEAVING_ENDPOINT] = lambda: closing(**ANSWERS[request.param], leaving=True)
    return relay_of(state, AnswerKind.STREAMING, max_attempts=3, is_resumable=True)


def send_until_announced(relay, asked):
    while LEAVING_ENDPOINT not in asked:
        send_request(relay)
    asked.clear()


def test_a_leaving_endpoint_gets_no_further_requests(relay, endpoint_script, time):
    """Guards against sending requests until the store reports that it is leaving."""
    _, asked = endpoint_script
    send_until_announced(relay, asked)
    send_requests(relay, time, 2 * DRAIN_MS)
    assert LEAVING_ENDPOINT not in asked


def test_outdated_lists_do_not_readmit_a_leaving_endpoint(relay, endpoint_script, time):
    """Guards against list entries older than the answer, and gaps in the list."""
    _, asked = endpoint_script
    send_until_announced(relay, asked)
    pool = relay.service.admission.pool
    names = pool.endpoints
    pool.set_endpoints(set(names) - {LEAVING_ENDPOINT}, time.at)
    relay.service.admission.tick()
    pool.set_endpoints(names, time.at)
    send_requests(relay, time, DRAIN_MS)
    assert LEAVING_ENDPOINT not in asked


def test_a_restart_under_the_same_name_readmits_the_endpoint(
    relay, endpoint_script, time
):
    _, asked = endpoint_script
    send_until_announced(relay, asked)
    pool = relay.service.admission.pool
    names = pool.endpoints
    relay.state.endpoint_restarted(LEAVING_ENDPOINT)
    pool.set_endpoints(names, time.at)
    assert pool.accepts_requests(LEAVING_ENDPOINT)


def test_leaving_is_logged_once(relay, endpoint_script, time, caplog):
    _, asked = endpoint_script
    with caplog.at_level(logging.WARNING, "azurefold.gateway"):
        send_until_announced(relay, asked)
        relay.service.record_leaving(
            LEAVING_ENDPOINT, "a2", leaving_answer("1"), time.at
        )
    assert caplog.text.count("event=endpoint_leaving") == 1


def leaving_answer(text):
    return read_answer(200, [("Server-Seal", "s"), ("Server-Leaving", text)])


@pytest.mark.parametrize(
    ("text", "leaving"), [("1", True), (" 1 ", True), ("0", False), ("", False)]
)
def test_the_header_is_parsed_and_not_forwarded(text, leaving):
    head = leaving_answer(text)
    assert head.leaving is leaving
    assert head.forwarded == (("Server-Seal", "s"),)


def test_requests_are_refused_at_once_while_all_endpoints_are_leaving(state):
    relay = relay_of(state, AnswerKind.IDEMPOTENT)
    for name in relay.service.admission.pool.endpoints:
        relay.service.record_leaving(name, "a1", leaving_answer("1"), 1_000)
    refusal = send_request(relay)
    assert (refusal.status, refusal.failure.reason) == (503, "all_leaving")


def test_group_trials_skip_leaving_endpoints(state, monkeypatch):
    """Guards against group trials, which bypass selection, of leaving endpoints."""
    relay = relay_of(state, AnswerKind.STREAMING, is_resumable=True)
    pool = relay.service.admission.pool
    candidates = set()

    def take_probe(groups, endpoints, now):
        candidates.update(endpoints)

    monkeypatch.setattr(RankGroups, "take_probe", take_probe)
    relay.service.record_leaving(LEAVING_ENDPOINT, "a1", leaving_answer("1"), 1_000)
    pool.set_paused(frozenset(pool.endpoints))
    send_request(relay)
    assert candidates == {"e1", "e2"}


class FakeSocket:
    """Records the data that is sent."""

    def __init__(self):
        self.sent = b""

    def sendall(self, data):
        self.sent += data

    def close(self):
        pass


def test_an_announcement_while_connecting_prevents_the_request(state, monkeypatch):
    relay = relay_of(state, AnswerKind.IDEMPOTENT, max_attempts=1)
    connected, sock = [], FakeSocket()

    def take(links, endpoint, address, *, fresh):
        if not connected:
            answer = leaving_answer("1")
            relay.service.record_leaving(endpoint, "a0", answer, 1_000)
        connected.append(endpoint)
        return Link(sock)

    monkeypatch.setattr(EndpointLinks, "take", take)
    monkeypatch.setattr(
        "azurefold.gateway.endpoints.attempt.read_reply",
        lambda link, method: closing(200, [b"whole"], attempt_id=""),
    )
    assert isinstance(send_request(relay), Begun)
    first, second = connected
    assert f"Expect-Instance: {first}".encode() not in sock.sent
    assert f"Expect-Instance: {second}".encode() in sock.sent


@pytest.mark.parametrize("announced", [True, False])
def test_the_exit_of_a_leaving_endpoint_is_not_a_crash(state, monkeypatch, announced):
    """Guards against attributing a planned exit to the requests it interrupts."""
    relay = relay_of(state, AnswerKind.NON_IDEMPOTENT)
    if announced:
        for name in relay.service.admission.pool.endpoints:
            relay.service.record_leaving(name, "a0", leaving_answer("1"), 1_000)
    attempt = Attempt(relay.call, state, relay.service, Progress(), LEAVING_ENDPOINT, 1)
    monkeypatch.setattr(EndpointLinks, "refuses_connections", lambda *a: True)
    attempt._crash_check(relay.service.entries[LEAVING_ENDPOINT]).run()
    assert state.crashes.size == (not announced)


def test_unlisted_leaving_endpoints_are_forgotten(state, time):
    """Guards against unbounded growth as endpoints come and go."""
    service = relay_of(state, AnswerKind.IDEMPOTENT).service
    for number in range(100):
        name = f"former-{number}"
        service.record_leaving(name, "a1", leaving_answer("1"), time.at)
    time.at += 600_000
    service.admission.tick()
    assert not service.admission.pool._announced_leaving
