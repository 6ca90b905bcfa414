"""Endpoints that leave get no new requests once the time to drain is over."""

from dataclasses import dataclass

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.gateway.conftest import ScriptedStore, settings_of
from tests.gateway.store_world import DRAIN_MS, SERVICE, STABLE_MS, StoreWorld
from tests.gateway.test_news_is_put_in_force import config_row, entry_row

from azurefold.core.admission.messages import Priority
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.membership.registry import EndpointEntry, EndpointRegistry
from azurefold.core.routing.cells import cell_of
from azurefold.core.routing.messages import Failed, Misdirected
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.quota_sharers import QuotaSharers
from azurefold.core.routing.rank_groups import GroupStatus, Standing
from azurefold.entry.admission import Ticket
from azurefold.gateway.state import new_gateway_state
from azurefold.gateway.store.news import new_news
from azurefold.platform.store_messages import StoredRow, Unavailable

PAUSE_MS = 3_000
CUT_MS = 9_000
NAMES = ("e1", "e2", "e3", "e4", "e5")
CUT_MS = 9_000
SERVICES = ("desk", "model")


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


@pytest.fixture
def news(state, store):
    news = new_news(state, store)
    news.configuration.on_rows((config_row(1, 1),))
    return news


def eligible(state, service="desk"):
    return {e.name for e in state.services[service].admission.pool._members.eligible}


# Outages of the store for one gateway, and for all


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_removal_during_an_outage_of_one_gateway_holds_when_it_counts(world_of, seed):
    """Guards against trusting, after its own outage, an entry removed long before."""
    world = world_of(6, seed=seed)
    world.silence(CUT_MS, ["gw-000"])
    world.run(10)
    world.remove("e1")
    world.run(CUT_MS - 10 + STABLE_MS)
    assert not world.sending_to("e1")


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_leaving_during_an_outage_of_one_gateway_holds_when_it_counts(world_of, seed):
    """Guards against trusting an entry of which only the removal is read."""
    world = world_of(6, seed=seed)
    world.silence(CUT_MS, ["gw-000"])
    world.run(10)
    world.register("e1", "draining")
    world.run(DRAIN_MS + 500)
    world.remove("e1")
    world.run(CUT_MS - DRAIN_MS - 510 + STABLE_MS)
    assert not world.sending_to("e1")


@pytest.mark.parametrize("seed", range(1, 9))
def test_removals_in_numbers_during_an_outage_of_one_gateway_hold_when_it_counts(
    world_of, seed
):
    """Guards against entries taken for lapsed though other gateways heard the store."""
    world = world_of(6, seed=seed)
    world.silence(CUT_MS, ["gw-000"])
    world.run(10)
    world.remove("e1")
    world.remove("e2")
    world.run(CUT_MS - 10 + STABLE_MS)
    assert not world.sending_to("e1")
    assert not world.sending_to("e2")


def test_entries_that_lapse_while_the_store_is_away_are_trusted(world_of):
    """Guards against gateways without endpoints after an outage of the store."""
    world = world_of(6)
    world.silence(CUT_MS)
    world.run(CUT_MS - 10)
    for endpoint in ("e1", "e2", "e3"):
        world.remove(endpoint)
    world.run(2_000)
    assert len(world.sending_to("e1")) == 6


# Removals that are read late on a calm site


@pytest.mark.parametrize("gateways", [1, 6, 31])
@pytest.mark.parametrize("later", [0, 20, 100, 190])
def test_two_removals_after_another_change_hold_in_time(world_of, gateways, later):
    """Guards against counting the trust in a mass removal from when it is read."""
    world = world_of(gateways)
    world.register("e9")
    world.run(later)
    world.remove("e1")
    world.remove("e2")
    world.run(DRAIN_MS)
    assert not world.sending_to("e1")
    assert not world.sending_to("e2")


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from((0, 100, 600, 1_400)),
            st.sets(st.sampled_from(NAMES), min_size=1),
        ),
        min_size=1,
        max_size=3,
    ),
    delay=st.sampled_from((0, 250, 450, 700)),
    has_draining=st.booleans(),
)
def test_no_order_of_removals_keeps_an_endpoint_too_long(steps, delay, has_draining):
    """Guards against removed entries in use when a change is read up to 0.7 s late."""
    registry = EndpointRegistry()
    registry.replace_all([_entry(name) for name in NAMES], now=0)
    confirmed, reads, at = {}, [], 0
    for pause, names in steps:
        at += pause
        reads.append((at + delay, names - confirmed.keys()))
        confirmed |= dict.fromkeys(names - confirmed.keys(), at)
    for now in range(0, at + delay + DRAIN_MS + 500, 50):
        for _, names in [each for each in reads if now - 50 < each[0] <= now]:
            if has_draining:
                registry.put([_entry(name, leaving=True) for name in names])
            registry.remove(sorted(names), now, known_at=now - delay)
        if now % 250 == 0:
            registry.tick(now)
        used = registry.entries.keys() - registry.leaving
        late = {name for name in used if now > confirmed.get(name, now) + DRAIN_MS}
        assert not late, f"{late} in use at {now}, confirmed {confirmed}"


