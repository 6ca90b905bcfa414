"""The checks of a site's promises catch faults that are put in on purpose."""

import pytest
from tests.gateway.site_promises import new_site
from tests.gateway.store_world import StoreWorld
from tests.gateway.test_promises_hold_under_faults import play

from azurefold.core.membership.freshness import TableFreshness
from azurefold.core.membership.registry import EndpointRegistry
from azurefold.core.membership.table_refresh import RefreshScheduler
from azurefold.gateway.state import GatewayState
from azurefold.gateway.store.followers import TableFollower

LOST_ANSWER_AT_ONE = [
    (("configure",), 300),
    (("make_deaf", {5}, 2_000), 0),
    (("silence", 600, {5}), 700),
    (("configure",), 0),
]
LATE_ANSWERS = [(("configure",), 650)] * 8
STALE_WRITE = [(("join", "e1"), 1_000), (("drain", "e1"), 1_000)]


def never_aged(monkeypatch, _):
    monkeypatch.setattr(RefreshScheduler, "_is_stale", lambda *_: False)


def dated_by_arrival(monkeypatch, world):
    confirm = TableFreshness._confirm

    def mutant(self, store_ms):
        confirm(self, store_ms and world.time.at + world.store_ahead_ms)

    monkeypatch.setattr(TableFreshness, "_confirm", mutant)


def told_before_in_force(monkeypatch, _):
    read_all, read_changes = TableFollower._read_all, TableFollower._read_changes

    def early(read):
        def mutant(self):
            answer = read(self)
            if getattr(answer, "store_ms", None) is not None:
                self.freshness.record_changes(answer.version, None, answer.store_ms)
            return answer

        return mutant

    monkeypatch.setattr(TableFollower, "_read_all", early(read_all))
    monkeypatch.setattr(TableFollower, "_read_changes", early(read_changes))


def stopped_by_one_failure(monkeypatch, _):
    def mutant(self):
        for name, service in self.services.items():
            entries = self.registry.entries.values()
            mine = [entry for entry in entries if entry.service == name]
            service.set_endpoints(mine, self.cell, self.clock.now())

    monkeypatch.setattr(GatewayState, "spread_endpoints", mutant)


def entries_without_order(monkeypatch, _):
    def mutant(self, entries):
        self._entries.update((entry.name, entry) for entry in entries)
        return []

    monkeypatch.setattr(EndpointRegistry, "put", mutant)


def current_by_the_last_failure(monkeypatch, _):
    is_undoubted = property(lambda self: not self._is_doubted)
    monkeypatch.setattr(GatewayState, "is_current", is_undoubted)


def nothing_else(_):
    pass


def answers_are_late(site):
    site.world.be_slow(1_000, 10_000)


def first_gateway_cannot_apply(site):
    def fail(*_):
        raise RuntimeError("cannot apply")

    followers = site.world.by_name["gw-000"].news
    followers.configuration.on_rows = followers.configuration.on_changes = fail
    site.configure()


def one_service_fails(site):
    def fail(*_):
        raise RuntimeError("cannot take endpoints in")

    for gateway in site.world.by_name.values():
        service = gateway.state.services["broken"]
        gateway.state.services["broken"] = _Failing(service, fail)


class _Failing:
    def __init__(self, service, set_endpoints):
        self._service, self.set_endpoints = service, set_endpoints

    def __getattr__(self, name):
        return getattr(self._service, name)


def former_start_writes_late(site):
    play(site, STALE_WRITE)
    site.write_late("e1")


MUTANTS = {
    "never aged": (never_aged, nothing_else, LOST_ANSWER_AT_ONE, "has"),
    "dated by arrival": (dated_by_arrival, answers_are_late, LATE_ANSWERS, "is"),
    "told before in force": (
        told_before_in_force,
        first_gateway_cannot_apply,
        [(("calm", 1_500), 0)],
        "is",
    ),
    "stopped by one failure": (
        stopped_by_one_failure,
        one_service_fails,
        [(("drain", "e1"), 2_500)],
        "sends",
    ),
    "entries without order": (
        entries_without_order,
        former_start_writes_late,
        [],
        "put",
    ),
    "current by the last failure": (
        current_by_the_last_failure,
        first_gateway_cannot_apply,
        [(("calm", 1_500), 0)],
        "is",
    ),
}


def kinds_broken(gateways, prepare, events, mutate=None):
    """Return the first word of what is broken."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        world = StoreWorld(gateways, monkeypatch, services=("broken", "desk"))
        if mutate is not None:
            mutate(monkeypatch, world)
        site = new_site(world)
        try:
            prepare(site)
            play(site, events)
        finally:
            site.stop()
    return {what.split()[1] for what in site.broken}


# A gateway alone waits for no longer than a turn, and takes a date of arrival that lies
# ahead of the store's time for none.
HARMLESS_ALONE = ("never aged", "dated by arrival")
SIZES = [
    (name, n) for name in MUTANTS for n in (1, 6) if n > 1 or name not in HARMLESS_ALONE
]


@pytest.mark.parametrize(("name", "gateways"), SIZES)
def test_mutants_are_caught(name, gateways):
    mutate, prepare, events, kind = MUTANTS[name]
    assert kind not in kinds_broken(gateways, prepare, events)
    assert kind in kinds_broken(gateways, prepare, events, mutate)
