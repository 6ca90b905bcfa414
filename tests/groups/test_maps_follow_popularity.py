"""A group's map follows what its ranks report, and operators see why."""

import json

import pytest

from azurefold.commands.rebalance import rebalance
from azurefold.commands.reports import Exit
from azurefold.core.balance.placement import validate_assignment
from azurefold.wire.group_maps import decode_map, encode_map, map_id_of
from azurefold_standins.processes import wait_until

pytestmark = pytest.mark.scenario

only_fenced = pytest.mark.parametrize("group", [True], indirect=True, ids=["fenced"])


def generate(group):
    """Let one rank generate text whose tokens favour one expert of each layer."""
    group.generate(0, "hot", 60)


def decided(group, explain_only):
    """Return the first report of a decision that proposes a map."""
    reports = []

    def proposes():
        generate(group)
        report = rebalance(group.name, group.callers, explain_only)
        reports.append(report)
        return report.exit is Exit.OK and bool(report.data.map_id)

    wait_until(proposes, "a map is proposed")
    return reports[-1]


@only_fenced
def test_explain_tells_popularity_loads_and_the_proposal(group):
    report = decided(group, explain_only=True)
    text = "\n".join(report.lines)
    for part in ("most popular: expert", "slowest ranks now", "nothing was changed"):
        assert part in text
    assert not report.data.begun


@only_fenced
def test_a_rebalance_puts_a_sound_map_in_force_on_all_ranks(group):
    report = decided(group, explain_only=False)
    map_id = report.data.map_id
    wait_until(lambda: computes_by(group, map_id), "all ranks compute by the map")
    layers = decode_map(json.dumps(group.experts(0)["layers"]).encode())
    for layer in layers:
        validate_assignment(layer)
    assert map_id_of(encode_map(layers)) == group.experts(0)["map_id"]
    assert [maps for _, maps in group.steps() if len(set(maps)) != 1] == []


def computes_by(group, map_id):
    # The group decides by itself as well, so the map may be one of several.
    group.change(map_id)
    generate(group)
    return all(group.experts(rank)["map_id"] == map_id for rank in range(4))


@only_fenced
def test_a_group_that_is_not_here_gets_a_reason(group):
    report = rebalance("nowhere", group.callers, explain_only=True)
    assert report.exit is Exit.UNAVAILABLE
    assert "no such group" in report.lines[0]
