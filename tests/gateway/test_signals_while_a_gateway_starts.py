"""A gateway lives through signals that come before it is ready."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from azurefold_standins.gateway_site import new_gateway_site
from azurefold_standins.processes import wait_until

pytestmark = pytest.mark.scenario


@pytest.mark.parametrize("after_s", [0.1, 0.2, 0.3])
def test_a_changed_settings_file_does_not_end_a_gateway_that_starts(tmp_path, after_s):
    """Guards against a signal that ends a process whose handler is not there yet."""
    site = new_gateway_site(tmp_path, gateways=1, ranks=1)
    try:
        site.start()
        process = site.processes["gateway-0"]
        process.kill()
        process.start()
        time.sleep(after_s)
        process.send(signal.SIGHUP)
        site.wait_ready("gateway-0")
        assert process.running
    finally:
        site.processes.kill_all()


_LAUNCHER = str(Path(__file__).parents[2] / "deploy" / "gateway.py")


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_after_the_first_line_is_taken_by_the_process(tmp_path, number):
    """Guards against a signal's default action, which leaves no line."""
    site = new_gateway_site(tmp_path, gateways=1, ranks=1)
    process = site.processes["gateway-0"]
    process.arguments = ("-S", _LAUNCHER, process.arguments[-1])
    environment = {"PYTHONPATH": os.pathsep.join(path for path in sys.path if path)}
    try:
        process.start(environment)
        wait_until(lambda: "event=starting" in process.output(), "the first line")
        process.send(number)
        if number == signal.SIGHUP:
            wait_until(lambda: "event=started" in process.output(), "it has started")
            assert process.running
        else:
            assert process.stop() == 0
            assert "event=stopped" in process.output()
    finally:
        site.processes.kill_all()


def test_the_launcher_takes_signals_before_it_loads_a_module():
    """Guards against a launcher that loads anything before it takes signals."""
    code = (
        "import sys, _signal\n"
        f"code = compile(open({_LAUNCHER!r}).read(), 'launcher', 'exec')\n"
        "before = set(sys.modules)\n"
        "def taken(*_): print(*set(sys.modules) - before); raise SystemExit\n"
        "_signal.signal = taken\n"
        "exec(code)\n"
    )
    told = subprocess.run(
        [sys.executable, "-S", "-c", code], capture_output=True, text=True, check=True
    )
    assert told.stdout.split() == []
