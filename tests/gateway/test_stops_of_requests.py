"""Which requests a stop accepts, and which it ends."""

import errno

import gevent
import pytest
from tests.gateway.conftest import settings_of

from azurefold.gateway.callers.calls import StoppedError
from azurefold.gateway.stopping import drain
from azurefold.internal.http_server import http_server

GRACE_MS = 4_000
STOP_MARGIN_MS = 400


@pytest.fixture
def stopping(state):
    """A gateway that has just been told to stop."""
    state.settings = settings_of(stop_grace_ms=GRACE_MS)
    state.begin_drain()
    return state


def test_a_request_that_must_not_run_twice_is_accepted_if_it_ends_in_time(stopping):
    """Guards against requests whose errors come before their deadlines."""
    last = stopping.drain_began + GRACE_MS - STOP_MARGIN_MS - 250
    assert stopping.accepts_request(last, is_safe_to_rerun=False)
    assert not stopping.accepts_request(last + 1, is_safe_to_rerun=False)
    assert stopping.accepts_request(last + 10_000, is_safe_to_rerun=True)


def test_no_request_is_accepted_late_in_a_stop(stopping, time):
    time.at += 2_501
    for is_safe in (True, False):
        assert not stopping.accepts_request(time.at + 1, is_safe_to_rerun=is_safe)


def test_a_reload_does_not_move_the_end_of_a_stop(stopping):
    """Guards against a stop that ends after the platform kills the process."""
    before = stopping.stops_at
    stopping.take_settings(settings_of(stop_grace_ms=3 * GRACE_MS))
    assert stopping.stops_at == before


class Callers:
    """A server without connections."""

    def accept_pending_and_close(self):
        pass


def test_requests_that_have_begun_their_answers_are_let_end(state):
    """Guards against streams that are cut while their last events may still come."""
    state.settings = settings_of(stop_grace_ms=1_000)
    state.clock = RealClock()
    ends = {}

    def work(name, *, has_begun):
        state.in_flight += 1
        if not has_begun:
            state.unanswered.add(gevent.getcurrent())
        try:
            gevent.sleep(0.5)
            ends[name] = "done"
        except StoppedError:
            ends[name] = "stopped"
        finally:
            state.unanswered.discard(gevent.getcurrent())
            state.in_flight -= 1

    for name in ("begun", "unanswered"):
        gevent.spawn(work, name, has_begun=name == "begun")
    gevent.sleep(0)
    drain(state, Callers())
    assert ends == {"begun": "done", "unanswered": "stopped"}


class RealClock:
    """Milliseconds of the event loop."""

    def now(self):
        return int(gevent.get_hub().loop.now() * 1_000)


def test_a_listener_is_closed_though_nothing_can_be_accepted(monkeypatch):
    """Guards against a stop that ends as the process has no descriptor left."""
    server = http_server("127.0.0.1:0", lambda *_: [], "tests")
    server.start()

    def accept():
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(server, "do_read", accept)
    server.accept_pending_and_close()
    assert server.closed
