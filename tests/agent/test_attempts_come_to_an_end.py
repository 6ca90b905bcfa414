"""Whatever an endpoint answers, its attempt comes to an end."""

import gevent
import pytest

from azurefold.agent import runner as runner_module
from azurefold.agent.endpoint import (
    EndpointCall,
    EndpointText,
    PlainService,
    StreamBrokeError,
    parse_event,
)
from azurefold.agent.runner import new_runner
from azurefold.core.attempts.ledger import AttemptPhase, new_ledger
from azurefold.core.clock import ManualTime, manual_clock


@pytest.fixture
def runner():
    """A runner before a plain service."""
    ledger = new_ledger("7")
    return new_runner(ledger, PlainService("127.0.0.1:1"), manual_clock(ManualTime()))


def test_a_fault_while_reading_ends_the_attempt_as_unknown(runner, monkeypatch):
    # Symptom: a drain never ends and callers wait until their deadlines.
    # Sequence: the endpoint answers something that nobody thought of. Cause:
    # the greenlet that copies the answer is gone, the attempt still "running".
    def call_endpoint(target, call):
        yield EndpointText(0, "begun")
        raise KeyError("a form that nobody thought of")

    monkeypatch.setattr(runner_module, "call_endpoint", call_endpoint)
    call = EndpointCall("a" * 32, "/", b"{}", 0)
    buffer = runner.dispatch(call, "7", "union", 60_000).buffer
    gevent.sleep(0)
    assert buffer.ended
    assert runner.ledger.running_count == 0
    assert runner.ledger.get_phase("a" * 32, "union") is AttemptPhase.FAILED
    assert b'"unknown"' in list(buffer.lines(0))[-1]


@pytest.mark.parametrize("data", [b"", b"[]", b'{"offset": "x"}', b"\xff"])
def test_an_engine_that_sends_no_event_counts_as_broken(data):
    with pytest.raises(StreamBrokeError):
        parse_event(data)
