"""Answers without a length and without chunks, which end with their connection."""

import contextlib
import socket
import struct
from dataclasses import replace

import gevent
import gevent.socket
import pytest
from tests.gateway.test_relays_answer_truthfully import EVENT, relay_of

from azurefold.core.callers.memory import MemoryBudget
from azurefold.core.routes.model import AnswerKind
from azurefold.gateway.callers.calls import AnswerCutOffError, Begun, GivenUp, Piece
from azurefold.gateway.endpoints.connections import Link
from azurefold.internal.stream_socket import StreamSocket

HEADS = {
    "1.1": "HTTP/1.1 {} Status\r\n{}Server-Seal: s\r\n{}\r\n",
    "1.0": "HTTP/1.0 {} Status\r\n{}Server-Seal: s\r\n{}\r\n",
}
KEPT = "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n"
CLOSED = "Connection: close\r\n"


@pytest.fixture(params=["1.1", "1.0"])
def version(request):
    return request.param


@pytest.fixture(params=[KEPT, CLOSED, ""], ids=["kept", "closed", "unsaid"])
def connection(request):
    return request.param


@pytest.fixture
def head_of(version, connection):
    def make(status=200, extra=""):
        return HEADS[version].format(status, connection, extra).encode()

    return make


@pytest.fixture
def kept():
    """Connections that were kept for another request."""
    return []


@pytest.fixture
def answers(state, monkeypatch, kept):
    """Bytes of the answers to successive attempts, and whether a reset ends them."""
    script = []

    def serve(peer, data, is_reset):
        peer.recv(65_536)
        with contextlib.suppress(ConnectionError):
            peer.sendall(data)
        if is_reset:
            peer.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        peer.close()

    def take(links, endpoint, address, *, fresh):
        with gevent.socket.create_server(("127.0.0.1", 0)) as server:
            caller = StreamSocket()
            caller.connect(server.getsockname())
            accepted, _ = server.accept()
        # What create_server returns would block all greenlets.
        peer = gevent.socket.socket(fileno=accepted.detach())
        gevent.spawn(serve, peer, *script.pop(0))
        return Link(caller, is_new=fresh)

    links = type(state.links)
    monkeypatch.setattr(links, "take", take)
    monkeypatch.setattr(links, "keep", lambda self, *a: kept.append(a))
    monkeypatch.setattr(links, "refuses_connections", lambda self, *a: False)
    return script


def read(relay):
    """Return the parts of an answer, and whether it was cut off."""
    parts = []
    with contextlib.suppress(AnswerCutOffError):
        for part in relay.run():
            parts.append(part)
        return parts, False
    return parts, True


def test_a_whole_plain_answer(state, answers, head_of, kept):
    answers.append((head_of() + b"whole", False))
    [begun], is_cut_off = read(relay_of(state, AnswerKind.IDEMPOTENT))
    assert (begun.status, begun.body, is_cut_off) == (200, b"whole", False)
    assert not kept


def test_an_empty_answer(state, answers, head_of, kept):
    answers.append((head_of(), False))
    [begun], _ = read(relay_of(state, AnswerKind.IDEMPOTENT))
    assert begun.body == b""
    assert not kept


def test_an_error_of_the_endpoint(state, answers, head_of, kept):
    answers.append((head_of(500) + b"why", False))
    [begun], _ = read(relay_of(state, AnswerKind.NON_IDEMPOTENT))
    assert (begun.status, begun.body) == (500, b"why")
    assert not kept


def test_a_refusal_of_the_endpoint(state, answers, head_of):
    """Guards against a request that is not sent elsewhere though it was not run."""
    answers.append((head_of(503, "Not-Executed: 1\r\n") + b"full", False))
    answers.append((head_of() + b"whole", False))
    relay = relay_of(state, AnswerKind.NON_IDEMPOTENT, max_attempts=2)
    [begun], _ = read(relay)
    assert begun.body == b"whole"


def test_a_whole_stream(state, answers, head_of, kept):
    answers.append((head_of() + EVENT % 1 + EVENT % 2, False))
    parts, is_cut_off = read(relay_of(state, AnswerKind.STREAMING))
    assert isinstance(parts[0], Begun)
    assert b"".join(part.data for part in parts[1:]) == EVENT % 1 + EVENT % 2
    assert not is_cut_off
    assert not kept


