"""Records of one endpoint join to the same whatever the order of arrival."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.membership.buckets import Buckets
from azurefold.core.membership.endpoints import Endpoint, State, join
from azurefold.core.membership.gossip_queue import MAX_PAYLOAD, page, wire_size
from azurefold.core.membership.rendezvous import homes

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
def test_join_is_a_semilattice(one, other, third):
    assert join(one, other) == join(other, one)
    assert join(one, join(other, third)) == join(join(one, other), third)
    assert join(one, one) == one


@given(RECORDS, RECORDS)
def test_leaving_is_never_undone_in_an_incarnation(one, other):
    joined = join(one, other)
    for record in (one, other):
        if record.departing and record.incarnation == joined.incarnation:
            assert joined.state >= State.LEAVING


def test_records_of_two_endpoints_are_not_joined():
    one = Endpoint("a", 1, "10.0.0.1:80", 80)
    with pytest.raises(ValueError, match="cannot be joined"):
        join(one, Endpoint("b", 1, "10.0.0.1:80", 80))


def test_only_the_endpoints_of_a_dead_control_change_homes():
    controls = [f"10.1.0.{n}:7002" for n in range(39)]
    for n in range(390):
        before = homes(f"endpoint-{n}", controls, 2)
        after = homes(f"endpoint-{n}", controls[1:], 2)
        if controls[0] not in before:
            assert after == before


@given(st.lists(RECORDS, max_size=20))
def test_buckets_depend_on_what_is_held_and_not_on_the_way_to_it(records):
    wandering, direct = Buckets(), Buckets()
    for record in records:
        wandering.put(record)
    if records:
        direct.put(records[-1])
    assert wandering.hashes == direct.hashes


@given(st.lists(RECORDS, max_size=60))
def test_pages_hold_all_records_in_order_and_fit_a_datagram(records):
    pages = page(records)
    assert [record for group in pages for record in group] == records
    assert all(sum(map(wire_size, group)) <= MAX_PAYLOAD for group in pages)
