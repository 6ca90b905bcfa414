"""Memory of the platform stand-in: table, objects, VMs and snapshots."""

import copy
from dataclasses import asdict, dataclass, field

from azurefold.site_store.messages import Row, Transaction, Vms

__all__ = ["Counters", "PlatformStore"]


@dataclass(slots=True)
class Counters:
    """Requests and rows since the start.

    Parameters
    ----------
    reads, writes : int
        Requests to the table; a refused transaction counts as a write.
    rows_read, rows_written : int
        Rows in answers, and rows put or deleted.
    object_reads, object_writes : int
        Requests to the object store.
    """

    reads: int = 0
    writes: int = 0
    rows_read: int = 0
    rows_written: int = 0
    object_reads: int = 0
    object_writes: int = 0

    def as_dict(self) -> dict[str, int]:
        """Return the figures by name."""
        return asdict(self)


@dataclass(slots=True)
class _Content:
    rows: dict[str, Row] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    last_version: int = 0


class PlatformStore:
    """Table, object store and list of VMs in memory.

    One greenlet at a time runs it and nothing in it waits, so a transaction
    is atomic without a lock.
    """

    def __init__(self) -> None:
        self._content = _Content()
        self._snapshots: dict[str, _Content] = {}
        self._vm_lists: list[tuple[int, Vms]] = []
        self.counters = Counters()

    def read(self, keys: list[str]) -> list[Row]:
        """Return the present rows among ``keys``."""
        rows = [self._content.rows[key] for key in keys if key in self._content.rows]
        return self._counted(rows)

    def read_prefix(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``, sorted by key."""
        found = [
            row for key, row in self._content.rows.items() if key.startswith(prefix)
        ]
        return self._counted(sorted(found, key=lambda row: row.key))

    def write(self, transaction: Transaction) -> dict[str, int] | list[Row]:
        """Apply ``transaction``.

        Returns
        -------
        dict or list
            New versions by key; or, if a condition failed, the present rows
            among those named in the conditions.
        """
        self.counters.writes += 1
        if not all(map(self._holds, transaction.conditions)):
            keys = [condition.key for condition in transaction.conditions]
            return [self._content.rows[k] for k in keys if k in self._content.rows]
        for key in transaction.deletes:
            self._content.rows.pop(key, None)
        for put in transaction.puts:
            self._content.last_version += 1
            row = Row(put.key, self._content.last_version, put.value)
            self._content.rows[put.key] = row
        self.counters.rows_written += len(transaction.puts) + len(transaction.deletes)
        return {
            put.key: self._content.rows[put.key].version for put in transaction.puts
        }

    def put_object(self, sha256: str, data: bytes) -> None:
        """Keep ``data`` under ``sha256``."""
        self.counters.object_writes += 1
        self._content.objects[sha256] = data

    def get_object(self, sha256: str) -> bytes | None:
        """Return the object, or ``None``."""
        self.counters.object_reads += 1
        return self._content.objects.get(sha256)

    def set_vms(self, vms: Vms, now: int) -> None:
        """Note the true list of VMs as of ``now`` in milliseconds."""
        self._vm_lists.append((now, vms))

    def vms(self, now: int, lag_ms: int) -> Vms:
        """Return the list as it was ``lag_ms`` ago."""
        shown = Vms(())
        for noted_at, vms in self._vm_lists:
            if noted_at <= now - lag_ms:
                shown = vms
        return shown

    def take_snapshot(self, name: str) -> None:
        """Keep a copy of table and objects under ``name``."""
        self._snapshots[name] = copy.deepcopy(self._content)

    def restore(self, name: str) -> bool:
        """Put an older copy in place; return whether there was one."""
        if name not in self._snapshots:
            return False
        self._content = copy.deepcopy(self._snapshots[name])
        return True

    def _holds(self, condition) -> bool:
        row = self._content.rows.get(condition.key)
        if condition.version is None:
            return row is None
        return row is not None and row.version == condition.version

    def _counted(self, rows: list[Row]) -> list[Row]:
        self.counters.reads += 1
        self.counters.rows_read += len(rows)
        return rows
