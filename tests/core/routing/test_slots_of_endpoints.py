"""How many requests a node sends to an endpoint at the same time."""

import pytest

from azurefold.core.routing.messages import LoadReport, RouteRequest
from azurefold.core.routing.pool import Pool

DRAWS = (0.1, 0.6)


def filled(pool, most=100):
    """Send requests until there is no room, and return how many went."""
    for number in range(most):
        if not pool.room:
            return number
        chosen = pool.choose(RouteRequest(), DRAWS, 0)
        pool.record_start(chosen.endpoint, str(number), 0)
    return most


@pytest.fixture
def pool():
    """One endpoint for which operators allow 40 requests."""
    pool = Pool()
    pool.set_endpoints(["a"], 0)
    pool.set_slots(40)
    return pool


def test_a_report_that_does_not_say_the_slots_leaves_them(pool):
    # Symptom: 120 callers got 56 tokens a second, the rest were refused, and
    # the engines were idle. Sequence: an agent's first answer told how many
    # attempts run there and nothing of slots. Cause: the missing number was
    # taken for none, and each node kept to one request an endpoint.
    pool.record_load("a", LoadReport(in_flight=1, slots=0), 0)
    assert filled(pool) == 40


def test_a_reported_number_of_slots_counts(pool):
    pool.record_load("a", LoadReport(in_flight=0, slots=8), 0)
    assert filled(pool) == 8


@pytest.mark.parametrize("nodes", [1, 2, 4])
def test_nodes_share_what_operators_allow(pool, nodes):
    pool.set_nodes(nodes)
    pool.record_load("a", LoadReport(in_flight=40, slots=0), 0)
    assert filled(pool) == 40 // nodes


def test_a_lower_bound_takes_effect_at_known_endpoints(pool):
    pool.set_slots(5)
    pool.set_endpoints(["a", "b"], 0)
    assert filled(pool) == 10
