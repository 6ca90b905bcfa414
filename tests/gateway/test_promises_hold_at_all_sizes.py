"""Confirmed changes are in force in time at sites of any size, at a bounded price."""

import pytest
from tests.gateway.site_promises import new_site
from tests.gateway.store_world import APPLY_MS, LOOK_MS, StoreWorld
from tests.gateway.test_promises_hold_under_faults import play

from azurefold.core.membership.freshness import TableFreshness
from azurefold.core.membership.table_refresh import refresh_times

TURN_MS = refresh_times(APPLY_MS).slot_ms
EVENTS = [
    (("configure",), 100),
    (("silence", 600, None), 500),
    (("refuse", 300, {1, 2}), 1_200),
    (("drain", "e1"), 200),
    (("replace", 3), 0),
    (("lose", 500), 300),
]


def calls_of(world, turns):
    """Return how many calls the store gets in some turns."""
    before = sum(each.link.calls for each in world.by_name.values())
    world.run(turns * TURN_MS)
    return sum(each.link.calls for each in world.by_name.values()) - before


@pytest.mark.parametrize(("gateways", "look_ms"), [(98, LOOK_MS), (390, 4 * LOOK_MS)])
def test_promises_hold_at_large_sites(monkeypatch, gateways, look_ms):
    world = StoreWorld(gateways, monkeypatch, look_ms=look_ms)
    site = new_site(world, settle_ms=2_500)
    try:
        play(site, EVENTS)
    finally:
        site.stop()
    assert not site.broken


@pytest.mark.parametrize("gateways", [6, 9, 31, 98])
def test_a_calm_site_calls_the_store_twice_a_turn_for_each_table(monkeypatch, gateways):
    """Guards against a store that is worn down by calls with nothing to tell."""
    site = new_site(StoreWorld(gateways, monkeypatch))
    turns = 20
    calls = calls_of(site.world, turns)
    cells = max(each.state.cell.count for each in site.world.by_name.values())
    site.stop()
    assert calls <= 2 * 2 * turns * cells


def test_statements_of_peers_save_most_calls(monkeypatch):
    """Guards against statements that are ignored: nothing is late, but calls rise."""
    site = new_site(StoreWorld(6, monkeypatch))
    calls = calls_of(site.world, 20)
    monkeypatch.setattr(TableFreshness, "merge", lambda *_: None)
    site.world.run(2_000)
    calls_ignoring = calls_of(site.world, 20)
    play(site, EVENTS)
    site.stop()
    assert not site.broken
    assert calls_ignoring > 3 * calls