# One table's outage is no other's


class AwayStore:
    """A store that answers no call."""

    def read_table(self, table):
        return Unavailable("away")

    def open_feed(self):
        return self

    def changes(self, table, after, wait_ms):
        return Unavailable("away")

    def close(self):
        pass


@pytest.mark.parametrize("gateways", [1, 6])
def test_failed_calls_for_configurations_lengthen_no_trust_in_endpoints(
    world_of, gateways
):
    """Guards against a removal that is trusted since the other table's calls failed."""
    world = world_of(gateways)
    for gateway in world.by_name.values():
        gateway.news.configuration.store = AwayStore()
        gateway.news.configuration.renew()
    world.run(PAUSE_MS)
    world.remove("e1")
    world.run(DRAIN_MS)
    assert not world.sending_to("e1")


def test_a_regained_table_is_not_lost_through_the_other_one(news, state, time):
    """Guards against one table's failures that mark the store as lost for both."""
    news.endpoints.on_rows((entry_row("e1", 2), entry_row("e2", 3)))
    news.configuration.on_lost()
    news.configuration.on_heard()
    time.at += 60_000
    news.endpoints.on_heard()
    news.endpoints.on_changes((StoredRow("e1", 4, removed=True),))
    assert eligible(state) == {"e2"}


# Rows that say less than others


def test_a_leaving_endpoint_need_not_say_when_it_started(news, state):
    """Guards against a draining row without `born` that is taken for an older start."""
    news.endpoints.on_rows((entry_row("e1", 2, born=2_000), entry_row("e2", 3)))
    news.endpoints.on_changes((entry_row("e1", 4, State="draining"),))
    assert eligible(state) == {"e2"}


# Several changes of one endpoint in one answer


def test_an_endpoint_removed_after_its_entry_was_written_is_gone(news, state):
    """Guards against a written row that undoes the later removal in the same answer."""
    news.endpoints.on_rows((entry_row("e2", 2),))
    rows = (entry_row("e1", 3), StoredRow("e1", 4, removed=True))
    news.endpoints.on_changes(rows)
    assert eligible(state) == {"e2"}


def test_an_endpoint_removed_after_it_was_draining_is_gone(news, state):
    """Guards against an entry that is kept for good, counted among its service's."""
    news.endpoints.on_rows((entry_row("e1", 2), entry_row("e2", 3)))
    rows = (entry_row("e1", 4, State="draining"), StoredRow("e1", 5, removed=True))
    news.endpoints.on_changes(rows)
    assert set(state.registry.entries) == {"e2"}


def test_an_entry_that_lapsed_and_came_back_in_one_answer_is_used(news, state):
    """Guards against a removed row that undoes the later write in the same answer."""
    news.endpoints.on_rows((entry_row("e1", 2), entry_row("e2", 3)))
    rows = (StoredRow("e1", 4, removed=True), entry_row("e1", 5))
    news.endpoints.on_changes(rows)
    assert eligible(state) == {"e1", "e2"}


ROWS = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sampled_from(("ready", "draining", "gone"))),
    min_size=1,
    max_size=8,
)


@given(ROWS, st.integers(1, 8))
def test_changes_mean_the_same_in_any_number_of_answers(changes, size):
    """Guards against an outcome that depends on how many changes one answer holds."""
    used = []
    for step in (1, size):
        site = Site(ManualTime(at=100_000))
        rows = [
            StoredRow(name, 10 + number, removed=True)
            if kind == "gone"
            else entry_row(name, 10 + number, State=kind)
            for number, (name, kind) in enumerate(changes)
        ]
        site.news.endpoints.on_rows(tuple(entry_row(name, 2) for name in NAMES))
        for first in range(0, len(rows), step):
            site.news.endpoints.on_changes(tuple(rows[first : first + step]))
        site.tick(10_000)
        used.append(eligible(site.state))
    assert used[0] == used[1]


# Services whose endpoints suffer


