"""Reports of another group of the same service change nothing in the view."""

import pytest

from azurefold.core.clock import manual_clock
from azurefold.core.groups.map_orders import RankView
from azurefold.core.routes.model import Engine, RoutedService
from azurefold.gateway.groups.watch import GroupWatch
from azurefold.gateway.service_state import new_gateway_service, retry_policy
from azurefold.gateway.state import new_gateway_state
from azurefold.platform.ranks import RankReport

SIZE = 2


def report_of(group, rank):
    return RankReport(group, SIZE, RankView(rank, 1, True, step=35))


@pytest.fixture
def watch(settings, time):
    state = new_gateway_state(settings, manual_clock(time))
    engine = Engine(slots=4, layer_sets=1, experts=4, places=2)
    service = new_gateway_service(
        RoutedService("drafts", 100, engine),
        "dc-a",
        state.clock,
        seed=1,
        retry_policy=retry_policy(0.2, 90, 10_000, nodes=1),
    )
    return GroupWatch(state, service)


def test_ranks_of_two_groups_are_not_taken_for_one(watch):
    """A group runs one pass under two maps, on a site of several groups.

    Ranks of each group are numbered from 0. The coordinator kept the endpoint that
    had reported a number last, whatever its group, found all numbers there, and
    armed ranks of both groups for a pass that it held one of them before.
    """
    for group in ("g0", "g1"):
        for rank in range(SIZE):
            watch._take_report(f"{group}-{rank}", report_of(group, rank), now=1_000)
    assert watch.view.name == "g0"
    assert watch.view.endpoints == {0: "g0-0", 1: "g0-1"}
    assert watch.view.is_whole


def test_a_group_is_not_whole_by_ranks_of_another(watch):
    watch._take_report("g0-0", report_of("g0", 0), now=1_000)
    watch._take_report("g1-1", report_of("g1", 1), now=1_000)
    assert not watch.view.is_whole
