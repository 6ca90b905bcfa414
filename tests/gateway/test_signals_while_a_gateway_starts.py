"""A gateway lives through signals that come before it is ready."""

import signal
import time

import pytest

from azurefold_standins.gateway_site import new_gateway_site

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
