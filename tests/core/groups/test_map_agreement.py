"""All ranks use one map in every step, and each safety mechanism is necessary."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test
from tests.core.groups.map_change_machine import MapChangeMachine
from tests.core.groups.simulated_group import Implementations

from azurefold.core.groups.agent import RankAgent
from azurefold.core.groups.coordinator import Coordinator
from azurefold.core.groups.phases import Closing

MUTANT_SEARCH = settings(
    derandomize=True,
    database=None,
    max_examples=2_000,
    stateful_step_count=30,
    phases=[Phase.generate],
)


class OpensEarly(Coordinator):
    """Opens as soon as one rank has agreed."""

    def _has_all_replies(self):
        if not isinstance(self._phase, Closing):
            return super()._has_all_replies()
        first = next(iter(self._replies.values()))
        self._replies = dict.fromkeys(range(self._size), first)
        return True


class AcceptsStaleFences(RankAgent):
    """Accepts messages of any coordinator about any change."""

    def _is_stale(self, fence):
        return False

    def _is_superseded(self, number):
        return False

    def _can_open(self, order):
        return True


class ReleasesOnRestart(RankAgent):
    """Reopens the old map as soon as it has restarted."""

    def _restore_from_engine(self, now):
        actions = super()._restore_from_engine(now)
        if self._closed_change is None or not self._engine.plan:
            return actions
        return self._reopen(self._closed_change, None)


class ReopensAlone(RankAgent):
    """Reopens the old map without waiting for the promises."""

    def _has_all_promises(self):
        return True


def search_for_failure(implementations, engines=None):
    """Run the state machine on a mutant; raises the assertion that failed."""
    mutant = type("Mutant", (MapChangeMachine,), {"implementations": implementations})
    mutant.engines = MapChangeMachine.engines if engines is None else engines
    mutant.teardown = lambda self: None
    run_state_machine_as_test(mutant, settings=MUTANT_SEARCH)


def test_all_ranks_use_one_map_and_steps_continue_after_recovery():
    run_state_machine_as_test(MapChangeMachine)


@pytest.mark.parametrize(
    "implementations",
    [
        Implementations(coordinator=OpensEarly),
        Implementations(agent=ReleasesOnRestart),
        Implementations(agent=ReopensAlone),
    ],
    ids=["opens-early", "releases-on-restart", "reopens-alone"],
)
def test_a_faulty_protocol_is_detected(implementations):
    with pytest.raises(AssertionError, match="different maps"):
        search_for_failure(implementations)


def test_a_missing_fence_check_is_detected_if_the_engine_ignores_fences():
    with pytest.raises(AssertionError, match="different maps"):
        search_for_failure(Implementations(agent=AcceptsStaleFences), st.just(False))
