"""Bytes of other writers are decoded, or refused with one error."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.border.decoding import (
    Count,
    MillisecondsField,
    UnreadableError,
    check_address,
    check_name,
    json_decoder,
    msgpack_decoder,
    unreadable_as,
)

LEVELS = 20_000
DIGITS = 5_000


class Told(msgspec.Struct):
    count: Count = 0
    took_ms: MillisecondsField = 0
    any: object = None


decode = json_decoder(Told)
decode_binary = msgpack_decoder(Told)

ODD = {
    "nested-lists": b'{"any":' + b"[" * LEVELS + b"]" * LEVELS + b"}",
    "nested-objects": b'{"any":' + b'{"a":' * LEVELS + b"1" + b"}" * LEVELS + b"}",
    "nested-unknown-field": b'{"later":' + b"[" * LEVELS + b"]" * LEVELS + b"}",
    "never-closed": b'{"any":' + b"[" * LEVELS,
    "long-number": b'{"count":' + b"9" * DIGITS + b"}",
    "long-number-anywhere": b'{"any":' + b"9" * DIGITS + b"}",
    "large-number": b'{"count":' + b"9" * 300 + b"}",
    "negative": b'{"count":-1}',
    "infinite": b'{"took_ms":1e999}',
    "not-text": b'{"any":"\xff"}',
    "half-a-character": b'{"any":"\\ud800"}',
    "empty": b"",
}


@pytest.mark.parametrize("data", ODD.values(), ids=ODD)
def test_odd_bytes_are_refused_with_one_error(data):
    """Guards against an error that no handler of a table, file or message expects."""
    with pytest.raises(UnreadableError):
        decode(data)


def test_a_deeply_nested_binary_message_is_refused():
    with pytest.raises(UnreadableError):
        decode_binary(b"\x81\xa3any" + b"\x91" * LEVELS + b"\xc0")


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(data):
    for each in (decode, decode_binary):
        try:
            each(data)
        except UnreadableError:
            continue


@given(st.text(max_size=40))
def test_any_text_is_an_address_or_refused(text):
    try:
        host, _, port = check_address(text).rpartition(":")
    except UnreadableError:
        return
    assert 0 < int(port) < 65_536
    assert len(host.split(".")) == 4


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:" + "9" * DIGITS,
        "10.0.0.1:\u0663",
        "10.0.0:80",
        "0.0.0.0:80",
        "255.255.255.255:80",
        "224.0.0.1:80",
        "nowhere.example:80",
        "a b\r\nX: y:80",
        "\0:80",
        ":80",
    ],
)
def test_an_address_to_which_no_connection_can_be_made_is_refused(address):
    with pytest.raises(UnreadableError):
        check_address(address)


@pytest.mark.parametrize("name", ["", " a", "a\r\nHost: b", "a\0", "\u2603", "\x7f"])
def test_a_name_that_cannot_stand_in_a_header_is_refused(name):
    with pytest.raises(UnreadableError):
        check_name(name)


@pytest.mark.parametrize(
    "convert",
    [
        lambda: int(float("inf")),
        lambda: int("9" * DIGITS),
        lambda: 1 // 0,
        lambda: {}["absent"],
        lambda: decode(ODD["nested-lists"]),
    ],
)
def test_what_a_conversion_raises_becomes_the_error_of_its_module(convert):
    class BadRowError(ValueError):
        pass

    with pytest.raises(BadRowError), unreadable_as(BadRowError):
        convert()
