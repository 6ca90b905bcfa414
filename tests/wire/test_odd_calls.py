"""An odd body of a sealed call is malformed, on both ends and inside envelopes."""

from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.odd_json import LEVELS, NESTED

from azurefold.wire.group_maps import decode_map
from azurefold.wire.group_messages import MESSAGE_TYPES, Envelope, opened
from azurefold.wire.grpc_caller import CallError, caller
from azurefold.wire.grpc_service import UnaryHandler, serve
from azurefold.wire.messages import MalformedError, decode_message
from azurefold.wire.seal import Rejected, Sealer, key_ring, open_sealed

RING = key_ring([(1, b"k" * 16)])
TIMEOUT = 20_000

NESTED_FIELD = b"\x81\xa5later" + b"\x91" * LEVELS + b"\xc0"
NOT_TEXT = b"\x81\xa4text\xa1\xff"
ODD_BODIES = {"nested": NESTED_FIELD, "not-text": NOT_TEXT, "empty": b""}


class Told(msgspec.Struct):
    text: str = ""


@pytest.fixture
def rejects():
    return Counter()


@pytest.fixture
def answers():
    return []


@pytest.fixture
def call(rejects, answers):
    """Return a function that sends bytes to a server, which answers with others."""

    def answer(told, sender):
        return msgspec.Raw(answers[0]) if answers else told

    server = serve(
        "127.0.0.1:0",
        [UnaryHandler("Echo", Told, answer)],
        RING,
        lambda reason: rejects.update([reason.value]),
        sealer=Sealer("control-1", 1),
    )
    sealer = Sealer("entry-1", 5)
    client = caller(f"127.0.0.1:{server.port}", RING, sealer, recipient="control-1")
    yield lambda body: client.call("Echo", msgspec.Raw(body), Told, TIMEOUT)
    client.close()
    server.stop(0)


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
def test_an_odd_request_is_counted_as_malformed(call, rejects, body):
    """Guards against a request whose fault only the server's log tells."""
    with pytest.raises(CallError):
        call(body)
    assert rejects == {"malformed": 1}


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
def test_an_odd_response_is_an_error_of_the_call(call, answers, body):
    """Guards against a response that ends the loop which asked for it."""
    answers.append(body)
    with pytest.raises(CallError, match="malformed"):
        call(msgspec.msgpack.encode(Told("hello")))


@pytest.mark.parametrize("payload", ODD_BODIES.values(), ids=ODD_BODIES)
@pytest.mark.parametrize("name", MESSAGE_TYPES)
def test_an_odd_message_in_an_envelope_is_no_message(name, payload):
    """Guards against a rank's message that ends the loop which calls ranks."""
    try:
        opened(Envelope(name, payload))
    except msgspec.ValidationError:
        return
    assert payload


@pytest.mark.parametrize("content", [NESTED, "9" * 5_000, "[[1e999]]", '[["\ud800"]]'])
def test_an_odd_map_is_refused_with_the_error_that_it_names(content):
    with pytest.raises(msgspec.MsgspecError):
        decode_map(content.encode("utf-8", "surrogatepass"))


@given(st.binary(max_size=200))
def test_any_datagram_is_opened_or_rejected(data):
    assert isinstance(open_sealed(data, RING, None), Rejected)
    try:
        decode_message(data)
    except MalformedError:
        return


@pytest.mark.parametrize(
    "payload",
    [b"\x92\x02" + b"\x91" * LEVELS + b"\xc0", b"\x95\x08\x01\xa1\xff\xa1a\xc0"],
    ids=["nested", "not-text"],
)
def test_an_odd_datagram_is_malformed(payload):
    with pytest.raises(MalformedError):
        decode_message(payload)
    assert isinstance(open_sealed(payload, RING, None), Rejected)
