"""What is asked of the platform's store and what it answers."""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = [
    "Applied",
    "Conflicted",
    "FeedChanges",
    "HistoryLost",
    "NotApplied",
    "RowKey",
    "RowWrite",
    "StoredRow",
    "StoredRows",
    "TransactionOutcome",
    "Uncertain",
    "Unavailable",
]


@dataclass(frozen=True, slots=True)
class RowKey:
    """A row's place; ``part`` is the partition and may be empty."""

    table: str
    key: str
    part: str = ""


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row and the value that it is to have."""

    row: RowKey
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as it was read.

    Parameters
    ----------
    key : str
    version : int
        Rises with each change of any row.
    value : bytes
    removed : bool
        Whether the row is gone; its value is then empty.
    """

    key: str
    version: int
    value: bytes = b""
    removed: bool = False


@dataclass(frozen=True, slots=True)
class StoredRows:
    """The rows of a table at one version of the store.

    Parameters
    ----------
    rows : tuple of StoredRow
    version : int
    era : int or None
        Rises whenever the store comes back from an older copy; None if not told.
    store_ms : int or None
        The store's steady clock when it answered; None if not told.
    """

    rows: tuple[StoredRow, ...]
    version: int
    era: int | None = None
    store_ms: Millis | None = None


@dataclass(frozen=True, slots=True)
class FeedChanges:
    """Rows that changed, in order, and the version and era to go on from.

    Parameters
    ----------
    rows : tuple of StoredRow
    version : int
    era : int or None
    store_ms : int or None
        The store's steady clock when it answered; None if not told.
    is_all : bool
        Whether there were no further changes that the answer had no room for.
    """

    rows: tuple[StoredRow, ...]
    version: int
    era: int | None = None
    store_ms: Millis | None = None
    is_all: bool = True


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes asked for are no longer kept; read the whole table."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """A read got no answer, or one that is of no use."""

    reason: str


@dataclass(frozen=True, slots=True)
class Applied:
    """The transaction took effect at ``version``, in an era of the store."""

    version: int
    era: int | None = None


@dataclass(frozen=True, slots=True)
class Conflicted:
    """A condition did not hold; ``rows`` are the present ones by key."""

    rows: dict[str, StoredRow] = field(default_factory=dict)
    era: int | None = None


@dataclass(frozen=True, slots=True)
class NotApplied:
    """The store refused the call: nothing was done."""

    reason: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """No answer came: the transaction may have taken effect, or yet do so."""

    reason: str


TransactionOutcome = Applied | Conflicted | NotApplied | Uncertain
