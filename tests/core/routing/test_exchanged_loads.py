"""Nodes that exchange their loads fill endpoints evenly and never beyond the limit."""

import pytest

from azurefold.core.routing.endpoint import ExchangedLoads
from azurefold.core.routing.messages import (
    Answered,
    Chosen,
    LoadReport,
    Refused,
    RouteRequest,
)
from azurefold.core.routing.peer_loads import LoadDigest, PeerLoads, endpoint_hash
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool import Pool

SLOTS = 4


@pytest.fixture
def pool():
    pool = Pool(
        PoolPolicy(reserved_share=0.0, sharing=ExchangedLoads(extra_requests=1))
    )
    pool.set_endpoints(["a", "b", "c"], now=0)
    pool.set_slots(SLOTS)
    return pool


def send_request(pool, attempt, now=0, draw=0.0, exclude=frozenset()):
    request = RouteRequest(exclude=exclude)
    chosen = pool.choose(request, (draw, draw), now)
    if isinstance(chosen, Chosen):
        pool.record_start(chosen.endpoint, attempt, now)
        return chosen.endpoint
    return None


def test_requests_are_spread_over_all_endpoints(pool):
    endpoints = [send_request(pool, f"r{number}") for number in range(9)]
    assert {name: endpoints.count(name) for name in "abc"} == {"a": 3, "b": 3, "c": 3}


def test_requests_of_other_nodes_count_like_own_requests(pool):
    pool.record_load("a", LoadReport(3, 0), now=0)
    pool.record_load("b", LoadReport(1, 0), now=0)
    pool.record_load("c", LoadReport(0, 0), now=0)
    endpoints = [send_request(pool, f"r{number}") for number in range(3)]
    assert endpoints[0] == "c"
    assert sorted(endpoints) == ["b", "c", "c"]


def test_full_endpoint_gets_no_requests(pool):
    for name in "abc":
        pool.record_load(name, LoadReport(SLOTS + 1, 0), now=0)
    assert send_request(pool, "r") is None


def test_refusal_marks_an_endpoint_full_until_the_next_report(pool):
    pool.record_load("a", LoadReport(0, 0), now=0)
    pool.record_load("b", LoadReport(1, 0), now=0)
    pool.record_load("c", LoadReport(1, 0), now=0)
    assert send_request(pool, "r1") == "a"
    pool.record_end("a", "r1", Refused(), now=5)
    assert send_request(pool, "r2", now=6) != "a"
    pool.record_load("a", LoadReport(0, 0), now=100)
    assert send_request(pool, "r3", now=101) == "a"


def test_nearer_endpoint_is_preferred_at_equal_load(pool):
    pool.set_distance("a", 30)
    pool.set_distance("b", 30)
    assert {send_request(pool, f"r{n}", draw=n / 3) for n in range(1)} == {"c"}


def test_ended_attempts_free_their_slots(pool):
    for number in range(3 * (SLOTS + 1)):
        assert send_request(pool, f"r{number}") is not None
    assert send_request(pool, "late") is None
    pool.record_end("b", "r1", Answered(3), now=50)
    assert pool.loads["b"] == SLOTS
    assert send_request(pool, "next", now=60) == "b"


def digest(node, sequence, loads, incarnation=1):
    loads_by_hash = {endpoint_hash(name): load for name, load in loads.items()}
    return LoadDigest(node, incarnation, sequence, loads_by_hash)


def test_sums_use_the_last_digest_of_each_node():
    loads = PeerLoads()
    loads.receive(digest("n1", 1, {"a": 2, "b": 1}), now=0)
    loads.receive(digest("n2", 1, {"a": 3}), now=0)
    loads.receive(digest("n1", 2, {"b": 4}), now=10)
    assert (loads.requests_at("a"), loads.requests_at("b"), loads.requests_at("c")) == (
        3,
        4,
        0,
    )


def test_outdated_digest_is_ignored():
    loads = PeerLoads()
    assert loads.receive(digest("n1", 2, {"a": 1}), now=0)
    assert not loads.receive(digest("n1", 1, {"a": 9}), now=1)
    assert loads.requests_at("a") == 1
    assert loads.receive(digest("n1", 1, {"a": 2}, incarnation=2), now=2)
    assert loads.requests_at("a") == 2


def test_digest_of_a_silent_node_expires():
    """Guards against an endpoint that looks full because of requests of a dead node."""
    loads = PeerLoads()
    loads.receive(digest("n1", 1, {"a": 5}), now=0)
    loads.receive(digest("n2", 1, {"a": 1}), now=1_000)
    assert loads.expire(now=1_500) == ["n1"]
    assert loads.requests_at("a") == 1
    assert loads.nodes == {"n2"}
