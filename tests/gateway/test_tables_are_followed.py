"""Following tables by feeds: outages, lost history, rows that cannot be read."""

import random

import falcon
import gevent
import pytest

from azurefold.core.clock import manual_clock
from azurefold.gateway.store import followers
from azurefold.gateway.store.followers import TableFollower
from azurefold.gateway.store.news import _Behind
from azurefold.internal.clock import monotonic_clock
from azurefold.internal.http_server import http_server
from azurefold.platform.store import store_client
from azurefold.platform.store_messages import (
    FeedChanges,
    HistoryLost,
    StoredRow,
    StoredRows,
    Unavailable,
)
from azurefold_standins.feed_store import FeedStore, StoreFaults, StoreHttp

USUAL_WAIT = 6_000


@pytest.fixture
def seen():
    return []


@pytest.fixture
def follower(store, time, seen, monkeypatch):
    monkeypatch.setattr(gevent, "sleep", lambda seconds: None)
    return TableFollower(
        store=store,
        table="servers",
        wait_ms=lambda: USUAL_WAIT,
        gather_ms=lambda: 0,
        clock=manual_clock(time),
        draw=random.Random(1),
        on_rows=lambda rows: seen.append(("all", rows)),
        on_changes=lambda rows: seen.append(("changes", rows)),
        on_heard=lambda: seen.append("heard"),
        on_doubt=lambda: seen.append("doubt"),
        on_lost=lambda: seen.append("lost"),
    )


def steps(follower, count):
    for _ in range(count):
        follower._step()


def test_a_feed_goes_on_where_the_table_was_read(follower, store, seen):
    row = StoredRow("e1", 5, b"{}")
    store.script = [StoredRows((), 4), FeedChanges((row,), 5)]
    steps(follower, 2)
    assert store.asked == [("all", "servers"), (4, USUAL_WAIT)]
    assert ("changes", (row,)) in seen
    assert follower.version == 5


def test_the_return_of_the_store_shows_at_once(follower, store, seen):
    """An endpoint that left gets requests for more than two seconds.

    The store was away and came back. The next feed's call waited for a change
    before it was answered, so the return was noticed only with that change, an
    entry's removal, which then looked like one that had lapsed in the outage.
    """
    store.script = [StoredRows((), 4), Unavailable("down"), Unavailable("down")]
    steps(follower, 3)
    assert seen[-2:] == ["doubt", "lost"]
    store.script = [FeedChanges((), 4), FeedChanges((), 4)]
    steps(follower, 2)
    waits = [wait for _, wait in store.asked[1:]]
    short = followers._RETURN_WAIT_MS
    assert waits == [USUAL_WAIT, short, short, USUAL_WAIT]
    assert seen[-1] == "heard"


def test_one_failure_is_no_outage(follower, store, seen):
    store.script = [StoredRows((), 4), Unavailable("reset"), FeedChanges((), 4)]
    steps(follower, 3)
    assert "lost" not in seen


def test_lost_history_has_the_table_read_again(follower, store):
    store.script = [StoredRows((), 4), HistoryLost(), StoredRows((), 9)]
    steps(follower, 3)
    assert store.asked[-1] == ("all", "servers")
    assert follower.version == 9


def test_changes_that_cannot_be_taken_in_are_not_skipped(follower, store):
    """The removal of an endpoint is lost, and it gets requests for good.

    Taking in the changes failed after the follower had moved on past them. Its
    loop was started again and went on behind them.
    """

    def fail(rows):
        raise KeyError("e1")

    row = StoredRow("e1", 5, removed=True)
    store.script = [StoredRows((), 4), FeedChanges((row,), 5), StoredRows((), 5)]
    follower._step()
    follower.on_changes = fail
    with pytest.raises(KeyError):
        follower._step()
    follower._step()
    assert store.asked[-1] == ("all", "servers")


def test_a_follower_that_is_behind_its_peers_asks_anew():
    """A version that all other nodes have stays unknown to one for seconds.

    Its feed's call had gone silent. It was told to ask anew and closed the
    client, which closes idle connections only: the call went on waiting, and
    the closed client failed each call after it.
    """
    http = StoreHttp(FeedStore())
    app = falcon.App()
    app.add_route("/rows-get", http)
    app.add_route("/rows-feed", http, suffix="feed")
    server = http_server("127.0.0.1:0", app, "store")
    server.start()
    store = store_client(f"127.0.0.1:{server.server_port}")
    seen = []
    follower = TableFollower(
        store=store,
        table="op",
        wait_ms=lambda: 20_000,
        gather_ms=lambda: 0,
        clock=monotonic_clock(),
        draw=random.Random(1),
        on_rows=seen.append,
        on_changes=seen.append,
        on_heard=lambda: None,
        on_doubt=lambda: seen.append("doubt"),
        on_lost=lambda: seen.append("lost"),
    )
    runner = gevent.spawn(follower.run)
    try:
        gevent.sleep(0.2)
        http.faults = StoreFaults(mode="silent")
        http.store.put([("op", "config", b"{}")])
        gevent.sleep(0.2)
        http.faults = StoreFaults()
        for _ in range(3):
            follower.look_again()
            gevent.sleep(0.2)
        assert [rows[0].key for rows in seen if rows] == ["config"]
        http.store.put([("op", "config", b"{}")])
        gevent.sleep(0.2)
        assert len([rows for rows in seen if rows]) == 2
    finally:
        runner.kill()
        server.stop(timeout=0.1)


def test_a_follower_that_cannot_reach_the_store_is_not_driven(follower, store):
    """Calls to a store that refuses this node multiply with each peer's message."""
    store.script = [StoredRows((), 4)]
    steps(follower, 3)
    asked = []
    store.while_waiting = lambda: asked.append(follower.look_again())
    steps(follower, 2)
    assert len(asked) == 2
    assert not follower._woken


def test_being_behind_counts_only_after_a_while():
    behind = _Behind()
    behind.told(7)
    assert not behind.is_overdue(own=5, now=0)
    assert not behind.is_overdue(own=5, now=499)
    assert behind.is_overdue(own=5, now=500)
    assert not behind.is_overdue(own=5, now=600)
    assert not behind.is_overdue(own=7, now=2_000)
