"""Which ranks get no requests while a group is down, and when they do again."""

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


def news_of(group, epoch, standing, ranks):
    return GroupStatus(1, group, epoch, standing, tuple(map(endpoint_hash, ranks)))


@pytest.fixture
def groups():
    known = RankGroups()
    known.update_status(news_of(11, 1, Standing.RUNS, FIRST), now=0)
    known.update_status(news_of(22, 1, Standing.RUNS, SECOND), now=0)
    return known


def test_a_refusal_puts_its_own_group_out_only(groups):
    """Half of the ranks are idle while callers are refused.

    A rank refused because another one was cut off, and that was taken to be true of
    all groups of the service: no retry went to the group that ran.
    """
    groups.record_refusal("a0", "a1", now=100)
    assert [name for name in ALL if groups.is_down(name)] == ["a0", "a1"]


def test_all_groups_are_down_when_each_of_them_is(groups):
    groups.record_refusal("a0", "a1", now=100)
    groups.record_refusal("b0", "b1", now=300)
    assert all(groups.is_down(name) for name in ALL)


def test_ranks_of_which_nobody_has_told_count_as_one_group():
    groups = RankGroups()
    groups.record_refusal("a0", "a1", now=100)
    assert all(map(groups.is_down, ALL))


def test_an_event_of_a_later_request_shows_that_the_group_runs(groups):
    groups.record_refusal("a0", "a1", now=100)
    assert not groups.record_event("a1", sent_at=90, now=120)
    assert groups.is_down("a1")
    assert groups.record_event("a1", sent_at=110, now=130)
    assert not groups.is_down("a0")


def test_news_of_before_a_refusal_does_not_end_an_outage(groups):
    """Requests go to a group that has just broken, and are refused.

    The coordinator's reports are some hundred milliseconds old, and said that the
    group runs right after a rank had refused.
    """
    groups.record_refusal("a0", "a1", now=1_000)
    groups.update_status(news_of(11, 1, Standing.RUNS, FIRST), now=1_200)
    assert groups.is_down("a0")
    groups.update_status(news_of(11, 1, Standing.RUNS, FIRST), now=1_600)
    assert not groups.is_down("a0")


def test_old_news_of_an_outage_does_not_begin_it_anew(groups):
    """A group that runs again is paused and resumed three times a second.

    Requests were served already while the coordinator still told what the ranks had
    reported before the group had formed.
    """
    groups.record_refusal("a0", "a1", now=1_000)
    assert groups.record_event("a1", sent_at=1_500, now=1_700)
    assert not groups.update_status(news_of(11, 1, Standing.FORMS, FIRST), now=1_900)
    assert not groups.is_down("a0")
    assert groups.update_status(news_of(11, 2, Standing.DOWN, FIRST), now=2_000)


def test_news_of_a_new_epoch_ends_an_outage_at_once(groups):
    groups.record_refusal("a0", "a1", now=1_000)
    groups.update_status(news_of(11, 2, Standing.RUNS, FIRST), now=1_100)
    assert not groups.is_down("a0")


def test_news_of_an_old_epoch_changes_nothing(groups):
    groups.update_status(news_of(11, 3, Standing.RUNS, FIRST), now=10)
    assert not groups.update_status(news_of(11, 2, Standing.DOWN, FIRST), now=20)
    assert not groups.is_down("a0")


def test_a_group_that_nobody_tells_of_is_tried_once_a_second(groups):
    """A group that runs again gets no request for as long as the node is cut off.

    Neither the coordinator nor a request could tell that it runs.
    """
    groups.record_refusal("a0", "a1", now=1_000)
    assert groups.take_probe(FIRST, now=1_900) is None
    assert groups.take_probe(FIRST, now=2_000) == "a0"
    assert groups.take_probe(FIRST, now=2_100) is None


def test_a_group_that_the_coordinator_sees_down_is_not_tried(groups):
    for now in range(1_000, 4_000, 500):
        groups.update_status(news_of(11, 1, Standing.DOWN, FIRST), now)
        assert groups.take_probe(FIRST, now) is None


def test_it_is_known_since_when_a_group_forms(groups):
    groups.update_status(news_of(11, 1, Standing.DOWN, FIRST), now=100)
    assert groups.forming_since(ALL) is None
    groups.update_status(news_of(11, 1, Standing.FORMS, FIRST), now=400)
    groups.update_status(news_of(11, 1, Standing.FORMS, FIRST), now=700)
    assert groups.forming_since(ALL) == 400
    groups.update_status(news_of(11, 2, Standing.RUNS, FIRST), now=900)
    assert groups.forming_since(ALL) is None


def test_a_rank_is_in_the_group_that_was_told_last(groups):
    groups.update_status(news_of(22, 2, Standing.RUNS, (*SECOND, "a0")), now=10)
    groups.record_refusal("b0", "b1", now=20)
    assert groups.is_down("a0")
    assert not groups.is_down("a1")


def test_requests_go_to_the_group_that_runs():
    pool = Pool()
    pool.set_endpoints(ALL, now=0)
    pool.set_slots(4)
    pool.set_paused(frozenset(FIRST))
    chosen = [pool.choose(RouteRequest(), (n / 8, 0.5), now=0) for n in range(8)]
    assert {one.endpoint for one in chosen} <= set(SECOND)


def test_with_all_groups_down_that_is_the_reason():
    pool = Pool()
    pool.set_endpoints(ALL, now=0)
    pool.set_paused(frozenset(ALL))
    refused = pool.choose(RouteRequest(), (0.1, 0.5), now=0)
    assert isinstance(refused, NoneAvailable)
    assert refused.reason is Unavailable.GROUPS_DOWN
    pool.set_paused(frozenset())
    assert isinstance(pool.choose(RouteRequest(), (0.1, 0.5), now=0), Chosen)


def test_two_ranks_that_refuse_with_room_have_their_group_in_common(groups):
    """Requests are refused by one rank after the other of a group that stands still.

    Ranks named themselves as the cause, as full ones do, so nothing put their group
    out. In a data centre that was cut off, where no coordinator told of it, callers
    were sent back after a second each time, and refused again.
    """
    assert not groups.record_refusal_with_room("a0", now=1_000)
    assert groups.is_suspected("a1")
    assert groups.record_refusal_with_room("a1", now=1_100)
    assert groups.is_down("a0")
    assert not groups.is_down("b0")


@pytest.mark.parametrize(("rank", "now"), [("a0", 1_100), ("a1", 1_700)])
def test_one_rank_that_refuses_with_room_is_not_its_group(groups, rank, now):
    groups.record_refusal_with_room("a0", now=1_000)
    assert not groups.record_refusal_with_room(rank, now)
    assert not groups.is_down("a0")
