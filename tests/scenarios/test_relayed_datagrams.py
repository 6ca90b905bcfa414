"""Datagrams that are relayed look as if they came the straight way."""

import gevent
import pytest
from gevent import socket

from azurefold.internal.http_server import split_address
from azurefold_standins.relay_datagrams import DatagramFaults, DatagramLink, Datagrams

PATIENCE_S = 30.0
SENT = 40


def bound():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(PATIENCE_S)
    return sock


def address_of(sock):
    return f"127.0.0.1:{sock.getsockname()[1]}"


def free_address():
    probe = bound()
    address = address_of(probe)
    probe.close()
    return address


@pytest.fixture
def ends():
    """Two processes' own sockets in two data centres, and their relay."""
    here, there = bound(), bound()
    links = [
        DatagramLink(free_address(), address_of(here), "hall-a"),
        DatagramLink(free_address(), address_of(there), "hall-b"),
    ]
    datagrams = Datagrams(links)
    datagrams.open()
    yield here, there, datagrams
    here.close()
    there.close()


def send(here, datagrams, count=SENT):
    """Send, and return once the relay has dealt with all of it."""
    known = split_address(list(datagrams.links)[1].known)
    for number in range(count):
        here.sendto(b"%d" % number, known)
    with gevent.Timeout(PATIENCE_S):
        while datagrams.passed + datagrams.dropped < count:
            gevent.sleep(0.01)


def test_both_ends_see_only_known_addresses(ends):
    here, there, datagrams = ends
    send(here, datagrams, 1)
    data, origin = there.recvfrom(10)
    assert (data, origin) == (b"0", split_address(datagrams.links[0].known))
    there.sendto(b"back", origin)
    data, origin = here.recvfrom(10)
    assert (data, origin) == (b"back", split_address(datagrams.links[1].known))


@pytest.mark.parametrize(
    "faults", [DatagramFaults(lose=1.0), DatagramFaults(cut=[("hall-b", "hall-a")])]
)
def test_nothing_passes_a_cut_or_a_total_loss(ends, faults):
    here, _, datagrams = ends
    datagrams.faults = faults
    send(here, datagrams)
    assert (datagrams.passed, datagrams.dropped) == (0, SENT)


def test_some_are_lost_and_the_rest_doubled(ends):
    here, there, datagrams = ends
    datagrams.faults = DatagramFaults(lose=0.5, double=1.0)
    send(here, datagrams)
    with gevent.Timeout(PATIENCE_S):
        while datagrams.passed != 2 * (SENT - datagrams.dropped):
            gevent.sleep(0.01)
    assert 0 < datagrams.dropped < SENT


def test_late_ones_overtake(ends):
    here, there, datagrams = ends
    datagrams.faults = DatagramFaults(late_ms=100)
    send(here, datagrams)
    received = [int(there.recvfrom(10)[0]) for _ in range(SENT)]
    assert sorted(received) == list(range(SENT))
    assert received != sorted(received)
