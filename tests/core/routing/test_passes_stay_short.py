"""Fewer requests at a time keep a group's events on time, at little cost in number."""

import pytest

from azurefold.core.routing.endpoint import ExchangedLoads
from azurefold.core.routing.messages import Chosen, LoadReport, RouteRequest
from azurefold.core.routing.pass_limit import PassLimit
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool import Pool

PROMISED_MS, SLOTS, FIXED_MS = 120, 6, 18.0
EVENTS = 24


def pass_ms(requests, skew):
    """Return a pass of four steps: a fixed part, and one for each request."""
    return FIXED_MS + 7.24 * requests * (0.15 + 0.85 * skew)


def settled(skew, wanted=SLOTS):
    """Return requests and passes once the limit has settled, with all places taken."""
    limit = PassLimit(FIXED_MS)
    requests, now = float(wanted), 1_000
    for _ in range(60):
        length = pass_ms(requests, skew)
        now += round(length)
        limit.observe(round(length), requests, now)
        requests = min(wanted, limit.max_requests_per_rank(PROMISED_MS, SLOTS))
    return requests, pass_ms(requests, skew)


@pytest.mark.parametrize("skew", [1.2, 2.0, 2.9])
def test_with_all_places_wanted_events_stay_on_time(skew):
    """All streams of a group are late for as long as its map does not fit.

    With six requests at each rank and a skew of 2.9 a pass takes 133 ms, with
    prompts to read more, of 120 that callers are promised.
    """
    requests, length = settled(skew)
    assert length <= 0.75 * PROMISED_MS
    served = requests / (EVENTS * length)
    served_with_all = SLOTS / (EVENTS * pass_ms(SLOTS, skew))
    # Streams a millisecond: at most an eighth less, all of them on time.
    assert served >= 0.87 * served_with_all


def test_cells_that_share_a_group_are_limited_alike():
    """Guards against a cell that keeps the places it has got before the others."""
    limits = [PassLimit(FIXED_MS) for _ in range(3)]
    requests, now = [6.0, 2.0, 2.0], 1_000
    for _ in range(120):
        mean = sum(requests) / len(requests)
        length = round(pass_ms(mean, skew=2.2))
        now += length
        for number, limit in enumerate(limits):
            limit.observe(length, requests[number], now)
            limit.record_group_mean(mean, now)
        requests = [
            limit.max_requests_per_rank(PROMISED_MS, SLOTS, now) for limit in limits
        ]
    assert max(requests) - min(requests) <= 0.1 * mean
    assert pass_ms(mean, skew=2.2) <= 0.75 * PROMISED_MS


def test_without_a_coordinator_a_cell_goes_by_its_own_requests():
    limit = PassLimit(FIXED_MS)
    limit.observe(100, requests=4.0, now=1_000)
    alone = limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=1_000)
    limit.record_group_mean(2.0, now=1_000)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=1_100) < alone
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=9_000) == alone


def test_short_passes_leave_all_slots():
    requests, _ = settled(skew=1.0, wanted=3)
    assert requests == 3
    limit = PassLimit(FIXED_MS)
    limit.observe(40, requests=3.0, now=1_000)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS) == SLOTS


def test_without_a_promise_nothing_is_limited():
    limit = PassLimit()
    limit.observe(400, requests=6.0, now=1_000)
    assert limit.max_requests_per_rank(0, SLOTS) == SLOTS


def test_at_least_one_request_goes_to_each_rank():
    limit = PassLimit()
    limit.observe(5_000, requests=6.0, now=1_000)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS) == 1.0


@pytest.fixture
def pool():
    pool = Pool(PoolPolicy(reserve=0.0, sharing=ExchangedLoads(1)))
    pool.set_endpoints(("a", "b", "c", "d"), now=0)
    pool.set_slots(SLOTS)
    return pool


def test_a_limit_counts_the_requests_of_all_nodes(pool):
    pool.limit_requests(pool.endpoints, mean=2.5)
    assert pool.room == 10
    pool.record_load("a", LoadReport(2, 0), now=0)
    assert pool.room == 8
    assert pool.mean_running(pool.endpoints) == 0.5


def test_what_waits_at_a_full_endpoint_does_not_count(pool):
    """Guards against limits that rise with requests which run nowhere."""
    pool.record_load("a", LoadReport(3 * SLOTS, 0), now=0)
    assert pool.mean_running(["a"]) == SLOTS


def test_no_limit_leaves_the_slots_and_one_beyond(pool):
    pool.limit_requests(pool.endpoints, mean=1.0)
    pool.limit_requests(pool.endpoints, mean=None)
    assert pool.room == 4 * (SLOTS + 1)


def test_an_endpoint_out_of_reach_is_left_out_for_a_while(pool):
    """Each request to a data centre that is cut off waits 400 ms for a connection.

    One endpoint after the other had to fail three times before it was left out.
    """
    for name in ("a", "b", "c"):
        pool.mark_unreachable(name, now=1_000)
    chosen = [pool.choose(RouteRequest(), (n / 4, 0.5), now=1_100) for n in range(4)]
    assert {one.endpoint for one in chosen} == {"d"}
    later = [pool.choose(RouteRequest(), (n / 4, 0.5), now=2_100) for n in range(4)]
    assert len({one.endpoint for one in later if isinstance(one, Chosen)}) == 4


def test_a_group_that_is_doubted_gets_what_others_have_no_room_for(pool):
    pool.set_suspected(frozenset(("a", "b")))
    for n in range(2 * (SLOTS + 1)):
        chosen = pool.choose(RouteRequest(), (0.1, 0.5), now=0)
        assert chosen.endpoint in ("c", "d")
        pool.record_start(chosen.endpoint, f"r{n}", now=0)
    assert pool.choose(RouteRequest(), (0.1, 0.5), now=0).endpoint in ("a", "b")
