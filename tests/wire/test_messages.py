"""Messages survive the wire, and bytes that are none cost a count only."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.membership import messages as core
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.gossip_queue import wire_size
from azurefold.wire.messages import MalformedError, decode_message, encode_message

HASHES = st.integers(0, 2**32 - 1)
ADDRESSES = st.sampled_from(["10.0.0.1:7002", "[fe80::1]:7002"])
STATES = st.sampled_from(State)
RECORDS = st.builds(
    Endpoint,
    name=st.text(max_size=20),
    incarnation=st.integers(0, 2**63 - 1),
    address=ADDRESSES,
    udp_port=st.integers(0, 65_535),
    role=st.sampled_from(Role),
    service=st.text(max_size=20),
    rank=st.integers(-1, 31),
    version=st.integers(0, 2**20),
    announced=STATES,
    load=st.integers(0, 1_000),
    departing=st.booleans(),
    silence=st.integers(0, 9),
)
MESSAGES = st.one_of(
    st.builds(core.Heartbeat, st.integers(0, 99), STATES, HASHES, HASHES),
    st.builds(core.Announcement, RECORDS, HASHES),
    st.builds(core.Probe),
    st.builds(core.Reply, st.lists(ADDRESSES).map(tuple), st.booleans()),
    st.builds(core.Records, st.lists(RECORDS).map(tuple)),
    st.builds(
        core.Changes,
        st.lists(
            st.builds(
                core.Change,
                HASHES,
                st.integers(0, 2**63 - 1),
                st.integers(0, 2**20),
                STATES,
                st.booleans(),
                st.integers(0, 9),
            )
        ).map(tuple),
    ),
    st.builds(core.Digest, st.lists(HASHES).map(tuple)),
    st.builds(
        core.Summary,
        HASHES,
        st.lists(st.builds(core.SummaryEntry, HASHES, HASHES)).map(tuple),
    ),
    st.builds(core.Want, st.lists(HASHES).map(tuple)),
)


@given(MESSAGES)
def test_a_message_survives_the_wire(message):
    assert decode_message(encode_message(message)) == message


def _decode_or_malformed(payload):
    try:
        return decode_message(payload)
    except MalformedError:
        return None


@given(st.binary(max_size=300))
def test_any_bytes_give_a_message_or_malformed(payload):
    _decode_or_malformed(payload)


@given(MESSAGES, st.data())
def test_a_damaged_message_gives_a_message_or_malformed(message, data):
    payload = bytearray(encode_message(message))
    place = data.draw(st.integers(0, len(payload) - 1))
    payload[place] = data.draw(st.integers(0, 255))
    _decode_or_malformed(bytes(payload))
    _decode_or_malformed(bytes(payload[:place]))


@pytest.mark.parametrize(
    "payload", [b"", b"\xc0", b"\x91\x63", b"\x91" * 5_000, b"\x92\x01\xff"]
)
def test_what_is_no_message_is_malformed(payload):
    with pytest.raises(MalformedError):
        decode_message(payload)


@given(st.integers(1, 65_535), st.integers(0, 65_535), st.sampled_from([0, 2**50]))
def test_the_estimate_of_a_records_size_is_an_upper_one(port, version, incarnation):
    record = Endpoint(
        "endpoint-1",
        incarnation,
        f"10.0.0.1:{port}",
        port,
        service="drafting",
        rank=31,
        version=version,
        load=10_000,
        silence=300,
    )
    empty = encode_message(core.Records(()))
    size = len(encode_message(core.Records((record,)))) - len(empty)
    assert size <= wire_size(record)
