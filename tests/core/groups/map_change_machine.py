"""Hypothesis state machine that injects failures into map changes."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from tests.core.groups.simulated_group import (
    Implementations,
    SimulatedGroup,
    make_simulated_group,
)

SIZE = 3
STEPS = st.sampled_from([0, 3, 20])
INDICES = st.integers(0, 40)
ROUNDS_UNTIL_CLOSE_OR_OPEN = [4, 5, 6]
"""Delivery rounds after which the close, its replies or the open are in transit."""
MAP_IDS = st.sampled_from(["m1", "m2", "m3"])
SOME_RANKS = st.sampled_from([(0,), (1,), (2,), (0, 1), (1, 2), (0, 1, 2)])
UNREACHABLE_RANKS = st.just(()) | SOME_RANKS
NETWORK_FAULTS = [
    SimulatedGroup.deliver_message,
    SimulatedGroup.deliver_and_crash_agent,
    SimulatedGroup.duplicate_message,
    SimulatedGroup.drop_message,
]
COORDINATOR_FAULTS = [
    SimulatedGroup.kill_coordinators,
    SimulatedGroup.pause_coordinator,
    SimulatedGroup.resume_coordinators,
    SimulatedGroup.start_coordinator,
]
RANK_FAULTS = [SimulatedGroup.restart_agent, SimulatedGroup.replace_rank]


class MapChangeMachine(RuleBasedStateMachine):
    """All ranks use one map in each step, whichever messages and processes fail."""

    implementations = Implementations()
    engines = st.booleans()

    @initialize(data=st.data())
    def start(self, data):
        honours_fence = data.draw(self.engines)
        self.simulation = make_simulated_group(
            SIZE, honours_fence=honours_fence, implementations=self.implementations
        )

    @rule(
        map_id=MAP_IDS,
        rounds=st.sampled_from(ROUNDS_UNTIL_CLOSE_OR_OPEN),
        unreachable=UNREACHABLE_RANKS,
        steps=STEPS,
    )
    def change_an_idle_group(self, map_id, rounds, unreachable, steps):
        self.simulation.restart_coordinator_until_idle()
        self.simulation.start_change(map_id)
        self.simulation.deliver_all(rounds)
        self.simulation.deliver_all(3, skip=unreachable)
        self.simulation.group.advance(steps)

    @rule(map_id=MAP_IDS, rounds=st.integers(0, 8))
    def change(self, map_id, rounds):
        self.simulation.start_change(map_id)
        self.simulation.deliver_all(rounds)

    @rule(rounds=st.integers(1, 6), unreachable=UNREACHABLE_RANKS, steps=STEPS)
    def deliver(self, rounds, unreachable, steps):
        self.simulation.deliver_all(rounds, skip=unreachable)
        self.simulation.group.advance(steps)

    @rule(fault=st.sampled_from(NETWORK_FAULTS), index=INDICES, steps=STEPS)
    def inject_network_fault(self, fault, index, steps):
        fault(self.simulation, index)
        self.simulation.group.advance(steps)

    @rule(elapsed=st.sampled_from([60, 500, 1_100]), steps=STEPS)
    def time_passes(self, elapsed, steps):
        self.simulation.tick(elapsed)
        self.simulation.group.advance(steps)

    @rule(fault=st.sampled_from(COORDINATOR_FAULTS))
    def inject_coordinator_fault(self, fault):
        fault(self.simulation)

    @rule(
        rounds=st.sampled_from([0, 4, 14]), unreachable=UNREACHABLE_RANKS, steps=STEPS
    )
    def pause_coordinator_past_its_lease(self, rounds, unreachable, steps):
        self.simulation.pause_coordinator()
        self.simulation.start_coordinator()
        self.simulation.deliver_all(rounds)
        self.simulation.resume_coordinators()
        self.simulation.deliver_all(2, skip=unreachable)
        self.simulation.group.advance(steps)

    @rule(fault=st.sampled_from(RANK_FAULTS), ranks=SOME_RANKS, steps=STEPS)
    def inject_rank_fault(self, fault, ranks, steps):
        for rank in ranks:
            fault(self.simulation, rank)
        self.simulation.group.advance(steps)

    @invariant()
    def all_ranks_used_one_map(self):
        if hasattr(self, "simulation"):
            self.simulation.check_maps_agree()

    def teardown(self):
        if hasattr(self, "simulation"):
            check_recovery(self.simulation)


def check_recovery(simulation):
    """Check that, without failures, the steps continue and a change succeeds."""
    simulation.resume_coordinators()
    simulation.start_coordinator()
    simulation.run(2_000)
    simulation.start_change("m9")
    simulation.run(1_000)
    simulation.check_maps_agree()
    before = simulation.group.next_step
    simulation.run(100)
    assert simulation.group.next_step > before, "the group does not advance"
    assert simulation.is_idle(), "the coordinator does not become idle"
    used = set(simulation.group.history[-1].maps)
    assert used == {"m9"}, f"the change did not take effect: {used}"
