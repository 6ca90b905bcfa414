"""What callers are told when attempts at bare endpoints go wrong."""

import errno
import re
from dataclasses import dataclass, field

import pytest

from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import (
    AnswerKind,
    Destination,
    Engine,
    Route,
    RoutedService,
    RoutingConfiguration,
)
from azurefold.core.routing.cells import Cell
from azurefold.gateway.callers.calls import (
    AnswerCutOffError,
    Begun,
    Call,
    GivenUp,
    Piece,
    StoppedError,
)
from azurefold.gateway.callers.relay import Relay
from azurefold.gateway.endpoints import attempt as attempts
from azurefold.gateway.endpoints.connections import Link
from azurefold.gateway.endpoints.reply import BrokenReplyError, Framing
from azurefold.platform.headers import AnswerHead, read_request

EVENT = b"id: %d\ndata: x\n\n"
TIMEOUT_MS = 5_000
LATEST_RETURN_MS = TIMEOUT_MS // 3


@dataclass
class FakeSocket:
    """Takes what is sent; asks for nothing."""

    sent: list = field(default_factory=list)
    closed: bool = False

    def sendall(self, data):
        self.sent.append(data)

    def close(self):
        self.closed = True


@dataclass
class FakeReply:
    """An answer from a script of pieces; an exception among them is raised."""

    head: AnswerHead
    pieces: list
    may_reuse: bool = True
    idle_timeout_ms: int | None = None
    framing: Framing = Framing.CHUNKED

    def next_bytes(self):
        piece = self.pieces.pop(0) if self.pieces else b""
        if isinstance(piece, Exception):
            raise piece
        return piece


def answer(status=200, pieces=(), **changes):
    fields = {
        "status": status,
        "attempt_id": "a1",
        "sealed": True,
        "not_run": False,
        "at_fault": "",
        "encoded": False,
        "forwarded": (("Server-Seal", "s"),),
    }
    return FakeReply(AnswerHead(**(fields | changes)), list(pieces))


BROKEN = BrokenReplyError("reset", begun=False)
NOT_RUN = {"status": 503, "sealed": False, "not_run": True}


@pytest.fixture
def script(monkeypatch):
    """Answers to the attempts, one after the other."""
    answers = []

    def read(link, method):
        given = answers.pop(0)
        if isinstance(given, Exception):
            raise given
        return given

    monkeypatch.setattr(attempts, "read_reply", read)
    return answers


@pytest.fixture
def sockets(state, monkeypatch):
    made = []

    def take(endpoint, address, *, fresh):
        made.append(FakeSocket())
        return Link(made[-1], is_new=fresh)

    monkeypatch.setattr(type(state.links), "take", lambda self, *a, **k: take(*a, **k))
    monkeypatch.setattr(type(state.links), "keep", lambda self, *a: None)
    monkeypatch.setattr(
        type(state.links), "refuses_connections", lambda self, *a: False
    )
    return made


def relay_of(state, kind, **fields):
    route = Route("r", "h", "/r/", kind, (Destination("desk"),), 5_000, 400, **fields)
    engine = Engine(slots=6, layer_sets=2) if kind is AnswerKind.STREAMING else None
    view = RoutedService("desk", 64, engine)
    state.apply(RoutingConfiguration(1, (route,), {"desk": view}))
    service = state.services["desk"]
    entries = [
        EndpointEntry(f"e{n}", "desk", f"10.0.0.{n}:80", "dc-a", 6) for n in range(3)
    ]
    service.set_endpoints(entries, Cell(), state.clock.now())
    head = read_request([("Attempt-Id", "a1"), ("Host", "h")])
    now = state.clock.now()
    call = Call("POST", "/r/x", b"b", head, route, "desk", "o", 1, now, now + 5_000, 1)
    return Relay(call, state, service)


def parts_of(relay):
    return list(relay.run())


def test_a_whole_answer_goes_to_the_caller_as_it_came(state, script, sockets):
    script.append(answer(200, [b"whole"]))
    [begun] = parts_of(relay_of(state, AnswerKind.NON_IDEMPOTENT))
    assert begun == Begun(200, (("Server-Seal", "s"),), b"whole")
    assert b"Expect-Instance: e" in sockets[0].sent[0]


def test_a_lost_answer_is_not_repeated_where_it_must_not_run_twice(
    state, script, sockets
):
    """A booking is made twice, or refused although it was made.

    The endpoint ran the request and its answer was lost on the way. A second
    sending would run it again, and "not run" would be untrue.
    """
    script.append(BROKEN)
    relay = relay_of(state, AnswerKind.NON_IDEMPOTENT, max_attempts=3)
    [given_up] = parts_of(relay)
    assert isinstance(given_up, GivenUp)
    assert given_up.status == 502
    assert len(sockets) == 1


