"""What was sent before cells were dealt anew still counts where it runs."""

import logging
import random

import pytest
from tests.gateway.quota_world import SLOTS, QuotaSite

from azurefold.core.routing.cells import cell_of

STREAM_MS = 2_000
WARM_UP_MS = 2_500
CHANGE_EVERY_MS = 1_500
CROSSING = 1
"""Requests of two gateways that are on their way at the same moment."""

SHARE_OF_SLOTS = 0.6
"""Requests that callers keep going, of those that all endpoints have slots for."""


@pytest.fixture(autouse=True)
def quiet(caplog):
    """Keep thousands of log lines out of each test's record."""
    caplog.set_level(logging.CRITICAL)


def most_at_an_endpoint(gateways, endpoints, change, changes):
    """Return the most requests that any endpoint has while a site changes."""
    wanted = SHARE_OF_SLOTS * SLOTS * endpoints
    per_second = wanted / gateways / (STREAM_MS / 1_000)
    site = QuotaSite(
        gateways, endpoints, per_second, ends_after_ms=STREAM_MS, step_ms=5
    )
    site.run(WARM_UP_MS)
    most = 0
    for number in range(changes):
        change(site, number)
        for _ in range(CHANGE_EVERY_MS // 100):
            site.run(100)
            most = max(most, *site.requests_of_ranks.values())
    return most


def an_endpoint_leaves(site, number):
    site.ranks.pop(7 * number)
    site.list_endpoints()


def a_gateway_leaves(site, number):
    site.remove(site.names[5 * number])


@pytest.mark.parametrize("change", [an_endpoint_leaves, a_gateway_leaves])
@pytest.mark.parametrize(
    ("gateways", "endpoints", "changes"), [(31, 64, 2), (98, 192, 1)]
)
def test_no_endpoint_is_filled_by_two_cells(gateways, endpoints, changes, change):
    """Guards against endpoints that get requests of two cells after a change."""
    most = most_at_an_endpoint(gateways, endpoints, change, changes)
    assert most <= SLOTS + 1 + CROSSING


@pytest.mark.parametrize(("nodes", "endpoints"), [(31, 64), (98, 192), (390, 3_900)])
def test_few_endpoints_move_when_one_leaves(nodes, endpoints):
    cell = cell_of("n0", [f"n{number}" for number in range(nodes)])
    draw = random.Random(nodes)
    names = [f"i-{draw.getrandbits(40):010x}" for _ in range(endpoints)]
    before, after = cell.assign_endpoints(names), cell.assign_endpoints(names[1:])
    moved = [name for name in after if after[name] != before[name]]
    assert len(moved) <= cell.count


@pytest.mark.parametrize("nodes", [31, 98, 390])
def test_few_nodes_move_when_one_leaves(nodes):
    names = [f"n{number}" for number in range(nodes)]
    before, after = cell_of("n0", names), cell_of("n0", names[:-1])
    homes = {name: n for n, members in enumerate(before.cells) for name in members}
    moved = [
        name
        for number, members in enumerate(after.cells)
        for name in members
        if homes[name] != number
    ]
    assert len(moved) <= before.count
    sizes = [len(members) for members in after.cells]
    assert max(sizes) - min(sizes) <= 1
