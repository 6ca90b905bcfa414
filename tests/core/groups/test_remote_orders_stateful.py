"""Map changes by remote orders: each pass uses one map, and no group stays held."""

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
from tests.core.groups.order_simulation import OrderSimulation

from azurefold.core.groups import map_change
from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import (
    Arm,
)
from azurefold_standins.order_ranks import ModelGroup

SIZE = 3
FATES = st.sampled_from(["answered", "late", "unheard"])
RANKS = st.integers(0, SIZE - 1)


class RemoteOrders(RuleBasedStateMachine):
    """Lost and late orders and answers, coordinator crashes and re-formed groups."""

    change_type = MapChange

    @initialize()
    def start(self):
        self.simulation = OrderSimulation(ModelGroup(SIZE), self.change_type)

    @rule(rank=RANKS, fate=FATES)
    def set_order_fate(self, rank, fate):
        self.simulation.order_fates[rank] = fate

    @rule()
    def start_a_change(self):
        self.simulation.start_change()

    @rule(rank=RANKS, fate=FATES, passes=st.integers(1, 8))
    def a_rank_stops_answering_during_a_change(self, rank, fate, passes):
        self.simulation.order_fates.clear()
        self.simulation.start_change()
        self.simulation.order_fates[rank] = fate
        self.simulation.tick(130)
        self.start_passes(passes)

    @rule(load_ms=st.sampled_from([None, 0, 100, 300]))
    def set_expected_load_time(self, load_ms):
        self.simulation.load_ms = load_ms

    @rule(rank=RANKS, is_slow=st.booleans())
    def a_rank_loads_slowly(self, rank, is_slow):
        self.simulation.group.ranks[rank].is_slow = is_slow

    @rule(rank=RANKS)
    def a_rank_has_loaded(self, rank):
        self.simulation.group.ranks[rank].loaded()

    @rule(rank=RANKS)
    def a_rank_loses_its_prepared_map(self, rank):
        self.simulation.group.ranks[rank].prepared = None

    @rule(passes=st.integers(1, 4))
    def start_passes(self, passes):
        for _ in range(passes):
            self.simulation.group.begin_pass()

    @rule(milliseconds=st.sampled_from([40, 130, 800]))
    def time_passes(self, milliseconds):
        self.simulation.tick(milliseconds)

    @rule(index=st.integers(0, 20))
    def a_late_order_is_carried_out(self, index):
        self.simulation.apply_late_order(index)

    @rule()
    def the_coordinator_dies(self):
        self.simulation.kill_coordinator()

    @rule()
    def another_coordinator_takes_over(self):
        self.simulation.resume_held_change()

    @rule()
    def the_group_is_re_formed(self):
        self.simulation.group.form_anew()

    @invariant()
    def one_map_in_each_pass(self):
        assert self.simulation.group.split_at is None

    def teardown(self):
        """Check that the group runs again after all failures have ended."""
        simulation = self.simulation
        simulation.order_fates.clear()
        while simulation.late_orders:
            simulation.apply_late_order(0)
        for _ in range(60):
            simulation.tick(50)
            simulation.resume_held_change()
            simulation.group.begin_pass()
        before = simulation.group.step
        simulation.group.begin_pass()
        assert simulation.group.step == before + 1
        self.one_map_in_each_pass()


class TwoCoordinators(RemoteOrders):
    """A partitioned leader stays active beside its successor.

    Guards against a pass under two maps and against a group that stays held. One node
    has replaced the row and the previous leader does not know it yet; both prepare,
    hold, arm and release in any order. A rank must not accept the orders of both.
    """

    @initialize()
    def start(self):
        super().start()
        self.rival = OrderSimulation(self.simulation.group, self.change_type)
        self.rival.version = 1_000

    @rule(rank=RANKS, fate=FATES)
    def set_order_fate_of_rival(self, rank, fate):
        self.rival.order_fates[rank] = fate

    @rule()
    def the_rival_starts_a_change(self):
        self.rival.start_change()

    @rule(milliseconds=st.sampled_from([40, 130, 800]))
    def time_passes_for_the_rival(self, milliseconds):
        self.rival.tick(milliseconds)

    @rule(index=st.integers(0, 20))
    def a_late_order_of_the_rival_is_carried_out(self, index):
        self.rival.apply_late_order(index)

    def teardown(self):
        """Check that the group runs again after the rival has stepped down."""
        self.rival.kill_coordinator()
        while self.rival.late_orders:
            self.rival.apply_late_order(0)
        super().teardown()


STATEFUL_SEARCH = settings(max_examples=150, stateful_step_count=40)
MUTANT_SEARCH = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=1_500,
    stateful_step_count=25,
    phases=[Phase.generate],
)


def run_machine(machine, profile=STATEFUL_SEARCH):
    run_state_machine_as_test(machine, settings=profile)


def test_every_pass_uses_one_map_and_no_hold_remains():
    run_machine(RemoteOrders)


def test_two_concurrent_coordinators_never_split_the_maps():
    run_machine(TwoCoordinators)


class ArmsWithoutHold(MapChange):
    """Mutant that arms without a hold."""

    def _start_hold(self, now):
        self.step = self._pass_estimate.newest_started + 2
        self.holding_ranks = []
        self._enter(map_change._Phase.ARMING, now)
        return self._send_to_all(Arm(self.version, self.step), now)


class ReleasesBeforeAllAreArmed(MapChange):
    """Mutant that releases as soon as one rank has confirmed."""

    def _confirm_armed(self, rank, now):
        return self._start_release(now)


class TreatsLostOrderAsDone(MapChange):
    """Mutant that treats an order without an answer as carried out."""

    def _on_arm(self, rank, verdict, now):
        return self._confirm_armed(rank, now)


class ReleasesOnRefusal(MapChange):
    """Mutant that does not disarm the other ranks if one rank refuses."""

    def _roll_back(self, now):
        return self._start_release(now)


def _machine_for(mutant):
    return type(mutant.__name__, (RemoteOrders,), {"change_type": mutant})


@pytest.mark.parametrize(
    "mutant",
    [
        ArmsWithoutHold,
        ReleasesBeforeAllAreArmed,
        TreatsLostOrderAsDone,
        ReleasesOnRefusal,
    ],
)
def test_a_mutant_that_splits_the_maps_is_detected(mutant):
    mutant = dataclasses.dataclass(mutant)
    with pytest.raises(AssertionError):
        run_machine(_machine_for(mutant), MUTANT_SEARCH)
