"""Calls to all ranks of a group, also when they are stopped in the middle."""

import gevent
from tests.gateway.rank_world import SERVICE, RankWorld

from azurefold.gateway.groups.rank_calls import RankCalls
from azurefold.gateway.groups.view import GroupView
from azurefold.gateway.groups.watch import ServiceWatch
from azurefold.platform.ranks import RankReport

MANY = 100


def test_a_call_that_is_stopped_has_no_answer():
    """A coordinator's loop fails when another node takes over while it asks.

    The calls under way were stopped, and what stopped them was taken for the
    ranks' reports.
    """
    calls = RankCalls()
    asked = gevent.spawn(calls.ask_all, [1, 2], lambda client: gevent.sleep(5))
    gevent.sleep(0.05)
    calls.close()
    assert asked.get(timeout=2) == [None, None]


def test_answers_come_in_the_order_of_the_clients():
    assert RankCalls().ask_all([3, 1, 2], lambda client: 10 * client) == [30, 10, 20]


def test_calls_may_submit_calls_while_all_places_are_taken():
    """Calls that wait for a free place hold all places."""
    calls, made = RankCalls(), []

    def call(number):
        gevent.sleep(0.01)
        calls.submit(lambda: made.append(number))

    for number in range(MANY):
        calls.submit(lambda number=number: call(number))
    gevent.sleep(0.5)
    assert sorted(made) == list(range(MANY))


def test_a_call_submitted_as_the_last_one_ends_is_made():
    """A call waits for the next one because its greenlet was just ending."""
    calls, made = RankCalls(), []
    calls.submit(lambda: made.append("first"))
    gevent.sleep(0)
    calls.submit(lambda: made.append("second"))
    gevent.sleep(0.05)
    assert made == ["first", "second"]


def test_orders_go_before_questions():
    calls, made = RankCalls(), []
    for _ in range(MANY):
        calls.submit(lambda: (gevent.sleep(0.01), made.append("question")))
    calls.submit(lambda: made.append("order"), is_order=True)
    gevent.sleep(0.5)
    assert made.index("order") < MANY / 2


def test_a_call_that_fails_stops_no_other():
    calls = RankCalls()
    asked = calls.ask_all([1, 0, 2], lambda client: 10 // client)
    assert asked == [10, None, 5]


def test_a_look_judges_each_group_once(monkeypatch):
    """The time of a look grows with the square of the ranks: it takes half a core."""
    world = RankWorld(size=72)
    state = world.fleet[0].coordinator.state
    watch = ServiceWatch(state, state.services[SERVICE])
    for rank in range(world.size):
        report = RankReport("group", world.size, world.group.view(rank))
        watch.take_report(f"{world.name}-{rank}", report, state.clock.now())
    judged = []
    is_whole = GroupView.is_whole.fget
    counted = property(lambda view: judged.append(view) or is_whole(view))
    monkeypatch.setattr(GroupView, "is_whole", counted)
    watch.look_at_due()
    assert len(judged) == 1
