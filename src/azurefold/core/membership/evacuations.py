"""Data centres that operators have evacuated: their endpoints get no new requests.

A store that was restored from an older copy may lack an evacuation that is in force.
It stays in force for a short time, in which the operators write it again. An
evacuation that has ended and that an older copy contains is in force again until it is
removed: sending nothing to a data centre that could serve does less harm than sending
requests to one that cannot.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = ["Evacuations"]


@dataclass(slots=True)
class Evacuations:
    """Evacuated data centres, as one process knows them.

    Parameters
    ----------
    recovery_ms : int
        After a restore of the store, how long an evacuation is kept that the restored
        copy lacks.
    """

    recovery_ms: Millis = 2_000
    _rows: dict[str, int] = field(default_factory=dict)
    _kept_until: dict[str, Millis] = field(default_factory=dict)
    _is_first_read_after_restore: bool = False

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that are evacuated."""
        return frozenset(self._rows)

    @property
    def rows(self) -> dict[str, int]:
        """Version of the row that evacuates each data centre."""
        return dict(self._rows)

    def includes(self, data_centre: str) -> bool:
        """Whether a data centre is evacuated."""
        return data_centre in self._rows

    def on_store_restored(self) -> None:
        """Prepare for the first full read after the store was restored."""
        self._is_first_read_after_restore = True

    def replace_all(self, rows: Mapping[str, int], now: Millis) -> None:
        """Apply a full read.

        Parameters
        ----------
        rows : mapping of str to int
            Version of the row by data centre.
        now : int
        """
        missing = self._rows.keys() - rows.keys()
        if self._is_first_read_after_restore:
            self._is_first_read_after_restore = False
            for name in missing:
                self._kept_until.setdefault(name, now + self.recovery_ms)
        self._end(missing - self._kept_until.keys())
        self._put(rows)

    def update(self, written: Mapping[str, int], removed: Iterable[str]) -> None:
        """Apply changes: rows that were written, by data centre, and removed ones."""
        self._end(removed)
        self._put(written)

    def tick(self, now: Millis) -> None:
        """End the evacuations that were not written again after a restore."""
        self._end([name for name, until in self._kept_until.items() if until <= now])

    def _put(self, rows: Mapping[str, int]) -> None:
        self._rows.update(rows)
        for name in rows:
            self._kept_until.pop(name, None)

    def _end(self, names: Iterable[str]) -> None:
        for name in names:
            self._rows.pop(name, None)
            self._kept_until.pop(name, None)
