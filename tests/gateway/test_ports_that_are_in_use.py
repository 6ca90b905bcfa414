"""A gateway starts although somebody else still has one of its ports."""

import json
import signal
import socket
from pathlib import Path

import pytest

from azurefold_standins.gateway_site import new_gateway_site
from azurefold_standins.processes import wait_until
from azurefold_standins.site import free_port

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
    told = process.output().count(f"event=port_in_use port={name}")
    try:
        process.start()
        with pytest.raises(TimeoutError):
            wait_until(lambda: not process.running, "the process ends", _HELD_S)
    finally:
        held.close()
    site.wait_ready("gateway-0")
    assert process.output().count(f"event=port_in_use port={name}") > told


def test_settings_that_change_while_a_start_waits_are_taken_in(site):
    """Guards against older settings until somebody changes them again."""
    process = site.processes["gateway-0"]
    process.kill()
    path = Path(process.arguments[-1])
    before = path.read_text("utf-8")
    told = process.output()
    held = held_port(*addresses(process)["peers"])
    try:
        process.start()
        wait_until(
            lambda: "event=port_in_use" in process.output()[len(told) :],
            "the port is in use",
        )
        settings = json.loads(before)
        settings["Bounds"]["DrainMs"] = 1_234
        path.write_text(json.dumps(settings), "utf-8")
        process.send(signal.SIGHUP)
        wait_until(
            lambda: "changed=drain_ms" in process.output()[len(told) :],
            "the settings are taken in",
        )
    finally:
        held.close()
        path.write_text(before, "utf-8")
    site.wait_ready("gateway-0")


def test_a_gateway_starts_without_the_port_of_its_metrics(tmp_path):
    """Guards against a start that ends for a port that no caller needs."""
    site = new_gateway_site(tmp_path, gateways=1, ranks=1)
    process = site.processes["gateway-0"]
    ip = site.gateways["gateway-0"].rpartition(":")[0]
    metrics = f"{ip}:{free_port(ip)}"
    *module, path = process.arguments
    port = metrics.rpartition(":")[2]
    process.arguments = (*module, "--metrics-port", port, path)
    held = held_port(metrics, socket.SOCK_STREAM)
    try:
        try:
            site.start()
            assert site.is_ready("gateway-0")
        finally:
            held.close()
        wait_until(lambda: site._answers(metrics, "/metrics"), "metrics are served")
    finally:
        site.processes.kill_all()


def test_a_stop_ends_a_start_that_waits_for_a_port(site):
    """Guards against a process that has to be killed as its port is never free."""
    process = site.processes["gateway-0"]
    process.kill()
    held = held_port(*addresses(process)["health"])
    try:
        before = process.output().count("event=port_in_use")
        process.start()
        wait_until(
            lambda: process.output().count("event=port_in_use") > before,
            "the port is in use",
        )
        assert process.stop() == 0
    finally:
        held.close()
