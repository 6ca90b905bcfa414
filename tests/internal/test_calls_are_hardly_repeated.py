"""A call whose connection is reset is sent once more, not again and again."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from azurefold.internal.http_client import CONNECTION_ERRORS, http_client


@pytest.fixture
def resetting():
    """Return a server that reads a request and resets, and its count of calls."""
    calls = []

    def reset(sock, address):
        calls.append(sock.recv(4_096))
        # Closed with this option a connection is reset.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()

    server = StreamServer(("127.0.0.1", 0), reset)
    server.start()
    yield f"127.0.0.1:{server.server_port}", calls
    server.stop()


@pytest.mark.parametrize("concurrency", [1, 2, 8])
def test_a_read_of_a_server_that_resets_all_makes_two_calls(resetting, concurrency):
    """Calls to the store are three times as many as usual on a day with an outage.

    The store reset every connection for eight seconds. Each read of each gateway was
    sent four times at once: the client took each reset for a kept connection that had
    been closed meanwhile, and tried all that its pool might have held.
    """
    address, calls = resetting
    client = http_client(address, 500, 500, concurrency=concurrency)
    with pytest.raises(CONNECTION_ERRORS):
        client.get("/rows")
    gevent.sleep(0)
    assert len(calls) <= 2
