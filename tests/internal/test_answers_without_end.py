"""An answer without end takes a bounded part of its reader's memory."""

import gevent
import pytest
from gevent.server import StreamServer

from azurefold.agent.endpoint import (
    EndpointCall,
    ModelEngine,
    PlainService,
    StreamBrokeError,
    call_endpoint,
)
from azurefold.internal import http_client as http_clients
from azurefold.internal.http_client import CONNECTION_ERRORS, http_client
from azurefold.platform.store import store_client
from azurefold.platform.store_messages import Unavailable

MOST_BYTES = 1_048_576
_SLACK_BYTES = 8 * 1_048_576
"""What the buffers of both sockets take on top."""

HEAD = b"HTTP/1.1 200 OK\r\n"
BLOCK = b"x" * 65_536
BEGINNINGS = {
    "head": HEAD + b"X-More: ",
    "heads": b"",
    "interim": b"",
    "body": HEAD + b"\r\n",
    "line": HEAD + b"Content-Type: text/event-stream\r\n\r\ndata: ",
    "trailer": HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: ",
}
BLOCKS = {
    "heads": b"X-More: " + b"x" * 8_000 + b"\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\nX: " + b"x" * 8_000 + b"\r\n\r\n",
}


@pytest.fixture(autouse=True)
def small_bound(monkeypatch):
    monkeypatch.setattr(http_clients, "_MOST_UNREAD_BYTES", MOST_BYTES)


@pytest.fixture(params=BEGINNINGS)
def endless(request):
    """Address of an endpoint whose answers have no end, and how much it has sent."""
    name, sent = request.param, []

    def answer(sock, _):
        sock.recv(65_536)
        sent.append(0)
        try:
            sock.sendall(HEAD * (name == "heads") + BEGINNINGS[name])
            while True:
                sock.sendall(BLOCKS.get(name, BLOCK))
                sent[-1] += len(BLOCKS.get(name, BLOCK))
                gevent.sleep(0)
        except OSError:
            sock.close()

    server = StreamServer(("127.0.0.1", 0), answer)
    server.start()
    yield f"127.0.0.1:{server.server_port}", sent
    server.stop(timeout=0)


def check_bound(sent):
    gevent.sleep(0.05)
    assert sent
    assert max(sent) < MOST_BYTES + _SLACK_BYTES


def test_a_whole_answer_without_end_is_given_up(endless):
    """Guards against a process that runs out of memory by one faulty peer."""
    address, sent = endless
    client = http_client(address, 1_000, 5_000, concurrency=1)
    with pytest.raises(CONNECTION_ERRORS):
        client.get("/").read()
    check_bound(sent)


def test_a_store_that_answers_without_end_is_unavailable(endless):
    address, sent = endless
    assert isinstance(store_client(address).read_table("t"), Unavailable)
    check_bound(sent)


def test_an_engine_whose_stream_has_no_end_of_a_line_breaks_the_stream(endless):
    """Guards against an agent that runs out of memory by its own engine."""
    address, sent = endless
    call = EndpointCall("a1", "/", b"{}", 5)
    with pytest.raises(StreamBrokeError):
        list(call_endpoint(ModelEngine(address), call))
    check_bound(sent)


@pytest.mark.parametrize("status", ["600", "999"])
def test_a_plain_service_that_sends_no_status_has_not_answered(status):
    def answer(sock, _):
        sock.recv(65_536)
        sock.sendall(f"HTTP/1.1 {status} S\r\nContent-Length: 2\r\n\r\nok".encode())

    server = StreamServer(("127.0.0.1", 0), answer)
    server.start()
    service = PlainService(f"127.0.0.1:{server.server_port}")
    with pytest.raises(StreamBrokeError):
        list(call_endpoint(service, EndpointCall("a1", "/", b"{}", 5)))
    server.stop(timeout=0)
