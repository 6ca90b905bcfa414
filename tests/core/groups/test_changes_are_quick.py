"""A map is in force as soon as its weights are loaded; a hold stands for moments."""

import pytest

from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import (
    Arm,
    Disarm,
    Hold,
    Prepare,
    Release,
    RequestReport,
    SendOrder,
    Verdict,
    make_change_policy,
)
from azurefold_standins.order_ranks import ModelGroup

SIZE = 3


def begun_change(group, load_ms):
    """Return a change whose ranks have all taken the order to prepare."""
    change = MapChange(1, epoch=1, size=group.size)
    change.record_pass_start(group.step, now=0)
    for action in change.start(50.0, now=0, load_ms=load_ms):
        verdict = group.ranks[action.rank].take(action.order, group.step)
        change.on_verdict(action.rank, action.order, verdict, now=5)
    return change


def test_the_pass_is_chosen_while_ranks_still_load():
    """A map is in force a second after popularity has jumped, for half of its life.

    Ranks report that they have loaded a map 0.2 s late, and only then was a pass
    chosen, which lay 0.36 s ahead. How long loading takes follows from its size.
    """
    group = ModelGroup(SIZE)
    change = begun_change(group, load_ms=300)
    lead = change.policy.lead_time
    assert change.tick(300 - lead - 50) == []
    [hold] = change.tick(305 - lead)
    assert hold.order.step == group.step + -(-305 // 50)


def test_ranks_are_armed_when_they_should_have_loaded():
    group = ModelGroup(SIZE)
    change = begun_change(group, load_ms=300)
    [hold] = change.tick(290)
    assert change.on_verdict(hold.rank, hold.order, Verdict.ACCEPTED, now=295) == []
    assert change.tick(300) == []
    arms = change.tick(305)
    assert [type(action.order) for action in arms] == [Arm] * SIZE


def test_a_rank_that_loads_a_little_longer_is_armed_a_little_later():
    """Weights are loaded for nothing, and the map stays a bad one.

    One rank needed 30 ms longer than its link's speed let expect, refused to be
    armed, and the whole change was taken back.
    """
    group = ModelGroup(SIZE)
    group.ranks[1].is_slow = True
    change = begun_change(group, load_ms=300)
    [hold] = change.tick(290)
    change.on_verdict(hold.rank, hold.order, Verdict.ACCEPTED, now=295)
    for action in change.tick(305):
        verdict = group.ranks[action.rank].take(action.order, group.step)
        change.on_verdict(action.rank, action.order, verdict, now=306)
    group.ranks[1].loaded()
    [again] = change.tick(340)
    assert (again.rank, type(again.order)) == (1, Arm)
    [release] = change.on_verdict(1, again.order, Verdict.ACCEPTED, now=342)
    assert release.order == Release(hold.order.step)


def test_a_rank_that_loads_for_much_longer_has_the_change_taken_back():
    """Two ranks run one pass under two maps.

    The group was held for a rank that went on loading. Another coordinator saw a
    hold and no rank armed for long enough, and released it just as the first one
    had the other ranks armed.
    """
    group = ModelGroup(SIZE)
    for rank in group.ranks:
        rank.is_slow = True
    change = begun_change(group, load_ms=300)
    [hold] = change.tick(290)
    change.on_verdict(hold.rank, hold.order, Verdict.ACCEPTED, now=295)
    late = 295 + change.policy.arm_timeout
    refused = [
        each
        for arm in change.tick(late)
        for each in change.on_verdict(arm.rank, arm.order, Verdict.REFUSED, now=late)
    ]
    assert {type(action.order) for action in refused[:SIZE]} == {Disarm}


def test_a_lost_order_to_prepare_is_found_out_by_reports():
    group = ModelGroup(SIZE)
    change = MapChange(1, epoch=1, size=SIZE)
    change.record_pass_start(group.step, now=0)
    for action in change.start(50.0, now=0, load_ms=100):
        verdict = Verdict.LOST if action.rank == 2 else Verdict.ACCEPTED
        change.on_verdict(action.rank, action.order, verdict, now=5)
    actions = change.tick(200)
    assert not any(getattr(each, "order", None) == Hold for each in actions)
    assert any(isinstance(action, RequestReport) for action in actions)


@pytest.mark.parametrize("size", [32, 192, 384])
def test_a_lost_order_to_prepare_is_repeated_as_soon_as_an_answer_is_overdue(size):
    """Guards against maps that wait most of a second for one rank's lost answer."""
    answering_ms, load_ms = 40, 100
    policy = make_change_policy(size, answering_ms=answering_ms)
    change = MapChange(1, epoch=1, size=size, policy=policy)
    lost_at = policy.prepare_retry_interval
    for action in change.start(50.0, now=0, load_ms=load_ms):
        is_lost = action.rank == 0
        verdict = Verdict.LOST if is_lost else Verdict.ACCEPTED
        now = lost_at if is_lost else answering_ms
        change.on_verdict(action.rank, action.order, verdict, now)
    repeats = [
        action for action in change.tick(lost_at) if isinstance(action, SendOrder)
    ]
    assert [(action.rank, action.order) for action in repeats] == [(0, Prepare(1))]
    # Refused, as the first order was carried out.
    change.on_verdict(0, Prepare(1), Verdict.REFUSED, now=lost_at + 5)
    change.tick(lost_at + 5 + load_ms)
    assert change.phase == "holding"
    assert lost_at + 5 <= 5 * answering_ms


def test_a_rank_that_refuses_the_first_order_to_prepare_is_not_taken_to_load():
    change = MapChange(1, epoch=1, size=SIZE)
    for action in change.start(50.0, now=0, load_ms=100):
        verdict = Verdict.REFUSED if action.rank == 2 else Verdict.ACCEPTED
        change.on_verdict(action.rank, action.order, verdict, now=5)
    change.tick(390)
    assert change.phase == "preparing"


def test_a_group_without_requests_is_not_armed_for_a_pass_far_away():
    """A group's map is never changed again, and half of all streams are late.

    The last pass that was known lay minutes back. By the usual length of a pass
    thousands would have begun since, and the group was armed for the next of them.
    """
    change = MapChange(1, epoch=1, size=1)
    change.start(50.0, now=100_000, load_ms=0)
    change.record_pass_start(3, now=0)
    change.on_verdict(0, Prepare(1), Verdict.ACCEPTED, now=100_005)
    [hold] = change.tick(100_010)
    assert hold.order.step < 3 + 50
