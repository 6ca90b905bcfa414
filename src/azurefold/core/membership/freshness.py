"""What a process knows of one table of the store, and as of when.

A feed that tells nothing does not show that there is nothing to tell: its answer may
have been lost on a connection that stays open. Knowledge of a table therefore ages
until there is evidence: an answer of the store, or another process's statement that
nothing newer than what is known here had been written at some moment.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["TableFreshness", "TableStatement"]

_AHEAD_MS: Millis = 1_000
"""By which a date may be later than the store's time as a process knows it, a lower
bound. One that is further ahead is from before the store's clock started anew."""

_RECENT_MS: Millis = 2_500
"""Who is answered has evidence that is younger."""


@dataclass(frozen=True, slots=True)
class TableStatement:
    """Nothing in a table was newer than a version at some moment.

    Parameters
    ----------
    era : int
        Of the store; 0 if it tells none.
    newest : int
        Version of the table's newest change, or a later one.
    as_of : int
        The moment, in milliseconds of the store's time.
    is_exact : bool
        Whether ``newest`` is the version of a change. Where a whole table was read it
        is that of the read, as no row shows that another one was removed before.
    answered_since : int or None
        Store's time since which all of the process's own calls were answered; None if
        the last one was not.
    """

    era: int
    newest: int
    as_of: Millis
    is_exact: bool = True
    answered_since: Millis | None = None


@dataclass(slots=True)
class TableFreshness:
    """Up to which version a table is in force here, and as of when that was all.

    Parameters
    ----------
    era : int
        Of the store; 0 if it tells none.
    position : int
        Version up to which all changes are in force here.
    newest : int
        Version of the newest change, or a later one.
    as_of : int or None
        Store's time as of which there was nothing else; None if that isn't known.
    proved_as_of : int or None
        The same by this process's own calls alone.
    """

    era: int = 0
    position: int = 0
    newest: int = 0
    as_of: Millis | None = None
    proved_as_of: Millis | None = None
    _answered_since: Millis | None = None
    _interrupted_as_of: Millis | None = None
    _is_exact: bool = False
    _newest_reported: tuple[int, int] = (0, 0)

    @property
    def statement(self) -> TableStatement | None:
        """What may be told to other processes; None if nothing is known for sure."""
        if self.as_of is None:
            return None
        return TableStatement(
            self.era, self.newest, self.as_of, self._is_exact, self._answered_since
        )

    @property
    def is_behind(self) -> bool:
        """Whether another process has something newer."""
        return self._newest_reported > (self.era, self.position)

    def read_whole(self, era: int, version: int, store_ms: Millis | None) -> None:
        """Note that all rows at a version of the store are in force here.

        Parameters
        ----------
        era, version : int
        store_ms : int or None
            Store's time of the read; None if it was not told.
        """
        if era != self.era:
            self.as_of = self.proved_as_of = self._answered_since = None
            self._interrupted_as_of = None
        self.era, self.position, self.newest = era, version, version
        self._is_exact = False
        self._prove(store_ms)

    def read_changes(
        self, version: int, newest: int | None, store_ms: Millis | None
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
        self.position = version
        if newest is not None:
            self.newest, self._is_exact = newest, True
        self._prove(store_ms)

    def merge(self, statement: TableStatement, store_now: Millis | None = None) -> None:
        """Take in another process's statement.

        Parameters
        ----------
        statement : TableStatement
        store_now : int or None, default=None
            The store's time; None if it isn't known.
        """
        if statement.is_exact:
            self._newest_reported = max(
                self._newest_reported, (statement.era, statement.newest)
            )
        if statement.era != self.era or statement.newest > self.position:
            return
        if store_now is not None and statement.as_of > store_now + _AHEAD_MS:
            return
        if self.as_of is None or statement.as_of > self.as_of:
            self.as_of = statement.as_of
        is_later = statement.as_of > (self.proved_as_of or 0)
        if is_later and statement.newest < self.newest and not self._is_exact:
            self.newest, self._is_exact = statement.newest, statement.is_exact

    def interrupted(self) -> None:
        """Note that a call was not answered."""
        if self._answered_since is not None:
            self._interrupted_as_of = self.proved_as_of
            self._answered_since = None

    def is_interrupted_alone(
        self, statement: TableStatement, store_now: Millis
    ) -> bool:
        """Whether another process was answered all through the last interruption."""
        if self._interrupted_as_of is None or statement.answered_since is None:
            return False
        is_recent = -_AHEAD_MS <= store_now - statement.as_of <= _RECENT_MS
        return is_recent and statement.answered_since <= self._interrupted_as_of

    def age(self, store_now: Millis | None) -> Millis | None:
        """Return for how long changes may have gone unnoticed; None if not known."""
        if store_now is None or self.as_of is None:
            return None
        if self.as_of > store_now + _AHEAD_MS:
            return None
        return max(0, store_now - self.as_of)

    def forget(self) -> None:
        """Forget everything: the table is to be read from another store."""
        self.era = self.position = self.newest = 0
        self.as_of = self.proved_as_of = self._answered_since = None
        self._interrupted_as_of = None
        self._is_exact, self._newest_reported = False, (0, 0)

    def _prove(self, store_ms: Millis | None) -> None:
        if store_ms is None:
            return
        if store_ms < (self.proved_as_of or 0) - _AHEAD_MS:
            self.as_of = self._answered_since = None
        if self._answered_since is None:
            self._answered_since = store_ms
        self.proved_as_of = store_ms
        self.as_of = max(store_ms, self.as_of or store_ms)
