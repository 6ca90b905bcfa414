"""In every step all ranks use one map; each mechanism is needed for it."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test
from tests.core.groups.machine import MapChanges
from tests.core.groups.world import Kinds

from azurefold.core.groups.agent import RankAgent
from azurefold.core.groups.coordinator import Coordinator
from azurefold.core.groups.phases import Closing

HUNT = settings(
    derandomize=True,
    database=None,
    max_examples=2_000,
    stateful_step_count=30,
    phases=[Phase.generate],
)


class OpensEarly(Coordinator):
    """Opens as soon as one rank has agreed."""

    def _is_complete(self):
        if not isinstance(self._phase, Closing):
            return super()._is_complete()
        first = next(iter(self._replies.values()))
        self._replies = dict.fromkeys(range(self._size), first)
        return True


class ObeysOldFences(RankAgent):
    """Obeys whatever coordinator speaks, about whatever change."""

    def _is_stale(self, fence):
        return False

    def _is_overtaken(self, number):
        return False

    def _may_open(self, order):
        return True


class ReleasesOnRestart(RankAgent):
    """Lets steps go as soon as it has restarted."""

    def _recover(self, now):
        actions = super()._recover(now)
        if self._closed is None or not self._engine.plan:
            return actions
        return self._reopen(self._closed, None)


class ReopensAlone(RankAgent):
    """Puts the old map in force without waiting for the promises."""

    def _has_all_promises(self):
        return True


def hunt(kinds, engines=None):
    """Run the machine on a mutant; fails with the broken promise."""
    mutant = type("Mutant", (MapChanges,), {"kinds": kinds})
    mutant.engines = MapChanges.engines if engines is None else engines
    mutant.teardown = lambda self: None
    run_state_machine_as_test(mutant, settings=HUNT)


def test_all_ranks_use_one_map_and_steps_go_on_after_healing():
    run_state_machine_as_test(MapChanges)


@pytest.mark.parametrize(
    "kinds",
    [
        Kinds(coordinator=OpensEarly),
        Kinds(agent=ReleasesOnRestart),
        Kinds(agent=ReopensAlone),
    ],
    ids=["opens-early", "releases-on-restart", "reopens-alone"],
)
def test_a_naive_protocol_is_caught(kinds):
    with pytest.raises(AssertionError, match="different maps"):
        hunt(kinds)


def test_a_rank_without_fence_check_is_caught_where_the_engine_ignores_fences():
    with pytest.raises(AssertionError, match="different maps"):
        hunt(Kinds(agent=ObeysOldFences), st.just(False))
