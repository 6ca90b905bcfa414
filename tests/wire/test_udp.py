"""A UDP port passes on what is sealed, and counts and drops all else."""

from collections import Counter

import gevent
import pytest
from gevent import socket

from azurefold.core.membership.directory import Directory
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.messages import Probe, Reply, Send
from azurefold.core.membership.presence import Presence
from azurefold.wire.seal import Sealer, key_ring, seal
from azurefold.wire.udp import SendFailure, datagram_port

RING = key_ring([(1, b"k" * 16)])
LIMIT = 20


@pytest.fixture
def counts():
    return Counter()


@pytest.fixture
def open_port(counts):
    ports = []

    def make(name, answer=()):
        received = []

        def on_message(message, source):
            received.append((message, source.name))
            return [Send(source.origin, each) for each in answer]

        port = datagram_port(
            "127.0.0.1:0",
            RING,
            Sealer(name, 1),
            on_message,
            lambda reason: counts.update([reason.value]),
            lambda failure: counts.update([failure.value]),
        )
        port.start()
        ports.append(port)
        return port, received

    yield make
    for port in ports:
        port.stop()


def _wait_until(condition):
    with gevent.Timeout(LIMIT):
        while not condition():
            gevent.sleep(0.005)


def test_messages_and_answers_arrive(open_port, counts):
    asked, heard = open_port("control-1", answer=[Reply()])
    asking, answers = open_port("endpoint-1")
    asking.send([Send(asked.address, Probe())])
    _wait_until(lambda: answers)
    assert heard == [(Probe(), "endpoint-1")]
    assert answers == [(Reply(), "control-1")]
    assert not counts


def test_what_is_not_sealed_is_counted_and_the_port_lives_on(open_port, counts):
    port, heard = open_port("control-1")
    host, _, number = port.address.rpartition(":")
    sealer = Sealer("endpoint-1", 1)
    stranger = key_ring([(1, b"s" * 16)])
    good = seal(b"\x91\x02", RING, sealer, audience=port.address)
    nonsense = seal(b"nonsense", RING, sealer, audience=port.address)
    elsewhere = seal(b"\x91\x02", RING, sealer, audience="127.0.0.1:1")
    forged = seal(b"\x91\x02", stranger, sealer, audience=port.address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sending:
        for data in (b"", b"junk", nonsense, elsewhere, forged, good, good):
            sending.sendto(data, (host, int(number)))
        _wait_until(lambda: counts.total() == 6)
    assert heard == [(Probe(), "endpoint-1")]
    assert counts == {"malformed": 3, "bad_mac": 2, "replayed": 1}


@pytest.mark.parametrize("to", ["nowhere", "127.0.0.1:x", "127.0.0.1:99999", ":1"])
def test_a_bad_address_costs_one_datagram(open_port, counts, to):
    port, _ = open_port("control-1")
    port.send([Send(to, Probe())])
    assert counts == {SendFailure.BAD_ADDRESS.value: 1}


def test_a_wildcard_address_is_refused():
    with pytest.raises(ValueError, match="address that peers use"):
        datagram_port("0.0.0.0:0", RING, Sealer("a", 1), list, list)


def _record(name, port, role):
    number = int(port.address.rpartition(":")[2])
    return Endpoint(name, 1, "127.0.0.1:1", number, role, announced=State.SERVING)


def test_an_endpoint_reports_itself_over_real_ports(counts):
    machines = {}
    ports = {
        name: datagram_port(
            "127.0.0.1:0",
            RING,
            Sealer(name, 1),
            lambda message, source, name=name: machines[name](message, source),
            lambda reason: counts.update([reason.value]),
        )
        for name in ("control-1", "endpoint-1")
    }
    control, endpoint = ports.values()
    directory = Directory(_record("control-1", control, Role.CONTROL), 0)
    own = _record("endpoint-1", endpoint, Role.ENDPOINT)
    presence = Presence(own, 0, seeds=(control.address,))
    machines["control-1"] = lambda m, source: directory.receive(m, source, 0)
    machines["endpoint-1"] = lambda m, source: presence.receive(m, source.origin, 0)
    for port in ports.values():
        port.start()
    endpoint.send(presence.tick(0))
    _wait_until(lambda: presence.controls)
    assert directory.record("endpoint-1") == own
    assert presence.controls == (control.address,)
    assert not counts
    for port in ports.values():
        port.stop()