@pytest.mark.parametrize("at", ["send", "answer"])
@pytest.mark.parametrize("kind", [AnswerKind.IDEMPOTENT, AnswerKind.NON_IDEMPOTENT])
def test_a_stop_ends_a_request_wherever_it_waits(
    state, script, sockets, monkeypatch, kind, at
):
    """Guards against a request that is sent to another endpoint as the process ends."""

    def stop(*_):
        raise StoppedError("stopping")

    if at == "send":
        monkeypatch.setattr(FakeSocket, "sendall", stop)
    script += [StoppedError("stopping"), answer(200, [b"whole"])]
    [given_up] = parts_of(relay_of(state, kind, max_attempts=3))
    assert given_up.status == 502
    assert given_up.failure.reason == "stopping"
    assert len(sockets) == 1
    assert not state.unanswered
    assert not state.broken_replies


def test_a_refusal_by_the_endpoint_is_tried_elsewhere(state, script, sockets):
    script += [answer(**NOT_RUN), answer(200, [b"whole"])]
    relay = relay_of(state, AnswerKind.NON_IDEMPOTENT, max_attempts=2)
    [begun] = parts_of(relay)
    assert begun.status == 200
    assert len(relay.tried) == 2


def test_the_line_of_the_end_names_priority_and_data_centre(
    state, script, sockets, caplog
):
    """Operators could not tell whose requests crossed to another data centre."""
    caplog.set_level("INFO", "azurefold.gateway")
    script.append(answer(200, [b"whole"]))
    parts_of(relay_of(state, AnswerKind.NON_IDEMPOTENT))
    [line] = [each for each in caplog.messages if "event=request_end" in each]
    assert " priority=1 " in line
    assert " data_centre=dc-a " in line


def test_all_refusals_are_said_to_be_not_run(state, script, sockets):
    script += [answer(**NOT_RUN)]
    relay = relay_of(state, AnswerKind.NON_IDEMPOTENT, max_attempts=1)
    [given_up] = parts_of(relay)
    assert given_up.status == 503
    assert given_up.failure.retry_after_ms > 0


def test_not_run_is_not_said_after_an_attempt_that_may_have_run(state, script, sockets):
    script += [BROKEN, answer(**NOT_RUN)]
    relay = relay_of(state, AnswerKind.IDEMPOTENT, max_attempts=2)
    [given_up] = parts_of(relay)
    assert given_up.status == 502


def test_an_endpoints_own_error_is_passed_on_when_nothing_better_came(
    state, script, sockets
):
    script += [answer(500, [b"e1"]), answer(500, [b"e2"])]
    [begun] = parts_of(relay_of(state, AnswerKind.IDEMPOTENT, max_attempts=2))
    assert (begun.status, begun.body) == (500, b"e2")


@pytest.mark.parametrize(
    "changes", [{"sealed": False}, {"encoded": True}, {"attempt_id": "other"}]
)
def test_an_answer_that_is_not_the_endpoints_own_is_not_passed_on(
    state, script, sockets, changes
):
    script.append(answer(200, [b"who knows"], **changes))
    [given_up] = parts_of(relay_of(state, AnswerKind.NON_IDEMPOTENT))
    assert given_up.status == 502


def test_a_stream_goes_on_at_another_endpoint_behind_its_last_event(
    state, script, sockets
):
    """A stream ends although its endpoint alone broke off.

    The first endpoint stops in the middle of its third event. The second is
    asked to go on behind the second one; the caller sees one stream with the
    first one's headers.
    """
    first = [EVENT % 1 + EVENT % 2 + b"id: 3\nda", BROKEN]
    second = [EVENT % 3, EVENT % 4]
    script += [answer(200, first), answer(200, second, forwarded=())]
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=2, is_resumable=True)
    begun, *pieces = parts_of(relay)
    assert begun.headers == (("Server-Seal", "s"),)
    data = b"".join(piece.data for piece in pieces if isinstance(piece, Piece))
    assert data == b"".join(EVENT % number for number in (1, 2, 3, 4))
    assert b"Last-Event-Id: 2" in sockets[1].sent[0]


def test_a_stream_that_cannot_go_on_does_not_look_complete(state, script, sockets):
    script.append(answer(200, [EVENT % 1, BROKEN]))
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=1, is_resumable=True)
    parts = relay.run()
    assert isinstance(next(parts), Begun)
    assert isinstance(next(parts), Piece)
    with pytest.raises(AnswerCutOffError):
        next(parts)


def test_a_group_that_is_down_is_asked_once(state, script, sockets):
    """Each request to a group that is down is refused twice and comes back at once.

    One rank is cut off and all others refuse, naming it. Another rank would
    refuse as well, and the group needs seconds to form anew.
    """
    script += [answer(**NOT_RUN, at_fault="10.9.9.9:80"), answer(200, [EVENT % 1])]
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=2, is_resumable=True)
    [given_up] = parts_of(relay)
    assert given_up.failure.retry_after_ms == LATEST_RETURN_MS
    assert len(sockets) == 1


