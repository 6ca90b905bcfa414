"""What is sent to a second endpoint is charged to the budget, when it is sent."""

from dataclasses import replace

import pytest

from azurefold.core.attempts.request_state import NotDispatched
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import (
    AnswerKind,
    Destination,
    Route,
    RoutedService,
    RoutingConfiguration,
)
from azurefold.core.routing.cells import Cell
from azurefold.gateway.callers.calls import Call
from azurefold.gateway.endpoints import attempt as attempts
from azurefold.gateway.endpoints.attempt import Attempt, Progress
from azurefold.gateway.endpoints.connections import Link
from azurefold.gateway.endpoints.reply import BrokenReplyError
from azurefold.gateway.settings import changed_settings
from azurefold.gateway.state import new_gateway_state
from azurefold.platform.headers import read_request

ALLOWED = 90


class SilentSocket:
    """Takes what is sent and never answers."""

    def __init__(self):
        self.sent = []

    def sendall(self, data):
        self.sent.append(data)

    def close(self):
        pass


@pytest.fixture
def service(state):
    route = Route(
        "r", "h", "/r/", AnswerKind.IDEMPOTENT, (Destination("desk"),), 5_000, 400
    )
    view = RoutedService("desk", 64, None)
    state.apply(RoutingConfiguration(1, (route,), {"desk": view}))
    service = state.services["desk"]
    entry = EndpointEntry("e0", "desk", "10.0.0.1:80", "dc-a", 6)
    service.set_endpoints([entry], Cell(), state.clock.now())
    return service


@pytest.fixture
def send(state, service, monkeypatch):
    """Return what makes one attempt, and tells what came of it and what was sent."""
    head = read_request([("Attempt-Id", "a1"), ("Host", "h")])

    def unanswered(link, method):
        raise BrokenReplyError("reset", begun=False)

    monkeypatch.setattr(attempts, "read_reply", unanswered)
    monkeypatch.setattr(
        type(state.links), "refuses_connections", lambda self, *a: False
    )

    def attempt(progress, opened=None):
        sock = SilentSocket()

        def take(self, endpoint, address, *, fresh):
            if opened is not None:
                raise opened
            return Link(sock)

        monkeypatch.setattr(type(state.links), "take", take)
        now = state.clock.now()
        route = state.configuration.routes[0]
        until = now + route.timeout_ms
        call = Call("GET", "/r/x", b"", head, route, "desk", "o", 1, now, until, 1)
        running = Attempt(call, state, service, progress, "e0", 1).run()
        with pytest.raises(StopIteration) as ended:
            next(running)
        return ended.value.value, sock.sent

    return attempt


def left(state, service):
    return service.admission.retries.retries_left(state.clock.now())


def test_first_attempts_are_not_charged(state, service, send):
    progress = Progress()
    _, sent = send(progress, ConnectionRefusedError())
    assert not sent
    _, sent = send(progress)
    assert len(sent) == 1
    assert left(state, service) == ALLOWED


def test_a_repeat_is_charged_when_it_is_sent(state, service, send, time):
    """Repeats exceed the allowance when a group that stood still runs again.

    Requests that its ranks refused were charged then, and waited for the group for
    seconds. All are sent as it runs again, in a window in which half of their charges
    no longer counted.
    """
    progress = Progress(dispatched=True)
    time.at += 4_000
    _, sent = send(progress)
    assert len(sent) == 1
    time.at += 9_900
    assert left(state, service) == ALLOWED - 1
    time.at += 1_000
    assert left(state, service) == ALLOWED


def test_a_repeat_that_nothing_pays_for_is_not_sent(state, service, send):
    """Others spent what was left while this request's connection was being made."""
    while service.admission.try_retry():
        pass
    event, sent = send(Progress(dispatched=True))
    assert event == NotDispatched("retry_budget_spent")
    assert not sent


def test_a_smaller_allowance_holds_from_the_reload_on(state, service, settings):
    """A changed settings file was read, and the budget kept the old allowance."""
    fewer = replace(settings, retry_slack=20, retry_share=0.1)
    assert changed_settings(settings, fewer) == ["retry_share", "retry_slack"]
    state.take_settings(fewer)
    assert left(state, service) == 20


def test_only_the_first_start_of_all_has_its_part_at_once(settings):
    """A process that starts again does not know what the one before has spent."""
    first = replace(settings, is_first_start=True)
    time = ManualTime(at=0)
    states = [new_gateway_state(each, manual_clock(time)) for each in (first, settings)]
    for state in states:
        state.set_nodes(9)
    assert [state.retry_part.effective_retries(0) for state in states] == [
        ALLOWED / 9,
        0,
    ]
    time.at = 12_000
    assert [state.retry_part.effective_retries(12_000) for state in states] == [
        ALLOWED / 9
    ] * 2
