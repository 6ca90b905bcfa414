"""A changed settings file does not end the processes that read it at a start only."""

import os
import signal
import subprocess
import sys

import pytest

_RUNS = """
import sys, gevent
from azurefold.internal.logs import configure_logging
from azurefold.internal.process import run_binary, stop_requested
def start(path: str) -> int:
    configure_logging("tests")
    stop = stop_requested()
    gevent.spawn(gevent.sleep, 60)
    print("started", flush=True)
    stop.wait()
    return 0
sys.argv = ["azurefold-agent", "a.jsonc"]
run_binary(start, "azurefold-agent")
"""


@pytest.fixture
def process():
    process = subprocess.Popen(
        [sys.executable, "-c", _RUNS],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    yield process
    process.kill()
    process.communicate()


def wait_for(stream, text):
    """Read lines until one has the text."""
    while text not in (line := stream.readline()):
        assert line, f"the process has ended without {text}"


@pytest.mark.parametrize("moment", ["event=starting", "started"])
def test_a_hangup_does_not_end_a_process(process, moment):
    """Guards against a signal's default action at an entry, control or agent."""
    wait_for(process.stdout, moment)
    process.send_signal(signal.SIGHUP)
    if moment != "started":
        wait_for(process.stdout, "started")
        process.send_signal(signal.SIGHUP)
    wait_for(process.stderr, "event=reload_ignored")
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
