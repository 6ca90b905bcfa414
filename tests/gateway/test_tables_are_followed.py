"""Following tables by feeds: outages, lost history, rows that cannot be read."""

import random

import falcon
import gevent
import pytest
from gevent.event import Event

from azurefold.core.clock import manual_clock
from azurefold.core.membership.freshness import TableFreshness, TableWatermark
from azurefold.core.membership.table_refresh import RefreshReason, RefreshScheduler
from azurefold.gateway.store import followers
from azurefold.gateway.store.followers import TableFollower
from azurefold.internal.clock import monotonic_clock
from azurefold.internal.http_server import http_server
from azurefold.platform.store import _era_in, store_client
from azurefold.platform.store_messages import (
    FeedChanges,
    HistoryLost,
    StoredRow,
    StoredRows,
    Unavailable,
)
from azurefold_standins import feed_store as feed_stores
from azurefold_standins.feed_store import FeedStore, StoreFaults, StoreHttp

USUAL_WAIT = 6_000


@pytest.fixture
def seen():
    return []


@pytest.fixture
def follower(store, time, seen, monkeypatch):
    monkeypatch.setattr(gevent, "sleep", lambda seconds: None)
    return follower_of(store, time, seen, USUAL_WAIT)


def follower_of(store, time, seen, wait_ms):
    return TableFollower(
        store=store,
        table="servers",
        wait_ms=lambda: wait_ms,
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


def test_changes_that_did_not_fit_are_asked_for_without_a_pause(
    follower, store, monkeypatch
):
    """Guards against a pause after each answer while a gateway catches up."""
    pauses = []
    monkeypatch.setattr(gevent, "sleep", pauses.append)
    row = StoredRow("e1", 5, b"{}")
    full = FeedChanges((row,), 5, is_all=False)
    store.script = [StoredRows((), 4), full, full, FeedChanges((row,), 6)]
    steps(follower, 4)
    assert len(pauses) == 1
    assert [wait for _, wait in store.asked[2:]] == [followers._RETURN_WAIT_MS] * 2


@pytest.mark.parametrize("era", [None, 3])
def test_a_whole_read_of_an_earlier_moment_is_not_taken_in(
    follower, store, seen, time, era
):
    """Guards against an older list that brings endpoints back which have left."""
    removed = StoredRow("e1", 7, removed=True)
    store.script = [
        StoredRows((StoredRow("e1", 5, b"{}"),), 6, era),
        FeedChanges((removed,), 7, era),
        HistoryLost(),
        StoredRows((StoredRow("e1", 5, b"{}"),), 6, era),
        StoredRows((), 8, era),
    ]
    steps(follower, 4)
    assert seen[-1] == "doubt"
    assert follower.freshness.applied_version == 7
    steps(follower, 1)
    assert seen[-1] == ("all", ())


def test_a_store_that_tells_no_era_may_have_come_back_from_a_copy(
    follower, store, seen, time
):
    """Guards against a store that goes on from a copy and is believed no more."""
    store.script = [StoredRows((), 6)] + [HistoryLost()] + [StoredRows((), 4)] * 9
    steps(follower, 9)
    assert follower.version is None
    time.advance(followers._OLDER_FOR_MS)
    steps(follower, 1)
    assert follower.version == 4


def test_nothing_of_a_former_store_is_kept(follower, store, seen):
    """Guards against a store that is taken for an older copy of the one before it."""
    store.script = [StoredRows((), 900, 7, 5_000_000)]
    steps(follower, 1)
    follower.set_store(store)
    store.script = [StoredRows((), 4, 1, 1_000), FeedChanges((), 5, 2, 1_100)]
    steps(follower, 1)
    assert follower.freshness.watermark.era == 1
    assert follower.store_time.at(follower.clock.now()) == 1_000
    steps(follower, 1)
    assert follower.version is None


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
            follower.renew()
            gevent.sleep(0.2)
        assert [rows[0].key for rows in seen if rows] == ["config"]
        http.store.put([("op", "config", b"{}")])
        gevent.sleep(0.2)
        assert len([rows for rows in seen if rows]) == 2
    finally:
        runner.kill()
        server.stop(timeout=0.1)


def test_an_answer_that_comes_as_the_call_is_given_up_is_taken_in(store, time, seen):
    """Guards against a follower that fails as its call ends while it is interrupted."""
    follower = follower_of(store, time, seen, USUAL_WAIT)
    answered = Event()
    store.while_waiting = answered.wait
    row = StoredRow("e1", 5, b"{}")
    store.script = [StoredRows((), 4), FeedChanges((row,), 5), FeedChanges((), 5)]
    runner = gevent.spawn(follower.run)
    gevent.sleep(0)
    answered.set()
    follower.renew()
    for _ in range(5):
        gevent.sleep(0)
    is_running = not runner.dead
    runner.kill()
    assert is_running
    assert ("changes", (row,)) in seen


def test_only_the_call_that_was_meant_is_given_up(store, time, seen):
    """Guards against a sound call that fails as the one before it was given up."""
    follower = follower_of(store, time, seen, USUAL_WAIT)
    answered = Event()
    store.while_waiting = answered.wait
    store.script = [StoredRows((), 4), FeedChanges((), 4)]
    runner = gevent.spawn(follower.run)
    gevent.sleep(0)
    answered.set()
    store.while_waiting = Event().wait
    follower.renew()
    for _ in range(5):
        gevent.sleep(0)
    is_running = not runner.dead
    runner.kill()
    assert is_running
    assert seen.count("heard") == 2


@pytest.fixture
def store_of_eras():
    """A store over HTTP, of which copies can be kept."""
    http = StoreHttp(FeedStore())
    app = falcon.App()
    app.add_route("/rows-get", http)
    app.add_route("/rows-feed", http, suffix="feed")
    app.add_route("/rows-tx", http, suffix="transaction")
    server = http_server("127.0.0.1:0", app, "store")
    server.start()
    yield http.store, store_client(f"127.0.0.1:{server.server_port}")
    server.stop(timeout=0.1)


@pytest.fixture
def live_follower(store_of_eras, time, seen):
    return follower_of(store_of_eras[1], time, seen, wait_ms=0)


def write(rows, *keys):
    for key in keys:
        rows.put([("servers", key, b"{}")])


def keys_seen(seen):
    told = [each for each in seen if isinstance(each, tuple)]
    return {row.key for _, rows in told for row in rows}


@pytest.mark.parametrize("later_writes", [1, 2, 3, 6])
def test_no_row_is_skipped_when_the_store_comes_back_from_a_copy(
    live_follower, store_of_eras, seen, later_writes
):
    """Guards against feeds that go on from a version of another history."""
    rows, _ = store_of_eras
    write(rows, "e1")
    copy = rows.copy()
    write(rows, "e2", "e3")
    steps(live_follower, 2)
    rows.go_back(copy)
    written = [f"n{number}" for number in range(later_writes)]
    write(rows, *written)
    steps(live_follower, 3)
    assert keys_seen(seen) >= {"e1", *written}


def test_two_returns_within_a_moment_skip_nothing(live_follower, store_of_eras, seen):
    rows, _ = store_of_eras
    write(rows, "e1")
    copy = rows.copy()
    write(rows, "e2")
    steps(live_follower, 2)
    for name in ("a", "b"):
        rows.go_back(copy)
        write(rows, f"{name}1", f"{name}2")
        steps(live_follower, 2)
    assert keys_seen(seen) >= {"e1", "b1", "b2"}


def test_a_table_is_read_once_for_each_era(live_follower, store_of_eras, seen):
    rows, _ = store_of_eras
    write(rows, "e1")
    copy = rows.copy()
    write(rows, "e2")
    steps(live_follower, 2)
    rows.go_back(copy)
    write(rows, "n1", "n2")
    steps(live_follower, 6)
    whole = [each for each in seen if isinstance(each, tuple) and each[0] == "all"]
    assert len(whole) == 2


@pytest.mark.parametrize("header", ["", "-1", "1.5", "x" * 99, "9" * 30, "²"])
def test_an_era_that_cannot_be_read_is_none(header, caplog):
    assert _era_in(header) is None
    assert _era_in(header) is None
    unreadable = [r for r in caplog.records if "store_era_unreadable" in r.message]
    assert len(unreadable) <= 1


def test_a_table_that_was_read_over_two_eras_is_read_again(store_of_eras, monkeypatch):
    rows, client = store_of_eras
    write(rows, "e1", "e2")
    original = rows.table

    def one_by_one(name, start=""):
        page = original(name, start)
        if start:
            rows.era += 1
        return page

    monkeypatch.setattr(FeedStore, "table", lambda _, *a: one_by_one(*a))
    give = StoreHttp._give
    monkeypatch.setattr(
        StoreHttp,
        "_give",
        lambda self, resp, body: give(self, resp, body | {"HasMore": rows.era == 1}),
    )
    assert isinstance(client.read_table("servers"), Unavailable)


def test_a_follower_that_cannot_reach_the_store_is_not_driven(follower, store):
    """Calls to a store that refuses this node multiply with each peer's message."""
    store.script = [StoredRows((), 4)]
    steps(follower, 3)
    asked = []
    store.while_waiting = lambda: asked.append(follower.renew())
    steps(follower, 2)
    assert len(asked) == 2
    assert not follower._interrupted


def test_being_behind_counts_only_after_a_while():
    known = TableFreshness(era=1, applied_version=5)
    known.merge(TableWatermark(era=1, newest_version=7, confirmed_at=0))
    renewal = RefreshScheduler(known)
    assert renewal.check(0, None, 0.0) is None
    assert renewal.check(499, None, 0.0) is None
    assert renewal.check(500, None, 0.0) is RefreshReason.BEHIND
    assert renewal.check(600, None, 0.0) is None
    known.record_changes(7, 7, None)
    assert renewal.check(2_000, None, 0.0) is None


@pytest.fixture
def feed_store(monkeypatch):
    """A store over HTTP whose answers hold two large rows at most."""
    monkeypatch.setattr(feed_stores, "_PAGE_BYTES", 2_500)
    http = StoreHttp(FeedStore())
    app = falcon.App()
    app.add_route("/rows-get", http)
    app.add_route("/rows-feed", http, suffix="feed")
    server = http_server("127.0.0.1:0", app, "store")
    server.start()
    yield http, store_client(f"127.0.0.1:{server.server_port}")
    server.stop(timeout=0.1)


def test_changes_that_do_not_fit_into_one_answer_are_fetched_as_well(feed_store):
    """Gateways refuse requests as a configuration of ten seconds ago would.

    The store turned some gateways away while one large configuration followed the
    other. Its first answer after that held the first ones, as many as fit, and named
    the newest version there was. They went on from that version, and the
    configurations between were never asked for, however often they looked again.
    """
    http, store = feed_store
    for number in range(7):
        http.store.put([("op", "config", b"%d" % number * 1_000)])
    feed = store.open_feed()
    got, after = [], 0
    while (changes := feed.changes("op", after, 20)).rows:
        got += [row.value[:1] for row in changes.rows]
        after = changes.version
    assert got == [b"%d" % number for number in range(7)]


def test_a_feed_goes_on_behind_the_last_row_that_it_gave(feed_store):
    http, store = feed_store
    for number in range(7):
        http.store.put([("op", "config", b"%d" % number * 1_000)])
    changes = store.open_feed().changes("op", 0, 20)
    assert changes.version == changes.rows[-1].version < http.store.version
    assert store.open_feed().changes("none", 1, 20).version == http.store.version
    assert store.open_feed().changes("op", 99, 20) == HistoryLost()


def test_a_second_look_in_vain_reads_the_whole_table(follower, store, monkeypatch):
    """A feed that has skipped a change never tells of it, though peers have it."""
    monkeypatch.setattr(gevent, "kill", lambda waiting, error: None)
    store.script = [StoredRows((), 4), Unavailable("asked anew"), StoredRows((), 9)]
    follower._step()
    store.while_waiting = lambda: follower.renew(whole=True)
    steps(follower, 2)
    assert store.asked[-1] == ("all", "servers")
    assert follower.version == 9


def test_asking_in_vain_shows_by_the_version():
    known = TableFreshness(era=1, applied_version=5)
    known.merge(TableWatermark(era=1, newest_version=9, confirmed_at=0))
    renewal = RefreshScheduler(known)
    assert renewal.check(0, None, 0.0) is None
    assert renewal.check(1_000, None, 0.0) is RefreshReason.BEHIND
    assert renewal.check(2_000, None, 0.0) is RefreshReason.STILL_BEHIND
    known.record_changes(7, 7, None)
    assert renewal.check(3_000, None, 0.0) is RefreshReason.BEHIND


def test_who_was_turned_away_reads_what_is_newest_at_once(follower, store):
    """A gateway that is back takes seconds to read each configuration of an outage.

    Its peers have a newer one: the whole table holds that one alone.
    """
    follower.is_behind = lambda: True
    store.script = [StoredRows((), 4), Unavailable("429"), Unavailable("429")]
    steps(follower, 3)
    store.script = [StoredRows((), 30)]
    steps(follower, 1)
    assert store.asked[-1] == ("all", "servers")
    assert follower.version == 30


def test_a_gateway_that_is_not_behind_asks_for_changes_only(follower, store):
    store.script = [StoredRows((), 4), Unavailable("429"), Unavailable("429")]
    steps(follower, 4)
    assert store.asked[-1] == (4, followers._RETURN_WAIT_MS)
