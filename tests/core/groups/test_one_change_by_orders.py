"""One change of a map by orders from afar, in chosen circumstances."""

from dataclasses import replace

from tests.core.groups.rank_model import OrderWorld

from azurefold.core.groups import map_change
from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import (
    Arm,
    ChangeEnd,
    ChangeFinished,
    Hold,
    SendOrder,
    Verdict,
)
from azurefold.core.groups.resumed_change import can_resume
from azurefold_standins.order_ranks import ModelGroup

SIZE = 3


def test_a_coordinator_that_dies_with_the_group_held_is_succeeded():
    """The group stands still for good although all its ranks are sound.

    The coordinator had the group held before a pass and died before it released
    it. A hold does not expire, and a successor that looks only at maps and
    popularity never learns of it.
    """
    world = OrderWorld(ModelGroup(SIZE))
    world.lose = {2: "late"}
    world.begin()
    world.lose = {}
    for _ in range(12):
        world.tick(120)
        world.group.begin_pass()
        if world.change is not None and world.change.phase == "holding":
            break
    for _ in range(20):
        if any(rank.held for rank in world.group.ranks):
            break
        world.tick(60)
    assert any(rank.held for rank in world.group.ranks) or world.ends
    world.kill_coordinator()
    for _ in range(20):
        world.take_over()
        world.tick(60)
        world.group.begin_pass()
    assert not any(rank.held for rank in world.group.ranks)
    assert world.group.split_at is None


def test_a_hold_with_no_rank_armed_is_released_at_its_pass_only():
    """Two ranks run one pass under two maps.

    A holder stood still between the hold and its orders to arm. A successor saw a
    hold and no rank armed, and released it with the pass still ahead. The holder
    woke and armed the ranks one after the other, and the pass began in between.
    """
    group = ModelGroup(SIZE)
    group.ranks[0].take(Hold(group.step + 3), group.step)
    views = [group.view(rank) for rank in range(SIZE)]
    assert not can_resume(views)
    while group.begin_pass():
        pass
    assert can_resume([group.view(rank) for rank in range(SIZE)])


def test_a_hold_with_a_rank_armed_is_taken_up_at_once():
    group = ModelGroup(SIZE)
    group.ranks[1].take(map_change.Prepare(1), group.step)
    group.ranks[0].take(Hold(group.step + 3), group.step)
    group.ranks[1].take(Arm(1, group.step + 3), group.step)
    assert can_resume([group.view(rank) for rank in range(SIZE)])


def test_lost_orders_to_prepare_move_the_pass_further_ahead():
    """All streams of a group are late by 0.4 s after each change of its map.

    One order in ten got no answer. Of 72 ranks seven had to be told again to be
    armed, and some of them once more, while the group stood before the pass.
    """
    steps = []
    for verdict in (Verdict.ACCEPTED, Verdict.LOST):
        change = MapChange(1, epoch=1, size=1)
        [prepare] = change.start(50.0, now=0)
        change.record_pass_start(10, now=0)
        change.on_verdict(0, prepare.order, verdict, now=5)
        prepared = replace(ModelGroup(1).view(0), prepared=1)
        [hold] = change.on_report(prepared, now=10)
        steps.append(hold.order.step)
    assert steps[1] >= steps[0] + change.policy.lossy_lead_time // 50


def test_a_calm_change_is_in_force_without_a_wait():
    world = OrderWorld(ModelGroup(SIZE))
    world.begin()
    waited = 0
    while not world.ends:
        before = world.group.step
        world.tick(50)
        world.group.begin_pass()
        waited += world.group.step == before
    assert world.ends == [ChangeEnd.IN_EFFECT]
    assert waited == 0


def test_a_hold_that_comes_too_late_is_tried_further_ahead():
    change = MapChange(1, epoch=1, size=1)
    change.start(50.0, now=0)
    change.record_pass_start(10, now=0)
    view = ModelGroup(1).view(0)
    prepared = replace(view, prepared=1)
    [first] = change.on_report(prepared, now=10)
    [second] = change.on_verdict(0, first.order, Verdict.REFUSED, now=20)
    assert isinstance(second.order, Hold)
    assert second.order.step > first.order.step


def test_a_rank_that_cannot_be_armed_has_the_others_disarmed():
    """The group stays held, or runs under two maps, when one rank refuses.

    One rank has lost what it prepared; the others are armed already. The change
    is taken back on all of them before the hold ends.
    """
    world = OrderWorld(ModelGroup(SIZE))
    world.begin()
    while world.change.phase == "preparing":
        world.group.ranks[1].take(map_change.Prepare(1), world.group.step)
        if all(rank.prepared for rank in world.group.ranks):
            world.group.ranks[1].prepared = None
            for rank in (0, 2):
                world.act(world.change.on_report(world.group.view(rank), world.now))
            lost = replace(world.group.view(1), prepared=1)
            world.act(world.change.on_report(lost, world.now))
            break
        world.tick(50)
    for _ in range(20):
        world.tick(60)
        world.group.begin_pass()
    assert world.ends == [ChangeEnd.ROLLED_BACK]
    assert {rank.version for rank in world.group.ranks} == {0}


def test_a_group_that_forms_anew_ends_the_change():
    world = OrderWorld(ModelGroup(SIZE))
    world.lose = {0: "late"}
    world.begin()
    world.group.form_anew()
    world.tick(130)
    assert world.ends == [ChangeEnd.NEW_EPOCH]


def test_a_rank_out_of_reach_is_left_to_a_successor():
    """One coordinator cannot reach one rank, and all ranks stand still for it.

    The hold is in place and all but one are armed. Whether the last one is can
    not be told, so nothing may be released; another node may reach it.
    """
    change = MapChange(1, epoch=1, size=2)
    change.start(50.0, now=0)
    change.record_pass_start(10, now=0)
    group = ModelGroup(2)
    views = [replace(group.view(rank), prepared=1) for rank in range(2)]
    assert change.on_report(views[0], now=5) == []
    [hold] = change.on_report(views[1], now=5)
    arms = change.on_verdict(hold.rank, hold.order, Verdict.ACCEPTED, now=10)
    assert [type(action) for action in arms] == [SendOrder, SendOrder]
    change.on_verdict(0, arms[0].order, Verdict.ACCEPTED, now=15)
    now = 10
    while now < 10 + change.policy.hold_timeout:
        actions = change.tick(now)
        assert not any(isinstance(action, ChangeFinished) for action in actions)
        for action in actions:
            change.on_verdict(action.rank, action.order, Verdict.LOST, now)
        now += 100
    assert change.tick(now) == [ChangeFinished(ChangeEnd.STUCK)]
