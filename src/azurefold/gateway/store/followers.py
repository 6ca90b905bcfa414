"""Following tables of the store by their feeds."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from azurefold.core.clock import Clock, Millis
from azurefold.core.membership.freshness import TableFreshness
from azurefold.core.membership.store_clock import StoreClock
from azurefold.core.membership.store_era import StoreEra
from azurefold.internal.logs import log_event
from azurefold.platform.store import Feed, StoreClient
from azurefold.platform.store_messages import (
    FeedChanges,
    HistoryLost,
    StoredRow,
    StoredRows,
    Unavailable,
)

__all__ = ["TableFollower"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_RETURN_WAIT_MS: Millis = 20
"""Of a feed's call while the store is away, or on a connection that replaces one that
may have gone silent: its answer shows that the store is back. With the usual wait the
return would show only at the next change, and what is removed then would look like an
entry that lapsed in the outage."""

_FIRST_PAUSE_MS: Millis = 150
_LONGEST_PAUSE_MS: Millis = 1_000
"""Between two tries while the store is away: what it tells on its return must
be in force two seconds later, and each try has its price."""

_OLDER_FOR_MS: Millis = 5_000
"""After which whole reads that are older than what is known are believed where the
store tells no era: it has come back from a copy."""


@dataclass(slots=True)
class TableFollower:
    """Keeps one table in view.

    Parameters
    ----------
    store : StoreClient
    table : str
    wait_ms : callable
        Returns how long the store keeps a call that has nothing to tell.
    gather_ms : callable
        Returns the pause after changes, which come in quick succession: one
        call can then fetch several.
    clock : Clock
    draw : random.Random
    on_rows : callable
        Takes all rows of the table.
    on_changes : callable
        Takes rows that changed.
    on_heard : callable
        Called after each answer of the store.
    on_doubt : callable
        Called when a call fails.
    on_lost : callable
        Called when calls go on failing: the store is away.
    is_behind : callable
        Returns whether peers have newer rows of this table.
    on_return : callable
        Called before the first whole read since the store came back from an older copy
        is taken in.
    freshness : TableFreshness
        What is in force here of the table, and as of when.
    store_time : StoreClock
    """

    store: StoreClient
    table: str
    wait_ms: Callable[[], Millis]
    gather_ms: Callable[[], Millis]
    clock: Clock
    draw: random.Random
    on_rows: Callable[[tuple[StoredRow, ...]], None]
    on_changes: Callable[[tuple[StoredRow, ...]], None]
    on_heard: Callable[[], None]
    on_doubt: Callable[[], None]
    on_lost: Callable[[], None]
    is_behind: Callable[[], bool] = lambda: False
    on_return: Callable[[], None] = lambda: None
    freshness: TableFreshness = field(default_factory=TableFreshness)
    store_time: StoreClock = field(default_factory=StoreClock)
    version: int | None = None
    _era: StoreEra = field(default_factory=StoreEra)
    _feed: Feed | None = None
    _failures: int = 0
    _failing_since: Millis = 0
    _waiting: gevent.Greenlet | None = None
    _calls: int = 0
    _interrupted: bool = False
    _must_prove: bool = False
    _older_since: Millis | None = None

    @property
    def _is_brief(self) -> bool:
        return self._must_prove or self._failures > 0

    def run(self) -> None:
        """Follow the table for ever."""
        try:
            while True:
                self._step()
        finally:
            # A loop that starts again begins with a connection of its own.
            self._close_feed()

    def renew(self, *, whole: bool = False) -> bool:
        """Interrupt the waiting call and ask anew, for an answer at once.

        The call goes over a new connection: one that has gone silent tells nothing
        until the wait is over.

        Parameters
        ----------
        whole : bool
            Read all of the table. A feed that has skipped a change never tells of it.

        Returns
        -------
        bool
            False if no call waits, or none that would wait for long.
        """
        if self._waiting is None or self._interrupted or self._is_brief:
            return False
        if whole:
            self.version = None
        self._interrupted = True
        gevent.get_hub().loop.run_callback(self._interrupt, self._calls)
        return True

    def set_store(self, store: StoreClient) -> None:
        """Follow the table of another store from now on."""
        self.store = store
        self.version = None
        self.freshness.reset()
        self.store_time.reset()
        self._era = StoreEra()
        self.renew()
        self._close_feed()

    def _interrupt(self, call: int) -> None:
        # The call may have been answered since: its rows are being taken in, or another
        # one waits.
        if self._waiting is not None and self._calls == call:
            self._waiting.throw(ConnectionAbortedError("asked anew"))

    def _step(self) -> None:
        sent, store = self.clock.now(), self.store
        answer = self._read_all() if self.version is None else self._read_changes()
        woken, self._interrupted = self._interrupted, False
        match answer:
            case _ if store is not self.store:
                self._close_feed()
            case StoredRows() if self._is_older(answer):
                self._lost("a whole read of an earlier moment")
            case StoredRows(rows=rows, version=version, era=era):
                self._heard(answer.store_ms, sent)
                self._era.advance_to(era)
                if self._is_from_a_copy(version):
                    self._note_return()
                self.on_rows(rows)
                self.version = version
                self.freshness.record_full_read(
                    self._era.number or 0, version, answer.store_ms
                )
                self._must_prove = False
            case FeedChanges(era=era) if self._era.advance_to(era):
                self._heard(answer.store_ms, sent)
                # Its changes are of another history than the version asked for.
                log_event(_log, "store_era_rose", table=self.table, era=era)
                self.version = None
            case FeedChanges(rows=rows, version=version):
                self._heard(answer.store_ms, sent)
                # What cannot be taken in must not be skipped either: should it
                # fail, the loop starts again and reads the whole table.
                self.version = None
                if rows:
                    self.on_changes(rows)
                self.version = version
                self._note_in_force(answer)
                if rows and answer.is_all:
                    gevent.sleep(self.gather_ms() / _SECOND_MS)
            case HistoryLost():
                log_event(_log, "feed_history_lost", table=self.table)
                self.version = None
            case Unavailable() if woken:
                self._close_feed()
                self._must_prove = True
            case Unavailable(reason=reason):
                self._lost(reason)

    def _is_older(self, read: StoredRows) -> bool:
        """Whether a whole read shows the table as it was before what is known."""
        if read.version >= self.freshness.applied_version:
            self._older_since = None
            return False
        if read.era is not None:
            return read.era == self._era.number
        now = self.clock.now()
        if self._older_since is None:
            self._older_since = now
        return now - self._older_since < _OLDER_FOR_MS

    def _is_from_a_copy(self, version: int) -> bool:
        """Whether a whole read shows another history than the one that is known."""
        known = self.freshness
        is_later_era = 0 < known.era < (self._era.number or 0)
        return is_later_era or version < known.applied_version

    def _note_return(self) -> None:
        log_event(
            _log,
            "store_returned",
            logging.WARNING,
            table=self.table,
            era=self._era.number,
            before=self.freshness.era,
            known=self.freshness.applied_version,
        )
        self.on_return()

    def _note_in_force(self, answer: FeedChanges) -> None:
        newest = answer.rows[-1].version if answer.rows else None
        store_ms = answer.store_ms if answer.is_all else None
        self.freshness.record_changes(answer.version, newest, store_ms)
        self._must_prove = not answer.is_all

    def _read_all(self) -> StoredRows | Unavailable:
        return self._open_feed().read_table(self.table)

    def _read_changes(self) -> FeedChanges | HistoryLost | Unavailable:
        feed = self._open_feed()
        wait_ms = _RETURN_WAIT_MS if self._is_brief else self.wait_ms()
        self._waiting = gevent.getcurrent()
        self._calls += 1
        try:
            return feed.changes(self.table, self.version, wait_ms)
        finally:
            self._waiting = None

    def _open_feed(self) -> Feed:
        if self._feed is None:
            self._feed = self.store.open_feed()
        return self._feed

    def _heard(self, store_ms: Millis | None, sent: Millis) -> None:
        if store_ms is not None:
            self.store_time.observe(store_ms, sent, self.clock.now())
        if self._failures:
            away = self.clock.now() - self._failing_since
            log_event(_log, "store_regained", table=self.table, away_ms=away)
        self._failures = 0
        self.on_heard()

    def _close_feed(self) -> None:
        if self._feed is not None:
            self._feed.close()
            self._feed = None

    def _lost(self, reason: str) -> None:
        self._close_feed()
        if not self._failures:
            self._failing_since = self.clock.now()
            log_event(_log, "store_lost", logging.WARNING, table=self.table, why=reason)
        self._failures += 1
        self.freshness.record_failed_call()
        self.on_doubt()
        # One failure may be a connection that was reset; the store counts as
        # away when the next try fails too.
        if self._failures > 1:
            self.on_lost()
            if self.is_behind():
                # The feed would give all that was written in an outage, one after
                # the other; the table holds the newest rows alone.
                self.version = None
        pause = min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS << min(self._failures - 1, 8))
        gevent.sleep(pause * (0.5 + self.draw.random()) / _SECOND_MS)