@dataclass(eq=False)
class Site:
    """One gateway's state with what happens to it."""

    time: ManualTime

    def __post_init__(self):
        self.state = new_gateway_state(settings_of(), manual_clock(self.time))
        self.news = new_news(self.state, ScriptedStore())
        self.news.configuration.on_rows((config_row(1, 1),))
        self.row = 1
        self.waiting = []
        for service in SERVICES:
            self.state.services[service].promised_gap_ms = 100

    def service_of(self, name):
        return self.state.services[_service_of(name)]

    def write(self, name, state, born):
        service = _service_of(name)
        self.row += 1
        row = entry_row(name, self.row, Service=service, State=state, born=born)
        self.news.endpoints.on_changes((row,))

    def remove(self, names):
        self.row += 1
        rows = tuple(StoredRow(name, self.row, removed=True) for name in names)
        self.news.endpoints.on_changes(rows)

    def whole(self, names):
        self.row += 1
        rows = tuple(
            entry_row(name, self.row, Service=_service_of(name)) for name in names
        )
        self.news.endpoints.on_rows(rows)

    def outage(self, is_lost):
        if is_lost:
            self.news.endpoints.on_lost()
        else:
            self.news.endpoints.on_heard()

    def tick(self, ms):
        self.time.at += ms
        now = self.time.at
        if self.state.registry.tick(now):
            self.state.spread_endpoints()
        for service in self.state.services.values():
            service.tick()

    def harm(self, name, how):
        service, now = self.service_of(name), self.time.at
        pool = service.admission.pool
        match how:
            case "unreachable":
                service.lost_reach(name, now)
            case "failing":
                for number in range(3):
                    pool.record_start(name, f"{name}-{now}-{number}", now)
                    pool.record_end(name, f"{name}-{now}-{number}", Failed(), now)
            case "misdirected":
                pool.record_start(name, f"{name}-{now}", now)
                pool.record_end(name, f"{name}-{now}", Misdirected(), now)
            case "pause":
                pool.back_off(name, now + 1_500, now)
            case "announced":
                pool.record_leaving(name, now)
            case "quota":
                nodes = frozenset({"gateway-1", "gateway-2"})
                pool.share_quotas(QuotaSharers("gateway-1", nodes), now)
                pool.record_quota_answer(name, 1.0, now, now)
            case "refused":
                service.rank_refused(name, "", now)
            case "refused by all":
                for other in service.entries:
                    service.rank_refused(other, name, now)
            case "served":
                service.group_served(name, now, now)
            case "slow passes":
                service.event_gap(name, 400, now)
            case "in flight":
                pool.record_start(name, f"{name}-kept-{now}", now)
            case "down" | "runs":
                standing = Standing.DOWN if how == "down" else Standing.RUNS
                marks = tuple(endpoint_hash(each) for each in service.entries)
                group = endpoint_hash(service.view.name)
                self.state.group_told(GroupStatus(group, 7, 1, standing, marks))

    def cell(self, nodes):
        names = ["gateway-1", *(f"gateway-{n + 2}" for n in range(nodes - 1))]
        self.state.set_cell(cell_of("gateway-1", names))

    def wait(self, name, number):
        admission = self.service_of(name).admission
        ticket = Ticket(
            f"r{number}-{len(self.waiting)}",
            "shops",
            Priority.CONFIRMATION,
            10,
            self.time.at + 900,
        )
        self.waiting.append(gevent.spawn(admission.acquire, ticket))
        gevent.sleep(0)


ENDPOINTS = tuple(f"{kind}{number}" for kind in "em" for number in range(4))
HARMS = (
    "unreachable",
    "failing",
    "misdirected",
    "pause",
    "announced",
    "quota",
    "refused",
    "refused by all",
    "served",
    "down",
    "runs",
    "slow passes",
    "in flight",
)
ACTIONS = st.one_of(
    st.tuples(
        st.just("write"),
        st.sampled_from(ENDPOINTS),
        st.sampled_from(("ready", "draining")),
        st.sampled_from((0, 1_000, 2_000)),
    ),
    st.tuples(
        st.just("remove"), st.lists(st.sampled_from(ENDPOINTS), max_size=3, unique=True)
    ),
    st.tuples(st.just("whole"), st.lists(st.sampled_from(ENDPOINTS), unique=True)),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("tick"), st.sampled_from((10, 250, 1_000, 6_000))),
    st.tuples(st.just("harm"), st.sampled_from(ENDPOINTS), st.sampled_from(HARMS)),
    st.tuples(st.just("harm"), st.sampled_from(ENDPOINTS), st.sampled_from(HARMS)),
    st.tuples(st.just("cell"), st.sampled_from((1, 9, 27))),
    st.tuples(st.just("wait"), st.sampled_from(ENDPOINTS), st.integers(0, 9)),
)


@given(st.lists(ACTIONS, min_size=5, max_size=40))
def test_a_service_takes_in_any_list_whatever_its_endpoints_suffer(actions):
    """Guards against a part that raises on a list, which keeps it from the others."""
    site = Site(ManualTime(at=100_000))
    site.whole(ENDPOINTS)
    try:
        for name, *arguments in actions:
            getattr(site, name)(*arguments)
            entries = site.state.registry.entries.values()
            for service in SERVICES:
                staying = {
                    e.name for e in entries if e.service == service and not e.leaving
                }
                assert eligible(site.state, service) <= staying
                pool = site.state.services[service].admission.pool
                assert set(pool.endpoints) == staying
    finally:
        gevent.killall(site.waiting)


def _service_of(name):
    return "desk" if name[0] == "e" else "model"


def _entry(name, leaving=False):
    return EndpointEntry(name, SERVICE, f"10.0.0.{name[1:]}:80", "dc-a", 6, leaving)


def _fail(*_):
    raise RuntimeError("this part fails")
