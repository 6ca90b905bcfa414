"""Bad requests get a clear answer and no more memory than their limit."""

import json
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from tests.entry.conftest import FakeAgents, ManualClock

from azurefold.core.admission.messages import Priority
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.entry.claims import new_claim_writer
from azurefold.entry.http_api import entry_app
from azurefold.entry.metrics import new_entry_metrics
from azurefold.entry.organisations import new_organisations
from azurefold.entry.services import EndpointView, ServiceView, new_services
from azurefold.entry.state import EntryLimits, EntryState
from azurefold.internal.http_server import http_server
from azurefold.site_store.messages import Rows

MAX_BODY = 10_000
HEAD = "POST {path} HTTP/1.1\r\nHost: e\r\nAzurefold-Organisation: union\r\n"


def entry_state(clock):
    """Return an entry with one plain service whose endpoint is full."""
    services = new_services(clock, seed=1)
    view = ServiceView("lookups", False, Priority.DRAFT, True, 60_000, 8, ("a",))
    services.apply_services(1, [view], frozenset({"union"}))
    services.apply_endpoints([EndpointView("a", "7", "a:1", False)])
    return EntryState(
        services=services,
        organisations=new_organisations(clock, 1, "entry"),
        agents=FakeAgents(),
        claims=new_claim_writer(SimpleNamespace(read=lambda keys: Rows({}))),
        metrics=new_entry_metrics(clock),
        clock=clock,
        wall=clock,
        limits=EntryLimits(MAX_BODY, 200),
    )


@pytest.fixture
def state():
    """The entry's state."""
    return entry_state(ManualClock().clock)


@pytest.fixture
def connect(state):
    """Return a function that opens a connection to the entry."""
    server = http_server("127.0.0.1:0", entry_app(state), "test")
    server.start()
    yield lambda: socket.create_connection(("127.0.0.1", server.server_port))
    server.stop(timeout=0)


def answer_of(sock):
    """Return the status and the JSON of an answer."""
    data = b""
    with gevent.Timeout(20):
        while b"\r\n\r\n" not in data or not data.endswith(b"}"):
            data += sock.recv(65_536)
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]


def test_a_body_that_comes_too_slowly_is_refused(connect):
    sock = connect()
    sock.sendall((HEAD.format(path="/services/lookups")).encode())
    sock.sendall(b"Content-Length: 100\r\n\r\n{")
    status, error = answer_of(sock)
    assert (status, error["ran"], error["reason"]) == (408, "not_run", "slow_body")


def test_a_body_without_a_length_is_read_up_to_the_limit_only(connect):
    # Symptom: an entry's memory grows until it is killed. Sequence: a caller
    # sends a chunked body without end. Cause: there is no length to refuse.
    sock = connect()
    sock.sendall((HEAD.format(path="/services/lookups")).encode())
    sock.sendall(b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"1000\r\n" + b"x" * 4_096 + b"\r\n"
    for _ in range(MAX_BODY // 4_096 + 1):
        sock.sendall(chunk)
    status, error = answer_of(sock)
    assert (status, error["ran"]) == (413, "not_run")


def test_a_length_over_the_limit_is_refused_before_the_body(connect):
    sock = connect()
    sock.sendall((HEAD.format(path="/services/lookups")).encode())
    sock.sendall(b"Content-Length: 1000000000\r\n\r\n")
    status, error = answer_of(sock)
    assert (status, error["ran"]) == (413, "not_run")


def test_a_request_that_waits_for_an_endpoint_is_in_flight(connect, state):
    # Symptom: a graceful stop cuts requests off. Sequence: they wait in the
    # queue when the entry is told to stop. Cause: only answers that had begun
    # were counted.
    service = state.services.find("lookups")
    service.admission.pool.set_slots(1)
    service.admission.pool.record_start("a", "other", 0)
    sock = connect()
    sock.sendall((HEAD.format(path="/services/lookups")).encode())
    sock.sendall(b"Content-Length: 2\r\n\r\n{}")
    with gevent.Timeout(20):
        while not service.admission.waiting:
            gevent.sleep(0.001)
    assert state.in_flight == 1
    _, result = next(iter(service.admission._waiting.values()))
    result.set(Failure(RunStatus.NOT_RUN, "deadline", "", 100))
    assert answer_of(sock)[1]["ran"] == "not_run"
    assert state.in_flight == 0


def test_a_draining_entry_refuses_new_requests(connect, state):
    state.draining = True
    sock = connect()
    sock.sendall((HEAD.format(path="/services/lookups")).encode())
    sock.sendall(b"Content-Length: 2\r\n\r\n{}")
    status, error = answer_of(sock)
    assert (status, error["reason"], error["ran"]) == (503, "draining", "not_run")
