"""The relay's faults do what their names say."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from azurefold.internal.http_server import split_address
from azurefold_standins.relay import Link, LinkFaults

PATIENCE_S = 30.0


def echo(sock, origin):
    while data := sock.recv(100):
        sock.sendall(data)


@pytest.fixture
def link():
    server = StreamServer(("127.0.0.1", 0), echo)
    server.start()
    probe = socket.socket()
    probe.bind(("127.0.0.1", 0))
    listen = f"127.0.0.1:{probe.getsockname()[1]}"
    probe.close()
    link = Link(listen, f"127.0.0.1:{server.server_port}")
    link.open()
    yield link
    link.set_faults(LinkFaults(cut=True))
    server.stop()


def connected(link):
    connection = socket.create_connection(split_address(link.listen), PATIENCE_S)
    connection.sendall(b"a")
    assert connection.recv(1) == b"a"
    return connection


def is_silent(connection):
    """Tell whether nothing comes and nothing is closed, while others work."""
    connection.sendall(b"b")
    with gevent.Timeout(0.2, False):
        return connection.recv(1) is None
    return True


def test_open_connections_go_silent_and_new_ones_work(link):
    old = connected(link)
    link.silence()
    assert is_silent(old)
    connected(link)


def test_a_cut_link_refuses_and_works_again_when_healed(link):
    old = connected(link)
    link.set_faults(LinkFaults(cut=True))
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(split_address(link.listen), PATIENCE_S)
    assert is_silent(old)
    link.set_faults(LinkFaults())
    connected(link)
    assert is_silent(old)


def test_an_end_is_passed_on_where_nothing_is_wrong(link):
    connection = connected(link)
    connection.shutdown(socket.SHUT_WR)
    assert connection.recv(1) == b""