def test_a_stream_cut_inside_an_event_is_resumed(state, answers, head_of):
    """Guards against a stream that looks complete, or joins two halves of an event."""
    answers.append((head_of() + EVENT % 1 + (EVENT % 2)[:7], False))
    answers.append((head_of() + EVENT % 2, False))
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=2, is_resumable=True)
    parts, is_cut_off = read(relay)
    events = b"".join(part.data for part in parts if isinstance(part, Piece))
    assert (events, is_cut_off) == (EVENT % 1 + EVENT % 2, False)


def test_a_stream_cut_inside_an_event_is_cut_off_where_it_cannot_be_resumed(
    state, answers, head_of
):
    answers.append((head_of() + EVENT % 1 + (EVENT % 2)[:7], False))
    parts, is_cut_off = read(relay_of(state, AnswerKind.STREAMING))
    assert is_cut_off
    assert parts[-1] == Piece(EVENT % 1)


@pytest.mark.parametrize("kind", [AnswerKind.NON_IDEMPOTENT, AnswerKind.STREAMING])
def test_an_answer_cut_inside_its_head_is_none(state, answers, head_of, kind):
    answers.append((head_of()[:30], False))
    [given_up], _ = read(relay_of(state, kind))
    assert isinstance(given_up, GivenUp)
    assert given_up.status == 502


@pytest.mark.parametrize("body", [b"", b"half of it"])
def test_a_reset_answer_is_not_whole(state, answers, head_of, body):
    """Guards against a reset that passes for the end of an answer."""
    answers.append((head_of() + body, True))
    [given_up], _ = read(relay_of(state, AnswerKind.NON_IDEMPOTENT))
    assert isinstance(given_up, GivenUp)
    assert given_up.status == 502


def test_a_reset_stream_is_cut_off(state, answers, head_of):
    answers.append((head_of() + EVENT % 1, True))
    parts, is_cut_off = read(relay_of(state, AnswerKind.STREAMING))
    assert is_cut_off or isinstance(parts[0], GivenUp)


@pytest.fixture
def crashed(monkeypatch, state, answers):
    """All endpoints refuse connections when they are looked at."""
    links = type(state.links)
    monkeypatch.setattr(links, "refuses_connections", lambda self, *a: True)


@pytest.mark.parametrize("kind", [AnswerKind.NON_IDEMPOTENT, AnswerKind.STREAMING])
def test_an_answer_that_ends_with_its_endpoint_is_not_whole(
    state, answers, head_of, kind, crashed
):
    """Guards against a crash that passes for the end of an answer."""
    answers.append((head_of() + EVENT % 1, False))
    parts, is_cut_off = read(relay_of(state, kind))
    assert is_cut_off or isinstance(parts[0], GivenUp)


def test_an_answer_that_ends_with_its_endpoint_is_asked_for_elsewhere(
    state, answers, head_of, crashed
):
    answers.append((head_of() + b"hal", False))
    answers.append((head_of(200, "Content-Length: 5\r\n") + b"whole", False))
    [begun], _ = read(relay_of(state, AnswerKind.IDEMPOTENT, max_attempts=2))
    assert begun.body == b"whole"


def test_an_endpoint_is_watched_after_a_stream_but_not_after_a_plain_answer(
    state, answers, head_of, monkeypatch
):
    """Guards against a process told to stop that closes its port after its streams."""
    answers += [(head_of() + EVENT % 1, False), (head_of() + b"whole", False)]
    monkeypatch.setattr(
        type(state.links),
        "refuses_connections",
        lambda links, endpoint, address, watch_ms: watch_ms > 0,
    )
    _, is_cut_off = read(relay_of(state, AnswerKind.STREAMING))
    assert is_cut_off
    [begun], _ = read(relay_of(state, AnswerKind.NON_IDEMPOTENT))
    assert begun.body == b"whole"


@pytest.mark.parametrize("is_resumable", [False, True])
def test_an_answer_that_ended_while_the_gateway_stood_still_is_not_whole(
    state, time, answers, head_of, is_resumable
):
    """Guards against a crash of which nothing shows once the endpoint has restarted."""
    answers.append((head_of() + EVENT % 1, False))
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT % 2), EVENT % 2)
    answers.append((head_of(200, "Transfer-Encoding: chunked\r\n") + chunk, False))
    kind = AnswerKind.STREAMING
    relay = relay_of(state, kind, max_attempts=2, is_resumable=is_resumable)
    state.check_standstill()
    events = b""
    is_cut_off = False
    try:
        for part in relay.run():
            events += part.data if isinstance(part, Piece) else b""
            time.at += 3_000 if events == EVENT % 1 else 0
    except AnswerCutOffError:
        is_cut_off = True
    assert is_cut_off is not is_resumable
    assert events == EVENT % 1 + (EVENT % 2 if is_resumable else b"")


