"""The stand-in store loses answers for a span while connections stay open."""

import falcon
import gevent
import gevent.socket
import msgspec
import pytest

from azurefold.internal.http_client import http_client
from azurefold.internal.http_server import http_server
from azurefold_standins.feed_store import FeedStore, StoreHttp

SPAN_MS = 200
LONG_AFTER_S = 0.5
ANSWER_S = 0.2
"""For an answer that should come: the tests share a busy machine."""


class Store:
    """A store over HTTP and what asks it."""

    def __init__(self):
        self.http = StoreHttp(FeedStore())
        app = falcon.App()
        app.add_route("/rows-get", self.http)
        app.add_route("/rows-feed", self.http, suffix="feed")
        app.add_route("/rows-tx", self.http, suffix="transaction")
        app.add_route("/stand-in/faults", self.http, suffix="faults")
        self.server = http_server("127.0.0.1:0", app, "store")
        self.server.start()

    def connection(self):
        address = f"127.0.0.1:{self.server.server_port}"
        return http_client(address, 5_000, 20_000, concurrency=1)

    def lose_answers(self, mode="silent", span_ms=SPAN_MS):
        faults = msgspec.json.encode({"mode": mode, "span_ms": span_ms})
        self.connection().request("PUT", "/stand-in/faults", faults).read()

    def write(self, key):
        self.http.store.put([("op", key, b"{}")])


@pytest.fixture
def store():
    store = Store()
    yield store
    store.server.stop(timeout=0.1)


@pytest.fixture
def lost():
    """Calls under way, which end with the test."""
    calls = []
    yield calls
    gevent.killall(calls)


def ask(connection, uri="/rows-get?Table=op"):
    return connection.request("GET", uri).read()


def follow(connection, wait_ms=10_000):
    return ask(connection, f"/rows-feed?Table=op&After=0&WaitMs={wait_ms}")


def is_answered(call, within=ANSWER_S):
    """Whether a call that was spawned is answered."""
    call.join(within)
    return call.successful()


@pytest.fixture
def spawn(lost):
    def spawned(*call):
        lost.append(gevent.spawn(*call))
        gevent.sleep(0.05)
        return lost[-1]

    return spawned


@pytest.mark.parametrize("mode", ["silent", "lose_answers"])
def test_a_call_within_the_span_is_never_answered(store, spawn, mode):
    """A call that came while answers were lost waits after the span as well."""
    store.lose_answers(mode)
    call = spawn(ask, store.connection())
    assert not is_answered(call, LONG_AFTER_S)
    assert not call.ready()


def test_a_change_within_the_span_is_lost_to_a_call_that_waited_before(store, spawn):
    """A feed's call from before the span loses its answer, not just its delay."""
    call = spawn(follow, store.connection())
    store.lose_answers()
    store.write("config")
    assert not is_answered(call, LONG_AFTER_S)
    assert not call.ready()


def test_a_call_that_waits_through_the_span_is_told_of_a_later_change(store, spawn):
    """A connection on which nothing was lost goes on working."""
    call = spawn(follow, store.connection())
    store.lose_answers()
    gevent.sleep(LONG_AFTER_S)
    store.write("config")
    assert is_answered(call, 5.0)


def test_later_calls_on_a_connection_that_lost_an_answer_are_not_answered(store, spawn):
    """HTTP/1.1 answers come in order, so a lost one holds up those after it."""
    connection = gevent.socket.create_connection(
        ("127.0.0.1", store.server.server_port)
    )
    request = b"GET /rows-get?Table=op HTTP/1.1\r\nHost: store\r\n\r\n"
    store.lose_answers()
    connection.sendall(request)
    gevent.sleep(LONG_AFTER_S)
    connection.sendall(request)
    received = spawn(connection.recv, 1)
    assert not is_answered(received, LONG_AFTER_S)
    assert not received.ready()
    assert is_answered(spawn(ask, store.connection()), 5.0)


def test_new_connections_work_after_the_span(store, spawn):
    """The span ends by itself, on time for those who connect anew."""
    store.lose_answers()
    gevent.sleep(LONG_AFTER_S)
    assert is_answered(spawn(ask, store.connection()), 5.0)


def test_the_end_of_a_span_leaves_later_faults(store, spawn):
    """A fault that began within an earlier span lasts as long as it was told."""
    store.lose_answers()
    store.lose_answers(span_ms=0)
    gevent.sleep(LONG_AFTER_S)
    assert not is_answered(spawn(ask, store.connection()))


def test_a_write_whose_answer_is_lost_is_carried_out(store, spawn):
    """Of the two modes one loses answers only, the other one also the writes."""
    row = {"Table": "op", "part": "", "Key": "config", "Value": ""}
    body = msgspec.json.encode({"Write": [row]})
    for mode in ("silent", "lose_answers"):
        before = store.http.store.version
        store.lose_answers(mode)
        connection = store.connection()
        call = spawn(connection.request, "POST", "/rows-tx", body)
        assert not is_answered(call)
        carried_out = store.http.store.version > before
        assert carried_out == (mode == "lose_answers")
