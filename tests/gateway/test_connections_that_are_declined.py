"""A declined connection is closed before its request is read."""

import socket

import gevent
import pytest

from azurefold.gateway.callers.front import front_server


@pytest.fixture
def requests():
    return []


@pytest.fixture
def server(requests):
    def application(environ, start):
        requests.append(environ["PATH_INFO"])
        start("200 OK", [("Content-Length", "0")])
        return []

    server = front_server("127.0.0.1:0", application)
    server.start()
    yield server
    server.stop()


def ask(server):
    """Send a request and return what comes back until the connection ends."""

    def exchange():
        with socket.create_connection(server.address, timeout=5) as sock:
            try:
                sock.sendall(
                    b"GET /r/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                )
                return b"".join(iter(lambda: sock.recv(4_096), b""))
            except ConnectionError:
                return b""

    return gevent.get_hub().threadpool.spawn(exchange).get()


def test_a_declined_connection_is_closed_unread(server, requests):
    """Guards against a request that ran though its connection was declined."""
    server.accepts = lambda: False
    assert ask(server) == b""
    assert not requests
    server.accepts = lambda: True
    assert ask(server).startswith(b"HTTP/1.1 200")
    assert requests == ["/r/"]
