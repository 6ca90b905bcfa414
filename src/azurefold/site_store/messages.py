"""What is asked of the platform's service, and the answers to it."""

from dataclasses import dataclass

from azurefold.border.decoding import Count

__all__ = [
    "Condition",
    "Conflict",
    "Missing",
    "ObjectBytes",
    "Put",
    "Row",
    "Rows",
    "Stored",
    "Transaction",
    "Unavailable",
    "Unknown",
    "Vm",
    "Vms",
    "Written",
]


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Parameters
    ----------
    key : str
        Name of the row.
    version : int
        Grows with each write of this key; never used twice for one key.
    value : str
        Content, commonly JSON.
    """

    key: str
    version: Count
    value: str


@dataclass(frozen=True, slots=True)
class Condition:
    """What must hold of one row for a transaction to take effect.

    Parameters
    ----------
    key : str
        Name of the row.
    version : int or None
        Version the row must have; ``None`` means that it must be absent.
    """

    key: str
    version: int | None = None


@dataclass(frozen=True, slots=True)
class Put:
    """A row to write.

    Parameters
    ----------
    key : str
        Name of the row.
    value : str
        New content.
    """

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together, or not at all.

    Parameters
    ----------
    conditions : tuple of Condition
        All must hold at the moment of the write.
    puts : tuple of Put
        Rows to write.
    deletes : tuple of str
        Keys of rows to remove.
    """

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Rows:
    """The present rows among those asked for.

    Parameters
    ----------
    rows : dict of str to Row
        By key; an absent row has no entry.
    """

    rows: dict[str, Row]


@dataclass(frozen=True, slots=True)
class Written:
    """The transaction took effect.

    Parameters
    ----------
    versions : dict of str to int
        New version of each row put.
    """

    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written.

    Parameters
    ----------
    rows : dict of str to Row
        The present rows among those named in the conditions.
    """

    rows: dict[str, Row]


@dataclass(frozen=True, slots=True)
class Unknown:
    """The write may have taken effect, now or later, or not at all.

    Parameters
    ----------
    reason : str
        What went wrong after the request had been handed over.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no answer; a write certainly did not take effect.

    Parameters
    ----------
    reason : str
        What went wrong.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Stored:
    """The object is kept under its hash.

    Parameters
    ----------
    sha256 : str
        Hash of the content in hexadecimal digits.
    """

    sha256: str


@dataclass(frozen=True, slots=True)
class ObjectBytes:
    """Content of an object, already compared with its hash."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Missing:
    """The object store holds nothing under this hash."""

    sha256: str


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM as the platform's lagging list shows it.

    Parameters
    ----------
    name : str
        The platform's name of the VM.
    data_centre : str
        Where it runs.
    leaving : bool
        Whether the platform is about to take it away.
    """

    name: str
    data_centre: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Vms:
    """The list of VMs; it lags, so it is a hint only.

    Parameters
    ----------
    vms : tuple of Vm
        Live and leaving VMs.
    """

    vms: tuple[Vm, ...]
