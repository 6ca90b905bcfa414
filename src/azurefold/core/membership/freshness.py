"""What a process knows of one table of the store, and as of when.

A feed that tells nothing does not show that there is nothing to tell: its answer may
have been lost on a connection that stays open. Knowledge of a table therefore ages
until there is evidence: an answer of the store, or another process's statement that
nothing newer than what is known here had been written at some moment.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["TableFreshness", "TableWatermark"]

_AHEAD_MS: Millis = 1_000
"""By which a date may be later than the store's time as a process knows it, a lower
bound. One that is further ahead is from before the store's clock started anew."""

_RECENT_MS: Millis = 2_500
"""Who is answered has evidence that is younger."""


@dataclass(frozen=True, slots=True)
class TableWatermark:
    """Nothing in a table was newer than a version at some moment.

    Parameters
    ----------
    era : int
        Of the store; 0 if it tells none.
    newest_version : int
        Version of the table's newest change, or a later one.
    confirmed_at : int
        The moment, in milliseconds of the store's time.
    is_exact : bool
        Whether ``newest_version`` is the version of a change. Where a whole table was
        read it is that of the read, as no row shows that another one was removed
        before.
    answered_since : int or None
        Store's time since which all of the process's own calls were answered; None if
        the last one was not.
    """

    era: int
    newest_version: int
    confirmed_at: Millis
    is_exact: bool = True
    answered_since: Millis | None = None


@dataclass(slots=True)
class TableFreshness:
    """Up to which version a table is in force here, and as of when that was all.

    Parameters
    ----------
    era : int
        Of the store; 0 if it tells none.
    applied_version : int
        Version up to which all changes are in force here.
    newest_version : int
        Version of the newest change, or a later one.
    confirmed_at : int or None
        Store's time as of which there was nothing else; None if that isn't known.
    own_confirmed_at : int or None
        The same by this process's own calls alone.
    """

    era: int = 0
    applied_version: int = 0
    newest_version: int = 0
    confirmed_at: Millis | None = None
    own_confirmed_at: Millis | None = None
    _answered_since: Millis | None = None
    _interrupted_as_of: Millis | None = None
    _is_exact: bool = False
    _newest_reported: tuple[int, int] = (0, 0)

    @property
    def watermark(self) -> TableWatermark | None:
        """What may be told to other processes; None if nothing is known for sure."""
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
        """Whether another process has something newer."""
        return self._newest_reported > (self.era, self.applied_version)

    def record_full_read(self, era: int, version: int, store_ms: Millis | None) -> None:
        """Note that all rows at a version of the store are in force here.

        Parameters
        ----------
        era, version : int
        store_ms : int or None
            Store's time of the read; None if it was not told.
        """
        if era != self.era:
            self.confirmed_at = self.own_confirmed_at = self._answered_since = None
            self._interrupted_as_of = None
        self.era, self.applied_version, self.newest_version = era, version, version
        self._is_exact = False
        self._prove(store_ms)

    def record_changes(
        self, version: int, newest_version: int | None, store_ms: Millis | None
    ) -> None:
        """Note that the changes up to a version are in force here.

        Parameters
        ----------
        version : int
        newest : int or None
            Of the last of the changes; None if there were none.
        store_ms : int or None
            Store's time at which there were no others; None if there may have been.
        """
        self.applied_version = version
        if newest_version is not None:
            self.newest_version, self._is_exact = newest_version, True
        self._prove(store_ms)

    def merge(self, watermark: TableWatermark, store_now: Millis | None = None) -> None:
        """Take in another process's statement.

        Parameters
        ----------
        statement : TableWatermark
        store_now : int or None, default=None
            The store's time; None if it isn't known.
        """
        if watermark.is_exact:
            self._newest_reported = max(
                self._newest_reported, (watermark.era, watermark.newest_version)
            )
        if watermark.era != self.era or watermark.newest_version > self.applied_version:
            return
        if store_now is not None and watermark.confirmed_at > store_now + _AHEAD_MS:
            return
        if self.confirmed_at is None or watermark.confirmed_at > self.confirmed_at:
            self.confirmed_at = watermark.confirmed_at
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
        """Note that a call was not answered."""
        if self._answered_since is not None:
            self._interrupted_as_of = self.own_confirmed_at
            self._answered_since = None

    def is_outage_local(self, watermark: TableWatermark, store_now: Millis) -> bool:
        """Whether another process was answered all through the last interruption."""
        if self._interrupted_as_of is None or watermark.answered_since is None:
            return False
        is_recent = -_AHEAD_MS <= store_now - watermark.confirmed_at <= _RECENT_MS
        return is_recent and watermark.answered_since <= self._interrupted_as_of

    def age(self, store_now: Millis | None) -> Millis | None:
        """Return for how long changes may have gone unnoticed; None if not known."""
        if store_now is None or self.confirmed_at is None:
            return None
        if self.confirmed_at > store_now + _AHEAD_MS:
            return None
        return max(0, store_now - self.confirmed_at)

    def reset(self) -> None:
        """Forget everything: the table is to be read from another store."""
        self.era = self.applied_version = self.newest_version = 0
        self.confirmed_at = self.own_confirmed_at = self._answered_since = None
        self._interrupted_as_of = None
        self._is_exact, self._newest_reported = False, (0, 0)

    def _prove(self, store_ms: Millis | None) -> None:
        if store_ms is None:
            return
        if store_ms < (self.own_confirmed_at or 0) - _AHEAD_MS:
            self.confirmed_at = self._answered_since = None
        if self._answered_since is None:
            self._answered_since = store_ms
        self.own_confirmed_at = store_ms
        self.confirmed_at = max(store_ms, self.confirmed_at or store_ms)
