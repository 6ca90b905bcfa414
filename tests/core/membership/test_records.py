"""Joining the records of an endpoint gives the same result in any order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.membership.buckets import Buckets
from azurefold.core.membership.endpoints import Endpoint, State, join
from azurefold.core.membership.gossip_queue import (
    MAX_PAYLOAD_BYTES,
    split_into_datagrams,
    wire_size,
)
from azurefold.core.membership.rendezvous import select_owners

RECORDS = st.builds(
    Endpoint,
    name=st.just("endpoint-1"),
    incarnation=st.integers(0, 2),
    address=st.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
    udp_port=st.just(80),
    version=st.integers(0, 2),
    announced=st.sampled_from(State),
    load=st.integers(0, 1),
    departing=st.booleans(),
    silence=st.integers(0, 3),
).map(lambda record: join(record, record))


@given(RECORDS, RECORDS, RECORDS)
def test_join_is_a_semilattice(first, second, third):
    assert join(first, second) == join(second, first)
    assert join(first, join(second, third)) == join(join(first, second), third)
    assert join(first, first) == first


@given(RECORDS, RECORDS)
def test_leaving_is_never_undone_within_an_incarnation(first, second):
    joined = join(first, second)
    for record in (first, second):
        if record.departing and record.incarnation == joined.incarnation:
            assert joined.state >= State.LEAVING


def test_records_of_different_endpoints_cannot_be_joined():
    first = Endpoint("a", 1, "10.0.0.1:80", 80)
    with pytest.raises(ValueError, match="cannot be joined"):
        join(first, Endpoint("b", 1, "10.0.0.1:80", 80))


def test_only_endpoints_of_a_failed_control_change_owners():
    controls = [f"10.1.0.{n}:7002" for n in range(39)]
    for n in range(390):
        before = select_owners(f"endpoint-{n}", controls, 2)
        after = select_owners(f"endpoint-{n}", controls[1:], 2)
        if controls[0] not in before:
            assert after == before


@given(st.lists(RECORDS, max_size=20))
def test_buckets_depend_on_the_records_and_not_on_their_history(records):
    incremental, latest_only = Buckets(), Buckets()
    for record in records:
        incremental.put(record)
    if records:
        latest_only.put(records[-1])
    assert incremental.hashes == latest_only.hashes


@given(st.lists(RECORDS, max_size=60))
def test_groups_contain_all_records_in_order_and_fit_a_datagram(records):
    groups = split_into_datagrams(records)
    assert [record for group in groups for record in group] == records
    assert all(sum(map(wire_size, group)) <= MAX_PAYLOAD_BYTES for group in groups)
