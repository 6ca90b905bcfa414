"""Calls to all ranks of a group, also when they are stopped in the middle."""

import gevent

from azurefold.gateway.groups.rank_calls import RankCalls


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
