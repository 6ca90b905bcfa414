"""A map takes effect as soon as its weights are loaded, and holds are short."""

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


def start_prepared_change(group, load_ms):
    """Return a change in which all ranks have accepted the order to prepare."""
    change = MapChange(1, epoch=1, size=group.size)
    change.record_pass_start(group.step, now=0)
    for action in change.start(50.0, now=0, load_ms=load_ms):
        verdict = group.ranks[action.rank].take(action.order, group.step)
        change.on_verdict(action.rank, action.order, verdict, now=5)
    return change


def test_the_pass_is_chosen_while_ranks_still_load():
    """Guards against maps that take effect a second after a popularity jump.

    That was half of the time for which a map is useful. The pass, 0.36 s ahead, was
    chosen only after the reports of the ranks, which arrive 0.2 s after loading. The
    load time can be computed from the size of the weights instead.
    """
    group = ModelGroup(SIZE)
    change = start_prepared_change(group, load_ms=300)
    lead = change.policy.lead_time
    assert change.tick(300 - lead - 50) == []
    [hold] = change.tick(305 - lead)
    assert hold.order.step == group.step + -(-305 // 50)


def test_ranks_are_armed_after_the_expected_load_time():
    group = ModelGroup(SIZE)
    change = start_prepared_change(group, load_ms=300)
    [hold] = change.tick(290)
    assert change.on_verdict(hold.rank, hold.order, Verdict.ACCEPTED, now=295) == []
    assert change.tick(300) == []
    arms = change.tick(305)
    assert [type(action.order) for action in arms] == [Arm] * SIZE


def test_a_rank_that_loads_slightly_longer_is_armed_on_retry():
    """Guards against a rollback because of one slightly slower rank.

    The rank needed 30 ms longer than computed from the speed of its link and refused
    to be armed. After the rollback the weights had been loaded for nothing, and the
    unsuitable map stayed in use.
    """
    group = ModelGroup(SIZE)
    group.ranks[1].is_slow = True
    change = start_prepared_change(group, load_ms=300)
    [hold] = change.tick(290)
    change.on_verdict(hold.rank, hold.order, Verdict.ACCEPTED, now=295)
    for action in change.tick(305):
        verdict = group.ranks[action.rank].take(action.order, group.step)
        change.on_verdict(action.rank, action.order, verdict, now=306)
    group.ranks[1].loaded()
    [retry] = change.tick(340)
    assert (retry.rank, type(retry.order)) == (1, Arm)
    [release] = change.on_verdict(1, retry.order, Verdict.ACCEPTED, now=342)
    assert release.order == Release(hold.order.step)


def test_a_change_is_rolled_back_if_a_rank_loads_too_long():
    """Guards against two ranks that run one pass under two maps.

    The group was held while a rank was still loading. Another coordinator saw a hold
    without armed ranks for its whole timeout and released it at the moment when the
    first coordinator armed the other ranks.
    """
    group = ModelGroup(SIZE)
    for rank in group.ranks:
        rank.is_slow = True
    change = start_prepared_change(group, load_ms=300)
    [hold] = change.tick(290)
    change.on_verdict(hold.rank, hold.order, Verdict.ACCEPTED, now=295)
    timeout_at = 295 + change.policy.arm_timeout
    actions_after_refusal = [
        action
        for arm in change.tick(timeout_at)
        for action in change.on_verdict(
            arm.rank, arm.order, Verdict.REFUSED, now=timeout_at
        )
    ]
    assert {type(action.order) for action in actions_after_refusal[:SIZE]} == {Disarm}


def test_reports_are_requested_after_a_lost_prepare_order():
    group = ModelGroup(SIZE)
    change = MapChange(1, epoch=1, size=SIZE)
    change.record_pass_start(group.step, now=0)
    for action in change.start(50.0, now=0, load_ms=100):
        verdict = Verdict.LOST if action.rank == 2 else Verdict.ACCEPTED
        change.on_verdict(action.rank, action.order, verdict, now=5)
    actions = change.tick(200)
    assert not any(getattr(action, "order", None) == Hold for action in actions)
    assert any(isinstance(action, RequestReport) for action in actions)


@pytest.mark.parametrize("size", [32, 192, 384])
def test_a_lost_prepare_order_is_resent_after_the_answer_timeout(size):
    """Guards against a delay of most of a second after one lost answer."""
    answering_ms, load_ms = 40, 100
    policy = make_change_policy(size, answering_ms=answering_ms)
    change = MapChange(1, epoch=1, size=size, policy=policy)
    lost_at = policy.prepare_retry_interval
    for action in change.start(50.0, now=0, load_ms=load_ms):
        is_lost = action.rank == 0
        verdict = Verdict.LOST if is_lost else Verdict.ACCEPTED
        now = lost_at if is_lost else answering_ms
        change.on_verdict(action.rank, action.order, verdict, now)
    retries = [
        action for action in change.tick(lost_at) if isinstance(action, SendOrder)
    ]
    assert [(action.rank, action.order) for action in retries] == [(0, Prepare(1))]
    # Refused because the first order was carried out.
    change.on_verdict(0, Prepare(1), Verdict.REFUSED, now=lost_at + 5)
    change.tick(lost_at + 5 + load_ms)
    assert change.phase == "holding"
    assert lost_at + 5 <= 5 * answering_ms


def test_a_rank_that_refuses_its_first_prepare_order_is_not_loading():
    change = MapChange(1, epoch=1, size=SIZE)
    for action in change.start(50.0, now=0, load_ms=100):
        verdict = Verdict.REFUSED if action.rank == 2 else Verdict.ACCEPTED
        change.on_verdict(action.rank, action.order, verdict, now=5)
    change.tick(390)
    assert change.phase == "preparing"


def test_an_idle_group_is_not_armed_for_a_distant_pass():
    """Guards against a group whose map never changes again.

    The last known pass was minutes old. Extrapolated with the usual pass time,
    thousands of passes would have started since, and the group was armed for the next
    of them. Half of all streams were delayed by the outdated map.
    """
    change = MapChange(1, epoch=1, size=1)
    change.start(50.0, now=100_000, load_ms=0)
    change.record_pass_start(3, now=0)
    change.on_verdict(0, Prepare(1), Verdict.ACCEPTED, now=100_005)
    [hold] = change.tick(100_010)
    assert hold.order.step < 3 + 50
