"""Quarantined parts of prompts, kept in the store for gateways that all start again.

Gateways that run tell each other. What is kept here is read once, at the start, and
written by gateways that observed a crash under the part.
"""

import logging
from dataclasses import dataclass, field
from typing import Annotated

import gevent
import msgspec

from azurefold.border.decoding import (
    Count,
    UnreadableError,
    json_decoder,
    unreadable_as,
)
from azurefold.core.attempts.crashes import CrashReport
from azurefold.core.clock import Millis
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform import names
from azurefold.platform.store import StoreClient
from azurefold.platform.store_messages import (
    Applied,
    RowKey,
    RowWrite,
    StoredRow,
    Unavailable,
)

__all__ = ["PartRecords"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_LOOK_MS: Millis = 250
_RETRY_MS: Millis = 700
_LARGEST_PART = 2**64 - 1
_LARGEST_MARK = 2**32 - 1

_Mark = Annotated[int, msgspec.Meta(ge=0, le=_LARGEST_MARK)]


class _Record(msgspec.Struct, frozen=True):
    """Hash of each crashed endpoint's incarnation, and the store's time then."""

    crashes: tuple[tuple[_Mark, Count], ...]


_decode_record = json_decoder(_Record)


@dataclass(slots=True)
class PartRecords:
    """This gateway's view of the kept records.

    Parameters
    ----------
    state : GatewayState
    store : StoreClient
    """

    state: GatewayState
    store: StoreClient
    _kept: dict[int, frozenset[int]] = field(default_factory=dict)
    _seen: tuple[int, int] = (0, 0)

    def run(self) -> None:
        """Read the records, then keep them up to date for ever."""
        while not self.load():
            self._pause(_RETRY_MS)
        while True:
            self._pause(_LOOK_MS)
            if not self.save():
                self._pause(_RETRY_MS)

    def load(self) -> bool:
        """Read all records; return whether the store answered."""
        answer = self.store.read_table(names.CRASHING_PARTS)
        if isinstance(answer, Unavailable):
            return False
        for row in answer.rows:
            self._take(row, answer.store_ms)
        return True

    def save(self) -> bool:
        """Write what has changed; return whether nothing is left to write."""
        tracker = self.state.crashing_parts
        seen = tracker.changes, self.state.store_returns
        if seen == self._seen:
            return True
        if seen[1] != self._seen[1]:
            # The rows of before may be gone with the copy.
            self._kept.clear()
        quarantined = tracker.find_quarantined()
        writes = [
            write
            for part, report in quarantined.items()
            if tracker.has_observed(part)
            and self._kept.get(part) != report.crashes.keys()
            if (write := self._write(part, report)) is not None
        ]
        cleared = [part for part in self._kept if part not in quarantined]
        removes = [_row_key(part) for part in cleared]
        if writes or removes:
            outcome = self.store.transact(writes=writes, removes=removes)
            if not isinstance(outcome, Applied):
                return False
            log_event(
                _log, "part_records_written", written=len(writes), removed=len(removes)
            )
        self._kept = {
            part: frozenset(report.crashes) for part, report in quarantined.items()
        }
        self._seen = seen
        return True

    def _take(self, row: StoredRow, store_ms: Millis | None) -> None:
        try:
            part = _part_in(row.key)
            record = _decode_record(row.value)
        except UnreadableError as error:
            log_event(
                _log, "part_record_unreadable", logging.ERROR, row=row.key, why=error
            )
            return
        now = self.state.clock.now()
        store_now = self.state.store_now if store_ms is None else store_ms
        crashes = {
            mark: now - max(0, (store_now or at) - at) for mark, at in record.crashes
        }
        self.state.crashing_parts.merge(part, CrashReport(crashes), now)
        self._kept[part] = frozenset(crashes)

    def _write(self, part: int, report: CrashReport) -> RowWrite | None:
        store_now = self.state.store_now
        if store_now is None:
            return None
        offset = store_now - self.state.clock.now()
        crashes = tuple((mark, at + offset) for mark, at in report.crashes.items())
        return RowWrite(_row_key(part), msgspec.json.encode(_Record(crashes)))

    def _pause(self, ms: Millis) -> None:
        gevent.sleep(ms * (0.5 + self.state.draw.random()) / _SECOND_MS)


def _part_in(key: str) -> int:
    """Return the part that a row's key names.

    Raises
    ------
    UnreadableError
        If it names none; a larger number would fit into no message to other gateways.
    """
    with unreadable_as(UnreadableError):
        part = int(key, 16)
    if not 0 <= part <= _LARGEST_PART:
        raise UnreadableError(f"no part: {key[:80]!r}")
    return part


def _row_key(part: int) -> RowKey:
    return RowKey(names.CRASHING_PARTS, f"{part:016x}")
