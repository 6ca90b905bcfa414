"""Configurations go upward only; entries and endpoints follow the store."""

from contextlib import suppress
from dataclasses import replace

import gevent
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.gateway.store_world import StoreWorld

from azurefold.core.membership.freshness import TableWatermark
from azurefold.core.routes.model import AnswerKind
from azurefold.core.routing.messages import Failed
from azurefold.gateway.endpoints.connections import EndpointLinks
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.store.followers import TableFollower
from azurefold.gateway.store.news import new_news
from azurefold.platform import configuration as configurations
from azurefold.platform import registry as registries
from azurefold.platform.configuration import (
    BadConfigurationError,
    decode_configuration,
)
from azurefold.platform.store_messages import FeedChanges, StoredRow, StoredRows


def configuration(version, **changes):
    body = {
        "Version": version,
        "Routes": [
            {
                "Name": "drafts",
                "Hostname": "a.example",
                "Prefix": "/drafts/",
                "RouteKind": "streaming",
                "TimeoutMs": 8000,
                "SloMs": 402,
                "Priority": 1,
                "Split": [
                    {"Service": "model", "Weight": 90},
                    {"Service": "desk", "Weight": 10},
                ],
                "MaxAttempts": 2,
                "Public": False,
                "Sticky": True,
                "Resumable": True,
                "TbtTargetMs": 120,
            },
            {
                "Name": "acks",
                "Hostname": "a.example",
                "Prefix": "/acks/",
                "RouteKind": "non_idempotent",
                "TimeoutMs": 800,
                "SloMs": 300,
                "Service": "desk",
            },
        ],
        "Services": [
            {
                "Name": "model",
                "HealthPath": "/healthz",
                "MaxConns": 358,
                "Engine": {"Slots": 6, "Stride": 5, "Sets": 4, "Experts": 64},
            },
            {"Name": "desk", "MaxConns": 110},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "shops", "ApiKeys": ["k1", "k2"], "Priority": 0}],
    }
    return msgspec.json.encode(body | changes)


@pytest.fixture
def news(state, store):
    return new_news(state, store)


def config_row(version, row):
    return StoredRow(configurations.KEY, row, configuration(version))


def entry_row(name, row, **changes):
    body = {
        "Service": "desk",
        "Address": "10.0.0.1:80",
        "Zone": "dc-a",
        "Slots": 6,
        "State": "ready",
    }
    return StoredRow(name, row, msgspec.json.encode(body | changes))


def test_all_fields_are_decoded_once():
    read = decode_configuration(configuration(7))
    drafts, acks = read.routes
    assert drafts.kind is AnswerKind.STREAMING
    assert [(d.service, d.weight) for d in drafts.destinations] == [
        ("model", 90),
        ("desk", 10),
    ]
    assert (drafts.timeout_ms, drafts.objective_ms, drafts.event_gap_ms) == (
        8000,
        402,
        120,
    )
    assert drafts.is_resumable
    assert drafts.max_attempts == 2
    assert [d.service for d in acks.destinations] == ["desk"]
    assert not acks.is_safe_to_rerun
    assert read.services["model"].engine.is_expert_parallel
    assert read.services["desk"].engine is None
    assert read.key_holders["k2"].organisation == "shops"
    assert read.key_holders["k2"].priority == 0
    assert read.is_key_required
    assert read.limits.idle_timeout_ms == 15000


def test_a_configuration_without_organisations_needs_no_keys():
    assert not decode_configuration(configuration(1, Tenants=None)).is_key_required


@pytest.mark.parametrize("data", [b"", b"{}", b'{"Version": "x"}'])
def test_what_is_no_configuration_is_refused(data):
    with pytest.raises(BadConfigurationError):
        decode_configuration(data)


def test_versions_go_upward_only(news, state):
    """A request is handled as only an older configuration allows.

    The store was restored from an older copy, or an answer was late, and showed
    a lower version than the one in force.
    """
    news.configuration.on_changes((config_row(7, 1),))
    news.configuration.on_changes((config_row(5, 2),))
    assert state.version == 7
    news.configuration.on_changes((config_row(9, 3),))
    assert state.version == 9


