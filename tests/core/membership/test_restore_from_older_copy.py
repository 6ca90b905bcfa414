"""Entries that an older copy of the store brings back are judged by what they prove."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.membership import departures
from azurefold.core.membership.departures import Departures
from azurefold.core.membership.registry import EndpointEntry, EndpointRegistry

SETTLING_MS = 2_000
TICK_MS = 250
NAMES = ("e1", "e2", "e3")


def entry(name, *, leaving=False, started_at_ms=0):
    return EndpointEntry(
        name, "desk", f"10.0.0.{name[1:]}:80", "dc-a", 6, leaving, started_at_ms
    )


@pytest.fixture
def registry():
    registry = EndpointRegistry()
    registry.replace([entry(name) for name in NAMES], now=0)
    return registry


def in_use(registry):
    return registry.entries.keys() - registry.leaving


def come_back(registry, names, now, started_at_ms=0):
    """Take in the store's older copy."""
    registry.on_store_restored(now)
    registry.replace([entry(name, started_at_ms=started_at_ms) for name in names], now)


def test_a_removed_endpoint_that_is_back_and_stays_is_used(registry):
    """Guards against sound endpoints that are kept out for longer than two seconds."""
    registry.remove(["e1"], now=10)
    come_back(registry, NAMES, now=1_000)
    assert in_use(registry) == {"e2", "e3"}
    assert registry.tick(now=2_999) == []
    assert registry.tick(now=3_000) == ["e1"]
    assert in_use(registry) == set(NAMES)


def test_a_removed_endpoint_that_writes_itself_in_again_is_used_at_once(registry):
    """Guards against sound endpoints that wait although their entry is new."""
    registry.remove(["e1"], now=10)
    come_back(registry, NAMES, now=1_000)
    registry.put([entry("e1")])
    assert in_use(registry) == set(NAMES)
    assert registry.withheld == frozenset()


def test_an_endpoint_that_is_removed_again_stays_out(registry):
    """Guards against an entry that is used after the settling though it is gone."""
    registry.remove(["e1"], now=10)
    come_back(registry, NAMES, now=1_000)
    registry.remove(["e1"], now=1_500)
    assert registry.tick(now=9_000) == []
    assert in_use(registry) == {"e2", "e3"}


@pytest.mark.parametrize("started_at_ms", [0, 5])
def test_an_endpoint_that_announced_its_departure_stays_out(started_at_ms):
    """Guards against an announcement that is forgotten while its entry goes unread."""
    registry = EndpointRegistry()
    registry.replace([entry("e1", started_at_ms=started_at_ms), entry("e2")], now=0)
    registry.put([entry("e1", leaving=True, started_at_ms=started_at_ms)])
    registry.remove(["e1"], now=10)
    registry.on_store_restored(1_000)
    registry.replace([entry("e1", started_at_ms=started_at_ms), entry("e2")], now=1_000)
    registry.tick(now=60_000)
    assert in_use(registry) == {"e2"}


@pytest.mark.parametrize(
    ("started_at_ms", "used"), [(4, {"e2"}), (5, {"e2"}), (6, {"e1", "e2"})]
)
def test_only_a_later_start_takes_an_announcement_back(started_at_ms, used):
    """Guards against an older entry, written again first, that ends a leaving."""
    registry = EndpointRegistry()
    registry.replace([entry("e1", started_at_ms=5), entry("e2")], now=0)
    registry.put([entry("e1", leaving=True, started_at_ms=5)])
    registry.on_store_restored(1_000)
    registry.replace([entry("e1", started_at_ms=5), entry("e2")], now=1_000)
    registry.put([entry("e1", started_at_ms=started_at_ms)])
    registry.tick(now=60_000)
    assert in_use(registry) == used


def test_an_endpoint_that_does_not_say_when_it_started_can_start_again(registry):
    """Guards against endpoints without a time of start that are kept out for good."""
    registry.put([entry("e1", leaving=True)])
    registry.remove(["e1"], now=10)
    come_back(registry, NAMES, now=1_000)
    registry.put([entry("e1")])
    assert in_use(registry) == {"e2", "e3"}
    registry.tick(now=3_000)
    assert in_use(registry) == set(NAMES)


def test_a_second_copy_is_doubted_as_the_first(registry):
    """Guards against a settling that ends while a later return's is under way."""
    registry.remove(["e1"], now=10)
    come_back(registry, NAMES, now=1_000)
    registry.remove(["e1"], now=2_000)
    come_back(registry, NAMES, now=2_500)
    registry.tick(now=3_000)
    assert in_use(registry) == {"e2", "e3"}
    registry.tick(now=4_500)
    assert in_use(registry) == set(NAMES)


