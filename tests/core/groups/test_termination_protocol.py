"""Ranks end a change without a coordinator, and all in the same way."""

from dataclasses import replace

import pytest
from tests.core.groups.simulated_group import Implementations, make_simulated_group

from azurefold.core.groups.agent import RankAgent
from azurefold.core.groups.messages import Close, Open, Stage
from azurefold.core.groups.phases import Deposed, Idle, Outcome

ROUNDS_UNTIL_CLOSE = 4
"""Delivery rounds after which the closes are in transit."""

ROUNDS_UNTIL_OPEN = 6
"""Delivery rounds after which the opens are in transit."""

AFTER_COORDINATOR_TIMEOUT_MS = 1_100


class ForgetsPromise(RankAgent):
    """Accepts *open* after a restart, as if nothing had been promised."""

    def _restore_from_engine(self, now):
        actions = super()._restore_from_engine(now)
        if self._closed_change is not None:
            self._closed_change = replace(
                self._closed_change, can_open=True, ask_peers_at=now + 1_000
            )
        return actions


class PromisesWithoutHold(RankAgent):
    """Promises for a change that does not hold the rank, without storing it."""

    def _on_ask(self, ask):
        if self._closed_change is None and self._engine.entry_of(ask.number) is None:
            return [self._make_promise(ask)]
        return super()._on_ask(ask)


def start_change(rounds, *, honours_fence=True, implementations=None):
    simulation = make_simulated_group(
        honours_fence=honours_fence, implementations=implementations
    )
    simulation.start_change("m1")
    simulation.deliver_all(rounds)
    return simulation


def take_message(simulation, message_type, rank):
    """Remove and return the message of ``message_type`` in transit to ``rank``."""
    matching = [
        send
        for send in simulation.network
        if isinstance(send.message, message_type) and getattr(send, "rank", -1) == rank
    ]
    simulation.network.remove(matching[0])
    return matching[0]


def maps_used_after(simulation, duration=2_000):
    """Return the maps of the last step after a run without faults."""
    before = simulation.group.next_step
    simulation.run(duration)
    simulation.check_maps_agree()
    assert simulation.group.next_step > before, "the group does not advance"
    return set(simulation.group.history[-1].maps)


def test_ranks_follow_a_peer_that_received_the_open():
    """Guards against a group that stays held after its coordinator has died.

    All ranks agree, but only rank 0 receives the open. Ranks 1 and 2 learn of it only
    if they ask.
    """
    simulation = start_change(ROUNDS_UNTIL_OPEN)
    send = take_message(simulation, Open, rank=0)
    simulation.network = [send]
    simulation.deliver_all()
    simulation.kill_coordinators()
    assert maps_used_after(simulation) == {"m1"}


def test_the_old_map_is_reopened_if_no_rank_received_the_open():
    simulation = start_change(ROUNDS_UNTIL_OPEN)
    simulation.network.clear()
    simulation.kill_coordinators()
    assert maps_used_after(simulation) == {"m0"}


def test_a_restarted_agent_learns_the_outcome_from_a_peer():
    simulation = start_change(ROUNDS_UNTIL_OPEN)
    simulation.network = [take_message(simulation, Open, rank=0)]
    simulation.deliver_all()
    simulation.kill_coordinators()
    simulation.restart_agent(1)
    assert maps_used_after(simulation) == {"m1"}


def deliver_late_open_after_agent_restart(implementations):
    """Guards against rank 0 alone using the new map.

    All ranks agree and later promise to refuse the open. The agent of rank 0 restarts
    and loses its promise, and the other ranks reopen the old map. Then the late open
    arrives at rank 0.
    """
    simulation = start_change(ROUNDS_UNTIL_OPEN, implementations=implementations)
    late = take_message(simulation, Open, rank=0)
    simulation.network.clear()
    simulation.kill_coordinators()
    simulation.tick(AFTER_COORDINATOR_TIMEOUT_MS)
    simulation.deliver_all(1)
    simulation.restart_agent(0)
    simulation.deliver_all(2, skip={0})
    simulation.network = [late]
    simulation.deliver_all()
    simulation.group.advance(10)
    return simulation


