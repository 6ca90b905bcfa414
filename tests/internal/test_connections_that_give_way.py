"""Which connection is closed where there is no room for another one."""

import gevent
import gevent.socket
import pytest

from azurefold.core.callers.memory import MemoryBudget
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.internal.caller_connections import (
    CONNECTION_BYTES,
    ConnectionEndedError,
    OpenConnections,
    Wait,
)
from azurefold.internal.http_server import http_server

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LIMIT = 2


@pytest.fixture
def time():
    return ManualTime(at=1_000)


@pytest.fixture
def connections(time):
    budget = MemoryBudget(10 * CONNECTION_BYTES)
    made = OpenConnections(budget, LIMIT, "test", clock=manual_clock(time))
    budget.make_room = made.make_room
    return made


@pytest.fixture
def connect(connections):
    """Connect, send, and give the server a turn."""

    def application(environ, start):
        start("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = http_server("127.0.0.1:0", application, "test", connections=connections)
    server.start()
    socks = []

    def make(data=b""):
        sock = gevent.socket.create_connection(("127.0.0.1", server.server_port))
        socks.append(sock)
        sock.sendall(data)
        gevent.sleep(0.05)
        return sock

    yield make
    for sock in socks:
        sock.close()
    server.stop(timeout=0)


def is_open(sock):
    """Whether the server has the connection open, after what it has answered."""
    with gevent.Timeout(0.2, False):
        try:
            while sock.recv(4_096):
                continue
        except OSError:
            return False
        return False
    return True


def test_a_silent_connection_gives_way_before_an_idle_one(connect, time):
    idle = connect(REQUEST)
    silent = connect()
    time.advance(150)
    newest = connect(REQUEST)
    assert [is_open(each) for each in (idle, silent, newest)] == [True, False, True]


def test_the_connection_that_has_waited_longest_gives_way(connect, time):
    older = connect(REQUEST)
    time.advance(500)
    newer = connect(REQUEST)
    time.advance(600)
    newest = connect(REQUEST)
    assert [is_open(each) for each in (older, newer, newest)] == [False, True, True]


def test_a_new_connection_is_closed_where_none_has_waited_for_long(connect, time):
    """Guards against connections that push each other out before they are served."""
    first, second = connect(), connect()
    time.advance(50)
    third = connect()
    assert [is_open(each) for each in (first, second, third)] == [True, True, False]


def test_a_connection_that_gave_way_waits_no_more(connections, time):
    """Guards against connections that are open and not counted."""
    gone = connections.open(None)
    gone.begin_wait(Wait.HEAD, 10_000)
    connections.close(gone)
    with pytest.raises(ConnectionEndedError):
        gone.begin_wait(Wait.BODY, 10_000)
    assert len(connections) == connections.budget.held == 0


def test_nothing_is_held_once_all_have_left(connect, connections, time):
    """Guards against reservations that are never given back."""
    socks = [connect(REQUEST + REQUEST[:9]), connect(REQUEST)]
    assert connections.budget.held >= LIMIT * CONNECTION_BYTES
    time.advance(2_000)
    socks.append(connect(REQUEST))
    for sock in socks:
        sock.close()
    gevent.sleep(0.1)
    assert len(connections) == connections.budget.held == 0