def test_a_full_pool_of_a_group_that_is_down_is_put_down_to_the_group(
    state, script, sockets
):
    """Callers come back to a group that is still down, and are lost.

    Its places are taken by requests that stand still, so most requests are
    refused for want of a place, with the short wait of a queue that moves.
    """
    script += [answer(**NOT_RUN, at_fault="10.9.9.9:80")]
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=1, is_resumable=True)
    parts_of(relay)
    [given_up] = parts_of(Relay(relay.call, state, relay.service))
    assert given_up.failure.retry_after_ms == LATEST_RETURN_MS
    assert len(sockets) == 1


def test_a_rank_that_is_full_itself_is_not_taken_for_its_group(state, script, sockets):
    """Requests fail while most ranks are idle.

    A full rank names itself, by its address, as the cause. Taken for another
    one's name, that looked like a group that is down.
    """
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=2, is_resumable=True)
    addresses = {e.name: e.address for e in relay.service.entries.values()}
    original = attempts.read_reply

    def read(link, method):
        reply = original(link, method)
        if reply.head.not_run:
            [endpoint] = relay.tried
            head = AnswerHead(503, "a1", False, True, addresses[endpoint], False, ())
            return FakeReply(head, [])
        return reply

    script += [answer(**NOT_RUN), answer(200, [EVENT % 1])]
    attempts.read_reply = read
    try:
        begun, _ = parts_of(relay)
    finally:
        attempts.read_reply = original
    assert begun.status == 200
    assert len(sockets) == 2


def test_every_place_is_given_back(state, script, sockets):
    script += [BROKEN, answer(**NOT_RUN)]
    relay = relay_of(state, AnswerKind.IDEMPOTENT, max_attempts=2)
    parts_of(relay)
    assert relay.service.admission.pool.in_flight == 0
    assert all(sock.closed for sock in sockets[:1])


@pytest.mark.parametrize(
    ("max_attempts", "paid_for", "outcome"),
    [(2, 0, "allowed"), (1, 0, "attempts_used"), (2, 100, "budget_spent")],
)
def test_each_decision_on_a_retry_is_told(
    state, script, sockets, caplog, max_attempts, paid_for, outcome
):
    """Nobody can tell why a request was, or was not, sent to another endpoint.

    The line of the failed attempt tells what the endpoint did; whether another one
    was asked depends on attempts, time and the budget at that moment.
    """
    caplog.set_level("INFO", "azurefold.gateway")
    script += [answer(**NOT_RUN), answer(200, [b"whole"])]
    relay = relay_of(state, AnswerKind.NON_IDEMPOTENT, max_attempts=max_attempts)
    for _ in range(paid_for):
        relay.service.admission.try_retry()
    parts_of(relay)
    [line] = [each for each in caplog.messages if "retry_decided" in each]
    assert f"outcome={outcome} " in line
    assert "request=a1 service=desk" in line
    assert "budget_left=" in line
    assert "nodes=" in line


@pytest.mark.parametrize("is_resumable", [False, True])
def test_a_stream_that_ends_when_its_time_is_over_is_cut_off(
    state, time, script, sockets, is_resumable
):
    """Guards against an endpoint's stop for want of time that passes for an end."""

    class Stopped(FakeReply):
        def next_bytes(self):
            if not self.pieces:
                time.at += TIMEOUT_MS
            return super().next_bytes()

    script.append(Stopped(answer().head, [EVENT % 1]))
    relay = relay_of(state, AnswerKind.STREAMING, is_resumable=is_resumable)
    with pytest.raises(AnswerCutOffError):
        parts_of(relay)


@pytest.mark.parametrize("kind", list(AnswerKind))
def test_an_endpoint_stops_a_stream_later_than_the_gateway(
    state, script, sockets, kind
):
    """Guards against an endpoint that ends a stream in order before it is cut off."""
    script.append(answer(200, [EVENT % 1]))
    parts_of(relay_of(state, kind))
    told = re.search(rb"Deadline-Ms: (\d+)", sockets[0].sent[0])[1]
    is_stream = kind is AnswerKind.STREAMING
    assert TIMEOUT_MS + 50 * is_stream <= int(told) <= TIMEOUT_MS + 500 * is_stream


@pytest.mark.parametrize(
    "number", [errno.ENETUNREACH, errno.EHOSTUNREACH, errno.EACCES]
)
def test_an_address_without_a_route_is_out_of_reach(
    state, script, sockets, monkeypatch, number
):
    """Guards against a 500 for a caller whose endpoint's address leads nowhere."""

    def take(*_, **__):
        raise OSError(number, "no route")

    monkeypatch.setattr(type(state.links), "take", take)
    [given_up] = parts_of(relay_of(state, AnswerKind.IDEMPOTENT, max_attempts=2))
    assert given_up.status == 503