def test_what_is_read_later_in_the_same_era_is_believed(registry):
    """Guards against a departure since the return that is taken for one before it."""
    come_back(registry, NAMES, now=1_000)
    registry.remove(["e1"], now=1_200)
    registry.replace([entry(name) for name in NAMES], now=1_400)
    assert in_use(registry) == set(NAMES)


def test_an_entry_that_went_between_two_reads_after_a_return_is_gone(registry):
    """Guards against removals since the return that are taken for lost entries."""
    come_back(registry, NAMES, now=1_000)
    registry.replace([entry("e2"), entry("e3")], now=1_400)
    assert in_use(registry) == {"e2", "e3"}


def test_departures_are_remembered_up_to_a_number(monkeypatch):
    """Guards against a memory that grows with each release of each service."""
    monkeypatch.setattr(departures, "_MOST_REMEMBERED", 3)
    known = Departures()
    for number in range(5):
        known.note(entry(f"e{number}"))
    known.on_store_restored()
    doubted = [
        number
        for number in range(5)
        if not known.is_credible(entry(f"e{number}"), is_written=False)
    ]
    assert doubted == [2, 3, 4]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("join", "drain", "remove", "lapse", "copy", "return")),
        st.sampled_from(NAMES),
        st.sampled_from((0, 100, 700, 2_500)),
    ),
    max_size=25,
)


class Endpoints:
    """Endpoints, the rows of their store, and a registry that follows them."""

    def __init__(self):
        self.registry = EndpointRegistry()
        self.rows = {name: entry(name, started_at_ms=1) for name in NAMES}
        self.registry.replace(self.rows.values(), now=0)
        self.copy = dict(self.rows)
        self.starts = 1
        self.now = 0
        self.departed = {}
        self.started_at_ms = dict.fromkeys(NAMES, 1)
        self.back_since = dict.fromkeys(NAMES, 0)

    def step(self, action, name):
        row = self.rows.get(name)
        match action:
            case "join":
                self.starts += 1
                self.started_at_ms[name] = self.starts
                self.departed.pop(name, None)
                self._write(entry(name, started_at_ms=self.starts))
            case "drain" if row is not None:
                self.departed[name] = row.started_at_ms
                self._write(entry(name, leaving=True, started_at_ms=row.started_at_ms))
            case "remove" | "lapse" if row is not None:
                if action == "remove":
                    self.departed[name] = row.started_at_ms
                del self.rows[name]
                self.registry.remove([name], self.now)
                self.back_since.pop(name, None)
            case "copy":
                self.copy = dict(self.rows)
            case "return":
                self._return()

    def wait(self, ms):
        for _ in range(0, ms, TICK_MS):
            self.now += TICK_MS
            self.registry.tick(self.now)
            self.check()

    def check(self):
        used = self.registry.entries.keys() - self.registry.leaving
        for name, row in self.rows.items():
            is_sound = (
                name not in self.departed
                and row.started_at_ms == self.started_at_ms[name]
            )
            since = self.back_since.get(name, self.now)
            if is_sound and self.now - since >= SETTLING_MS + TICK_MS:
                assert name in used, f"{name} is kept out at {self.now}"

    def _return(self):
        """Go back to the copy, and have the departures written again at once."""
        self.rows = dict(self.copy)
        known = self.registry
        left = {
            name
            for name, started_at_ms in self.departed.items()
            if name in self.rows
            and self.rows[name].started_at_ms <= started_at_ms
            and name not in known.entries.keys() - known.leaving
        }
        known.on_store_restored(self.now)
        known.replace(self.rows.values(), self.now)
        used = known.entries.keys() - known.leaving
        assert not used & left, f"{used & left} are used again at {self.now}"
        self.back_since = dict.fromkeys(self.rows, self.now)
        for name in self.departed.keys() & self.rows.keys():
            del self.rows[name]
            known.remove([name], self.now)

    def _write(self, row):
        self.rows[row.name] = row
        self.registry.put([row])
        self.back_since[row.name] = self.now


@given(STEPS)
def test_no_return_brings_an_endpoint_back_or_keeps_one_out(steps):
    endpoints = Endpoints()
    for action, name, pause in steps:
        endpoints.step(action, name)
        endpoints.check()
        endpoints.wait(pause)
    endpoints.wait(3_000)


def test_an_announcement_that_is_read_ends_a_word(registry):
    """Guards against an entry of before that is used again once a word is over."""
    registry.withhold_reported(["e1"], now=100)
    registry.replace([entry("e1", leaving=True), entry("e2"), entry("e3")], now=200)
    registry.tick(now=9_000)
    assert in_use(registry) == {"e2", "e3"}
