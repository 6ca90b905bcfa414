"""The leases on groups, as rows of the platform's table."""

from dataclasses import dataclass

import msgspec

from azurefold.border.decoding import LARGEST_COUNT, UnreadableError, json_decoder
from azurefold.core.groups.lease import (
    LeaseRow,
    OutcomeUnknown,
    VersionedLeaseRow,
    WriteConflict,
    WriteLease,
    WriteNotApplied,
    WriteOutcome,
    WriteSucceeded,
)
from azurefold.site_store.client import PlatformClient
from azurefold.site_store.messages import (
    Condition,
    Conflict,
    Put,
    Row,
    Rows,
    Transaction,
    Unavailable,
    Written,
)

__all__ = ["LeaseTable"]

_PREFIX = "group-lease/"

_decode_lease = json_decoder(LeaseRow)


@dataclass(frozen=True, slots=True)
class LeaseTable:
    """Reads and writes the row of each group."""

    client: PlatformClient

    def read(self, group: str) -> VersionedLeaseRow | None:
        """Return the group's row; None if the platform gave no answer."""
        read = self.client.read([_key(group)])
        if isinstance(read, Rows):
            return _seen(read.rows.get(_key(group)))
        return None

    def write(self, group: str, write: WriteLease) -> WriteOutcome:
        """Carry ``write`` out, and say what became of it."""
        key = _key(group)
        value = msgspec.json.encode(write.row).decode()
        condition = Condition(key, write.expected_version)
        written = self.client.write(Transaction((condition,), (Put(key, value),)))
        match written:
            case Written(versions):
                return WriteSucceeded(versions[key])
            case Conflict(rows):
                seen = _seen(rows.get(key))
                return OutcomeUnknown() if seen is None else WriteConflict(seen)
            case Unavailable():
                return WriteNotApplied()
        return OutcomeUnknown()


def _key(group: str) -> str:
    return _PREFIX + group


def _seen(row: Row | None) -> VersionedLeaseRow | None:
    if row is None:
        return VersionedLeaseRow()
    try:
        lease = _decode_lease(row.value)
    except UnreadableError:
        lease = None
    if lease is None or not _is_counted(lease):
        # Overwritten, a row that a newer version of the program understands
        # would let two coordinators in. Nobody coordinates until it is mended.
        return None
    return VersionedLeaseRow(lease, row.version)


def _is_counted(lease: LeaseRow) -> bool:
    return all(0 <= each <= LARGEST_COUNT for each in (lease.fence, lease.attempt))