def test_an_unreadable_configuration_leaves_the_present_one(news, state):
    news.configuration.on_changes((config_row(7, 1),))
    news.configuration.on_changes((StoredRow(configurations.KEY, 2, b"{"),))
    assert state.version == 7


def test_other_rows_of_the_operators_table_are_passed_over(news, state):
    news.configuration.on_changes((StoredRow("else", 1, b"{}"),))
    assert state.version == 0


def test_endpoints_join_and_leave_their_service(news, state):
    news.configuration.on_rows((config_row(7, 1),))
    news.endpoints.on_rows((entry_row("e1", 2), entry_row("e2", 3)))
    pool = state.services["desk"].admission.pool
    assert set(pool.endpoints) == {"e1", "e2"}
    news.endpoints.on_changes((entry_row("e1", 4, State="draining"),))
    assert state.services["desk"].entries["e1"].leaving
    news.endpoints.on_changes((StoredRow("e1", 5, removed=True),))
    assert set(pool.endpoints) == {"e2"}


def fail_for(failing, method="set_endpoints"):
    """Return a method of services at which one of them fails."""
    original = getattr(GatewayService, method)

    def fail(service, *arguments):
        if service is failing:
            raise KeyError("e1")
        original(service, *arguments)

    return fail


def test_what_is_told_to_others_is_in_force(news, state, store, monkeypatch):
    """Guards against peers being told of a change that a service did not take in."""
    monkeypatch.setattr(gevent, "sleep", lambda seconds: None)
    news.configuration.on_rows((config_row(7, 1),))
    leaving = entry_row("e1", 4, State="draining")
    store.script = [
        StoredRows((entry_row("e1", 2),), 3, 1, 9_000),
        FeedChanges((leaving,), 4, 1, 9_100),
        FeedChanges((StoredRow("e1", 5, removed=True),), 5, 1, 9_200),
    ]
    news.endpoints._step()
    news.endpoints._step()
    known = state.endpoints_freshness
    told = TableWatermark(
        era=1, newest_version=4, confirmed_at=9_100, answered_since=9_000
    )
    assert known.watermark == told
    failing = state.services["desk"]
    monkeypatch.setattr(GatewayService, "set_endpoints", fail_for(failing))
    with pytest.raises(ExceptionGroup):
        news.endpoints._step()
    assert known.watermark == told


def test_a_service_that_fails_keeps_no_other_from_its_endpoints(
    news, state, monkeypatch
):
    """Guards against endpoints that stay in use as another service's update failed."""
    news.configuration.on_rows((config_row(7, 1),))
    model = {"Service": "model"}
    rows = (entry_row("e1", 2), entry_row("e2", 3, **model))
    news.endpoints.on_rows(rows)
    failing, other = state.services.values()
    monkeypatch.setattr(GatewayService, "set_endpoints", fail_for(failing))
    leaving = {"State": "draining"}
    with pytest.raises(ExceptionGroup):
        news.endpoints.on_changes(
            (entry_row("e1", 4, **leaving), entry_row("e2", 5, **model, **leaving))
        )
    assert not other.admission.pool.endpoints


ANNEX_ROUTES = [
    {
        "Name": "annex",
        "Hostname": "a.example",
        "Prefix": "/annex/",
        "RouteKind": "idempotent",
        "TimeoutMs": 800,
        "SloMs": 300,
        "Service": "annex",
    }
]
CHANGED = [{"Name": name, "MaxConns": 50} for name in ("desk", "model", "annex")]
"""The services of a newer configuration, of which the last one is new."""


def changed_row(version, row):
    value = configuration(version, Services=CHANGED, Routes=ANNEX_ROUTES)
    return StoredRow(configurations.KEY, row, value)


def failing_step(news, monkeypatch, method, name):
    """Take in the script's next answer while a service's method fails."""
    original = getattr(GatewayService, method)

    def fail(service, *arguments):
        if service.view.name == name:
            raise KeyError("e1")
        original(service, *arguments)

    with monkeypatch.context() as patch, suppress(KeyError, ExceptionGroup):
        patch.setattr(GatewayService, method, fail)
        news.configuration._step()


