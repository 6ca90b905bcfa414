"""A gateway sends an endpoint no requests during the backoff that it requested."""

from dataclasses import replace

import gevent
import pytest
from tests.gateway.test_endpoints_that_refuse_everything import (
    closing,
    loads_are_told,
)
from tests.gateway.test_relays_answer_truthfully import (
    EVENT,
    TIMEOUT_MS,
    FakeReply,
    relay_of,
)

from azurefold.core.clock import Clock
from azurefold.core.routes.model import AnswerKind
from azurefold.gateway.callers.calls import Begun
from azurefold.gateway.callers.relay import Relay
from azurefold.gateway.endpoints import attempt as attempts
from azurefold.gateway.endpoints.connections import EndpointLinks, Link
from azurefold.platform.headers import read_answer

BACKOFF_MS = 3_000
GRACE_MS = 500
MAX_DURING_BACKOFF = 2
STEP_MS = 100


class FakeEndpoints:
    """Fake endpoints that answer, or refuse with Retry-After if they are busy.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.busy: set[str] = set()
        self.backoff_started_at: dict[str, int] = {}
        self.arrivals: list[tuple[str, int]] = []
        self.headers = [("Not-Executed", "1"), ("Retry-After", "3")]

    def sendall(self, data):
        head = data.partition(b"\r\n\r\n")[0].decode()
        [name] = [
            line.partition(": ")[2]
            for line in head.splitlines()
            if line.startswith("Expect-Instance")
        ]
        self.arrivals.append((name, self.clock.now()))

    def close(self):
        pass

    def reply(self, link, method):
        name, now = self.arrivals[-1]
        if name in self.busy:
            self.backoff_started_at.setdefault(name, now)
            return FakeReply(read_answer(503, self.headers), [], may_reuse=False)
        return closing(200, [EVENT % 1], attempt_id="")

    def requests_during_backoff(self, name):
        """Count the requests received after the grace period and before the end."""
        since = self.backoff_started_at[name]
        return sum(
            who == name and since + GRACE_MS <= at < since + BACKOFF_MS
            for who, at in self.arrivals
        )


@pytest.fixture
def endpoints(state, monkeypatch):
    fake = FakeEndpoints(state.clock)
    monkeypatch.setattr(EndpointLinks, "take", lambda self, *a, **k: Link(fake))
    monkeypatch.setattr(attempts, "read_reply", fake.reply)
    return fake


@pytest.fixture(params=[AnswerKind.STREAMING, AnswerKind.IDEMPOTENT])
def relay(request, state, endpoints):
    """Return a relay to the ranks of a group, or to ungrouped endpoints."""
    resumable = request.param is AnswerKind.STREAMING
    return relay_of(state, request.param, max_attempts=3, is_resumable=resumable)


def send_request(relay):
    """Send a copy of the relay's request; return the first part of the answer."""
    now = relay.state.clock.now()
    call = replace(relay.call, arrived=now, deadline=now + TIMEOUT_MS)
    return next(Relay(call, relay.state, relay.service).run())