def test_a_restarted_agent_refuses_a_late_open():
    simulation = deliver_late_open_after_agent_restart(Implementations())
    simulation.check_maps_agree()
    assert maps_used_after(simulation) == {"m0"}


def test_a_forgotten_promise_is_detected():
    simulation = deliver_late_open_after_agent_restart(
        Implementations(agent=ForgetsPromise)
    )
    with pytest.raises(AssertionError, match="different maps"):
        simulation.check_maps_agree()


def deliver_late_close_after_agent_restart(implementations):
    """Guards against rank 0 alone using the new map.

    Its close is late and the coordinator is paused. Rank 0 promises, but stores nothing
    in the engine, and its agent restarts; the other ranks reopen the old map. The late
    close arrives, rank 0 agrees, and the resumed coordinator has the agreement of all
    ranks.
    """
    simulation = start_change(ROUNDS_UNTIL_CLOSE, implementations=implementations)
    late = take_message(simulation, Close, rank=0)
    simulation.deliver_all(2)
    simulation.pause_coordinator()
    simulation.tick(AFTER_COORDINATOR_TIMEOUT_MS)
    simulation.deliver_all(1)
    simulation.restart_agent(0)
    simulation.deliver_all(2, skip={0})
    simulation.network = [late]
    simulation.deliver_all()
    simulation.resume_coordinators()
    simulation.deliver_all(3)
    simulation.group.advance(10)
    return simulation


def test_a_promise_survives_an_agent_restart():
    simulation = deliver_late_close_after_agent_restart(Implementations())
    simulation.check_maps_agree()
    assert maps_used_after(simulation) == {"m0"}


def test_a_promise_without_hold_is_detected():
    simulation = deliver_late_close_after_agent_restart(
        Implementations(agent=PromisesWithoutHold)
    )
    with pytest.raises(AssertionError, match="different maps"):
        simulation.check_maps_agree()


@pytest.mark.parametrize("honours_fence", [True, False])
def test_a_coordinator_resumed_after_its_lease_expired_is_ignored(honours_fence):
    """Guards against two active coordinators of one group.

    All ranks agree, and the coordinator is paused until its lease has expired. A
    successor recovers the group. The first coordinator resumes as if it still held the
    lease and sends its opens.
    """
    simulation = start_change(ROUNDS_UNTIL_CLOSE, honours_fence=honours_fence)
    simulation.pause_coordinator()
    first = simulation.coordinators[simulation.fence]
    simulation.start_coordinator()
    simulation.run(500)
    simulation.resume_coordinators()
    assert maps_used_after(simulation, 1_000) == {"m0"}
    assert isinstance(first.phase, Deposed)
    assert simulation.coordinators[simulation.fence].outcome is Outcome.RECOVERED


def test_only_the_coordinator_admits_a_replaced_rank():
    simulation = make_simulated_group()
    simulation.run(100)
    simulation.replace_rank(1)
    assert simulation.group.advance(5) == 0
    simulation.kill_coordinators()
    simulation.run(2_000)
    assert simulation.group.advance(5) == 0
    simulation.start_coordinator()
    assert maps_used_after(simulation) == {"m0"}
    assert isinstance(simulation.coordinators[simulation.fence].phase, Idle)


def test_an_open_for_the_replaced_incarnation_is_refused():
    """Guards against a replaced rank that uses another map than the others.

    The rank agrees and is replaced. Late copies of stage, close and open for its
    predecessor arrive, and only the incarnation in the open shows that it is stale.
    """
    simulation = make_simulated_group()
    simulation.replace_rank(0)
    simulation.tick(AFTER_COORDINATOR_TIMEOUT_MS)
    simulation.deliver_all(ROUNDS_UNTIL_OPEN)
    late = take_message(simulation, Open, rank=0)
    simulation.replace_rank(0)
    number = late.message.number
    for message in (Stage(1, "m0"), Close(number, None, "m0"), late.message):
        simulation.network = [replace(late, message=message)]
        simulation.deliver_all()
    assert simulation.agents[0].closed_change is not None
    assert simulation.group.state(0).plan == ()