FAILURES = [
    ("configure", "desk"),
    ("configure", "model"),
    ("set_endpoints", "desk"),
    ("set_endpoints", "annex"),
]


@pytest.fixture
def changing(news, store):
    """Return news with a configuration in force and a newer one in the script."""
    store.script = [
        StoredRows((config_row(7, 1),), 1, 1, 9_000),
        FeedChanges((changed_row(9, 2),), 2, 1, 9_100),
    ]
    news.configuration._step()
    annex = {"Service": "annex"}
    news.endpoints.on_rows((entry_row("e1", 2), entry_row("e2", 3, **annex)))
    return news


@pytest.mark.parametrize("failure", FAILURES)
def test_a_configuration_that_failed_is_applied_again(
    changing, state, store, monkeypatch, failure
):
    """Guards against a failed configuration that counts as applied for good."""
    failing_step(changing, monkeypatch, *failure)
    store.script = [StoredRows((changed_row(9, 2),), 2, 1, 9_200)]
    changing.configuration._step()
    limits = {n: s.view.max_connections for n, s in state.services.items()}
    assert limits == {"desk": 50, "model": 50, "annex": 50}
    assert set(state.services["desk"].entries) == {"e1"}
    assert set(state.services["annex"].entries) == {"e2"}
    assert state.version == 9
    assert state.configuration_freshness.watermark.newest_version == 2


@pytest.mark.parametrize("failure", FAILURES)
def test_a_configuration_that_failed_is_not_told(changing, state, monkeypatch, failure):
    """Guards against peers and operators being told of a version that failed."""
    failing_step(changing, monkeypatch, *failure)
    assert state.version == 7
    assert state.configuration_freshness.watermark.newest_version == 1


@pytest.mark.parametrize("failure", FAILURES)
def test_a_service_that_fails_keeps_no_other_from_a_configuration(
    changing, state, monkeypatch, failure
):
    """Guards against services and routes left out as another service failed."""
    failing_step(changing, monkeypatch, *failure)
    others = {"desk": "e1", "annex": "e2", "model": None}
    del others[failure[1]]
    for name, endpoint in others.items():
        assert state.services[name].view.max_connections == 50
        assert set(state.services[name].entries) == {endpoint} - {None}
    assert state.routes.find("a.example", "/annex/x") is not None


LATE_ROWS = [(config_row(8, 3),), (StoredRow(configurations.KEY, 3, b"{"),), ()]


@pytest.mark.parametrize("rows", LATE_ROWS)
@pytest.mark.parametrize("failure", FAILURES)
def test_after_a_failure_no_version_goes_back(
    changing, state, store, monkeypatch, failure, rows
):
    """Guards against an older configuration replacing one that is partly applied."""
    failing_step(changing, monkeypatch, *failure)
    store.script = [StoredRows(rows, 3, 1, 9_200)]
    changing.configuration._step()
    assert state.routes.find("a.example", "/annex/x") is not None
    assert state.services["desk"].view.max_connections == 50
    assert set(state.services["annex"].entries) == {"e2"}
    assert state.version == 9


def test_a_configuration_is_tried_until_it_is_in_force(monkeypatch):
    """Guards against news of the configuration that count as fresh while it fails."""
    world = StoreWorld(2, monkeypatch)
    world.configure(1)
    world.register("e1")
    world.start()
    states = [gateway.state for gateway in world.by_name.values()]
    try:
        with monkeypatch.context() as patch:
            failing = states[0].services["desk"]
            patch.setattr(GatewayService, "configure", fail_for(failing, "configure"))
            world.configure(2, routes=("drafts",))
            world.run(10_000)
            assert [each.version for each in states] == [1, 2]
            assert [each.is_current for each in states] == [False, True]
            assert all(each.routes.find("a.example", "/drafts/x") for each in states)
            assert world.sending_to("e1") == set(world.by_name)
        world.run(1_500)
        assert [each.version for each in states] == [2, 2]
        assert [each.is_current for each in states] == [True, True]
    finally:
        world.stop()


