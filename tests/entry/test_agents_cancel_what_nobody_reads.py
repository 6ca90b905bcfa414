"""An agent stops an engine's stream that nobody has read for a while."""

from types import SimpleNamespace

import gevent
import pytest
from tests.entry.conftest import INCARNATION, ManualClock

from azurefold.agent import runner as runner_module
from azurefold.agent.endpoint import (
    EndpointCall,
    EndpointEnd,
    EndpointText,
    ModelEngine,
    PlainService,
)
from azurefold.agent.runner import new_runner
from azurefold.core.attempts.ledger import new_ledger


@pytest.fixture
def world(monkeypatch):
    """An endpoint that gives one token and the rest when cancelled."""
    time = ManualClock()
    cancelled = gevent.event.Event()
    orders = []

    def call_endpoint(target, call):
        yield EndpointText(0, "begun")
        cancelled.wait()
        yield EndpointEnd(5)

    def cancel_stream(engine, attempt_id):
        orders.append(attempt_id)
        cancelled.set()

    monkeypatch.setattr(runner_module, "call_endpoint", call_endpoint)
    monkeypatch.setattr(runner_module, "cancel_stream", cancel_stream)

    def start(target):
        runner = new_runner(new_ledger(INCARNATION), target, time.clock)
        call = EndpointCall("attempt", "/", b"{}", 0)
        attached = runner.dispatch(call, INCARNATION, "union", 600_000)
        gevent.sleep(0)
        return runner, attached.buffer

    return SimpleNamespace(time=time, start=start, orders=orders)


def ticks(world, runner, seconds):
    """Let some seconds pass."""
    for _ in range(seconds):
        world.time.now += 1_000
        runner.tick()
        gevent.sleep(0)


def test_an_engine_stream_that_nobody_reads_is_cancelled(world):
    runner, buffer = world.start(ModelEngine("127.0.0.1:1"))
    ticks(world, runner, 29)
    assert not world.orders
    ticks(world, runner, 3)
    assert world.orders == ["attempt"]
    assert runner.ledger.running_count == 0


def test_a_cancelled_answer_is_never_given_as_a_whole_one(world):
    # Symptom: a caller who comes back gets half a notice as if it were whole.
    # Sequence: nobody reads a stream, it is cancelled, and then resumed.
    # Cause: an engine ends a cancelled stream in the same way as a whole one.
    runner, buffer = world.start(ModelEngine("127.0.0.1:1"))
    ticks(world, runner, 32)
    assert list(buffer.lines(0))[-1] == b'["x","cancelled"]\n'


def test_a_stream_that_is_read_goes_on(world):
    runner, buffer = world.start(ModelEngine("127.0.0.1:1"))
    buffer.follow(runner.channels.open("c"), 1)
    ticks(world, runner, 90)
    assert not world.orders


def test_a_reader_that_comes_back_in_time_is_served(world):
    runner, buffer = world.start(ModelEngine("127.0.0.1:1"))
    ticks(world, runner, 25)
    buffer.follow(runner.channels.open("c"), 1)
    ticks(world, runner, 1)
    runner.unfollow("attempt", "c")
    ticks(world, runner, 25)
    assert not world.orders


def test_a_plain_service_is_never_cancelled(world):
    runner, buffer = world.start(PlainService("127.0.0.1:1"))
    ticks(world, runner, 120)
    assert not world.orders
    assert not buffer.ended
