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


@pytest.mark.parametrize("gateways", [1, 6])
@pytest.mark.parametrize("endpoint", ["e1", "e4"])
def test_a_write_does_not_outlive_a_removal_in_the_same_answer(gateways, endpoint):
    """Guards against an endpoint that stays, as its older row is put in force last."""
    events = [(("join", endpoint), 0), (("remove", endpoint), 2_500)]
    assert not broken_in(gateways, events)


@pytest.mark.parametrize(("ms", "seed"), [(800, 5), (800, 9), (1_050, 8), (1_500, 2)])
def test_a_removal_in_a_gateways_outage_is_in_force_in_time(ms, seed):
    """Guards against removed endpoints that are trusted for too long after outages."""
    events = [(("refuse", ms, {0}), 300), (("remove", "e3"), 4_000)]
    assert not broken_in(2, events, seed, deaf=True)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_untrue_404_after_a_clock_that_started_anew(seed):
    """Guards against one table's new date that makes the other table look current."""
    events = [(("silence", 600, None), 0), (("go_back", True, 1), 3_000)]
    assert not broken_in(6, events, seed)


@pytest.mark.parametrize("depart", ["drain", "remove"])
def test_an_older_copy_brings_no_endpoint_back(monkeypatch, depart):
    """Guards against requests to endpoints that left after the copy was made."""
    site = new_site(StoreWorld(6, monkeypatch))
    copy = site.world.store.copy()
    getattr(site, depart)("e1")
    site.run(2_000)
    assert not site.world.sending_to("e1")
    site.world.go_back(copy)
    site.world.run(1_000)
    brought_back = site.world.sending_to("e1")
    site.stop()
    assert not brought_back
