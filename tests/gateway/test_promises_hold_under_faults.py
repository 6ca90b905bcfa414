"""Confirmed changes are in force in time, whatever the store and the network do."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.gateway.site_promises import new_site
from tests.gateway.store_world import StoreWorld

ENDPOINTS = ("e1", "e2", "e3", "e4", "e5")
PAUSES = st.integers(0, 24).map(lambda n: 50 * n)
FAULTS = st.integers(2, 30).map(lambda n: 50 * n)
CHOSEN = st.one_of(st.none(), st.sets(st.integers(0, 8), min_size=1, max_size=4))
EVENTS = st.one_of(
    st.tuples(st.just("configure")),
    st.tuples(st.sampled_from(["join", "drain", "remove"]), st.sampled_from(ENDPOINTS)),
    st.tuples(st.sampled_from(["silence", "refuse"]), FAULTS, CHOSEN),
    st.tuples(st.just("make_deaf"), st.sets(st.integers(0, 8)), FAULTS),
    st.tuples(st.sampled_from(["lose", "be_slow", "calm"]), FAULTS),
    st.tuples(st.just("go_back"), st.booleans(), st.integers(0, 10)),
    st.tuples(st.sampled_from(["forget", "copy"])),
    st.tuples(st.just("replace"), st.integers(0, 8)),
)
SEQUENCES = st.lists(st.tuples(EVENTS, PAUSES), max_size=12)


def names_of(world, numbers):
    if numbers is None:
        return None
    names = sorted(world.by_name)
    return {names[number % len(names)] for number in numbers}


def play(site, events):
    """Let events happen, each followed by a pause, then all become calm."""
    world, copy = site.world, site.world.store.copy()
    for event, pause in events:
        match event:
            case ("configure",):
                site.configure()
            case ("join" | "drain" | "remove" as action, endpoint):
                getattr(site, action)(endpoint)
            case ("silence" | "refuse" as action, ms, numbers):
                getattr(world, action)(ms, names_of(world, numbers))
            case ("make_deaf", numbers, ms):
                world.make_deaf(names_of(world, numbers), 3 * ms)
            case ("lose", ms):
                world.lose(0.1, 3 * ms)
            case ("be_slow", ms):
                world.be_slow(250, ms)
            case ("calm", ms):
                site.run(3 * ms)
            case ("go_back", restarts, tenths):
                site.go_back(copy, restarts=restarts, rewritten_after=100 * tenths)
                copy = world.store.copy()
            case ("copy",):
                copy = world.store.copy()
            case ("forget",):
                world.store.forget()
            case ("replace", number):
                world.replace(names_of(world, {number}).pop())
        site.run(pause)
    site.run(3_000)
    site.configure()
    site.drain("e2")
    site.remove("e3")
    site.run(2_500)


def broken_in(gateways, events, seed=1, *, deaf=False):
    """Return which promises of a site are broken."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        world = StoreWorld(gateways, monkeypatch, seed=seed)
        if deaf:
            world.deaf.update(world.by_name)
            events = [each for each in events if each[0][0] != "make_deaf"]
        site = new_site(world)
        try:
            play(site, events)
        finally:
            site.stop()
    return site.broken


@given(st.sampled_from([1, 2, 6, 9]), SEQUENCES, st.integers(1, 3))
def test_promises_hold(gateways, events, seed):
    assert not broken_in(gateways, events, seed)


@given(st.sampled_from([2, 6]), SEQUENCES)
def test_promises_hold_at_gateways_that_hear_no_peer(gateways, events):
    assert not broken_in(gateways, events, deaf=True)
