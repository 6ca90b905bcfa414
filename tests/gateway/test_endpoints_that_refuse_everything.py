"""An endpoint that refuses all that it is sent is hardly asked."""

from dataclasses import replace

import pytest
from tests.gateway.test_relays_answer_truthfully import (
    EVENT,
    TIMEOUT_MS,
    answer,
    relay_of,
)

from azurefold.core.routes.model import AnswerKind
from azurefold.core.routing.messages import LoadReport
from azurefold.gateway.callers.calls import Begun
from azurefold.gateway.callers.relay import Relay

WRONG = "e0"
A_MINUTE_MS = 60_000
EJECTIONS_IN_A_MINUTE = 4
"""Terms of 5 s, doubled each time: from 0, 5, 15 and 35 s on."""


@pytest.fixture
def relay(state, endpoint_script):
    """Return a request to a service of which one endpoint is not what it seems."""
    answers, _ = endpoint_script
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=2, is_resumable=True)
    answers |= {name: lambda: closing(200, [EVENT % 1]) for name in ("e1", "e2")}
    answers[WRONG] = lambda: misdirected("10.0.0.0:80")
    return relay


def closing(*given, **changes):
    """Return an answer with which the connection ends."""
    return replace(answer(*given, **changes), may_reuse=False)


def misdirected(at_fault):
    return closing(421, sealed=False, not_run=True, at_fault=at_fault, misdirected=True)


def is_answered(relay):
    """Send a request like ``relay`` and return whether it was answered."""
    now = relay.state.clock.now()
    call = replace(relay.call, arrived=now, deadline=now + TIMEOUT_MS)
    parts = list(Relay(call, relay.state, relay.service).run())
    return isinstance(parts[0], Begun)


def loads_are_told(relay):
    """Have the other gateways tell that they have no requests anywhere."""
    pool = relay.service.admission.pool
    for endpoint in pool.endpoints:
        report = LoadReport(pool.load_of(endpoint), 0)
        pool.record_load(endpoint, report, relay.state.clock.now())


def test_it_is_left_out_for_longer_and_longer(relay, endpoint_script, time):
    """Each request goes to one endpoint first, is refused, and sent to another one.

    An endpoint of a service of ranks that no group takes in answers at once, so it is
    always the emptiest. It refused 232 of 232 requests of a day, spent the gateways'
    retry budgets, and callers were refused once they were spent: 52 of them, while
    all other endpoints had room.
    """
    _, asked = endpoint_script
    for _ in range(A_MINUTE_MS // 100):
        assert is_answered(relay)
        loads_are_told(relay)
        relay.service.admission.tick()
        time.at += 100
    assert asked.count(WRONG) <= EJECTIONS_IN_A_MINUTE


def test_its_refusals_say_nothing_of_other_endpoints(relay, endpoint_script):
    """A service stands still because of two endpoints that no group takes in.

    Nothing was told of groups yet, so all endpoints were taken for one group, and two
    refusals with room within half a second put it out.
    """
    answers, _ = endpoint_script
    answers["e1"] = lambda: misdirected("10.0.0.1:80")
    for _ in range(10):
        assert is_answered(relay)
        assert not relay.service.admission.pool.paused
        loads_are_told(relay)
