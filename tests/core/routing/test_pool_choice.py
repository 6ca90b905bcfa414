"""Load, reports, speed and cached prefixes influence the choice."""

from random import Random

import pytest

from azurefold.core.routing.messages import (
    Answered,
    Chosen,
    LoadReport,
    NoneAvailable,
    Prefix,
    RouteRequest,
    Unavailable,
)
from azurefold.core.routing.pool import Pool

REQUEST = RouteRequest()


def count_choices(pool, now, request=REQUEST, times=400):
    random = Random(7)
    chosen = [
        pool.choose(request, (random.random(), random.random()), now).endpoint
        for _ in range(times)
    ]
    return {name: chosen.count(name) for name in pool.endpoints}


def start_attempts(pool, endpoint, count, now=0):
    for number in range(count):
        pool.record_start(endpoint, f"{endpoint}/{number}", now)


def test_own_attempts_count_at_once(pool, names):
    start_attempts(pool, names[0], 10)
    assert count_choices(pool, 0)[names[0]] == 0


def test_reported_load_counts(pool, names):
    for name in names:
        pool.record_load(name, LoadReport(30 if name == names[0] else 0, 16), 0)
    assert count_choices(pool, 0)[names[0]] == 0


def test_own_attempts_in_a_late_report_are_not_counted_twice(names):
    """Guards against a busy endpoint that looks twice as busy.

    Ten own attempts are sent, and a report measured afterwards, which includes them,
    arrives two seconds later.
    """
    pool_of_two = Pool()
    pool_of_two.set_endpoints(names[:2], 0)
    start_attempts(pool_of_two, names[0], 10, now=1_000)
    pool_of_two.record_load(names[0], LoadReport(10, 16, age_ms=1_500), 3_000)
    start_attempts(pool_of_two, names[1], 11, now=3_000)
    pool_of_two.record_load(names[1], LoadReport(11, 16), 3_000)
    assert count_choices(pool_of_two, 3_000)[names[0]] == 400


def test_outdated_report_is_ignored(pool, names):
    pool.record_load(names[0], LoadReport(0, 16, age_ms=0), 2_000)
    pool.record_load(names[0], LoadReport(40, 16, age_ms=1_500), 2_001)
    assert count_choices(pool, 2_001)[names[0]] > 0


def test_weight_of_a_report_decays(pool, names):
    """Guards against sending all requests to an endpoint that was idle seconds ago.

    One endpoint reports that it is idle and the others that they are busy; then the
    reports stop. An old report must not determine the choice for ever.
    """
    for name in names:
        pool.record_load(name, LoadReport(0 if name == names[0] else 24, 16), 0)
    fresh = count_choices(pool, 0)[names[0]]
    start_attempts(pool, names[0], 2, now=60_000)
    assert fresh > 40
    assert count_choices(pool, 60_000)[names[0]] == 0


def test_slow_endpoint_gets_fewer_requests(pool, names):
    now = 0
    for number in range(40):
        for name in names:
            token_interval = 60 if name == names[0] else 20
            pool.record_start(name, str(number), now)
            pool.record_first_token(name, str(number), now + 50)
            pool.record_end(
                name, str(number), Answered(11), now + 50 + 10 * token_interval
            )
        now += 1_000
    assert count_choices(pool, now)[names[0]] == 0


def test_endpoint_with_a_cached_prefix_is_preferred_until_full(pool, names):
    request = RouteRequest((Prefix(9, 800),), 1_000)
    pool.record_cached_prefix(names[3], 9, 0)
    assert count_choices(pool, 0, request)[names[3]] == 400
    start_attempts(pool, names[3], 16)
    assert count_choices(pool, 0, request)[names[3]] == 0


def test_first_token_adds_a_prefix_hint(pool, names):
    request = RouteRequest((Prefix(9, 800),), 1_000)
    pool.record_start(names[5], "a", 0, request)
    pool.record_first_token(names[5], "a", 90)
    pool.record_end(names[5], "a", Answered(10), 200)
    assert pool.choose(request, (0.0, 0.1), 300) == Chosen(names[5], 800)


def test_prefix_hints_expire_and_evictions_remove_them(pool, names):
    request = RouteRequest((Prefix(9, 800),), 1_000)
    pool.record_cached_prefix(names[3], 9, 0)
    assert pool.choose(request, (0.0, 0.1), 60_000).cached_tokens == 0
    pool.record_cached_prefix(names[3], 9, 60_000)
    pool.record_evicted_prefix(names[3], 9)
    assert pool.choose(request, (0.0, 0.1), 60_001).cached_tokens == 0


@pytest.mark.parametrize("draw", [0.0, 0.5, 0.999])
def test_reason_for_no_choice_is_reported(names, draw):
    pool = Pool()
    choice = pool.choose(REQUEST, (draw, draw), 0)
    assert isinstance(choice, NoneAvailable)
    assert choice.reason is Unavailable.NO_ENDPOINTS
    pool.set_endpoints(names[:2], 0)
    excluded = RouteRequest(exclude=frozenset(names))
    choice = pool.choose(excluded, (draw, draw), 0)
    assert choice.reason is Unavailable.ALL_EXCLUDED
    start_attempts(pool, names[0], 16)
    start_attempts(pool, names[1], 16)
    assert pool.choose(REQUEST, (draw, draw), 0).reason is Unavailable.ALL_FULL
    pool.set_endpoints(names[:2], 0, leaving=names)
    assert pool.choose(REQUEST, (draw, draw), 0).reason is Unavailable.ALL_LEAVING
    pool.readmit(names[0], 0)
    assert pool.choose(REQUEST, (draw, draw), 0).reason is Unavailable.ALL_FULL
