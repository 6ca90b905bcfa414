"""How many requests a node sends to an endpoint at the same time."""

import pytest

from azurefold.core.routing.messages import LoadReport, RouteRequest
from azurefold.core.routing.pool import Pool

DRAWS = (0.1, 0.6)


def fill(pool, max_requests=100):
    """Send requests until there is no room, and return how many were sent."""
    for number in range(max_requests):
        if not pool.room:
            return number
        chosen = pool.choose(RouteRequest(), DRAWS, 0)
        pool.record_start(chosen.endpoint, str(number), 0)
    return max_requests


@pytest.fixture
def pool():
    """Return a pool with one endpoint, configured for 40 requests."""
    pool = Pool()
    pool.set_endpoints(["a"], 0)
    pool.set_slots(40)
    return pool


def test_report_without_slots_keeps_the_slots(pool):
    # An agent's first report contains the number of attempts, but no slots. When the
    # missing number was used as 0, each node sent one request per endpoint: 120 callers
    # got 56 tokens per second, the others were refused, and the engines were idle.
    pool.record_load("a", LoadReport(in_flight=1, slots=0), 0)
    assert fill(pool) == 40


def test_reported_slots_are_used(pool):
    pool.record_load("a", LoadReport(in_flight=0, slots=8), 0)
    assert fill(pool) == 8


@pytest.mark.parametrize("nodes", [1, 2, 4])
def test_nodes_share_the_configured_slots(pool, nodes):
    pool.set_nodes(nodes)
    pool.record_load("a", LoadReport(in_flight=40, slots=0), 0)
    assert fill(pool) == 40 // nodes


def test_lower_slot_limit_applies_to_known_endpoints(pool):
    pool.set_slots(5)
    pool.set_endpoints(["a", "b"], 0)
    assert fill(pool) == 10
