"""Ranks end a change without a coordinator, and never in two ways."""

from dataclasses import replace

import pytest
from tests.core.groups.world import Kinds, make_world

from azurefold.core.groups.agent import RankAgent
from azurefold.core.groups.messages import Close, Open, Stage
from azurefold.core.groups.phases import Deposed, Idle, Outcome

CLOSE_UNDER_WAY = 4
OPEN_UNDER_WAY = 6
LONG_SILENCE = 1_100


class ForgetsItsPromise(RankAgent):
    """Obeys *open* after a restart, as if nothing had been promised."""

    def _recover(self, now):
        actions = super()._recover(now)
        if self._closed is not None:
            self._closed = replace(
                self._closed, may_open=True, ask_peers_at=now + 1_000
            )
        return actions


class PromisesWithoutTrace(RankAgent):
    """Promises about a change it is not closed by, and stores nothing."""

    def _on_ask(self, ask):
        if self._closed is None and self._engine.entry_of(ask.number) is None:
            return [self._promised(ask)]
        return super()._on_ask(ask)


def begin_change(rounds, *, honours_fence=True, kinds=None):
    world = make_world(honours_fence=honours_fence, kinds=kinds)
    world.change("m1")
    world.deliver_all(rounds)
    return world


def take(world, kind, rank):
    """Remove and return the message of ``kind`` under way to ``rank``."""
    found = [
        envelope
        for envelope in world.network
        if isinstance(envelope.message, kind) and getattr(envelope, "rank", -1) == rank
    ]
    world.network.remove(found[0])
    return found[0]


def used_after(world, duration=2_000):
    """Return the maps of the last step after a run on a sound network."""
    before = world.group.next_step
    world.run(duration)
    world.check()
    assert world.group.next_step > before, "the group stands still"
    return set(world.group.history[-1].maps)


def test_one_rank_that_saw_the_open_brings_the_others_along():
    # Symptom: a group stands still after its coordinator's death.
    # Sequence: all agree, rank 0 gets the open, the coordinator dies.
    # Cause: ranks 1 and 2 never hear of the open unless they ask.
    world = begin_change(OPEN_UNDER_WAY)
    envelope = take(world, Open, rank=0)
    world.network = [envelope]
    world.deliver_all()
    world.kill_coordinators()
    assert used_after(world) == {"m1"}


def test_the_old_map_is_reopened_when_no_rank_saw_the_open():
    world = begin_change(OPEN_UNDER_WAY)
    world.network.clear()
    world.kill_coordinators()
    assert used_after(world) == {"m0"}


def test_a_restarted_agent_learns_the_outcome_from_a_peer():
    world = begin_change(OPEN_UNDER_WAY)
    world.network = [take(world, Open, rank=0)]
    world.deliver_all()
    world.kill_coordinators()
    world.restart_agent(1)
    assert used_after(world) == {"m1"}


def late_open_after_a_lost_promise(kinds):
    # Symptom: one rank uses the new map, the others the old one.
    # Sequence: all agree; the open is late; the ranks promise; rank 0's agent
    # restarts; the others reopen; the open arrives at rank 0.
    # Cause: the restarted agent has forgotten its promise.
    world = begin_change(OPEN_UNDER_WAY, kinds=kinds)
    late = take(world, Open, rank=0)
    world.network.clear()
    world.kill_coordinators()
    world.tick(LONG_SILENCE)
    world.deliver_all(1)
    world.restart_agent(0)
    world.deliver_all(2, skip={0})
    world.network = [late]
    world.deliver_all()
    world.group.advance(10)
    return world


def test_a_restarted_agent_refuses_the_open_that_it_may_have_promised_to_refuse():
    world = late_open_after_a_lost_promise(Kinds())
    world.check()
    assert used_after(world) == {"m0"}


def test_forgetting_a_promise_is_caught():
    world = late_open_after_a_lost_promise(Kinds(agent=ForgetsItsPromise))
    with pytest.raises(AssertionError, match="different maps"):
        world.check()


def late_close_after_a_lost_promise(kinds):
    # Symptom: one rank uses the new map, the others the old one.
    # Sequence: rank 0's close is late; the coordinator pauses; the others ask;
    # rank 0 promises and its agent restarts; the others reopen; the close
    # arrives, rank 0 agrees, and the coordinator wakes with every agreement.
    # Cause: a promise that left no trace in the engine.
    world = begin_change(CLOSE_UNDER_WAY, kinds=kinds)
    late = take(world, Close, rank=0)
    world.deliver_all(2)
    world.pause()
    world.tick(LONG_SILENCE)
    world.deliver_all(1)
    world.restart_agent(0)
    world.deliver_all(2, skip={0})
    world.network = [late]
    world.deliver_all()
    world.resume()
    world.deliver_all(3)
    world.group.advance(10)
    return world


def test_a_promise_outlives_the_agent_that_gave_it():
    world = late_close_after_a_lost_promise(Kinds())
    world.check()
    assert used_after(world) == {"m0"}


def test_a_promise_without_trace_is_caught():
    world = late_close_after_a_lost_promise(Kinds(agent=PromisesWithoutTrace))
    with pytest.raises(AssertionError, match="different maps"):
        world.check()


@pytest.mark.parametrize("honours_fence", [True, False])
def test_a_coordinator_that_wakes_after_its_lease_changes_nothing(honours_fence):
    # Symptom: two coordinators drive one group.
    # Sequence: all agree; the coordinator pauses past its lease; a successor
    # recovers the group; the first wakes and sends its opens.
    # Cause: the first still believes that it holds the lease.
    world = begin_change(CLOSE_UNDER_WAY, honours_fence=honours_fence)
    world.pause()
    first = world.coordinators[world.fence]
    world.take_over()
    world.run(500)
    world.resume()
    assert used_after(world, 1_000) == {"m0"}
    assert isinstance(first.phase, Deposed)
    assert world.coordinators[world.fence].outcome is Outcome.RECOVERED


def test_a_replaced_rank_is_let_in_by_the_coordinator_only():
    world = make_world()
    world.run(100)
    world.replace_rank(1)
    assert world.group.advance(5) == 0
    world.kill_coordinators()
    world.run(2_000)
    assert world.group.advance(5) == 0
    world.take_over()
    assert used_after(world) == {"m0"}
    assert isinstance(world.coordinators[world.fence].phase, Idle)


def test_an_open_for_the_replaced_incarnation_is_refused():
    # Symptom: a fresh rank uses a map that the others have left.
    # Sequence: a rank agrees and is replaced; late copies of stage, close and
    # open, meant for its predecessor, arrive.
    # Cause: nothing but the incarnation tells the two apart.
    world = make_world()
    world.replace_rank(0)
    world.tick(LONG_SILENCE)
    world.deliver_all(OPEN_UNDER_WAY)
    late = take(world, Open, rank=0)
    world.replace_rank(0)
    number = late.message.number
    for message in (Stage(1, "m0"), Close(number, None, "m0"), late.message):
        world.network = [replace(late, message=message)]
        world.deliver_all()
    assert world.agents[0].closed_change is not None
    assert world.group.state(0).plan == ()