def send_requests(relay, time, ms):
    """Send a request per step for ``ms``; return the first parts of the answers."""
    parts = []
    for _ in range(ms // STEP_MS):
        parts.append(send_request(relay))
        loads_are_told(relay)
        relay.service.admission.tick()
        time.at += STEP_MS
    return parts


@pytest.mark.parametrize("busy", [1, 2, 3])
def test_requests_during_a_backoff_are_limited(relay, endpoints, time, busy):
    """Guards against sending requests to endpoints that will refuse them again."""
    endpoints.busy = {f"e{n}" for n in range(busy)}
    send_requests(relay, time, BACKOFF_MS)
    for name in endpoints.busy:
        assert endpoints.requests_during_backoff(name) <= MAX_DURING_BACKOFF, name


def test_requests_are_refused_at_once_while_all_endpoints_back_off(
    relay, endpoints, time
):
    """Guards against queuing or sending requests while all endpoints back off."""
    endpoints.busy = {"e0", "e1", "e2"}
    send_request(relay)
    send_request(relay)
    sent = len(endpoints.arrivals)
    time.at += 1_000
    refusal = send_request(relay)
    assert len(endpoints.arrivals) == sent == 3
    assert (refusal.status, refusal.failure.reason) == (503, "backing_off")
    assert refusal.failure.retry_after_ms >= BACKOFF_MS - 1_000


def test_retry_times_are_spread(relay, endpoints):
    endpoints.busy = {"e0", "e1", "e2"}
    send_request(relay)
    send_request(relay)
    times = {send_request(relay).failure.retry_after_ms for _ in range(20)}
    assert len(times) > 1


def test_a_backoff_expires(relay, endpoints, time):
    endpoints.busy = {"e0", "e1", "e2"}
    send_request(relay)
    send_request(relay)
    endpoints.busy = set()
    time.at += BACKOFF_MS
    loads_are_told(relay)
    assert isinstance(send_request(relay), Begun)


def test_backoffs_of_ranks_do_not_mark_their_group_as_down(relay, endpoints, time):
    """Guards against marking a group as down because two of its ranks are busy."""
    endpoints.busy = {"e0", "e1"}
    parts = send_requests(relay, time, BACKOFF_MS)
    pool = relay.service.admission.pool
    assert not pool.paused
    assert not pool.ejected
    assert all(isinstance(part, Begun) for part in parts)


def test_a_backoff_survives_a_temporary_removal_from_the_list(relay, endpoints, time):
    """Guards against losing a backoff when an endpoint is briefly not listed."""
    endpoints.busy = {"e0"}
    pool = relay.service.admission.pool
    while "e0" not in endpoints.backoff_started_at:
        send_request(relay)
    names = pool.endpoints
    pool.set_endpoints(set(names) - {"e0"}, time.at)
    pool.set_endpoints(names, time.at)
    send_requests(relay, time, BACKOFF_MS)
    assert endpoints.requests_during_backoff("e0") == 0


def test_a_restart_clears_the_backoff(relay, endpoints, time):
    endpoints.busy = {"e0"}
    pool = relay.service.admission.pool
    while "e0" not in endpoints.backoff_started_at:
        send_request(relay)
    names = pool.endpoints
    relay.state.endpoint_restarted("e0")
    pool.set_endpoints(names, time.at)
    assert pool.accepts_requests("e0")


def test_group_trials_skip_endpoints_that_back_off(relay, endpoints, time, monkeypatch):
    """Guards against group trials, which bypass selection, during a backoff."""
    service = relay.service
    endpoints.busy = {"e0", "e1", "e2"}
    send_request(relay)
    send_request(relay)
    endpoints.arrivals.clear()
    service.groups.record_refusal("e0", "e1", time.at)
    service._pause_groups("test")

    def take(links, endpoint, address, *, fresh):
        raise AssertionError(f"a connection to {endpoint} was made")

    monkeypatch.setattr(EndpointLinks, "take", take)
    send_requests(relay, time, BACKOFF_MS - STEP_MS)
    assert not endpoints.arrivals


def test_a_backoff_that_begins_while_connecting_prevents_the_request(
    relay, endpoints, monkeypatch
):
    pool = relay.service.admission.pool
    now = relay.state.clock.now()

    def take(links, endpoint, address, *, fresh):
        if len(pool.backing_off) < 2:
            pool.back_off(endpoint, now + BACKOFF_MS, now)
        return Link(endpoints)

    monkeypatch.setattr(EndpointLinks, "take", take)
    assert isinstance(send_request(relay), Begun)
    assert len(pool.backing_off) == 2
    [(name, _)] = endpoints.arrivals
    assert name not in pool.backing_off


def test_queued_requests_that_cannot_be_served_in_time_are_refused(
    relay, endpoints, time
):
    """Guards against queuing requests that expire before any backoff ends."""
    admission = relay.service.admission
    pool = admission.pool
    for name in pool.endpoints:
        for number in range(8):
            pool.record_start(name, f"{name}-{number}", time.at)
    waiting = gevent.spawn(send_request, relay)
    gevent.sleep(0)
    assert admission.waiting == 1
    busy = read_answer(503, endpoints.headers)
    for name in pool.endpoints:
        relay.service.record_backoff(name, "a0", busy, time.at)
    refusal = waiting.get(timeout=1)
    assert refusal.failure.retry_after_ms >= BACKOFF_MS
    assert refusal.failure.reason == "backing_off"
    assert not admission.waiting


def test_a_backoff_does_not_refuse_requests_that_wait_for_a_group(
    relay, endpoints, time
):
    """Guards against refusing requests that wait for a group to recover."""
    service = relay.service
    pool = service.admission.pool
    pool.set_paused(frozenset({"e1", "e2"}))
    for number in range(8):
        pool.record_start("e0", f"a{number}", time.at)
    waiting = gevent.spawn(send_request, relay)
    gevent.sleep(0)
    service.record_backoff("e0", "a0", read_answer(503, endpoints.headers), time.at)
    gevent.sleep(0)
    assert service.admission.waiting == 1
    pool.set_paused(frozenset())
    service.admission.resume()
    assert isinstance(waiting.get(timeout=1), Begun)
