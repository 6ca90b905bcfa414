"""What a peer or an agent sends is of use, or counts as no answer."""

from types import SimpleNamespace

import pytest
from gevent.server import StreamServer
from hypothesis import given, settings
from tests.odd_json import DIGITS, NESTED, odd_texts

from azurefold.control.drains import Drains
from azurefold.control.exchange import unpacked_head, unpacked_sections
from azurefold.core.configuration.head import NO_HEAD, Head, encode_json
from azurefold.wire.orders import DrainRequest

DELTA = {
    "base": NO_HEAD.head_id.digest,
    "revision": 7,
    "edit_id": "e7",
    "chain": ["e6"],
    "changed": {"service/a": "h"},
    "removed": ["service/b"],
}
HEAD = {"revision": 7, "edit_id": "e7", "sections": {"service/a": "h"}, "chain": ["e6"]}


@settings(max_examples=200, deadline=None)
@given(odd_texts(DELTA) | odd_texts(HEAD))
def test_an_odd_head_of_a_peer_is_none_or_of_use(text):
    """Guards against a head that ends the fetch, after which none is fetched again."""
    head = unpacked_head(text, NO_HEAD)
    if head is not None:
        assert isinstance(head, Head)
        assert 0 <= head.revision <= 2**53
        encode_json(head)


def test_damaged_sections_are_left_out():
    assert unpacked_sections({"h": b"", "g": b"\xff" * 20, "f": b"x\x9c"}).keys() <= {
        "h",
        "f",
    }


REPLIES = {
    "nested": f'{{"leaving":true,"in_flight":1,"later":{NESTED}}}',
    "long-number": f'{{"leaving":true,"in_flight":{"9" * DIGITS}}}',
    "large-number": f'{{"leaving":true,"in_flight":{"9" * 300}}}',
    "negative": '{"leaving":true,"in_flight":-1}',
    "empty": "",
}


@pytest.mark.parametrize("reply", REPLIES.values(), ids=REPLIES)
def test_an_odd_reply_to_an_order_to_leave_is_told_the_operator(reply):
    """Guards against an order of which the operator learns nothing."""

    def answer(sock, address):
        sock.recv(65_536)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n"
        sock.sendall((head + reply).encode())

    server = StreamServer(("127.0.0.1", 0), answer)
    server.start()
    record = SimpleNamespace(
        name="e", incarnation=1, address=f"127.0.0.1:{server.server_port}"
    )
    drains = Drains(
        SimpleNamespace(headers=lambda *details: {}),
        SimpleNamespace(directory=SimpleNamespace(record=lambda name: record)),
    )
    told = drains.handle(DrainRequest("e"), None)
    server.stop(timeout=0)
    assert told.known
    assert told.detail
