"""A gateway starts although somebody else still has one of its ports."""

import json
import socket
from pathlib import Path

import pytest

from azurefold_standins.gateway_site import new_gateway_site
from azurefold_standins.processes import wait_until

pytestmark = pytest.mark.scenario

_HELD_S = 2.0


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = new_gateway_site(tmp_path_factory.mktemp("site"), gateways=1, ranks=1)
    site.start()
    yield site
    site.processes.kill_all()


def held_port(address, kind):
    """Return a socket that has ``"ip:port"``."""
    host, _, port = address.rpartition(":")
    held = socket.socket(socket.AF_INET, kind)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, int(port)))
    if kind == socket.SOCK_STREAM:
        held.listen()
    return held


def addresses(process):
    """Return a gateway's addresses with the kinds of their sockets, by name."""
    settings = json.loads(Path(process.arguments[-1]).read_text("utf-8"))
    callers = settings["Listen"]["Frontend"]
    ip = callers.rpartition(":")[0]
    return {
        "callers": (callers, socket.SOCK_STREAM),
        "health": (settings["Listen"]["Ready"], socket.SOCK_STREAM),
        "peers": (f"{ip}:{settings['PortRange'][0]}", socket.SOCK_DGRAM),
    }


@pytest.mark.parametrize("name", ["callers", "health", "peers"])
def test_a_start_waits_until_a_port_is_free(site, name):
    """Guards against a process that ends while its former one still has a port."""
    process = site.processes["gateway-0"]
    process.kill()
    held = held_port(*addresses(process)[name])
    try:
        process.start()
        with pytest.raises(TimeoutError):
            wait_until(lambda: not process.running, "the process ends", _HELD_S)
    finally:
        held.close()
    site.wait_ready("gateway-0")
    assert "event=port_in_use" in process.output()
