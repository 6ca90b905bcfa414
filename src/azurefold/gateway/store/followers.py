"""Following tables of the store by their feeds."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from azurefold.core.clock import Clock, Millis
from azurefold.core.membership.eras import StoreEra
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
"""Of a feed's call while the store is away: its answer shows that the store is
back. With the usual wait the return would show only at the next change, and
what is removed then would look like an entry that lapsed in the outage."""

_FIRST_PAUSE_MS: Millis = 150
_LONGEST_PAUSE_MS: Millis = 1_000
"""Between two tries while the store is away: what it tells on its return must
be in force two seconds later, and each try has its price."""


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
    version: int | None = None
    _era: StoreEra = field(default_factory=StoreEra)
    _feed: Feed | None = None
    _failures: int = 0
    _failing_since: Millis = 0
    _waiting: gevent.Greenlet | None = None
    _woken: bool = False

    def run(self) -> None:
        """Follow the table for ever."""
        try:
            while True:
                self._step()
        finally:
            # A loop that starts again begins with a connection of its own.
            self._close_feed()

    def look_again(self, *, whole: bool = False) -> None:
        """Ask the store anew: others have heard what should have come here.

        Parameters
        ----------
        whole : bool
            Read all of the table. A feed that has skipped a change never tells of it.

        What goes wrong without: a connection has gone silent, and the feed on
        it tells nothing until its wait is over.
        """
        if self._waiting is None or self._woken or self._failures:
            return
        if whole:
            self.version = None
        self._woken = True
        gevent.get_hub().loop.run_callback(self._interrupt, self._waiting)

    def _interrupt(self, waiting: gevent.Greenlet) -> None:
        # The call may have been answered since, and its rows are being taken in.
        if self._waiting is waiting:
            waiting.throw(ConnectionAbortedError("asked anew"))

    def _step(self) -> None:
        answer = self._read_all() if self.version is None else self._read_changes()
        woken, self._woken = self._woken, False
        match answer:
            case StoredRows(rows=rows, version=version, era=era):
                self._heard()
                self._era.has_ended(era)
                self.on_rows(rows)
                self.version = version
            case FeedChanges(era=era) if self._era.has_ended(era):
                self._heard()
                # Its changes are of another history than the version asked for.
                log_event(_log, "store_era_rose", table=self.table, era=era)
                self.version = None
            case FeedChanges(rows=rows, version=version):
                self._heard()
                # What cannot be taken in must not be skipped either: should it
                # fail, the loop starts again and reads the whole table.
                self.version = None
                if rows:
                    self.on_changes(rows)
                self.version = version
                if rows:
                    gevent.sleep(self.gather_ms() / _SECOND_MS)
            case HistoryLost():
                log_event(_log, "feed_history_lost", table=self.table)
                self.version = None
            case Unavailable() if woken:
                self._close_feed()
            case Unavailable(reason=reason):
                self._lost(reason)

    def _read_all(self) -> StoredRows | Unavailable:
        return self.store.read_table(self.table)

    def _read_changes(self) -> FeedChanges | HistoryLost | Unavailable:
        if self._feed is None:
            self._feed = self.store.open_feed()
        wait_ms = _RETURN_WAIT_MS if self._failures else self.wait_ms()
        self._waiting = gevent.getcurrent()
        try:
            return self._feed.changes(self.table, self.version, wait_ms)
        finally:
            self._waiting = None

    def _heard(self) -> None:
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
