"""Entries that a store restored from an older copy contains again are checked."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.membership import departures
from azurefold.core.membership.departures import Departures
from azurefold.core.membership.registry import EndpointEntry, EndpointRegistry

RECOVERY_MS = 2_000
TICK_MS = 250
NAMES = ("e1", "e2", "e3")


def entry(name, *, leaving=False, started_at_ms=0):
    return EndpointEntry(
        name, "desk", f"10.0.0.{name[1:]}:80", "dc-a", 6, leaving, started_at_ms
    )


@pytest.fixture
def registry():
    registry = EndpointRegistry()
    registry.replace_all([entry(name) for name in NAMES], now=0)
    return registry


def in_use(registry):
    return registry.entries.keys() - registry.leaving


def restore_store(registry, names, now, started_at_ms=0):
    """Restore the store from an older copy and read it."""
    registry.on_store_restored(now)
    registry.replace_all(
        [entry(name, started_at_ms=started_at_ms) for name in names], now
    )


def test_a_removed_endpoint_that_stays_listed_is_used_after_the_recovery(registry):
    """Guards against healthy endpoints that are withheld for more than two seconds."""
    registry.remove(["e1"], now=10)
    restore_store(registry, NAMES, now=1_000)
    assert in_use(registry) == {"e2", "e3"}
    assert registry.tick(now=2_999) == []
    assert registry.tick(now=3_000) == ["e1"]
    assert in_use(registry) == set(NAMES)


def test_a_removed_endpoint_that_registers_again_is_used_immediately(registry):
    """Guards against healthy endpoints that are withheld though newly written."""
    registry.remove(["e1"], now=10)
    restore_store(registry, NAMES, now=1_000)
    registry.put([entry("e1")])
    assert in_use(registry) == set(NAMES)
    assert registry.withheld == frozenset()


def test_an_endpoint_that_is_removed_again_stays_unused(registry):
    """Guards against using an entry after the recovery though it was removed."""
    registry.remove(["e1"], now=10)
    restore_store(registry, NAMES, now=1_000)
    registry.remove(["e1"], now=1_500)
    assert registry.tick(now=9_000) == []
    assert in_use(registry) == {"e2", "e3"}


@pytest.mark.parametrize("started_at_ms", [0, 5])
def test_an_endpoint_that_announced_its_departure_stays_unused(started_at_ms):
    """Guards against losing an announced departure while its entry is not read."""
    registry = EndpointRegistry()
    registry.replace_all([entry("e1", started_at_ms=started_at_ms), entry("e2")], now=0)
    registry.put([entry("e1", leaving=True, started_at_ms=started_at_ms)])
    registry.remove(["e1"], now=10)
    registry.on_store_restored(1_000)
    registry.replace_all(
        [entry("e1", started_at_ms=started_at_ms), entry("e2")], now=1_000
    )
    registry.tick(now=60_000)
    assert in_use(registry) == {"e2"}


@pytest.mark.parametrize(
    ("started_at_ms", "used"), [(4, {"e2"}), (5, {"e2"}), (6, {"e1", "e2"})]
)
def test_only_a_later_start_cancels_an_announced_departure(started_at_ms, used):
    """Guards against an older entry that is written first and cancels a departure."""
    registry = EndpointRegistry()
    registry.replace_all([entry("e1", started_at_ms=5), entry("e2")], now=0)
    registry.put([entry("e1", leaving=True, started_at_ms=5)])
    registry.on_store_restored(1_000)
    registry.replace_all([entry("e1", started_at_ms=5), entry("e2")], now=1_000)
    registry.put([entry("e1", started_at_ms=started_at_ms)])
    registry.tick(now=60_000)
    assert in_use(registry) == used


def test_an_endpoint_without_start_time_can_restart(registry):
    """Guards against withholding endpoints without a start time for ever."""
    registry.put([entry("e1", leaving=True)])
    registry.remove(["e1"], now=10)
    restore_store(registry, NAMES, now=1_000)
    registry.put([entry("e1")])
    assert in_use(registry) == {"e2", "e3"}
    registry.tick(now=3_000)
    assert in_use(registry) == set(NAMES)


def test_a_second_restore_has_its_own_recovery(registry):
    """Guards against ending the recovery of a later restore too early."""
    registry.remove(["e1"], now=10)
    restore_store(registry, NAMES, now=1_000)
    registry.remove(["e1"], now=2_000)
    restore_store(registry, NAMES, now=2_500)
    registry.tick(now=3_000)
    assert in_use(registry) == {"e2", "e3"}
    registry.tick(now=4_500)
    assert in_use(registry) == set(NAMES)


def test_entries_read_later_in_the_same_era_are_used(registry):
    """Guards against taking a departure after the restore for an earlier one."""
    restore_store(registry, NAMES, now=1_000)
    registry.remove(["e1"], now=1_200)
    registry.replace_all([entry(name) for name in NAMES], now=1_400)
    assert in_use(registry) == set(NAMES)


def test_an_entry_removed_between_two_reads_after_a_restore_is_deleted(registry):
    """Guards against taking removals after the restore for entries it lost."""
    restore_store(registry, NAMES, now=1_000)
    registry.replace_all([entry("e2"), entry("e3")], now=1_400)
    assert in_use(registry) == {"e2", "e3"}


def test_the_number_of_recorded_departures_is_limited(monkeypatch):
    """Guards against memory that grows with each release of each service."""
    monkeypatch.setattr(departures, "_MAX_REMEMBERED", 3)
    recorded = Departures()
    for number in range(5):
        recorded.record(entry(f"e{number}"))
    recorded.on_store_restored()
    withheld = [
        number
        for number in range(5)
        if not recorded.is_current(entry(f"e{number}"), is_written=False)
    ]
    assert withheld == [2, 3, 4]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("join", "drain", "remove", "lapse", "copy", "return")),
        st.sampled_from(NAMES),
        st.sampled_from((0, 100, 700, 2_500)),
    ),
    max_size=25,
)


class StoreModel:
    """Model of endpoints, the rows of their store, and a registry that reads them."""

    def __init__(self):
        self.registry = EndpointRegistry()
        self.rows = {name: entry(name, started_at_ms=1) for name in NAMES}
        self.registry.replace_all(self.rows.values(), now=0)
        self.copy = dict(self.rows)
        self.start_count = 1
        self.now = 0
        self.departed = {}
        self.started_at_ms = dict.fromkeys(NAMES, 1)
        self.listed_since = dict.fromkeys(NAMES, 0)

    def step(self, action, name):
        row = self.rows.get(name)
        match action:
            case "join":
                self.start_count += 1
                self.started_at_ms[name] = self.start_count
                self.departed.pop(name, None)
                self._write(entry(name, started_at_ms=self.start_count))
            case "drain" if row is not None:
                self.departed[name] = row.started_at_ms
                self._write(entry(name, leaving=True, started_at_ms=row.started_at_ms))
            case "remove" | "lapse" if row is not None:
                if action == "remove":
                    self.departed[name] = row.started_at_ms
                del self.rows[name]
                self.registry.remove([name], self.now)
                self.listed_since.pop(name, None)
            case "copy":
                self.copy = dict(self.rows)
            case "return":
                self._restore()

    def wait(self, ms):
        for _ in range(0, ms, TICK_MS):
            self.now += TICK_MS
            self.registry.tick(self.now)
            self.check()

    def check(self):
        used = self.registry.entries.keys() - self.registry.leaving
        for name, row in self.rows.items():
            is_healthy = (
                name not in self.departed
                and row.started_at_ms == self.started_at_ms[name]
            )
            since = self.listed_since.get(name, self.now)
            if is_healthy and self.now - since >= RECOVERY_MS + TICK_MS:
                assert name in used, f"{name} is withheld at {self.now}"

    def _restore(self):
        """Restore the copy, then write all departures again immediately."""
        self.rows = dict(self.copy)
        registry = self.registry
        departed = {
            name
            for name, started_at_ms in self.departed.items()
            if name in self.rows
            and self.rows[name].started_at_ms <= started_at_ms
            and name not in registry.entries.keys() - registry.leaving
        }
        registry.on_store_restored(self.now)
        registry.replace_all(self.rows.values(), self.now)
        used = registry.entries.keys() - registry.leaving
        assert not used & departed, f"{used & departed} are used again at {self.now}"
        self.listed_since = dict.fromkeys(self.rows, self.now)
        for name in self.departed.keys() & self.rows.keys():
            del self.rows[name]
            registry.remove([name], self.now)

    def _write(self, row):
        self.rows[row.name] = row
        self.registry.put([row])
        self.listed_since[row.name] = self.now


@given(STEPS)
def test_restores_neither_revive_departed_nor_withhold_healthy_endpoints(steps):
    model = StoreModel()
    for action, name, pause in steps:
        model.step(action, name)
        model.check()
        model.wait(pause)
    model.wait(3_000)


def test_an_announced_departure_replaces_a_peer_report(registry):
    """Guards against using an outdated entry again after a peer's report expires."""
    registry.withhold_reported(["e1"], now=100)
    registry.replace_all([entry("e1", leaving=True), entry("e2"), entry("e3")], now=200)
    registry.tick(now=9_000)
    assert in_use(registry) == {"e2", "e3"}