def test_a_gateway_serves_with_a_first_configuration_that_failed(
    news, state, store, monkeypatch
):
    """Guards against a service that fails at a start keeping all callers out."""
    store.script = [StoredRows((config_row(7, 1),), 1, 1, 9_000)] * 2
    news.endpoints.on_rows(())
    failing_step(news, monkeypatch, "set_endpoints", "model")
    assert state.is_ready
    assert state.version == 0
    assert not state.is_current
    news.configuration._step()
    assert state.version == 7
    assert state.is_current


def test_entries_that_came_before_the_configuration_are_not_lost(news, state):
    news.endpoints.on_rows((entry_row("e1", 2),))
    news.configuration.on_rows((config_row(7, 3),))
    assert set(state.services["desk"].entries) == {"e1"}


def test_an_endpoint_that_was_written_and_removed_in_one_answer_is_gone(news, state):
    """Guards against requests to an endpoint whose removal followed another change."""
    news.configuration.on_rows((config_row(7, 1),))
    news.endpoints.on_rows((entry_row("e1", 2), entry_row("e2", 3)))
    removal = StoredRow("e1", 5, removed=True)
    news.endpoints.on_changes((entry_row("e1", 4, SeqNo=9), removal))
    assert set(state.services["desk"].entries) == {"e2"}


def test_an_endpoint_that_was_removed_and_written_in_one_answer_is_there(news, state):
    news.configuration.on_rows((config_row(7, 1),))
    news.endpoints.on_rows((entry_row("e1", 2), entry_row("e2", 3)))
    removal = StoredRow("e1", 4, removed=True)
    news.endpoints.on_changes((removal, entry_row("e1", 5)))
    assert set(state.services["desk"].entries) == {"e1", "e2"}


def test_an_unreadable_entry_is_passed_over(news, state):
    news.configuration.on_rows((config_row(7, 1),))
    news.endpoints.on_rows((StoredRow("bad", 2, b"{"), entry_row("e1", 3)))
    assert set(state.services["desk"].entries) == {"e1"}
    assert registries.TABLE == "servers"


UNUSABLE = [
    {"State": "resting"},
    {"State": None},
    {"Slots": "six"},
    {"Slots": 0},
    {"Address": "10.0.0.1"},
    {"Address": "10.0.0.1:port"},
    {"Address": ["10.0.0.1:80"]},
    {"Service": ""},
    {"Zone": 3},
    {"SeqNo": "many"},
    {"born": "yesterday"},
    {"born": 1.5},
]


@pytest.mark.parametrize("changes", UNUSABLE)
def test_an_entry_of_another_writer_names_no_endpoint(news, state, changes):
    """Requests go to an address that is no endpoint's, or none are served at all.

    A row of the endpoints' table was not written by an endpoint. It was taken for
    one, or it stopped the gateway from reading the rows behind it.
    """
    news.configuration.on_rows((config_row(7, 1),))
    rows = (entry_row("odd", 2, **changes), entry_row("e1", 3))
    news.endpoints.on_changes(rows)
    assert set(state.services["desk"].entries) == {"e1"}
    assert state.unreadable_entries == 1


def test_an_entry_that_is_overwritten_names_no_endpoint_any_more(news, state):
    news.configuration.on_rows((config_row(7, 1),))
    news.endpoints.on_rows((entry_row("e1", 2), entry_row("e2", 3)))
    news.endpoints.on_changes((StoredRow("e1", 4, b"\xff\x00"),))
    assert set(state.services["desk"].entries) == {"e2"}


@given(st.binary(max_size=80))
def test_any_bytes_are_an_entry_or_refused(value):
    try:
        entry = registries.decode_entry("e1", value)
    except registries.BadEntryError:
        return
    assert entry.service


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=2),
    max_leaves=3,
)
FIELDS = ("Service", "Address", "Zone", "Slots", "State", "Version", "SeqNo", "born")


@given(st.dictionaries(st.sampled_from(FIELDS), JSON))
def test_any_fields_are_an_entry_or_refused(changes):
    value = entry_row("e1", 1).value
    body = msgspec.json.decode(value) | changes
    try:
        entry = registries.decode_entry("e1", msgspec.json.encode(body))
    except registries.BadEntryError:
        return
    assert entry.slots >= 1
    assert isinstance(entry.started_at_ms, int)


