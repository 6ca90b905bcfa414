"""The measurement of recovery runs, and everybody comes to know what it needs."""

import pytest
from bench.recovery import run
from bench.recovery_followers import Followers

pytestmark = pytest.mark.scenario


@pytest.fixture(scope="module")
def figures():
    return run("tiny")


def test_each_process_recovers_with_the_platform_up_and_down(figures):
    seen = {(row["role"], row["platform"]) for row in figures["processes"]}
    roles = ("entry", "control", "agent")
    assert seen >= {(role, mode) for role in roles for mode in ("ok", "down")}
    for row in figures["processes"]:
        assert row["knows_s"] >= row["up_s"] > 0


def test_everybody_knows_again_in_virtual_time(figures):
    for part in ("membership", "configuration"):
        assert all(row["knows_ms"] is not None for row in figures[part])
    assert all(row["all_hold_ms"] is not None for row in figures["all_nodes_at_once"])
    back = figures["data_centre_back"][0]
    assert back["all_hold_after_ms"] is not None
    assert back["alarms"] == 0


def test_few_nodes_restarting_at_once_stay_below_the_limit_of_reads(figures):
    for row in figures["all_nodes_at_once"]:
        assert row["busiest_second"] < 2_000


def test_without_platform_and_peers_nobody_knows():
    """The measure can fail: with nobody to ask there is nothing to know."""
    fleet = Followers(1, 3, n_sections=4, alone_ms=500)
    fleet.platform.up = False
    fleet.start()
    assert fleet.run_until(fleet.all_hold_the_head, 10_000) is None
