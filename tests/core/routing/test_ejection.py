"""Bad endpoints are left out for a while; good ones and most of a pool never."""

import pytest

from azurefold.core.routing.ejection import EjectionPolicy, Ejector
from azurefold.core.routing.messages import (
    Answered,
    Chosen,
    EjectionCause,
    Failed,
    RouteRequest,
)


@pytest.fixture
def ejector():
    return Ejector(EjectionPolicy())


def fail(ejector, endpoint, times, now, size=10):
    found = [ejector.observe_failure(endpoint, size, now) for _ in range(times)]
    return [one for one in found if one is not None]


def test_three_failures_in_a_row_eject(ejector):
    (ejected,) = fail(ejector, "a", 3, 100)
    assert ejected.cause is EjectionCause.FAILING
    assert ejected.until == 5_100
    assert ejector.is_ejected("a")


def test_scattered_failures_do_not_eject(ejector):
    for _ in range(200):
        assert not fail(ejector, "a", 1, 0)
        for _ in range(4):
            ejector.observe_success("a")


def test_a_return_is_on_probation_and_the_term_doubles(ejector):
    fail(ejector, "a", 3, 0)
    assert ejector.returned(4_999) == []
    assert ejector.returned(5_000) == ["a"]
    (again,) = fail(ejector, "a", 1, 5_100)
    assert again.until == 5_100 + 10_000


def test_the_term_has_a_longest(ejector):
    now = 0
    for _ in range(40):
        (ejected,) = fail(ejector, "a", 3, now)[:1]
        assert ejected.until - now <= 120_000
        now = ejected.until
        ejector.returned(now)


def test_a_fault_everywhere_leaves_most_of_the_pool(ejector):
    """All endpoints of a pool are ejected while every engine runs.

    Sequence: one bad prompt fails on each endpoint it is tried on. Cause:
    ejection without a cap. The mutant shows it.
    """
    everywhere = [f"endpoint-{number}" for number in range(10)]
    for endpoint in everywhere:
        fail(ejector, endpoint, 5, 0)
    assert len(ejector.ejected) == 4
    mutant = Ejector(EjectionPolicy(max_share=1.0))
    for endpoint in everywhere:
        fail(mutant, endpoint, 5, 0)
    assert len(mutant.ejected) == 10


def test_a_stuck_endpoint_is_ejected_though_it_reports_nothing(pool, names):
    """Requests vanish in an endpoint that neither fails nor answers.

    Sequence: its engine hangs with requests waiting, and no outcome comes.
    Cause: health is learnt from outcomes only.
    """
    for name in names:
        pool.record_start(name, "a", 0)
    for name in names[1:]:
        pool.record_first_token(name, "a", 500)
    assert pool.tick(2_999) == ()
    (ejected,) = pool.tick(3_000)
    assert (ejected.endpoint, ejected.cause) == (names[0], EjectionCause.STUCK)


def test_a_slow_endpoint_is_ejected_and_judged_afresh(pool, names):
    for number in range(12):
        for name in names:
            step = 100 if name == names[0] else 20
            pool.record_start(name, str(number), 0)
            pool.record_first_token(name, str(number), 50)
            pool.record_end(name, str(number), Answered(11), 50 + 10 * step)
    (ejected,) = pool.tick(2_000)
    assert (ejected.endpoint, ejected.cause) == (names[0], EjectionCause.SLOW)
    assert pool.tick(ejected.until) == ()
    assert pool.ejected == frozenset()
    assert pool.limit(names[0]) == 1


def test_a_busy_endpoint_that_answers_is_not_stuck(pool, names):
    for number in range(10):
        pool.record_start(names[0], str(number), 0)
    for number in range(9):
        pool.record_first_token(names[0], str(number), number * 1_000)
        assert pool.tick(number * 1_000 + 900) == ()


def test_an_endpoint_that_fails_at_once_draws_no_traffic(pool, names):
    """Most requests go to the one endpoint that fails.

    Sequence: it answers each with an error at once, so it is always idle.
    Cause: the expected wait counts load alone.
    """
    pool.record_start(names[0], "a", 0)
    pool.record_end(names[0], "a", Failed(), 1)
    for name in names[1:]:
        pool.record_start(name, "b", 2)
    chosen = pool.choose(RouteRequest(), (0.0, 0.5), 2)
    assert isinstance(chosen, Chosen)
    assert chosen.endpoint != names[0]


def test_a_recovered_endpoint_is_tried_again(pool, names):
    """A healthy endpoint idles after one chance failure.

    Sequence: it fails once and is avoided, so nothing shows its recovery.
    Cause: a failure rate that only a success can lower.
    """
    pool.record_start(names[0], "a", 0)
    pool.record_end(names[0], "a", Failed(), 1)
    for name in names[1:]:
        pool.record_start(name, "b", 2)
    chosen = pool.choose(RouteRequest(), (0.0, 0.5), 20_000)
    assert chosen.endpoint == names[0]
