"""Messages of the protocol are unchanged by the codec, and order numbers increase."""

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


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda message: type(message).__name__
)
def test_a_message_is_unchanged_after_encoding_and_decoding(message):
    kind = MESSAGE_TYPES[type(message).__name__]
    payload = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(payload, type=kind) == message


def test_order_numbers_increase_with_the_fence_for_any_serial():
    assert order_number(2, 0) > order_number(1, 2**20 - 1)
    assert fence_of(order_number(1, 2**20 - 1)) == 1


def test_the_error_for_a_serial_out_of_range_suggests_a_new_fence():
    with pytest.raises(ValueError, match="renew the lease under a new fence"):
        order_number(1, 2**20)
