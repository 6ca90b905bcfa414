"""Each group of a service is seen, coordinated and told of by itself."""

import gevent
import pytest

from azurefold.core.clock import manual_clock
from azurefold.core.groups.map_orders import RankView
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import Engine, RoutedService
from azurefold.core.routing.cells import Cell
from azurefold.core.routing.rank_groups import Standing
from azurefold.core.routing.retries import RetryBudget
from azurefold.gateway.groups.control import ServiceControl
from azurefold.gateway.groups.watch import ServiceWatch
from azurefold.gateway.service_state import new_gateway_service
from azurefold.gateway.state import new_gateway_state
from azurefold.platform.ranks import RankClient, RankReport

SIZE = 2
GROUPS = ("g0", "g1")


def report_of(group, rank, born=0, **fields):
    view = RankView(rank, **({"epoch": 1, "is_running": True, "step": 35} | fields))
    return RankReport(group, SIZE, view, born)


def entry_of(group, rank):
    return EndpointEntry(f"{group}-{rank}", "drafts", "10.0.0.1:80", "dc-a", 4)


@pytest.fixture
def watch(settings, time):
    state = new_gateway_state(settings, manual_clock(time))
    engine = Engine(slots=4, layer_sets=1, experts=4, expert_slots_per_rank=2)
    service = new_gateway_service(
        RoutedService("drafts", 100, engine),
        "dc-a",
        state.clock,
        seed=1,
        retries=RetryBudget(),
    )
    entries = [entry_of(group, rank) for group in GROUPS for rank in range(SIZE)]
    service.set_endpoints(entries, Cell(), now=1_000)
    return ServiceWatch(state, service)


def take(watch, endpoint, report, now=1_000):
    watch.take_report(endpoint, report, now)


@pytest.fixture
def whole(watch):
    for group in GROUPS:
        for rank in range(SIZE):
            take(watch, f"{group}-{rank}", report_of(group, rank))
    return watch


def test_ranks_of_two_groups_are_not_taken_for_one(whole):
    """A group runs one pass under two maps, on a site of several groups.

    Ranks of each group are numbered from 0. The coordinator kept the endpoint that
    had reported a number last, whatever its group, found all numbers there, and
    armed ranks of both groups for a pass that it held one of them before.
    """
    views = whole.groups
    assert views["g0"].endpoints == {0: "g0-0", 1: "g0-1"}
    assert views["g1"].endpoints == {0: "g1-0", 1: "g1-1"}
    assert all(view.is_whole for view in views.values())


def test_a_group_is_not_whole_by_ranks_of_another(watch):
    take(watch, "g0-0", report_of("g0", 0))
    take(watch, "g1-1", report_of("g1", 1))
    assert not watch.groups["g0"].is_whole


def test_a_rank_that_moves_to_another_group_leaves_its_own(whole):
    take(whole, "g0-1", report_of("g1", 1))
    assert whole.groups["g0"].endpoints == {0: "g0-0"}
    assert whole.groups["g1"].endpoints == {0: "g1-0", 1: "g0-1"}


def test_the_rank_of_the_later_epoch_is_in_the_group(whole):
    """A rank that is being replaced gets the orders of its successor.

    Both report the same number for as long as the old one drains.
    """
    take(whole, "g1-0", report_of("g0", 0, epoch=2))
    take(whole, "g0-0", report_of("g0", 0, epoch=1))
    assert whole.groups["g0"].endpoints[0] == "g1-0"


def test_a_report_of_before_a_new_start_changes_nothing(whole):
    """A map is planned from counts and maps that a rank no longer has.

    A report that was sent before the rank started again came after one of the new
    start, and was taken for the newer one.
    """
    take(whole, "g0-0", report_of("g0", 0, born=2_000, epoch=2, step=3))
    take(whole, "g0-0", report_of("g0", 0, born=1_000, epoch=1, step=900))
    assert whole.groups["g0"].views[0].epoch == 2


def test_a_rank_that_gives_no_report_is_not_told_as_a_group_that_is_down(whole):
    """All gateways keep away from a group that runs.

    The coordinator alone did not reach one of its ranks, and said that the group
    was down.
    """
    take(whole, "g0-0", None)
    news = {item.epoch: item for item in ServiceControl(whole, row=None).news}
    assert not whole.groups["g0"].is_whole
    assert all(item.standing is Standing.RUNS for item in news.values())


@pytest.mark.parametrize(
    ("reporting", "standing"), [(1, Standing.DOWN), (2, Standing.FORMS)]
)
def test_what_ranks_say_of_a_broken_group_is_told(watch, reporting, standing):
    for rank in range(reporting):
        take(watch, f"g0-{rank}", report_of("g0", rank, is_running=False))
    [news] = ServiceControl(watch, row=None).news
    assert news.standing is standing


def test_a_silent_rank_holds_up_no_other_groups_reports(watch, monkeypatch):
    """A whole group is not balanced for as long as another has a silent rank.

    All ranks were asked together, and the answers taken in when the last had come
    or was given up, 400 ms later each time.
    """

    def report(client):
        if client.endpoint == "g0-0":
            gevent.sleep(5)
        group, rank = client.endpoint.split("-")
        return report_of(group, int(rank))

    monkeypatch.setattr(RankClient, "report", report)
    watch.look_at_due()
    gevent.sleep(0.05)
    assert watch.groups["g1"].is_whole
    assert not watch.groups["g0"].is_whole
    watch.calls.close()
