"""An odd row of the store costs nothing but itself."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from tests.gateway.conftest import settings_of
from tests.odd_json import DIGITS, NESTED, odd_texts

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.gateway.groups.coordinator import _holder_in
from azurefold.gateway.peers.membership import _peer
from azurefold.gateway.state import new_gateway_state
from azurefold.gateway.store.news import new_news
from azurefold.platform.configuration import (
    BadConfigurationError,
    decode_configuration,
)
from azurefold.platform.headers import endpoint_headers, read_request
from azurefold.platform.registry import BadEntryError, decode_entry
from azurefold.platform.store_messages import StoredRow

ENTRY = {
    "Service": "desk",
    "Address": "10.0.0.1:80",
    "Zone": "dc-a",
    "Slots": 6,
    "State": "ready",
    "Version": "1",
    "SeqNo": 3,
    "ColdLeftMs": 0,
    "born": 5,
}
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "acks",
            "Hostname": "a.example",
            "Prefix": "/acks/",
            "RouteKind": "idempotent",
            "TimeoutMs": 800,
            "SloMs": 300,
            "Service": "desk",
        }
    ],
    "Services": [{"Name": "desk", "MaxConns": 8, "Engine": {"Slots": 2}}],
    "Limits": {"IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "shops", "ApiKeys": ["k"]}],
}
NODE = {"ip": "10.0.0.2", "port": 7340}
HOLDER = {"node": "gateway-2", "incarnation": 5, "popularity": {"a": [[1]]}, "term": 3}


def odd_rows(value):
    """Return a strategy of rows that hold ``value`` with an odd field."""
    return odd_texts(value).map(str.encode)


@settings(max_examples=300, deadline=None)
@given(odd_rows(ENTRY))
def test_an_odd_entry_is_refused_or_of_use(value):
    """Guards against an entry that fails whoever uses it, or stops the list."""
    try:
        entry = decode_entry("e1", value)
    except BadEntryError:
        return
    head = read_request([("Host", "a.example")])
    headers = endpoint_headers(
        head,
        endpoint=entry.name,
        organisation="",
        left_ms=1,
        last_event_id=None,
        priority=5,
        passes_key=False,
    )
    assert str(headers).encode("latin-1")
    assert 0 < float(entry.slots) < 1e6
    assert float(entry.started_at_ms) >= 0
    msgspec.msgpack.encode((entry.slots, entry.started_at_ms, entry.cold_left_ms))


@settings(max_examples=300, deadline=None)
@given(odd_rows(CONFIGURATION))
def test_an_odd_configuration_is_refused_or_of_use(value):
    """Guards against a configuration that ends the loop which reads it."""
    try:
        read = decode_configuration(value)
    except BadConfigurationError:
        return
    msgspec.msgpack.encode([read.version, *(r.timeout_ms for r in read.routes)])
    state = new_gateway_state(settings_of(), manual_clock(ManualTime()))
    state.apply(read)
    for service in state.services.values():
        service.tick()


@settings(max_examples=200, deadline=None)
@given(odd_rows(NODE))
def test_an_odd_row_of_a_gateway_is_refused_or_of_use(value):
    peer = _peer(StoredRow("gateway-2", 1, value))
    assert peer is None or 0 <= peer.port < 65_536


@settings(max_examples=200, deadline=None)
@given(odd_rows(HOLDER))
def test_an_odd_row_of_a_coordinator_is_nobodys_or_of_use(value):
    msgspec.msgpack.encode(_holder_in(value).term)


def row(key, version, text):
    return StoredRow(key, version, text.encode())


ODD_ENTRIES = {
    "nested": json.dumps(ENTRY)[:-1] + f',"Later":{NESTED}}}',
    "long-port": json.dumps(ENTRY | {"Address": "10.0.0.1:" + "9" * DIGITS}),
    "high-port": json.dumps(ENTRY | {"Address": "10.0.0.1:70000"}),
    "no-host": json.dumps(ENTRY | {"Address": "a..b:80"}),
    "large-slots": json.dumps(ENTRY | {"Slots": 10**300}),
}


@pytest.fixture
def news(state, store):
    news = new_news(state, store)
    news.configuration.on_rows((row("config", 1, json.dumps(CONFIGURATION)),))
    return news


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_all_others_are_followed_beside_an_odd_entry(news, state, caplog, odd):
    """Guards against one row that stops a gateway from following the list."""
    good = json.dumps(ENTRY)
    rows = (row("e1", 2, good), row("odd", 3, odd), row("e2", 4, good))
    news.endpoints.on_rows(rows)
    assert set(state.services["desk"].entries) == {"e1", "e2"}
    news.endpoints.on_changes((row("odd", 5, odd), row("e3", 6, good)))
    assert set(state.services["desk"].entries) == {"e1", "e2", "e3"}
    news.endpoints.on_changes((StoredRow("e2", 7, b"", removed=True),))
    assert set(state.services["desk"].entries) == {"e1", "e3"}
    # Read whole again and again, it is named and counted once for each writing.
    for _ in range(3):
        news.endpoints.on_rows(
            (row("e1", 2, good), row("odd", 5, odd), row("e3", 6, good))
        )
    assert state.unreadable_entries == 2
    lines = [r for r in caplog.messages if "event=entry_unreadable" in r]
    assert len(lines) == 2


@pytest.mark.parametrize("name", ["a\r\nHost: b", "", "\u2603", "a\0b"])
def test_an_entry_whose_name_fits_into_no_header_names_no_endpoint(news, state, name):
    """Guards against a name that breaks each request sent there."""
    news.endpoints.on_rows((row(name, 2, json.dumps(ENTRY)),))
    assert state.services["desk"].entries == {}
