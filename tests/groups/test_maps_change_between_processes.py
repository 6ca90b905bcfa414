"""All ranks use one expert map in each step, whatever happens to processes.

Each test leaves the group whole for the next one. None of them depends on how
fast the machine is: they wait for what must come to pass, and compare the maps of
all ranks in all steps executed since the group's start.
"""

import itertools
import json
import signal

import pytest

from azurefold.core.groups.messages import (
    Close,
    Open,
    Query,
    Reopen,
    Superseded,
)
from azurefold.core.groups.order_numbers import fence_of, order_number
from azurefold_standins.operator import fetch
from azurefold_standins.processes import wait_until

pytestmark = pytest.mark.scenario

_numbers = itertools.count(1)


@pytest.fixture
def map_id():
    """A map that the group has never used."""
    return f"map-{next(_numbers)}"


def assert_one_map_in_each_step(group):
    steps = group.steps()
    assert [step for step, _ in steps] == list(range(len(steps)))
    assert [maps for _, maps in steps if len(set(maps)) != 1] == []


def assert_whole(group, map_id):
    """Steps go on, all of them with one map, and changes come through."""
    group.go_on()
    group.change(map_id)
    group.go_on()
    assert_one_map_in_each_step(group)


def begin_and_stop(group, name_of):
    """Stop a process in the middle of a change, after ranks have been closed.

    The last rank is late with its hold, so the change cannot be opened. Where the
    process was stopped too late, which a busy machine may do, it is tried again.
    """
    group.late_with(3, "HoldBefore", 1_000)
    process = None
    while process is None:
        process = _try_to_stop(group, name_of)
    group.late_with(3, "HoldBefore", 0)
    return process


def _try_to_stop(group, name_of):
    wait_until(group.is_idle, "the group is idle")
    process = group.site.processes[name_of()]
    if not group.order(f"lost-{next(_numbers)}").begun:
        return None
    wait_until(lambda: is_held(group) or group.is_idle(), "rank 0 is held")
    process.send(signal.SIGSTOP)
    if is_held(group):
        return process
    process.send(signal.SIGCONT)
    return None


def is_held(group):
    return group.state(0)["hold"] is not None


def tail_of(group, rank):
    return group.state(rank)["plan"][-1]


def free_of_holds(group):
    return all(group.state(rank)["hold"] is None for rank in range(4))


def test_a_change_is_in_force_on_all_ranks_from_one_step_on(group, map_id):
    group.change(map_id)
    group.go_on()
    assert_one_map_in_each_step(group)
    assert group.steps()[-1][1] == [map_id] * 4


@pytest.mark.parametrize("group", [True], indirect=True, ids=["fenced"])
def test_ranks_end_a_change_whose_coordinator_was_killed(group, map_id):
    """Symptom: a group that stands still until somebody restarts it.

    The coordinator closes a change at some ranks and is killed before it can
    open or reopen it, and so is the only process that could follow it. The ranks
    ask each other, find that none has opened it and go on with the old map.
    """
    process = begin_and_stop(group, group.holder)
    number = group.state(0)["hold_number"]
    for control in group.site.controls:
        group.site.processes[control].kill()
    wait_until(lambda: free_of_holds(group), "the ranks end the change")
    assert {tail_of(group, rank)["number"] for rank in range(4)} == {number}
    group.go_on()
    for control in group.site.controls:
        group.site.processes[control].start()
    wait_until(group.is_idle, "a coordinator takes over")
    assert group.seen_by(group.holder())["fence"] > fence_of(number)
    assert process.running
    assert_whole(group, map_id)


def test_a_coordinator_that_wakes_after_its_lease_changes_nothing(group, map_id):
    """Symptom: some ranks on a map that the others have left.

    A coordinator is paused between close and open for longer than its lease. Its
    successor changes the map. Then it wakes, and messages that it had sent before
    arrive late.
    """
    process = begin_and_stop(group, group.holder)
    number = group.state(0)["hold_number"]
    (other,) = set(group.site.controls) - {process.name}
    wait_until(lambda: group.seen_by(other).get("fence"), "a successor")
    group.change(map_id)
    process.send(signal.SIGCONT)
    wait_until(lambda: group.seen_by(process.name).get("fence", 0) is None, "it knows")
    for rank in range(4):
        for message in late_messages(group, rank, number):
            (answer,) = group.send(rank, message)
            assert isinstance(answer, Superseded)
            assert answer.fence > fence_of(number)
    assert {tail_of(group, rank)["map_id"] for rank in range(4)} == {map_id}
    assert_whole(group, f"{map_id}-later")


def late_messages(group, rank, number):
    """Return what the coordinator of change ``number`` may still have sent."""
    state, fence = group.state(rank), fence_of(number)
    step, incarnation = state["next_step"] + 1_000, state["incarnation"]
    another = order_number(fence, 2**19)
    return (
        Query(fence, 1),
        Close(another, step, "m0"),
        Open(another, step, "m0", incarnation),
        Open(number, step, "m0", incarnation),
        Reopen(number),
    )


def test_an_agent_killed_in_the_middle_of_a_change_finds_its_way_back(group, map_id):
    """Symptom: a rank that opens a change which its peers have given up.

    The agent of a rank that agreed to a close is killed and forgets. Its engine
    still holds, so its successor knows the change and obeys no late open.
    """
    agent = begin_and_stop(group, lambda: group.agent(0))
    agent.kill()
    agent.start()
    assert_whole(group, map_id)


def test_a_replaced_rank_is_let_in_by_the_coordinator(group, map_id):
    """Symptom: a fresh rank without a map, and a group that stands still."""
    group.change(map_id)
    incarnation = group.state(2)["incarnation"]
    fetch(group.engine(2), "/replace", "POST")
    assert group.state(2)["incarnation"] > incarnation
    group.go_on()
    assert group.steps()[-1][1] == [map_id] * 4
    assert_whole(group, f"{map_id}-later")


def test_steps_go_on_while_the_platform_is_down(group, map_id):
    """Symptom: a group that stops because the platform does.

    The platform goes down during a change. What the ranks have agreed on ends,
    steps go on, and further changes are refused once the lease has run out.
    """
    wait_until(group.is_idle, "the group is idle")
    group.order(map_id)
    set_platform(group, "down")
    wait_until(lambda: group.holder() is None, "the lease has run out")
    wait_until(lambda: free_of_holds(group), "the ranks end what was closed")
    group.go_on()
    assert not group.order(f"{map_id}-refused").begun
    set_platform(group, "ok")
    wait_until(group.is_idle, "the group is coordinated again")
    assert_whole(group, f"{map_id}-later")


@pytest.mark.parametrize("group", [True], indirect=True, ids=["fenced"])
def test_renewals_whose_answers_are_lost_are_read_back(group, map_id):
    """Symptom: a group without a coordinator though the table names one.

    Renewals of the lease take effect, their answers are lost.
    """
    wait_until(group.is_idle, "the group is idle")
    set_platform(group, "lose_answers", count=2)
    wait_until(lambda: platform_mode(group) == "ok", "two answers are lost")
    wait_until(group.is_idle, "the group is coordinated")
    assert_whole(group, map_id)


def platform_mode(group):
    address = group.site.address("platform", "http")
    return json.loads(fetch(address, "/faults").body)["mode"]


def set_platform(group, mode, count=None):
    address = group.site.address("platform", "http")
    body = json.dumps({"mode": mode, "count": count}).encode()
    assert fetch(address, "/faults", "PUT", body).status == 200
