"""Fewer concurrent requests keep a group's events on time at nearly full throughput."""

import pytest

from azurefold.core.routing.endpoint import ExchangedLoads
from azurefold.core.routing.messages import Chosen, LoadReport, RouteRequest
from azurefold.core.routing.pass_limit import PassLimit
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool import Pool

PROMISED_MS, SLOTS, FIXED_MS = 120, 6, 18.0
EVENTS_PER_STREAM = 24


def pass_duration_ms(requests, skew):
    """Return the duration of a pass: a fixed part, and a part for each request."""
    return FIXED_MS + 7.24 * requests * (0.15 + 0.85 * skew)


def run_until_settled(skew, offered=SLOTS):
    """Return requests per rank and pass duration once the limit has settled."""
    limit = PassLimit(FIXED_MS)
    requests, now = float(offered), 1_000
    for _ in range(60):
        duration_ms = pass_duration_ms(requests, skew)
        now += round(duration_ms)
        limit.observe(round(duration_ms), requests, now)
        requests = min(offered, limit.max_requests_per_rank(PROMISED_MS, SLOTS))
    return requests, pass_duration_ms(requests, skew)


@pytest.mark.parametrize("skew", [1.2, 2.0, 2.9])
def test_events_stay_on_time_at_full_load(skew):
    """Guards against late streams while the expert map does not suit the load.

    With six requests at each rank and a skew of 2.9, a pass takes 133 ms, and longer
    with prefills, where callers are promised 120 ms.
    """
    requests, duration_ms = run_until_settled(skew)
    assert duration_ms <= 0.75 * PROMISED_MS
    served = requests / (EVENTS_PER_STREAM * duration_ms)
    served_with_all = SLOTS / (EVENTS_PER_STREAM * pass_duration_ms(SLOTS, skew))
    # Streams per millisecond: at most an eighth less, all of them on time.
    assert served >= 0.87 * served_with_all


def test_cells_that_share_a_group_get_equal_limits():
    """Guards against a cell that keeps more requests because it had more at first."""
    limits = [PassLimit(FIXED_MS) for _ in range(3)]
    requests, now = [6.0, 2.0, 2.0], 1_000
    for number_of_pass in range(120):
        mean = sum(requests) / len(requests)
        duration_ms = round(pass_duration_ms(mean, skew=2.2))
        now += duration_ms
        for number, limit in enumerate(limits):
            limit.observe(duration_ms, requests[number], now)
            limit.record_group_mean(mean, now)
        requests = [
            limit.max_requests_per_rank(PROMISED_MS, SLOTS, now) for limit in limits
        ]
        if number_of_pass >= 60:
            assert max(requests) - min(requests) <= 0.1 * mean
            assert pass_duration_ms(mean, skew=2.2) <= 0.75 * PROMISED_MS


def test_without_a_group_mean_a_cell_uses_its_own_requests():
    limit = PassLimit(FIXED_MS)
    limit.observe(100, requests=4.0, now=1_000)
    alone = limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=1_000)
    limit.record_group_mean(2.0, now=1_000)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=1_100) < alone
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=9_000) == alone


def test_short_passes_allow_all_slots():
    requests, _ = run_until_settled(skew=1.0, offered=3)
    assert requests == 3
    limit = PassLimit(FIXED_MS)
    limit.observe(40, requests=3.0, now=1_000)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS) == SLOTS


def test_passes_that_are_long_for_a_short_time_hold_no_request_back():
    """Guards against requests that wait after a jump that makes no event late."""
    limit = PassLimit(FIXED_MS)
    running = 4.0
    for now in range(1_000, 4_000, 100):
        limit.observe(70, running, now)
    for now in range(4_000, 5_500, 100):
        limit.observe(round(0.8 * PROMISED_MS), running, now)
        assert limit.max_requests_per_rank(PROMISED_MS, SLOTS, now) >= running
    for now in range(5_500, 8_000, 100):
        limit.observe(round(0.8 * PROMISED_MS), running, now)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS, now) < running


def test_passes_that_made_events_late_are_not_allowed_again_soon():
    """Guards against streams that are late at each jump in popularity."""
    limit = PassLimit(FIXED_MS)
    limit.observe(PROMISED_MS + 10, requests=4.0, now=1_000)
    for now in range(1_100, 5_000, 100):
        limit.observe(70, 4.0, now)
    limit.observe(round(0.95 * PROMISED_MS), 4.0, now=5_100)
    after_late_events = limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=5_100)
    for now in range(5_200, 40_000, 100):
        limit.observe(70, 4.0, now)
    limit.observe(round(0.95 * PROMISED_MS), 4.0, now=40_100)
    later = limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=40_100)
    assert after_late_events < 4.0 <= later


