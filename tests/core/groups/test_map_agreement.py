"""In every step all ranks use one map, and steps go on once failures end."""

from hypothesis.stateful import run_state_machine_as_test

from tests.core.groups.machine import MapChanges


def test_all_ranks_use_one_map_and_steps_go_on_after_healing():
    run_state_machine_as_test(MapChanges)
