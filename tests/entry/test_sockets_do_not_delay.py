"""Connections of the path send small writes at once, and notice silence."""

import socket

import gevent
import pytest
from gevent.socket import create_server

from azurefold.internal.http_client import CONNECTION_ERRORS, http_client
from azurefold.internal.http_server import http_server


def no_delay(sock):
    """Return whether Nagle's algorithm is off."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1


@pytest.fixture
def listener():
    """A server socket that accepts and says nothing."""
    with create_server(("127.0.0.1", 0)) as sock:
        yield sock


@pytest.fixture
def client(listener):
    """A client of it that waits a quarter of a second."""
    host, port = listener.getsockname()
    client = http_client(f"{host}:{port}", 1_000, 250)
    yield client
    client.close()


def test_connecting_sockets_do_not_wait_for_an_acknowledgement(client):
    # Symptom: each kept-alive request took 44 ms. Sequence: one end writes a
    # message in two parts, the other acknowledges the first only after 40 ms.
    # Cause: Nagle's algorithm holds the second part back until then.
    sock = client._connection_pool.get_socket()
    assert no_delay(sock)
    sock.close()


def test_accepted_sockets_do_not_wait_either():
    seen = []

    def application(environ, start_response):
        seen.append(no_delay(environ["test.socket"]))
        start_response("200 OK", [])
        return [b"ok"]

    server = http_server("127.0.0.1:0", application, "test")
    make = server.handler_class.get_environ

    class Handler(server.handler_class):
        def get_environ(self):
            return make(self) | {"test.socket": self.socket}

    server.handler_class = Handler
    server.start()
    client = http_client(f"127.0.0.1:{server.server_port}", 1_000, 5_000)
    try:
        assert bytes(client.get("/").read()) == b"ok"
    finally:
        client.close()
        server.stop(timeout=0)
    assert seen == [True]


def test_a_silent_connection_ends_in_an_error(client):
    # Symptom: a caller waits for ever for an answer that is ready. Sequence:
    # the connection is open and nothing comes. Cause: something between the
    # two ends has lost track of it, and only a limit on silence tells.
    with gevent.Timeout(20), pytest.raises(CONNECTION_ERRORS):
        client.get("/")


def test_a_writer_faster_than_its_reader_loses_nothing(listener):
    whole = [bytes([65 + number % 26]) * 50_000 for number in range(60)]

    def application(environ, start_response):
        start_response("200 OK", [])
        yield from whole

    server = http_server("127.0.0.1:0", application, "test")
    server.start()
    client = http_client(f"127.0.0.1:{server.server_port}", 1_000, 5_000)
    try:
        response = client.get("/")
        gevent.sleep(0.1)
        assert bytes(response.read()) == b"".join(whole)
    finally:
        client.close()
        server.stop(timeout=0)
