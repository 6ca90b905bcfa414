"""A sender that drips its headers is refused in the time that settings give."""

import falcon
import pytest
from gevent import socket

from azurefold.internal.http_server import http_server


@pytest.fixture
def server():
    """A server that gives senders 100 ms for their headers."""
    server = http_server("127.0.0.1:0", falcon.App(), "test", header_timeout_ms=100)
    server.start()
    yield server
    server.stop(timeout=1)


def test_headers_that_do_not_end_are_refused(server):
    # Symptom: connections grow while requests do not. Sequence: a sender opens
    # a request and sends no end of its headers. Cause: nothing bounds the time.
    sender = socket.create_connection(("127.0.0.1", server.server_port))
    sender.settimeout(30)
    sender.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nX-Slow: ")
    answer = b""
    while piece := sender.recv(4_096):
        answer += piece
    assert answer.startswith(b"HTTP/1.1 408")
    assert b'"ran":"not_run"' in answer
    sender.close()
