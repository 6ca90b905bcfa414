"""Gateways while the store has come back from a copy and not all is written again."""

import pytest
from tests.gateway.site_promises import new_site
from tests.gateway.store_world import StoreWorld


@pytest.fixture
def site(monkeypatch):
    site = new_site(StoreWorld(6, monkeypatch))
    yield site
    site.stop()


def test_endpoints_that_the_copy_lacks_are_used_until_they_are_back(site):
    """Guards against sound endpoints that are dropped as their entries are lost."""
    world = site.world
    copy = world.store.copy()
    site.join("e4")
    site.run(1_000)
    world.go_back(copy)
    for _ in range(19):
        world.run(100)
        assert len(world.sending_to("e4")) == 6
    world.register("e4", born=4_000)
    world.run(3_000)
    assert len(world.sending_to("e4")) == 6


def test_endpoints_that_the_copy_lacks_and_that_stay_away_are_dropped(site):
    """Guards against endpoints that are trusted for good without an entry."""
    copy = site.world.store.copy()
    site.join("e4")
    site.run(1_000)
    site.world.go_back(copy)
    site.world.run(2_800)
    assert not site.world.sending_to("e4")


def test_a_removal_after_the_return_is_in_force_at_once(site):
    """Guards against the trust in lost entries that outlives their removal."""
    copy = site.world.store.copy()
    site.world.go_back(copy, restarts=True)
    site.world.run(500)
    site.world.remove("e1")
    site.world.run(500)
    assert not site.world.sending_to("e1")


def test_a_removed_endpoint_whose_row_is_back_and_stays_is_used_again(site):
    """Guards against sound endpoints that are kept out for long after a return."""
    copy = site.world.store.copy()
    for endpoint in ("e1", "e2", "e3"):
        site.world.remove(endpoint)
    site.world.run(3_000)
    assert not site.world.sending_to("e1")
    site.world.go_back(copy)
    site.world.run(2_500)
    for endpoint in ("e1", "e2", "e3"):
        assert len(site.world.sending_to(endpoint)) == 6


def start_beside_newer_ones(site):
    """Let a gateway start after the copy has taken back a configuration."""
    copy = site.world.store.copy()
    site.configure()
    site.run(1_000)
    site.world.go_back(copy, restarts=True)
    site.world.run(1_000)
    site.world.replace("gw-000")
    site.world.run(1_500)
    return site.world.by_name["gw-000"].state


def test_a_gateway_that_reads_an_older_configuration_denies_nothing(site):
    """Guards against 404 and 401 for what the gateways beside it have in force."""
    state = start_beside_newer_ones(site)
    assert state.version == site.version - 1
    assert not state.is_current
    site.world.configure(site.version)
    site.world.run(1_000)
    assert state.version == site.version
    assert state.is_current


def test_a_gateway_that_starts_with_an_older_configuration_is_not_ready(site):
    """Guards against new callers who are routed as before a confirmed change."""
    state = start_beside_newer_ones(site)
    assert not state.is_ready
    site.world.configure(site.version)
    site.world.run(1_000)
    assert state.is_ready


def test_an_older_configuration_that_stays_does_not_keep_a_gateway_away(site):
    """Guards against a site whose gateways wait for a version that never comes."""
    state = start_beside_newer_ones(site)
    site.world.run(5_000)
    assert state.is_ready
    assert not state.is_current


def test_an_older_configuration_causes_no_more_calls(site):
    """Guards against a loop of reads of a version that the store does not have."""
    start_beside_newer_ones(site)
    site.world.run(4_000)
    link = site.world.by_name["gw-000"].link
    calls = link.calls
    site.world.run(10_000)
    assert link.calls - calls < 40


@pytest.mark.parametrize("depart", ["drain", "remove"])
def test_a_gateway_that_started_since_is_told_who_has_left(site, depart):
    """Guards against requests to departed endpoints from gateways without a memory."""
    copy = site.world.store.copy()
    getattr(site, depart)("e1")
    site.run(2_000)
    site.world.go_back(copy, restarts=True)
    site.world.run(100)
    site.world.replace("gw-000")
    site.world.run(900)
    assert not site.world.sending_to("e1")


def test_a_gateway_that_was_cut_off_is_told_who_has_left(site):
    """Guards against requests to endpoints that left while a gateway heard nothing."""
    copy = site.world.store.copy()
    site.world.silence(3_000, ["gw-000"])
    site.world.make_deaf(["gw-000"], 3_000)
    site.world.remove("e1")
    site.run(2_000)
    site.world.go_back(copy, restarts=True)
    site.world.run(1_700)
    assert not site.world.sending_to("e1")


def test_a_word_that_an_endpoint_has_left_is_not_kept(site):
    """Guards against gateways that keep an endpoint out on each other's word."""
    copy = site.world.store.copy()
    site.world.remove("e1")
    site.run(2_000)
    site.world.go_back(copy, restarts=True)
    site.world.run(1_000)
    site.world.replace("gw-000")
    site.world.replace("gw-001")
    site.world.run(5_000)
    assert len(site.world.sending_to("e1")) == 6


def test_an_endpoint_that_writes_itself_in_is_used_whatever_was_told(site):
    """Guards against a late word that takes a sound endpoint out of use again."""
    copy = site.world.store.copy()
    site.world.remove("e1")
    site.run(2_000)
    site.world.go_back(copy, restarts=True)
    site.world.run(1_000)
    site.world.replace("gw-000")
    site.world.run(300)
    site.world.register("e1", born=1_000)
    for _ in range(10):
        site.world.run(100)
    assert len(site.world.sending_to("e1")) == 6
