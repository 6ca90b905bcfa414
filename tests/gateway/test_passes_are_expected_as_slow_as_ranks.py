"""A change looks ahead by passes as slow as the ranks have become."""

import dataclasses

import pytest

from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import Hold, RankView, change_policy
from azurefold.core.groups.samples import SampledPopularity
from azurefold.gateway.group_view import GroupView

RANKS = 16


@pytest.fixture
def view():
    made = GroupView("ranks", RANKS, SampledPopularity(900), pass_ms=64.0)
    for rank in range(RANKS):
        made.reported(f"e{rank}", RankView(rank, 1, True, 280), now=1_000)
    return made


def step_of_the_hold(view):
    change = MapChange(7, 1, RANKS, change_policy(RANKS))
    change.stepped(280, now=1_000)
    change.begin(view.expected_pass_ms, now=1_000)
    actions = []
    for each in view.views.values():
        prepared = dataclasses.replace(each, prepared=7)
        actions += change.reported(prepared, now=1_300)
    [hold] = [action.order for action in actions if isinstance(action.order, Hold)]
    return hold.step


def test_sound_ranks_leave_the_time_of_a_pass_as_measured(view):
    assert view.expected_pass_ms == 64.0
    assert step_of_the_hold(view) >= 280 + 8


def test_a_rank_that_turned_slow_brings_the_pass_nearer(view):
    """A map for slow ranks is ready, and the group goes on with the old one for 7 s.

    Two ranks in five turned twelve times slower. The change chose a pass half a
    second ahead by the time of passes before, and these were now 0.9 s each.
    """
    slow = dataclasses.replace(view.views[3], pace=12.0)
    view.reported("e3", slow, now=1_010)
    assert step_of_the_hold(view) <= 280 + 3