def test_an_endpoint_that_started_again_is_a_new_one(news, state, time, monkeypatch):
    """Requests wait for an answer of a process that is gone, until their deadlines.

    The endpoint started again under its name. Its entry looked as before, so its
    connections, its ejection and its requests in flight were kept.
    """
    news.configuration.on_rows((config_row(7, 1),))
    news.endpoints.on_rows((entry_row("e1", 2, born=1_000),))
    pool = state.services["desk"].admission.pool
    pool.record_start("e1", "r1", time.at)
    severed = []
    monkeypatch.setattr(EndpointLinks, "sever", lambda _, name: severed.append(name))
    news.endpoints.on_changes((entry_row("e1", 3, born=2_000),))
    assert severed == ["e1"]
    assert pool.in_flight == 0
    assert set(pool.endpoints) == {"e1"}
    assert pool.record_end("e1", "r1", Failed(), time.at) is None


def test_an_entry_of_a_former_start_changes_nothing(news, state):
    news.configuration.on_rows((config_row(7, 1),))
    news.endpoints.on_rows((entry_row("e1", 2, born=2_000),))
    late = entry_row("e1", 3, born=1_000, State="draining")
    news.endpoints.on_changes((late,))
    assert not state.services["desk"].entries["e1"].leaving


def test_the_same_start_is_told_again_and_again(news, state):
    news.configuration.on_rows((config_row(7, 1),))
    news.endpoints.on_rows((entry_row("e1", 2, born=2_000),))
    pool = state.services["desk"].admission.pool
    pool.record_start("e1", "r1", 0)
    news.endpoints.on_changes((entry_row("e1", 3, born=2_000, SeqNo=4),))
    assert pool.in_flight == 1


def test_an_unknown_route_is_said_to_be_unknown_only_with_fresh_news(
    news, state, store, time
):
    assert not state.is_current
    store.script = [
        StoredRows((config_row(7, 1),), 1, 1, 9_000),
        FeedChanges((), 1, 1, 11_000),
    ]
    news.configuration._step()
    assert state.is_current
    time.advance(state.settings.apply_ms)
    assert not state.is_current
    news.configuration._step()
    assert state.is_current
    news.configuration.on_doubt()
    assert not state.is_current


@pytest.mark.parametrize(
    ("nodes", "drain_ms", "longest"),
    [(9, 2_000, 200), (31, 3_000, 600), (98, 4_000, 1_200), (390, 4_000, 1_200)],
)
def test_changes_of_endpoints_are_gathered_within_the_bound(
    state, store, nodes, drain_ms, longest
):
    """Each of a hundred gateways asked twice a second while endpoints were replaced.

    Every call fetched a change or two. The pause between two calls stays below a third
    of the time within which an endpoint that leaves may still get requests.
    """
    state.settings = replace(state.settings, drain_ms=drain_ms)
    state.nodes = nodes
    news = new_news(state, store)
    assert news.endpoints.gather_ms() == longest
    assert news.configuration.gather_ms() <= 600


def test_a_removal_that_no_row_shows_is_not_asked_for(state, store, time, monkeypatch):
    """A gateway reads all endpoints twice a second, for good.

    Its peers had seen an entry's removal. It had read the whole table after that, which
    has no row with the removal's version, and took itself for behind.
    """
    news = new_news(state, store)
    store.script = [StoredRows((), 40, 1, 9_000)]
    news.endpoints._step()
    looked = []
    renew = lambda follower, **how: looked.append(how)  # noqa: E731
    monkeypatch.setattr(TableFollower, "renew", renew)
    for _ in range(10):
        time.at += 600
        as_of = state.store_time.at(time.at)
        news.merge_statements(
            None, TableWatermark(era=1, newest_version=37, confirmed_at=as_of)
        )
        news.tick(time.at)
    assert not looked


def test_a_gateway_is_ready_once_it_knows_the_endpoints(state, news):
    """Guards against callers who are refused by a gateway that has just started."""
    news.configuration.on_rows((config_row(1, 1),))
    assert not state.is_ready
    news.endpoints.on_rows(())
    assert state.is_ready
