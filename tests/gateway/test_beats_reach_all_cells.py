"""The coordinator's beats reach gateways that hear nothing of its loads."""

import pytest

from azurefold.core.clock import manual_clock
from azurefold.gateway.peers import exchange as exchange_module
from azurefold.gateway.peers.exchange import Coordination, Peer, new_exchange
from azurefold.gateway.state import new_gateway_state

SECOND_MS = 1_000
NODES = 27
"""Three cells of nine."""


class RecordingSocket:
    """Notes when a message went to which address."""

    def __init__(self, time):
        self._time = time
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((self._time.at, address[0]))


@pytest.fixture
def told():
    return {"coordination": Coordination(term=3)}


@pytest.fixture
def exchange(time, settings, told):
    state = new_gateway_state(settings, manual_clock(time))
    made = new_exchange(state, 1, lambda message: None, lambda: told["coordination"])
    made._sock = RecordingSocket(time)
    made.set_peers([Peer(f"gateway-{n}", f"10.0.0.{n}", 7_000) for n in range(NODES)])
    return made


def outsider(exchange):
    """Return the address of a gateway of another cell."""
    peers = exchange.peers.values()
    return next(peer.ip for peer in peers if peer.node not in exchange.cell.nodes)


def longest_silence(exchange, time, monkeypatch, ip):
    """Return for how long ``ip`` hears nothing while loads change all the time."""
    number = iter(range(10_000))
    own_loads = lambda self: {1: next(number)}  # noqa: E731
    monkeypatch.setattr(exchange_module.Exchange, "_own_loads", own_loads)
    began = time.at
    while time.at < began + 5 * SECOND_MS:
        time.at += exchange_module._LOOK_MS
        exchange.send()
    heard = [began] + [at for at, to in exchange._sock.sent if to == ip] + [time.at]
    return max(after - before for before, after in zip(heard, heard[1:], strict=False))


def test_a_busy_coordinator_beats_to_other_cells(exchange, time, monkeypatch):
    """Coordinators of a site of three cells replace each other every few seconds.

    Loads change with each request, and each message about them to the cell put off
    the next beat to all; gateways of other cells heard none for 1.7 s, took the
    row, and soon were as busy.
    """
    silence = longest_silence(exchange, time, monkeypatch, outsider(exchange))
    assert silence <= exchange_module._QUIET_MS + exchange_module._LOOK_MS


def test_beats_are_denser_while_a_map_changes(exchange, time, monkeypatch, told):
    told["coordination"] = Coordination(term=3, is_changing=True)
    silence = longest_silence(exchange, time, monkeypatch, outsider(exchange))
    assert silence <= exchange_module._CHANGING_MS + exchange_module._LOOK_MS


def test_who_coordinates_nothing_tells_only_its_cell(exchange, time, monkeypatch, told):
    told["coordination"] = Coordination()
    exchange.send()
    exchange._sock.sent.clear()
    silence = longest_silence(exchange, time, monkeypatch, outsider(exchange))
    assert silence >= 5 * SECOND_MS