def test_an_answer_of_an_endpoint_that_left_as_planned_is_whole(
    state, answers, head_of, monkeypatch
):
    answers.append((head_of() + b"whole", False))
    relay = relay_of(state, AnswerKind.NON_IDEMPOTENT)

    def leave_and_refuse(links, endpoint, address, watch_ms):
        del relay.service.entries[endpoint]
        return True

    monkeypatch.setattr(type(state.links), "refuses_connections", leave_and_refuse)
    [begun], _ = read(relay)
    assert begun.body == b"whole"


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_without_a_body_does_not_end_with_its_connection(
    state, answers, head_of, status, crashed
):
    answers.append((head_of(status), False))
    [begun], _ = read(relay_of(state, AnswerKind.NON_IDEMPOTENT))
    assert begun.status == status


ENDLESS = {
    "body": b"\r\n" + b"x" * 18_000_000,
    "head": b"X-More: " + b"y" * 200_000,
    "heads": b"X-More: yes\r\n" * 10_000,
    "interim": b"\r\n" + b"HTTP/1.1 102 Processing\r\n\r\n" * 10_000,
    "extension": b"Transfer-Encoding: chunked\r\n\r\n5;" + b"y" * 200_000,
    "trailer": b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + b"y" * 200_000,
}


@pytest.mark.parametrize("kind", list(AnswerKind))
@pytest.mark.parametrize("name", list(ENDLESS))
def test_an_answer_without_end_is_none(state, answers, kind, name):
    """Guards against an answer that is read until the request's deadline."""
    status = 102 if name == "interim" else 200
    head = b"HTTP/1.1 %d S\r\nServer-Seal: s\r\n" % status
    answers.append((head + ENDLESS[name], False))
    [given_up] = read(relay_of(state, kind))[0]
    assert isinstance(given_up, GivenUp)
    assert [reason for _, reason in state.broken_replies] in (
        [["body_too_long"], ["event_too_long"]]
        if name == "body"
        else [["no_end_of_head"]]
    )


def test_a_refusal_without_end_is_none(state, answers):
    """Guards against a refusal that is read until the request's deadline."""
    head = b"HTTP/1.1 503 S\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n" % 1_000_000 + b"x" * 1_000_000 + b"\r\n"
    answers.append((head + chunk * 40, False))
    [given_up] = read(relay_of(state, AnswerKind.IDEMPOTENT))[0]
    assert isinstance(given_up, GivenUp)
    assert [reason for _, reason in state.broken_replies] == ["body_too_long"]


def test_answers_that_are_kept_have_a_bound_together(state, answers):
    """Guards against large answers that fill the memory together."""
    head = b"HTTP/1.1 200 S\r\nServer-Seal: s\r\n\r\n"
    answers += [(head + b"x" * 10_000_000, False)] * 2
    budget = MemoryBudget(limit=80_000_000, held=60_000_000)
    relay = relay_of(state, AnswerKind.IDEMPOTENT)
    relay.call = replace(relay.call, held=budget.reservation())
    [begun, *pieces], is_cut_off = read(relay)
    assert (begun.status, begun.body, is_cut_off) == (200, None, False)
    assert sum(len(piece.data) for piece in pieces) == 10_000_000
    assert budget.most_held <= budget.limit
    assert budget.held == 60_000_000
    budget.held = 0
    relay = relay_of(state, AnswerKind.IDEMPOTENT)
    relay.call = replace(relay.call, held=budget.reservation())
    [begun] = read(relay)[0]
    assert len(b"".join(begun.body)) == budget.held == 10_000_000


def test_logs_tell_how_a_stream_ended_and_was_resumed(state, answers, head_of, caplog):
    answers.append((head_of() + EVENT % 1 + (EVENT % 2)[:7], False))
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT % 2), EVENT % 2)
    answers.append((head_of(200, "Transfer-Encoding: chunked\r\n") + chunk, False))
    with caplog.at_level("INFO", "azurefold.gateway"):
        read(relay_of(state, AnswerKind.STREAMING, max_attempts=2, is_resumable=True))
    lines = [record.getMessage() for record in caplog.records]
    [failed] = [line for line in lines if "event=attempt_failed" in line]
    assert "detail=half_an_event passed=1 last_id=1 framing=connection" in failed
    [resumed] = [line for line in lines if "event=stream_resumed" in line]
    assert "after=1 first_id=2 passed=1 framing=chunked" in resumed
    assert sorted(framing for _, framing in state.streams) == ["chunked", "connection"]
    assert [reason for _, reason in state.broken_replies] == ["half_an_event"]
