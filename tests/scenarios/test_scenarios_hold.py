"""Each scenario file is a test; docs/SCENARIOS.md explains the language."""

from pathlib import Path

import pytest

from azurefold_standins.scenario.parser import parse_scenario
from azurefold_standins.scenario.runner import run_scenario

pytestmark = pytest.mark.scenario
FILES = sorted(Path(__file__).parent.glob("*.scenario"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario_holds(path, worlds):
    scenario = parse_scenario(path.name, path.read_text("utf-8"))
    world = worlds.get(scenario.given)
    held = False
    try:
        run_scenario(scenario, world, path.stem)
        held = True
    finally:
        if not held:
            worlds.give_up(scenario.given)
