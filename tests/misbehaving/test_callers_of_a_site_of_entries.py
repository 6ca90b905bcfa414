"""Callers outside the limits at entries, agents and controls, as processes."""

import socket
import time
from contextlib import ExitStack

import pytest

from azurefold.internal.http_server import split_address
from azurefold_standins.client import Client
from azurefold_standins.crowd_soak import memory_kb, open_descriptors
from azurefold_standins.operator import accept, wait_ready
from azurefold_standins.processes import Process, wait_until
from azurefold_standins.site import Layout, new_site
from tests.misbehaving.conftest import Crowd
from tests.processes.conftest import CONFIGURATION, small_layout

pytestmark = pytest.mark.scenario

MACHINE_MB = 168
"""The smallest slot of an endpoint's VM on the users' sheets."""

MACHINE_FDS = 512
CALLERS = 64
HOLDERS = MACHINE_FDS + 200
ANSWER_BYTES = 4 * 1_048_576
BODY_BYTES = 1_048_576
SETTLE_S = 3.0
PROGRAMS = ("entry-hall-0", "agent-bookings-0", "agent-drafts-0", "control-hall-0")


@pytest.fixture
def site(tmp_path):
    layout = small_layout()
    machine = {"memory_mb": MACHINE_MB, "descriptors": MACHINE_FDS}
    layout = Layout(layout.data_centres, layout.endpoints, machine=machine)
    site = new_site(layout, tmp_path)
    try:
        site.start()
        accept(site, CONFIGURATION)
        wait_ready(site)
        yield site
    finally:
        site.processes.kill_all()


@pytest.fixture
def crowd_at(site):
    with ExitStack() as stack:
        yield lambda name, port: Crowd(site.address(name, port), stack)


@pytest.fixture
def holds(site):
    """Check that all processes stay within their machines and serve."""

    def check():
        client = Client(site.address("entry-hall-0", "listen"), "union")
        wait_until(lambda: _is_served(client), "an ordinary caller is served")
        for name in PROGRAMS:
            _is_within(site.processes[name])

    return check


def _is_served(client):
    try:
        return client.post("/services/bookings", {}).status == 200
    except OSError:
        return False


def _is_within(process: Process) -> None:
    assert process.running
    assert memory_kb(process) <= MACHINE_MB * 1_024, process.name
    assert open_descriptors(process) <= MACHINE_FDS, process.name


def request(path, *lines, length=2):
    head = [
        f"POST {path} HTTP/1.1",
        "Host: e",
        "Azurefold-Organisation: union",
        f"Content-Length: {length}",
        *lines,
    ]
    return "\r\n".join([*head, "", ""]).encode()


def test_an_entrys_answers_that_callers_leave_unread_stay_within_the_memory(
    crowd_at, holds
):
    """Guards against an entry or agent that ends, full of unread answers."""
    crowd = crowd_at("entry-hall-0", "listen")
    path = f"/services/bookings/size-{ANSWER_BYTES}"
    for _ in range(CALLERS):
        crowd.send(request(path) + b"{}")
    time.sleep(SETTLE_S)
    holds()


def test_an_entrys_bodies_without_their_last_byte_stay_within_the_memory(
    crowd_at, holds
):
    """Guards against an entry that ends for want of memory, full of bodies."""
    crowd = crowd_at("entry-hall-0", "listen")
    head = request("/services/bookings", length=BODY_BYTES)
    for _ in range(3 * CALLERS):
        crowd.send(head + b"x" * (BODY_BYTES - 1))
    holds()


@pytest.mark.parametrize(
    ("name", "port"),
    [
        ("entry-hall-0", "listen"),
        ("entry-hall-0", "metrics"),
        ("agent-bookings-0", "http"),
        ("agent-bookings-0", "metrics"),
        ("control-hall-0", "metrics"),
        ("control-hall-0", "grpc"),
        ("agent-drafts-0", "grpc"),
    ],
)
def test_connections_to_a_program_leave_descriptors_for_others(
    crowd_at, holds, name, port
):
    """Guards against a program whose descriptors some callers use up."""
    crowd = crowd_at(name, port)
    for _ in range(HOLDERS):
        crowd.connect()
    holds()


def test_unsigned_bodies_at_an_agent_stay_within_the_memory(crowd_at, holds):
    """Guards against an agent that ends before it has looked who asks."""
    crowd = crowd_at("agent-bookings-0", "http")
    size = 32 * 1_048_576
    for _ in range(8):
        crowd.send(request("/attempts/1", length=size) + b"x" * (size - 1))
    holds()


@pytest.mark.parametrize(
    ("name", "port"), [("control-hall-0", "grpc"), ("agent-drafts-0", "grpc")]
)
def test_bytes_that_are_no_calls_leave_a_program_within_its_limits(
    crowd_at, holds, name, port
):
    """Guards against a port between processes that ends its own for strangers."""
    crowd = crowd_at(name, port)
    for _ in range(HOLDERS):
        crowd.send(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00" * 1_000)
    holds()


@pytest.mark.parametrize("name", ["control-hall-0", "agent-drafts-0"])
def test_datagrams_of_strangers_leave_a_program_within_its_limits(site, holds, name):
    """Guards against datagrams that end a program or keep it from its work."""
    address = split_address(site.address(name, "udp"))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in range(20_000):
            sock.sendto(bytes([number % 256]) * (number % 1_400), address)
    holds()
