"""Load, reports, speed and cached prefixes move the choice."""

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


def choices(pool, now, request=REQUEST, times=400):
    random = Random(7)
    chosen = [
        pool.choose(request, (random.random(), random.random()), now).endpoint
        for _ in range(times)
    ]
    return {name: chosen.count(name) for name in pool.endpoints}


def occupy(pool, endpoint, count, now=0):
    for number in range(count):
        pool.record_start(endpoint, f"{endpoint}/{number}", now)


def test_own_attempts_repel_at_once(pool, names):
    occupy(pool, names[0], 10)
    assert choices(pool, 0)[names[0]] == 0


def test_a_report_of_others_repels(pool, names):
    for name in names:
        pool.record_load(name, LoadReport(30 if name == names[0] else 0, 16), 0)
    assert choices(pool, 0)[names[0]] == 0


def test_own_attempts_in_a_late_report_are_not_counted_twice(names):
    """A busy endpoint looks twice as busy.

    Sequence: ten own attempts go out, and a report measured after them comes
    back two seconds later. Cause: its figure includes those ten.
    """
    two = Pool()
    two.set_endpoints(names[:2], 0)
    occupy(two, names[0], 10, now=1_000)
    two.record_load(names[0], LoadReport(10, 16, age=1_500), 3_000)
    occupy(two, names[1], 11, now=3_000)
    two.record_load(names[1], LoadReport(11, 16), 3_000)
    assert choices(two, 3_000)[names[0]] == 400


def test_an_overtaken_report_changes_nothing(pool, names):
    pool.record_load(names[0], LoadReport(0, 16, age=0), 2_000)
    pool.record_load(names[0], LoadReport(40, 16, age=1_500), 2_001)
    assert choices(pool, 2_001)[names[0]] > 0


def test_an_old_report_loses_its_weight(pool, names):
    """Every node sends to the endpoint that was idle some seconds ago.

    Sequence: one endpoint reports itself idle, the others busy; then reports
    stop. Cause: the old figure is believed for ever.
    """
    for name in names:
        pool.record_load(name, LoadReport(0 if name == names[0] else 24, 16), 0)
    fresh = choices(pool, 0)[names[0]]
    occupy(pool, names[0], 2, now=60_000)
    assert fresh > 40
    assert choices(pool, 60_000)[names[0]] == 0


def test_a_straggler_gets_less(pool, names):
    now = 0
    for number in range(40):
        for name in names:
            step = 60 if name == names[0] else 20
            pool.record_start(name, str(number), now)
            pool.record_first_token(name, str(number), now + 50)
            pool.record_end(name, str(number), Answered(11), now + 50 + 10 * step)
        now += 1_000
    assert choices(pool, now)[names[0]] == 0


def test_a_cached_prefix_attracts_until_its_holder_is_full(pool, names):
    request = RouteRequest((Prefix(9, 800),), 1_000)
    pool.prefix_cached(names[3], 9, 0)
    assert choices(pool, 0, request)[names[3]] == 400
    occupy(pool, names[3], 16)
    assert choices(pool, 0, request)[names[3]] == 0


def test_an_answer_teaches_which_endpoint_holds_its_prefix(pool, names):
    request = RouteRequest((Prefix(9, 800),), 1_000)
    pool.record_start(names[5], "a", 0, request)
    pool.record_first_token(names[5], "a", 90)
    pool.record_end(names[5], "a", Answered(10), 200)
    assert pool.choose(request, (0.0, 0.1), 300) == Chosen(names[5], 800)


def test_a_hint_expires_and_an_eviction_removes_it(pool, names):
    request = RouteRequest((Prefix(9, 800),), 1_000)
    pool.prefix_cached(names[3], 9, 0)
    assert pool.choose(request, (0.0, 0.1), 60_000).cached_tokens == 0
    pool.prefix_cached(names[3], 9, 60_000)
    pool.prefix_evicted(names[3], 9)
    assert pool.choose(request, (0.0, 0.1), 60_001).cached_tokens == 0


@pytest.mark.parametrize("draw", [0.0, 0.5, 0.999])
def test_the_reason_for_no_choice_is_named(names, draw):
    pool = Pool()
    none = pool.choose(REQUEST, (draw, draw), 0)
    assert isinstance(none, NoneAvailable)
    assert none.reason is Unavailable.NO_ENDPOINTS
    pool.set_endpoints(names[:2], 0)
    excluded = RouteRequest(exclude=frozenset(names))
    none = pool.choose(excluded, (draw, draw), 0)
    assert none.reason is Unavailable.ALL_EXCLUDED
    occupy(pool, names[0], 16)
    occupy(pool, names[1], 16)
    assert pool.choose(REQUEST, (draw, draw), 0).reason is Unavailable.ALL_FULL
    pool.set_endpoints(names[:2], 0, leaving=names)
    assert pool.choose(REQUEST, (draw, draw), 0).reason is Unavailable.ALL_LEAVING
    pool.readmit(names[0], 0)
    assert pool.choose(REQUEST, (draw, draw), 0).reason is Unavailable.ALL_FULL
