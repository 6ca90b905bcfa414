"""A change that the store has confirmed is in force within the site's bounds."""

import pytest
from tests.gateway.store_world import APPLY_MS, DRAIN_MS, STABLE_MS, StoreWorld


@pytest.fixture
def world_of(monkeypatch):
    worlds = []

    def start(gateways, **options):
        world = StoreWorld(gateways, monkeypatch, **options)
        worlds.append(world)
        world.configure(1)
        for endpoint in ("e1", "e2", "e3"):
            world.register(endpoint)
        world.start()
        return world

    yield start
    for world in worlds:
        world.stop()


def test_changes_are_in_force_soon_on_a_calm_site(world_of):
    world = world_of(6)
    world.configure(2)
    world.register("e1", "draining")
    world.run(1_000)
    assert set(world.versions().values()) == {2}
    assert not world.sending_to("e1")


@pytest.mark.parametrize("gateways", [1, 6, 31])
@pytest.mark.parametrize("later", [0, 80, 200, 350])
def test_a_lost_answer_on_an_open_connection_hides_no_configuration(
    world_of, gateways, later
):
    """Guards against a feed's call without answer that hides a confirmed change."""
    world = world_of(gateways)
    world.configure(2)
    world.run(later)
    world.silence(600)
    world.run(600 + STABLE_MS)
    world.configure(3)
    world.run(APPLY_MS)
    assert set(world.versions().values()) == {3}


@pytest.mark.parametrize("gateways", [1, 6, 31])
@pytest.mark.parametrize("later", [0, 80, 200, 350])
def test_a_lost_answer_on_an_open_connection_hides_no_leaving(
    world_of, gateways, later
):
    """Guards against a feed's call without answer that hides an endpoint's leaving."""
    world = world_of(gateways)
    world.register("e9")
    world.run(later)
    world.silence(600)
    world.run(600 + STABLE_MS)
    world.register("e1", "draining")
    world.remove("e2")
    world.run(DRAIN_MS)
    assert not world.sending_to("e1")
    assert not world.sending_to("e2")
