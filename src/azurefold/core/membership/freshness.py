"""Freshness of a process's local copy of one table of the store.

A feed that delivers nothing does not prove that nothing has changed: its answer may
have been lost on a connection that stays open. The local copy therefore ages until it
is confirmed, either by an answer of the store or by another process's watermark, which
shows that nothing newer than the local copy had been written at some moment.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["TableFreshness", "TableWatermark"]

_MAX_AHEAD_MS: Millis = 1_000
"""How far a watermark may be ahead of this process's lower bound of the store's time.
One that is further ahead was taken before the store's clock restarted."""

_MAX_WATERMARK_AGE_MS: Millis = 2_500
"""Maximum age of a watermark that shows that the store answers its sender. A process
that the store answers has a more recent confirmation than this."""


@dataclass(frozen=True, slots=True)
class TableWatermark:
    """Statement that a table had no change newer than a version at some moment.

    Parameters
    ----------
    era : int
        Era of the store; 0 if the store reports none.
    newest_version : int
        Version of the table's newest change, or a later one.
    confirmed_at : int
        The moment, in milliseconds of the store's time.
    is_exact : bool
        Whether ``newest_version`` is the version of a change. After a read of the whole
        table it is the version of the read, because a removed row leaves no trace in
        the rows.
    answered_since : int or None
        Store's time since which all of the process's own calls were answered; None if
        the last call failed.
    """

    era: int
    newest_version: int
    confirmed_at: Millis
    is_exact: bool = True
    answered_since: Millis | None = None


@dataclass(slots=True)
class TableFreshness:
    """Version of a table that is applied here, and when it was last confirmed.

    Parameters
    ----------
    era : int
        Era of the store; 0 if the store reports none.
    applied_version : int
        Version up to which all changes are applied here.
    newest_version : int
        Version of the table's newest change, or a later one.
    confirmed_at : int or None
        Latest store's time at which the table is known to have had no change that is
        not applied here; None if unknown.
    own_confirmed_at : int or None
        Store's time of the last confirmation by this process's own calls, without other
        processes' watermarks.
    """

    era: int = 0
    applied_version: int = 0
    newest_version: int = 0
    confirmed_at: Millis | None = None
    own_confirmed_at: Millis | None = None
    _answered_since: Millis | None = None
    _last_confirmed_before_outage: Millis | None = None
    _is_exact: bool = False
    _newest_reported: tuple[int, int] = (0, 0)

    @property
    def watermark(self) -> TableWatermark | None:
        """Watermark to send to other processes; None if nothing is confirmed."""
        if self.confirmed_at is None:
            return None
        return TableWatermark(
            self.era,
            self.newest_version,
            self.confirmed_at,
            self._is_exact,
            self._answered_since,
        )

    @property
    def is_behind(self) -> bool:
        """Whether another process has reported a newer change."""
        return self._newest_reported > (self.era, self.applied_version)

    def record_full_read(self, era: int, version: int, store_ms: Millis | None) -> None:
        """Record that all rows at a version of the store are applied here.

        Parameters
        ----------
        era : int
            Era of the store.
        version : int
            Version of the store at which the rows were read.
        store_ms : int or None
            Store's time of the read; None if the answer did not contain it.
        """
        if era != self.era:
            self.confirmed_at = self.own_confirmed_at = self._answered_since = None
            self._last_confirmed_before_outage = None
        self.era, self.applied_version, self.newest_version = era, version, version
        self._is_exact = False
        self._confirm(store_ms)

    def record_changes(
        self, version: int, newest_version: int | None, store_ms: Millis | None
    ) -> None:
        """Record that all changes up to a version are applied here.

        Parameters
        ----------
        version : int
            Version up to which the answer lists all changes.
        newest_version : int or None
            Version of the last of the changes; None if there were none.
        store_ms : int or None
            Store's time at which the table had no further changes; None if it may have
            had some.
        """
        self.applied_version = version
        if newest_version is not None:
            self.newest_version, self._is_exact = newest_version, True
        self._confirm(store_ms)

    def merge(self, watermark: TableWatermark, store_now: Millis | None = None) -> None:
        """Merge another process's watermark.

        It confirms the local copy only if all changes up to its version are applied
        here.

        Parameters
        ----------
        watermark : TableWatermark
        store_now : int or None, default=None
            The store's time; None if unknown.
        """
        if watermark.is_exact:
            self._newest_reported = max(
                self._newest_reported, (watermark.era, watermark.newest_version)
            )
        if watermark.era != self.era or watermark.newest_version > self.applied_version:
            return
        if store_now is not None and watermark.confirmed_at > store_now + _MAX_AHEAD_MS:
            return
        if self.confirmed_at is None or watermark.confirmed_at > self.confirmed_at:
            self.confirmed_at = watermark.confirmed_at
        # The version of a full read is only an upper bound of the newest change's. A
        # later watermark with a lower version is a closer bound.
        is_later = watermark.confirmed_at > (self.own_confirmed_at or 0)
        if (
            is_later
            and watermark.newest_version < self.newest_version
            and not self._is_exact
        ):
            self.newest_version, self._is_exact = (
                watermark.newest_version,
                watermark.is_exact,
            )

    def record_failed_call(self) -> None:
        """Record that a call was not answered."""
        if self._answered_since is not None:
            self._last_confirmed_before_outage = self.own_confirmed_at
            self._answered_since = None

    def is_outage_local(self, watermark: TableWatermark, store_now: Millis) -> bool:
        """Whether the store answered another process throughout this one's outage.

        Parameters
        ----------
        watermark : TableWatermark
            The other process's watermark.
        store_now : int
            The store's time.
        """
        if (
            self._last_confirmed_before_outage is None
            or watermark.answered_since is None
        ):
            return False
        is_recent = (
            -_MAX_AHEAD_MS
            <= store_now - watermark.confirmed_at
            <= _MAX_WATERMARK_AGE_MS
        )
        return (
            is_recent and watermark.answered_since <= self._last_confirmed_before_outage
        )

    def age(self, store_now: Millis | None) -> Millis | None:
        """Return for how long changes may have been missed; None if unknown."""
        if store_now is None or self.confirmed_at is None:
            return None
        if self.confirmed_at > store_now + _MAX_AHEAD_MS:
            # Confirmed before the store's clock restarted.
            return None
        return max(0, store_now - self.confirmed_at)

    def reset(self) -> None:
        """Discard everything before the table is read from another store."""
        self.era = self.applied_version = self.newest_version = 0
        self.confirmed_at = self.own_confirmed_at = self._answered_since = None
        self._last_confirmed_before_outage = None
        self._is_exact, self._newest_reported = False, (0, 0)

    def _confirm(self, store_ms: Millis | None) -> None:
        if store_ms is None:
            return
        if store_ms < (self.own_confirmed_at or 0) - _MAX_AHEAD_MS:
            # The store's clock has restarted.
            self.confirmed_at = self._answered_since = None
        if self._answered_since is None:
            self._answered_since = store_ms
        self.own_confirmed_at = store_ms
        self.confirmed_at = max(store_ms, self.confirmed_at or store_ms)
