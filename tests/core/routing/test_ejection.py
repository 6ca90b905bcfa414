"""Faulty endpoints are ejected for a while, healthy ones and most of a pool never."""

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


def record_failures(ejector, endpoint, times, now, size=10):
    results = [ejector.record_failure(endpoint, size, now) for _ in range(times)]
    return [result for result in results if result is not None]


def test_three_consecutive_failures_eject(ejector):
    (ejected,) = record_failures(ejector, "a", 3, 100)
    assert ejected.cause is EjectionCause.FAILING
    assert ejected.until == 5_100
    assert ejector.is_ejected("a")


def test_scattered_failures_do_not_eject(ejector):
    for _ in range(200):
        assert not record_failures(ejector, "a", 1, 0)
        for _ in range(4):
            ejector.record_success("a")


def test_readmission_starts_probation_and_ejections_double(ejector):
    record_failures(ejector, "a", 3, 0)
    assert ejector.readmit_due(4_999) == []
    assert ejector.readmit_due(5_000) == ["a"]
    (again,) = record_failures(ejector, "a", 1, 5_100)
    assert again.until == 5_100 + 10_000


def test_ejections_have_a_maximum_duration(ejector):
    now = 0
    for _ in range(40):
        (ejected,) = record_failures(ejector, "a", 3, now)[:1]
        assert ejected.until - now <= 120_000
        now = ejected.until
        ejector.readmit_due(now)


def test_fault_of_all_endpoints_ejects_only_a_share_of_the_pool(ejector):
    """Guards against the ejection of all endpoints while every engine runs.

    One bad prompt fails on each endpoint. The mutant has no limit on the ejected share.
    """
    all_endpoints = [f"endpoint-{number}" for number in range(10)]
    for endpoint in all_endpoints:
        record_failures(ejector, endpoint, 5, 0)
    assert len(ejector.ejected) == 4
    mutant = Ejector(EjectionPolicy(max_share=1.0))
    for endpoint in all_endpoints:
        record_failures(mutant, endpoint, 5, 0)
    assert len(mutant.ejected) == 10


def test_stuck_endpoint_without_outcomes_is_ejected(pool, names):
    """Guards against an endpoint that neither fails nor answers.

    If an engine hangs while requests wait, no outcome shows it, so that health based
    on outcomes alone never changes.
    """
    for name in names:
        pool.record_start(name, "a", 0)
    for name in names[1:]:
        pool.record_first_token(name, "a", 500)
    assert pool.tick(2_999) == ()
    (ejected,) = pool.tick(3_000)
    assert (ejected.endpoint, ejected.cause) == (names[0], EjectionCause.STUCK)


def test_slow_endpoint_is_ejected_and_returns_with_limit_one(pool, names):
    for number in range(12):
        for name in names:
            token_interval = 100 if name == names[0] else 20
            pool.record_start(name, str(number), 0)
            pool.record_first_token(name, str(number), 50)
            pool.record_end(name, str(number), Answered(11), 50 + 10 * token_interval)
    (ejected,) = pool.tick(2_000)
    assert (ejected.endpoint, ejected.cause) == (names[0], EjectionCause.SLOW)
    assert pool.tick(ejected.until) == ()
    assert pool.ejected == frozenset()
    assert pool.concurrency_limit(names[0]) == 1


def test_busy_endpoint_that_answers_is_not_stuck(pool, names):
    for number in range(10):
        pool.record_start(names[0], str(number), 0)
    for number in range(9):
        pool.record_first_token(names[0], str(number), number * 1_000)
        assert pool.tick(number * 1_000 + 900) == ()


def test_endpoint_that_fails_at_once_is_avoided(pool, names):
    """Guards against sending most requests to the one endpoint that fails.

    It answers each request with an error at once, so it is always idle. The expected
    wait must not depend on the load alone.
    """
    pool.record_start(names[0], "a", 0)
    pool.record_end(names[0], "a", Failed(), 1)
    for name in names[1:]:
        pool.record_start(name, "b", 2)
    chosen = pool.choose(RouteRequest(), (0.0, 0.5), 2)
    assert isinstance(chosen, Chosen)
    assert chosen.endpoint != names[0]


def test_recovered_endpoint_is_chosen_again(pool, names):
    """Guards against a healthy endpoint that stays idle after one accidental failure.

    The endpoint fails once and is avoided. If only a success lowered its failure rate,
    nothing would show its recovery.
    """
    pool.record_start(names[0], "a", 0)
    pool.record_end(names[0], "a", Failed(), 1)
    for name in names[1:]:
        pool.record_start(name, "b", 2)
    chosen = pool.choose(RouteRequest(), (0.0, 0.5), 20_000)
    assert chosen.endpoint == names[0]
