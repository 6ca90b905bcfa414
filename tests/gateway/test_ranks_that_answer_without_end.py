"""A rank whose answer has no end takes neither memory nor time of its coordinator."""

import gevent
import gevent.socket
import pytest
from gevent.server import StreamServer

from azurefold.platform.ranks import rank_client

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
BLOCK = b'{"step": 1' + b" " * 65_536


@pytest.fixture
def endless_rank():
    """Address of a rank, and how many bytes each of its answers had when it ended."""
    sent = []

    def answer(sock, _):
        sock.recv(65_536)
        sock.sendall(HEAD)
        sent.append(0)
        try:
            while True:
                sock.sendall(BLOCK)
                sent[-1] += len(BLOCK)
        except OSError:
            sock.close()

    server = StreamServer(("127.0.0.1", 0), answer)
    server.start()
    yield f"127.0.0.1:{server.server_port}", sent
    server.stop(timeout=0)


def test_a_report_without_end_is_none(endless_rank):
    """Guards against a coordinator that keeps whatever a rank sends."""
    address, sent = endless_rank
    client = rank_client("e1", address)
    assert client.report() is None
    gevent.sleep(0.05)
    # What the sockets' buffers take comes on top of the bound of 1 MiB.
    assert max(sent) < 16 * 1_048_576
