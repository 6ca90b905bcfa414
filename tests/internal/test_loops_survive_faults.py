"""A fault in a loop does not end the loop."""

import logging

import pytest

from azurefold.internal.loops import keep_running


@pytest.fixture
def task():
    """A loop that fails twice and then comes to its end."""
    calls = []

    def run(name):
        calls.append(name)
        if len(calls) < 3:
            raise KeyError("a form that nobody thought of")

    run.calls = calls
    return run


def test_a_loop_that_fails_is_started_again(task, caplog):
    # Symptom: an endpoint is taken for dead though its agent answers. Sequence:
    # a datagram of an unknown form arrives, the heartbeats' loop fails on it.
    # Cause: the greenlet is gone, the process is not.
    with caplog.at_level(logging.ERROR, logger="azurefold.loops"):
        keep_running(task, "heartbeats", pause_ms=0)
    assert task.calls == ["heartbeats"] * 3
    told = [r.getMessage() for r in caplog.records if "loop_failed" in r.getMessage()]
    assert len(told) == 2
