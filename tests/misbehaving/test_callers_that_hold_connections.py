"""Callers that open connections and do nothing with them, or hardly anything."""

import time

import pytest

from tests.misbehaving.conftest import MACHINE_FDS, Crowd, request_head

pytestmark = pytest.mark.scenario

CALLERS = MACHINE_FDS + 200
SETTLE_S = 1.5


def test_connections_without_a_byte_leave_descriptors_for_others(gateway, crowd):
    """Guards against a process without a descriptor for endpoints and store."""
    for _ in range(CALLERS):
        crowd.connect()
    gateway.serves()
    gateway.stays_within_its_machine()


def test_heads_that_come_byte_by_byte_leave_descriptors_for_others(gateway, crowd):
    """Guards against unfinished requests that use up all connections."""
    head = request_head("/lists/slow/", "slow")
    for _ in range(CALLERS):
        crowd.send(head[:1])
    for position in range(1, 4):
        time.sleep(SETTLE_S / 3)
        for sock in crowd.socks:
            try:
                sock.send(head[position : position + 1])
            except OSError:
                continue
    gateway.serves()
    gateway.stays_within_its_machine()


def test_idle_connections_after_a_request_leave_descriptors_for_others(gateway, crowd):
    """Guards against connections that are kept open for callers who don't return."""
    request = request_head("/nowhere/", "idle", method="GET")
    for _ in range(CALLERS):
        crowd.send(request)
    gateway.serves()
    gateway.stays_within_its_machine()


@pytest.mark.parametrize("path", ["/readyz", "/metrics"])
def test_connections_to_the_admin_port_leave_health_checks_answered(
    gateway, crowd, path
):
    """Guards against a gateway that is taken out because its port is full."""
    admin = Crowd(gateway.admin, crowd.stack)
    request = f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
    for _ in range(CALLERS):
        admin.send(request * 20)
    gateway.is_ready()
    gateway.serves()
    gateway.stays_within_its_machine()
