"""Nodes that tell each other their loads fill endpoints evenly and never over."""

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
    pool = Pool(PoolPolicy(reserve=0.0, sharing=ExchangedLoads(beyond_slots=1)))
    pool.set_endpoints(["a", "b", "c"], now=0)
    pool.set_slots(SLOTS)
    return pool


def take(pool, attempt, now=0, draw=0.0, exclude=frozenset()):
    request = RouteRequest(exclude=exclude)
    chosen = pool.choose(request, (draw, draw), now)
    if isinstance(chosen, Chosen):
        pool.record_start(chosen.endpoint, attempt, now)
        return chosen.endpoint
    return None


def test_requests_are_spread_over_all_endpoints(pool):
    taken = [take(pool, f"r{number}") for number in range(9)]
    assert {name: taken.count(name) for name in "abc"} == {"a": 3, "b": 3, "c": 3}


def test_others_requests_count_like_own_ones(pool):
    pool.record_load("a", LoadReport(3, 0), now=0)
    pool.record_load("b", LoadReport(1, 0), now=0)
    pool.record_load("c", LoadReport(0, 0), now=0)
    taken = [take(pool, f"r{number}") for number in range(3)]
    assert taken[0] == "c"
    assert sorted(taken) == ["b", "c", "c"]


def test_a_full_endpoint_gets_no_more(pool):
    for name in "abc":
        pool.record_load(name, LoadReport(SLOTS + 1, 0), now=0)
    assert take(pool, "r") is None


def test_an_endpoint_that_refused_is_taken_for_full_until_the_next_report(pool):
    pool.record_load("a", LoadReport(0, 0), now=0)
    pool.record_load("b", LoadReport(1, 0), now=0)
    pool.record_load("c", LoadReport(1, 0), now=0)
    assert take(pool, "r1") == "a"
    pool.record_end("a", "r1", Refused(), now=5)
    assert take(pool, "r2", now=6) != "a"
    pool.record_load("a", LoadReport(0, 0), now=100)
    assert take(pool, "r3", now=101) == "a"


def test_a_nearer_endpoint_is_taken_among_equals(pool):
    pool.set_distance("a", 30)
    pool.set_distance("b", 30)
    assert {take(pool, f"r{n}", draw=n / 3) for n in range(1)} == {"c"}


def test_places_are_given_back(pool):
    for number in range(3 * (SLOTS + 1)):
        assert take(pool, f"r{number}") is not None
    assert take(pool, "late") is None
    pool.record_end("b", "r1", Answered(3), now=50)
    assert pool.loads["b"] == SLOTS
    assert take(pool, "next", now=60) == "b"


def digest(node, sequence, loads, incarnation=1):
    marks = {endpoint_hash(name): load for name, load in loads.items()}
    return LoadDigest(node, incarnation, sequence, marks)


def test_sums_follow_the_last_digest_of_each_node():
    loads = PeerLoads()
    loads.receive(digest("n1", 1, {"a": 2, "b": 1}), now=0)
    loads.receive(digest("n2", 1, {"a": 3}), now=0)
    loads.receive(digest("n1", 2, {"b": 4}), now=10)
    assert (loads.requests_at("a"), loads.requests_at("b"), loads.requests_at("c")) == (
        3,
        4,
        0,
    )


def test_a_digest_that_was_overtaken_is_dropped():
    loads = PeerLoads()
    assert loads.receive(digest("n1", 2, {"a": 1}), now=0)
    assert not loads.receive(digest("n1", 1, {"a": 9}), now=1)
    assert loads.requests_at("a") == 1
    assert loads.receive(digest("n1", 1, {"a": 2}, incarnation=2), now=2)
    assert loads.requests_at("a") == 2


def test_a_silent_node_counts_no_longer():
    """An endpoint stays full in the eyes of all for requests of a dead node."""
    loads = PeerLoads()
    loads.receive(digest("n1", 1, {"a": 5}), now=0)
    loads.receive(digest("n2", 1, {"a": 1}), now=1_000)
    assert loads.expire(now=1_500) == ["n1"]
    assert loads.requests_at("a") == 1
    assert loads.nodes == {"n2"}
