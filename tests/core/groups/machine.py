"""The state machine that draws the failures of a map change."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from tests.core.groups.world import Kinds, World, make_world

SIZE = 3
STEPS = st.sampled_from([0, 3, 20])
INDICES = st.integers(0, 40)
CLOSE_TO_OPEN = [4, 5, 6]
"""Rounds after which the close, its replies or the open are under way."""
MAPS = st.sampled_from(["m1", "m2", "m3"])
SOME_RANKS = st.sampled_from([(0,), (1,), (2,), (0, 1), (1, 2), (0, 1, 2)])
CUT_OFF = st.just(()) | SOME_RANKS
NETWORK_FAULTS = [World.deliver, World.crash_on, World.duplicate, World.drop]
COORDINATOR_FAULTS = [
    World.kill_coordinators,
    World.pause,
    World.resume,
    World.take_over,
]
RANK_FAULTS = [World.restart_agent, World.replace_rank]


class MapChanges(RuleBasedStateMachine):
    """Every rank, every step, one map, whatever the network and processes do."""

    kinds = Kinds()
    engines = st.booleans()

    @initialize(data=st.data())
    def start(self, data):
        honours = data.draw(self.engines)
        self.world = make_world(SIZE, honours_fence=honours, kinds=self.kinds)

    @rule(
        map_id=MAPS,
        rounds=st.sampled_from(CLOSE_TO_OPEN),
        cut_off=CUT_OFF,
        steps=STEPS,
    )
    def change_a_quiet_group(self, map_id, rounds, cut_off, steps):
        self.world.settle()
        self.world.change(map_id)
        self.world.deliver_all(rounds)
        self.world.deliver_all(3, skip=cut_off)
        self.world.group.advance(steps)

    @rule(map_id=MAPS, rounds=st.integers(0, 8))
    def change(self, map_id, rounds):
        self.world.change(map_id)
        self.world.deliver_all(rounds)

    @rule(rounds=st.integers(1, 6), cut_off=CUT_OFF, steps=STEPS)
    def deliver(self, rounds, cut_off, steps):
        self.world.deliver_all(rounds, skip=cut_off)
        self.world.group.advance(steps)

    @rule(fault=st.sampled_from(NETWORK_FAULTS), index=INDICES, steps=STEPS)
    def network_errs(self, fault, index, steps):
        fault(self.world, index)
        self.world.group.advance(steps)

    @rule(by=st.sampled_from([60, 500, 1_100]), steps=STEPS)
    def time_passes(self, by, steps):
        self.world.tick(by)
        self.world.group.advance(steps)

    @rule(fault=st.sampled_from(COORDINATOR_FAULTS))
    def coordinator_errs(self, fault):
        fault(self.world)

    @rule(rounds=st.sampled_from([0, 4, 14]), cut_off=CUT_OFF, steps=STEPS)
    def coordinator_sleeps_past_its_lease(self, rounds, cut_off, steps):
        self.world.pause()
        self.world.take_over()
        self.world.deliver_all(rounds)
        self.world.resume()
        self.world.deliver_all(2, skip=cut_off)
        self.world.group.advance(steps)

    @rule(fault=st.sampled_from(RANK_FAULTS), ranks=SOME_RANKS, steps=STEPS)
    def ranks_err(self, fault, ranks, steps):
        for rank in ranks:
            fault(self.world, rank)
        self.world.group.advance(steps)

    @invariant()
    def all_ranks_used_one_map(self):
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        if hasattr(self, "world"):
            heal_and_check(self.world)


def heal_and_check(world):
    """End the failures: steps must go on, and one change must come through."""
    world.resume()
    world.take_over()
    world.run(2_000)
    world.change("m9")
    world.run(1_000)
    world.check()
    before = world.group.next_step
    world.run(100)
    assert world.group.next_step > before, "the group stands still"
    assert world.is_idle(), "the coordinator does not come to rest"
    used = set(world.group.history[-1].maps)
    assert used == {"m9"}, f"the change did not come into force: {used}"
