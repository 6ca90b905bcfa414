"""Every message of the protocol survives the codec that carries it."""

import msgspec
import pytest

from azurefold.core.groups.engine import EngineState, PlanEntry
from azurefold.core.groups.messages import (
    MESSAGE_TYPES,
    Close,
    Open,
    Promised,
    Status,
)
from azurefold.core.groups.order_numbers import fence_of, order_number

TAIL = PlanEntry(4, "m1", 9)
MESSAGES = [
    Close(9, None, "m1"),
    Open(9, 4, "m1", 2),
    Promised(9, 1, TAIL),
    Status(3, 1, EngineState(2, 7, (TAIL,), 8, 9, ("m0", "m1"))),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
def test_a_message_is_the_same_after_encoding(message):
    kind = MESSAGE_TYPES[type(message).__name__]
    payload = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(payload, type=kind) == message


def test_order_numbers_rise_with_the_fence_whatever_the_serial():
    assert order_number(2, 0) > order_number(1, 2**20 - 1)
    assert fence_of(order_number(1, 2**20 - 1)) == 1


def test_a_serial_out_of_range_says_what_to_do():
    with pytest.raises(ValueError, match="take the lease anew"):
        order_number(1, 2**20)
