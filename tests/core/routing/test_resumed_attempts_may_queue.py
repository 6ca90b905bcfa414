"""A resumed attempt may wait in an endpoint's own queue."""

import pytest

from azurefold.core.routing.endpoint import ExchangedLoads
from azurefold.core.routing.messages import Chosen, NoneAvailable, RouteRequest
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool import Pool

DRAWS = (0.1, 0.9)


@pytest.fixture
def full_pool():
    """Return a pool of two full endpoints, of which "a" has the smaller load."""
    pool = Pool(PoolPolicy(reserved_share=0.0, sharing=ExchangedLoads(0)))
    pool.set_endpoints(["a", "b"], now=0)
    pool.set_slots(2)
    for number in range(2):
        pool.record_start("a", f"a{number}", now=0)
    for number in range(3):
        pool.record_start("b", f"b{number}", now=0)
    return pool


def test_first_attempt_finds_no_room(full_pool):
    assert isinstance(full_pool.choose(RouteRequest(), DRAWS, now=1), NoneAvailable)


def test_resumed_attempt_goes_to_the_least_loaded_endpoint(full_pool):
    """Guards against an interrupted stream that ends although it could be resumed.

    All slots were taken, as is usual under load, so no other endpoint was chosen, and
    the caller got half an answer.
    """
    chosen = full_pool.choose(RouteRequest(may_queue=True), DRAWS, now=1)
    assert chosen == Chosen("a")


def test_resumed_attempt_avoids_excluded_endpoints(full_pool):
    request = RouteRequest(exclude=frozenset({"a"}), may_queue=True)
    assert full_pool.choose(request, DRAWS, now=1) == Chosen("b")