def test_without_a_promised_gap_nothing_is_limited():
    limit = PassLimit()
    limit.observe(400, requests=6.0, now=1_000)
    assert limit.max_requests_per_rank(0, SLOTS) == SLOTS


def test_at_least_one_request_goes_to_each_rank():
    limit = PassLimit()
    limit.observe(5_000, requests=6.0, now=1_000)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS) == 1.0


STALL_MS = 1_700


def passes(limit, gap, begin, end):
    for now in range(begin, end, gap):
        limit.observe(gap, requests=3.0, now=now)


def test_a_stall_is_not_taken_for_a_pass():
    """Requests wait beside free slots for a second after a group was held."""
    limit = PassLimit()
    passes(limit, 60, 1_000, 3_000)
    before = limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=3_000)
    for stream in range(5):
        limit.observe(STALL_MS, requests=3.0, now=3_000 + STALL_MS + 5 * stream)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=4_800) == before


def test_each_stall_of_several_is_told_from_passes():
    limit = PassLimit()
    for began in range(1_000, 9_000, 4_000):
        passes(limit, 60, began, began + 2_000)
        limit.observe(STALL_MS, requests=3.0, now=began + 2_000 + STALL_MS)
    assert limit.pass_ms == pytest.approx(60, abs=1)


def test_long_gaps_in_a_row_are_passes():
    limit = PassLimit()
    passes(limit, 60, 1_000, 3_000)
    passes(limit, 600, 3_600, 6_000)
    assert limit.max_requests_per_rank(PROMISED_MS, SLOTS, now=6_000) == 1.0


@pytest.fixture
def pool():
    pool = Pool(PoolPolicy(reserved_share=0.0, sharing=ExchangedLoads(1)))
    pool.set_endpoints(("a", "b", "c", "d"), now=0)
    pool.set_slots(SLOTS)
    return pool


def test_a_limit_counts_the_requests_of_all_nodes(pool):
    pool.limit_requests(pool.endpoints, mean=2.5)
    assert pool.room == 10
    pool.record_load("a", LoadReport(2, 0), now=0)
    assert pool.room == 8
    assert pool.mean_running(pool.endpoints) == 0.5


def test_limits_of_one_endpoint_per_cell_have_the_mean_of_the_group():
    """Guards against a group whose limit is lost in rounding where cells are small."""
    rooms = []
    for number in range(390):
        pool = Pool(PoolPolicy(reserved_share=0.0, sharing=ExchangedLoads(1)))
        pool.set_endpoints((f"rank-{number}",), now=0)
        pool.set_slots(SLOTS)
        pool.limit_requests(pool.endpoints, mean=1.4)
        rooms.append(pool.room)
    assert sum(rooms) / len(rooms) == pytest.approx(1.4, rel=0.05)


def test_requests_waiting_at_a_full_endpoint_do_not_count(pool):
    """Guards against limits that rise with requests that are not running."""
    pool.record_load("a", LoadReport(3 * SLOTS, 0), now=0)
    assert pool.mean_running(["a"]) == SLOTS


def test_without_a_limit_slots_and_extra_requests_remain(pool):
    pool.limit_requests(pool.endpoints, mean=1.0)
    pool.limit_requests(pool.endpoints, mean=None)
    assert pool.room == 4 * (SLOTS + 1)


def test_unreachable_endpoint_is_excluded_for_a_while(pool):
    """Guards against requests that wait 400 ms for a data centre that is cut off.

    Each endpoint there had to fail three times before it was excluded.
    """
    for name in ("a", "b", "c"):
        pool.mark_unreachable(name, now=1_000)
    choices = [pool.choose(RouteRequest(), (n / 4, 0.5), now=1_100) for n in range(4)]
    assert {choice.endpoint for choice in choices} == {"d"}
    later = [pool.choose(RouteRequest(), (n / 4, 0.5), now=2_100) for n in range(4)]
    assert len({choice.endpoint for choice in later if isinstance(choice, Chosen)}) == 4


def test_suspected_group_gets_requests_only_when_others_are_full(pool):
    pool.set_suspected(frozenset(("a", "b")))
    for n in range(2 * (SLOTS + 1)):
        chosen = pool.choose(RouteRequest(), (0.1, 0.5), now=0)
        assert chosen.endpoint in ("c", "d")
        pool.record_start(chosen.endpoint, f"r{n}", now=0)
    assert pool.choose(RouteRequest(), (0.1, 0.5), now=0).endpoint in ("a", "b")
