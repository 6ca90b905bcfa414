"""An attempt that broke off may wait in an endpoint's own queue."""

import pytest

from azurefold.core.routing.endpoint import ExchangedLoads
from azurefold.core.routing.messages import Chosen, NoneAvailable, RouteRequest
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool import Pool

DRAWS = (0.1, 0.9)


@pytest.fixture
def full():
    """Return a pool of two endpoints, "a" with less to do than "b", both full."""
    pool = Pool(PoolPolicy(reserve=0.0, sharing=ExchangedLoads(0)))
    pool.set_endpoints(["a", "b"], now=0)
    pool.set_slots(2)
    for number in range(2):
        pool.record_start("a", f"a{number}", now=0)
    for number in range(3):
        pool.record_start("b", f"b{number}", now=0)
    return pool


def test_a_first_attempt_finds_no_place(full):
    assert isinstance(full.choose(RouteRequest(), DRAWS, now=1), NoneAvailable)


def test_an_attempt_that_broke_off_goes_to_the_least_loaded(full):
    """A stream that broke off halfway ends, though endpoints could go on with it.

    All places were taken, as on any busy day, so no other endpoint was chosen, and
    its caller had half an answer.
    """
    chosen = full.choose(RouteRequest(may_queue=True), DRAWS, now=1)
    assert chosen == Chosen("a")


def test_it_does_not_go_back_to_where_it_broke_off(full):
    request = RouteRequest(exclude=frozenset({"a"}), may_queue=True)
    assert full.choose(request, DRAWS, now=1) == Chosen("b")
