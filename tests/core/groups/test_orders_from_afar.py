"""Map changes by orders from afar: one map in each pass, and no group held for good."""

import dataclasses

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from tests.core.groups.rank_model import OrderWorld

from azurefold.core.groups import map_change
from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import (
    Arm,
)
from azurefold_standins.order_ranks import ModelGroup

SIZE = 3
FATES = st.sampled_from(["answered", "late", "unheard"])
RANKS = st.integers(0, SIZE - 1)


class OrdersFromAfar(RuleBasedStateMachine):
    """Orders lost, late and unheard; coordinators that die; groups that re-form."""

    change_type = MapChange

    @initialize()
    def start(self):
        self.world = OrderWorld(ModelGroup(SIZE), self.change_type)

    @rule(rank=RANKS, fate=FATES)
    def orders_to_a_rank_fare(self, rank, fate):
        self.world.lose[rank] = fate

    @rule()
    def begin_a_change(self):
        self.world.begin()

    @rule(rank=RANKS, fate=FATES, passes=st.integers(1, 8))
    def a_rank_stops_answering_within_a_change(self, rank, fate, passes):
        self.world.lose.clear()
        self.world.begin()
        self.world.lose[rank] = fate
        self.world.tick(130)
        self.passes_begin(passes)

    @rule(load_ms=st.sampled_from([None, 0, 100, 300]))
    def loading_is_expected_to_take(self, load_ms):
        self.world.load_ms = load_ms

    @rule(rank=RANKS, is_slow=st.booleans())
    def a_rank_loads_slowly(self, rank, is_slow):
        self.world.group.ranks[rank].is_slow = is_slow

    @rule(rank=RANKS)
    def a_rank_has_loaded(self, rank):
        self.world.group.ranks[rank].loaded()

    @rule(rank=RANKS)
    def a_rank_drops_what_it_has_loaded(self, rank):
        self.world.group.ranks[rank].prepared = None

    @rule(passes=st.integers(1, 4))
    def passes_begin(self, passes):
        for _ in range(passes):
            self.world.group.begin_pass()

    @rule(milliseconds=st.sampled_from([40, 130, 800]))
    def time_passes(self, milliseconds):
        self.world.tick(milliseconds)

    @rule(index=st.integers(0, 20))
    def a_late_order_is_carried_out(self, index):
        self.world.carry_out_late(index)

    @rule()
    def the_coordinator_dies(self):
        self.world.kill_coordinator()

    @rule()
    def another_takes_over(self):
        self.world.take_over()

    @rule()
    def the_group_forms_anew(self):
        self.world.group.form_anew()

    @invariant()
    def one_map_in_each_pass(self):
        assert self.world.group.split_at is None

    def teardown(self):
        """Once nothing errs any more the group must run again."""
        world = self.world
        world.lose.clear()
        while world.late:
            world.carry_out_late(0)
        for _ in range(60):
            world.tick(50)
            world.take_over()
            world.group.begin_pass()
        before = world.group.step
        world.group.begin_pass()
        assert world.group.step == before + 1
        self.one_map_in_each_pass()


class TwoCoordinators(OrdersFromAfar):
    """A holder that was cut off goes on beside its successor.

    Symptom: two ranks run one pass under two maps, or the group stands still.
    Sequence: one node took the row, and the one before it does not know yet;
    both prepare, hold, arm and release, in any order. Cause would be a rank
    that takes the orders of both.
    """

    @initialize()
    def start(self):
        super().start()
        self.rival = OrderWorld(self.world.group, self.change_type)
        self.rival.version = 1_000

    @rule(rank=RANKS, fate=FATES)
    def the_rivals_orders_fare(self, rank, fate):
        self.rival.lose[rank] = fate

    @rule()
    def the_rival_begins_a_change(self):
        self.rival.begin()

    @rule(milliseconds=st.sampled_from([40, 130, 800]))
    def time_passes_for_the_rival(self, milliseconds):
        self.rival.tick(milliseconds)

    @rule(index=st.integers(0, 20))
    def a_late_order_of_the_rival_is_carried_out(self, index):
        self.rival.carry_out_late(index)

    def teardown(self):
        """The rival has heard of its successor; then all must run again."""
        self.rival.kill_coordinator()
        while self.rival.late:
            self.rival.carry_out_late(0)
        super().teardown()


THOROUGH = settings(max_examples=150, stateful_step_count=40)
BITE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=1_500,
    stateful_step_count=25,
    phases=[Phase.generate],
)


def check(machine, how=THOROUGH):
    run_state_machine_as_test(machine, settings=how)


def test_every_pass_has_one_map_and_no_hold_stays():
    check(OrdersFromAfar)


def test_two_coordinators_at_a_time_never_split_the_maps():
    check(TwoCoordinators)


class ArmsWithoutHold(MapChange):
    """A mutant: arms at once, hoping that all are armed in time."""

    def _hold(self, now):
        self.step = self._passes.newest_started + 2
        self.holding_ranks = []
        self._enter(map_change._Phase.ARMING, now)
        return self._to_all(Arm(self.version, self.step), now)


class ReleasesBeforeAllAreArmed(MapChange):
    """A mutant: releases as soon as one rank has confirmed."""

    def _armed(self, rank, now):
        return self._release(now)


class TakesLostForDone(MapChange):
    """A mutant: an order without an answer counts as carried out."""

    def _on_arm(self, rank, verdict, now):
        return self._armed(rank, now)


class ReleasesOnRefusal(MapChange):
    """A mutant: does not disarm the others when one rank refuses."""

    def _roll_back(self, now):
        return self._release(now)


def _machine(mutant):
    return type(mutant.__name__, (OrdersFromAfar,), {"change_type": mutant})


@pytest.mark.parametrize(
    "mutant",
    [
        ArmsWithoutHold,
        ReleasesBeforeAllAreArmed,
        TakesLostForDone,
        ReleasesOnRefusal,
    ],
)
def test_a_mutant_that_splits_the_maps_is_caught(mutant):
    mutant = dataclasses.dataclass(mutant)
    with pytest.raises(AssertionError):
        check(_machine(mutant), BITE)
