"""The language reads what its page shows, and says where it cannot."""

import re
from pathlib import Path

import pytest

from azurefold.border.findings import FindingsError
from azurefold_standins.scenario.parser import _parser, parse_scenario, parse_step

PAGE = (Path(__file__).parents[2] / "docs" / "SCENARIOS.md").read_text("utf-8")
BLOCKS = re.findall(r"```steps\n(.*?)```", PAGE, re.S)
SHOWN = [line for block in BLOCKS for line in block.splitlines()]


@pytest.mark.parametrize("line", SHOWN)
def test_each_step_of_the_page_is_read(line):
    assert type(parse_step(line)).__module__.startswith("azurefold_standins.scenario")


def test_the_page_shows_every_step():
    rules = {rule.alias or rule.origin.name for rule in _parser().rules}
    helpers = {"agent", "control", "engine", "platform", "entry", "entries", "keys"}
    helpers |= {"no_keys", "start", "given", "act", "traffic", "fault", "waiting"}
    helpers |= {"expect", "process", "link"}
    shown = {
        tree.data for line in SHOWN for tree in _parser().parse(line).iter_subtrees()
    }
    missing = {str(name) for name in rules if not name.startswith("__")}
    assert missing - helpers - {str(name) for name in shown} == set()


def test_all_wrong_lines_are_told_with_their_places():
    text = "# why\naccept configuration\nkill agnt x\n\nsend 4\ngiven steps of 5 ms\n"
    with pytest.raises(FindingsError) as caught:
        parse_scenario("a.scenario", text)
    places = [(each.place.line, each.place.column) for each in caught.value.findings]
    assert places == [(3, 6), (5, 6), (6, 1)]
    assert "'agnt' is out of place; expected agent or" in str(caught.value)
