"""Gateways stay known to each other when the store comes back from an older copy."""

import gevent
import msgspec
import pytest
from tests.gateway.conftest import ScriptedStore, settings_of
from tests.gateway.row_store import RowStore

from azurefold.core.clock import manual_clock
from azurefold.gateway.peers import membership
from azurefold.gateway.peers.membership import new_peers
from azurefold.gateway.state import new_gateway_state
from azurefold.gateway.store.news import new_news
from azurefold.platform import names
from azurefold.platform.store_messages import StoredRow, StoredRows

SOON_S = 0.3


class Silent:
    """A socket whose messages reach nobody."""

    def sendto(self, data, address):
        pass


@pytest.fixture
def rows():
    return RowStore()


@pytest.fixture
def peers_of(rows, time, monkeypatch):
    monkeypatch.setattr(membership, "_REWRITE_WITHIN_MS", 20)
    loops = []

    def start(name):
        settings = settings_of(name=name)
        state = new_gateway_state(settings, manual_clock(time))
        peers = new_peers(state, rows, new_news(state, ScriptedStore()))
        peers.exchange._sock = Silent()
        loops.append(gevent.spawn(peers._be_known))
        gevent.sleep(0)
        return peers

    yield start
    gevent.killall(loops)


def listed(rows):
    return {row.key for row in rows.read_table(names.NODES).rows}


def come_back(rows, copy, *members):
    rows.feed.go_back(copy)
    for each in members:
        each.state.note_store_return()


def test_a_row_that_the_copy_lacks_is_written_again(rows, peers_of):
    """Guards against gateways that nobody finds any more after a return."""
    copy = rows.feed.copy()
    first, second = peers_of("gw-1"), peers_of("gw-2")
    come_back(rows, copy, first, second)
    assert listed(rows) == set()
    gevent.sleep(SOON_S)
    assert listed(rows) == {"gw-1", "gw-2"}


def test_gateways_that_the_copy_lacks_are_counted_all_the_while(rows, peers_of):
    """Guards against parts of shared limits that grow while rows are missing."""
    copy = rows.feed.copy()
    second, first = peers_of("gw-2"), peers_of("gw-1")
    assert first.state.nodes == 2
    come_back(rows, copy, first, second)
    counts = set()
    for _ in range(30):
        gevent.sleep(SOON_S / 30)
        counts.add(first.state.nodes)
    assert counts == {2}


def test_two_returns_in_a_row_lose_no_row(rows, peers_of):
    """Guards against a row that is written between the two and not after them."""
    copy = rows.feed.copy()
    first = peers_of("gw-1")
    come_back(rows, copy, first)
    gevent.sleep(SOON_S / 10)
    come_back(rows, copy, first)
    gevent.sleep(2 * SOON_S)
    assert listed(rows) == {"gw-1"}


def test_a_gateway_that_leaves_removes_its_row_again(rows, peers_of):
    """Guards against rows of stopped gateways that take parts of limits for good."""
    first = peers_of("gw-1")
    copy = rows.feed.copy()
    first.state.draining = True
    first.leave()
    gevent.sleep(0)
    assert listed(rows) == set()
    come_back(rows, copy, first)
    gevent.sleep(SOON_S)
    assert listed(rows) == set()


def test_a_gateway_that_is_heard_and_not_listed_stays_a_peer(peers_of):
    """Guards against a fleet that throws out who is there."""
    first = peers_of("gw-1")
    heard = membership.PeerMessage("gw-9", 1, 1, 7_000, 0, 0, 0, 0, (), {})
    first.exchange._take(heard, "127.0.0.1")
    assert first.state.nodes == 2
    first._read_peers()
    assert first.state.nodes == 2


def test_a_row_that_cannot_be_read_is_no_peer(peers_of, rows, monkeypatch):
    """Guards against other writers' rows that stop the list from being read."""
    first = peers_of("gw-1")
    good = msgspec.json.encode({"ip": "127.0.0.2", "port": 7_000})
    table = (StoredRow("gw-2", 1, b"?"), StoredRow("gw-3", 2, good))
    monkeypatch.setattr(rows, "read_table", lambda _: StoredRows(table, 2))
    first._read_peers()
    assert set(first.exchange.peers) == {"gw-3"}
