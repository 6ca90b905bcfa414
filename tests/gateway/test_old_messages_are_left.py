"""Messages that are no newer than the last of their sender change nothing."""

import pytest

from azurefold.core.clock import manual_clock
from azurefold.core.routing.cells import cell_of
from azurefold.gateway.peers.exchange import Peer, new_exchange
from azurefold.gateway.peers.messages import Coordination, PeerMessage
from azurefold.gateway.state import new_gateway_state

NODES = [f"gateway-{n}" for n in range(27)]
"""Three cells of nine."""

SILENCE_MS = 2_000
"""Longer than the time after which a gateway counts as silent."""


class Receiver:
    """An exchange, and the sequences of the messages that it passed on."""

    def __init__(self, time, settings):
        self.taken = []
        self.time = time
        state = new_gateway_state(settings, manual_clock(time))
        self.exchange = new_exchange(state, 1, self._note, Coordination)
        self.exchange.set_peers([Peer(n, "10.0.0.1", 7_000) for n in NODES])

    def sender(self, is_of_cell):
        own = self.exchange.state.settings.name
        cell = cell_of(own, NODES).nodes
        return next(n for n in NODES if n != own and (n in cell) == is_of_cell)

    def take(self, node, sequence, incarnation=5, loads=None):
        message = PeerMessage(
            node, incarnation, sequence, 7_000, 0, 0, 0, 0, (), loads or {}
        )
        self.exchange._take(message, "10.0.0.1")

    def fall_silent(self):
        self.time.at += SILENCE_MS
        self.exchange._forget_silent()

    def _note(self, message):
        self.taken.append((message.incarnation, message.sequence))


@pytest.fixture
def receiver(time, settings):
    return Receiver(time, settings)


@pytest.mark.parametrize("is_of_cell", [True, False])
@pytest.mark.parametrize("loads", [{}, {7: 1}])
def test_a_late_or_repeated_message_is_left(receiver, is_of_cell, loads):
    """A late message of a coordinator sets a group's standing back."""
    node = receiver.sender(is_of_cell)
    for sequence in (13, 12, 12, 13, 14):
        receiver.take(node, sequence, loads=loads)
    assert receiver.taken == [(5, 13), (5, 14)]


@pytest.mark.parametrize("is_of_cell", [True, False])
def test_a_late_message_is_left_after_a_silence(receiver, is_of_cell):
    """What was delayed for seconds is taken since its sender is forgotten."""
    node = receiver.sender(is_of_cell)
    receiver.take(node, 13)
    receiver.fall_silent()
    receiver.take(node, 12)
    receiver.take(node, 14)
    assert receiver.taken == [(5, 13), (5, 14)]


def test_a_late_message_is_left_after_its_sender_was_not_listed(receiver):
    """A list of gateways that lacks the sender makes its late messages count again."""
    node = receiver.sender(is_of_cell=True)
    receiver.take(node, 13)
    receiver.fall_silent()
    receiver.exchange.set_peers([])
    receiver.exchange.set_peers([Peer(n, "10.0.0.1", 7_000) for n in NODES])
    receiver.take(node, 12)
    assert receiver.taken == [(5, 13)]


@pytest.mark.parametrize("is_of_cell", [True, False])
def test_a_sender_whose_clock_was_set_back_is_heard_again(receiver, is_of_cell):
    """A gateway that starts anew on an earlier date is never heard again."""
    node = receiver.sender(is_of_cell)
    receiver.take(node, 13, incarnation=5)
    receiver.fall_silent()
    receiver.take(node, 1, incarnation=4)
    receiver.take(node, 2, incarnation=4)
    assert receiver.taken == [(5, 13), (4, 1), (4, 2)]
