"""Ranks get no requests while their group is down."""

import pytest

from azurefold.core.routing.messages import (
    Chosen,
    NoneAvailable,
    RouteRequest,
    Unavailable,
)
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.pool import Pool
from azurefold.core.routing.rank_groups import GroupStatus, RankGroups, Standing

FIRST, SECOND = ("a0", "a1"), ("b0", "b1")
ALL = FIRST + SECOND


def status_of(group, epoch, standing, ranks):
    return GroupStatus(1, group, epoch, standing, tuple(map(endpoint_hash, ranks)))


@pytest.fixture
def groups():
    groups = RankGroups()
    groups.update_status(status_of(11, 1, Standing.RUNS, FIRST), now=0)
    groups.update_status(status_of(22, 1, Standing.RUNS, SECOND), now=0)
    return groups


def test_refusal_marks_only_its_own_group_down(groups):
    """Guards against idle ranks while callers are refused.

    A refusal caused by one rank that is cut off was applied to all groups of the
    service, so that no retry went to the running group.
    """
    groups.record_refusal("a0", "a1", now=100)
    assert [name for name in ALL if groups.is_down(name)] == ["a0", "a1"]


def test_refusals_of_each_group_mark_all_groups_down(groups):
    groups.record_refusal("a0", "a1", now=100)
    groups.record_refusal("b0", "b1", now=300)
    assert all(groups.is_down(name) for name in ALL)


def test_unreported_ranks_count_as_one_group():
    groups = RankGroups()
    groups.record_refusal("a0", "a1", now=100)
    assert all(map(groups.is_down, ALL))


def test_ranks_that_no_status_names_are_down_with_all_known_groups():
    """Requests wait for ranks of a group that a node has learned of in an outage."""
    groups = RankGroups()
    groups.update_status(status_of(11, 1, Standing.DOWN, FIRST), now=0)
    assert all(map(groups.is_down, ALL))
    groups.update_status(status_of(11, 2, Standing.RUNS, ALL), now=100)
    assert not any(map(groups.is_down, ALL))


def test_ranks_that_no_status_names_are_used_while_a_known_group_runs(groups):
    groups.update_status(status_of(11, 1, Standing.DOWN, FIRST), now=1_000)
    assert groups.is_down("a0")
    assert not groups.is_down("c0")


def test_event_of_a_later_request_ends_the_outage(groups):
    groups.record_refusal("a0", "a1", now=100)
    assert not groups.record_event("a1", sent_at=90, now=120)
    assert groups.is_down("a1")
    assert groups.record_event("a1", sent_at=110, now=130)
    assert not groups.is_down("a0")


def test_status_from_before_a_refusal_does_not_end_the_outage(groups):
    """Guards against requests to a group that has just failed.

    The coordinator's reports are some hundred milliseconds old. After a refusal, they
    still described the group as running.
    """
    groups.record_refusal("a0", "a1", now=1_000)
    groups.update_status(status_of(11, 1, Standing.RUNS, FIRST), now=1_200)
    assert groups.is_down("a0")
    groups.update_status(status_of(11, 1, Standing.RUNS, FIRST), now=1_600)
    assert not groups.is_down("a0")


def test_outdated_status_does_not_restart_the_outage(groups):
    """Guards against pausing and resuming a recovered group three times per second.

    The group served requests already while the coordinator still reported the status
    from before the group had formed.
    """
    groups.record_refusal("a0", "a1", now=1_000)
    assert groups.record_event("a1", sent_at=1_500, now=1_700)
    assert not groups.update_status(status_of(11, 1, Standing.FORMS, FIRST), now=1_900)
    assert not groups.is_down("a0")
    assert groups.update_status(status_of(11, 2, Standing.DOWN, FIRST), now=2_000)


def test_status_of_a_new_epoch_ends_the_outage_at_once(groups):
    groups.record_refusal("a0", "a1", now=1_000)
    groups.update_status(status_of(11, 2, Standing.RUNS, FIRST), now=1_100)
    assert not groups.is_down("a0")


def test_status_of_an_old_epoch_is_ignored(groups):
    groups.update_status(status_of(11, 3, Standing.RUNS, FIRST), now=10)
    assert not groups.update_status(status_of(11, 2, Standing.DOWN, FIRST), now=20)
    assert not groups.is_down("a0")


def test_group_without_status_is_probed_once_per_second(groups):
    """Guards against a recovered group that gets no requests.

    If the node is cut off from the coordinator, only a probe can show the recovery.
    """
    groups.record_refusal("a0", "a1", now=1_000)
    assert groups.take_probe(FIRST, now=1_900) is None
    assert groups.take_probe(FIRST, now=2_000) == "a0"
    assert groups.take_probe(FIRST, now=2_100) is None


def test_group_reported_as_down_is_not_probed(groups):
    for now in range(1_000, 4_000, 500):
        groups.update_status(status_of(11, 1, Standing.DOWN, FIRST), now)
        assert groups.take_probe(FIRST, now) is None


def test_forming_since_returns_the_start_of_forming(groups):
    groups.update_status(status_of(11, 1, Standing.DOWN, FIRST), now=100)
    assert groups.forming_since(ALL) is None
    groups.update_status(status_of(11, 1, Standing.FORMS, FIRST), now=400)
    groups.update_status(status_of(11, 1, Standing.FORMS, FIRST), now=700)
    assert groups.forming_since(ALL) == 400
    groups.update_status(status_of(11, 2, Standing.RUNS, FIRST), now=900)
    assert groups.forming_since(ALL) is None


def test_last_status_determines_the_group_of_a_rank(groups):
    groups.update_status(status_of(22, 2, Standing.RUNS, (*SECOND, "a0")), now=10)
    groups.record_refusal("b0", "b1", now=20)
    assert groups.is_down("a0")
    assert not groups.is_down("a1")


def test_requests_go_to_the_running_group():
    pool = Pool()
    pool.set_endpoints(ALL, now=0)
    pool.set_slots(4)
    pool.set_paused(frozenset(FIRST))
    choices = [pool.choose(RouteRequest(), (n / 8, 0.5), now=0) for n in range(8)]
    assert {choice.endpoint for choice in choices} <= set(SECOND)


def test_groups_down_is_the_reason_when_all_groups_are_down():
    pool = Pool()
    pool.set_endpoints(ALL, now=0)
    pool.set_paused(frozenset(ALL))
    refused = pool.choose(RouteRequest(), (0.1, 0.5), now=0)
    assert isinstance(refused, NoneAvailable)
    assert refused.reason is Unavailable.GROUPS_DOWN
    pool.set_paused(frozenset())
    assert isinstance(pool.choose(RouteRequest(), (0.1, 0.5), now=0), Chosen)


def test_two_refusals_with_room_mark_the_group_down(groups):
    """Guards against requests that one rank of a stalled group after another refuses.

    The ranks named themselves as the cause, as full ranks do, so the group was not
    marked as down. In a data centre that was cut off, without reports of a coordinator,
    callers were told to retry after a second, and were refused again each time.
    """
    assert not groups.record_refusal_with_room("a0", now=1_000)
    assert groups.is_suspected("a1")
    assert groups.record_refusal_with_room("a1", now=1_100)
    assert groups.is_down("a0")
    assert not groups.is_down("b0")


@pytest.mark.parametrize(("rank", "now"), [("a0", 1_100), ("a1", 1_700)])
def test_single_refusal_with_room_does_not_mark_the_group_down(groups, rank, now):
    groups.record_refusal_with_room("a0", now=1_000)
    assert not groups.record_refusal_with_room(rank, now)
    assert not groups.is_down("a0")
