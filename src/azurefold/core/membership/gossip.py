"""How control processes keep their records equal: rumours and repair.

A change is passed on to random peers some times by each control that learns
it. What that misses, repair finds: each digest compares all buckets with one
peer, and for one bucket that differs the two exchange what is not the same.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from azurefold.core.clock import Millis
from azurefold.core.membership.buckets import Buckets
from azurefold.core.membership.controls import Controls
from azurefold.core.membership.endpoints import Endpoint, Role, State, name_hash
from azurefold.core.membership.gossip_queue import (
    MAX_PAYLOAD,
    OVERHEAD,
    Pacer,
    Rumours,
    page,
    wire_size,
)
from azurefold.core.membership.messages import (
    Change,
    Changes,
    Digest,
    Records,
    Send,
    Summary,
    Timing,
    Want,
)

__all__ = ["Gossip"]

_SUMMARY_ENTRY_BYTES = 11
_DIGEST_BYTES = 84
_WANT_ENTRY_BYTES = 5
_CHANGE_BYTES = 21
_MAX_CHANGES = MAX_PAYLOAD // _CHANGE_BYTES
_MAX_WANTED = 100


class Gossip:
    """The traffic of one control with its peers.

    Parameters
    ----------
    records : mapping
        The directory's records by name, which only the directory changes.
    controls : Controls
        Whom to send to.
    timing : Timing
        Intervals and budgets.
    now : int
        The present time in milliseconds.
    """

    def __init__(
        self,
        records: Mapping[str, Endpoint],
        controls: Controls,
        timing: Timing,
        now: Millis,
    ) -> None:
        self._records = records
        self._controls = controls
        self._timing = timing
        self._rumours = Rumours(timing.rumour_sends)
        self._pacer = Pacer(timing, now)
        self._buckets = Buckets()
        self._names: dict[int, str] = {}
        self._rumour_at = self._digest_at = now
        self._next_bucket = 0

    @property
    def _is_spreading(self) -> bool:
        # Rumours carry more for their bytes than repair, which would take the
        # budget and send again what is under way already. So it waits for
        # them, but not for rumours that nobody is there to be told.
        return bool(self._rumours) and bool(self._controls.peers)

    def spread(self, record: Endpoint) -> None:
        """Pass on a record that has changed."""
        self._names[name_hash(record.name)] = record.name
        self._buckets.put(record)
        self._rumours.add(record.name, urgent=_is_urgent(record))

    def find(self, hashed: int) -> Endpoint | None:
        """Return the record whose name has this hash, or None."""
        name = self._names.get(hashed)
        return None if name is None else self._records[name]

    def read(self, message: Changes) -> tuple[list[Endpoint], list[int]]:
        """Return the records that a peer holds, and name hashes unknown here."""
        records, unknown = [], []
        for change in message.changes:
            known = self.find(change.name)
            if known is None or known.incarnation < change.incarnation:
                unknown.append(change.name)
            else:
                records.append(_changed(known, change))
        return records, unknown

    def heard_again(self, name: str) -> None:
        """Note that a peer passed on what is held here already."""
        self._rumours.heard_again(name)

    def keep_quiet(self, name: str) -> None:
        """Do not pass on what is held of ``name``."""
        self._rumours.discard(name)

    def forget(self, name: str) -> None:
        """Drop what is kept for a record that is no longer held."""
        self._names.pop(name_hash(name), None)
        self._buckets.remove(name)
        self._rumours.discard(name)

    def tick(self, now: Millis, draw: int) -> list[Send]:
        """Send the digest and the rumours that are due."""
        sends = []
        if now >= self._digest_at:
            self._digest_at = now + self._timing.digest
            sends += self._send_digest(draw, now)
        if now >= self._rumour_at and self._rumours:
            self._rumour_at = now + self._timing.rumour
            sends += self._send_rumours(draw, now)
        return sends

    def on_digest(self, message: Digest, origin: str, now: Millis) -> list[Send]:
        """Answer with a summary of one bucket that differs, if any does."""
        bucket = self._buckets.first_difference(message.buckets, self._next_bucket)
        if bucket is None or self._is_spreading:
            return []
        self._next_bucket = bucket + 1
        summary = self._buckets.summary(bucket)
        size = OVERHEAD + _SUMMARY_ENTRY_BYTES * len(summary.entries)
        return [Send(origin, summary)] if self._pacer.take(size, now) else []

    def on_summary(self, message: Summary, origin: str, now: Millis) -> list[Send]:
        """Answer with what is held here, and ask for what is unknown."""
        here, there = self._buckets.compare(message)
        # Where one bucket differed, another one is likely to.
        if not self._is_spreading:
            self._digest_at = min(self._digest_at, now + self._timing.rumour)
        unknown = [hashed for hashed in there if hashed not in self._names]
        known = {*here, *there}.difference(unknown)
        records = [self._records[self._names[hashed]] for hashed in sorted(known)]
        changes = self.send_changes(records, origin, now)
        return changes + self.ask_for(unknown, origin, now)

    def ask_for(self, hashes: Sequence[int], origin: str, now: Millis) -> list[Send]:
        """Ask a peer for whole records."""
        wanted = tuple(hashes[:_MAX_WANTED])
        size = OVERHEAD + _WANT_ENTRY_BYTES * len(wanted)
        if not wanted or not self._pacer.take(size, now):
            return []
        return [Send(origin, Want(wanted))]

    def on_want(self, message: Want, origin: str, now: Millis) -> list[Send]:
        """Answer with the records asked for."""
        found = (self.find(hashed) for hashed in message.names[:_MAX_WANTED])
        return self._send_records([r for r in found if r is not None], origin, now)

    def send_changes(
        self, records: Sequence[Endpoint], to: str, now: Millis
    ) -> list[Send]:
        """Return datagrams with what may have changed of ``records``."""
        sends = []
        for start in range(0, len(records), _MAX_CHANGES):
            group = records[start : start + _MAX_CHANGES]
            if not self._pacer.take(OVERHEAD + _CHANGE_BYTES * len(group), now):
                break
            sends.append(Send(to, Changes(tuple(map(_change, group)))))
        return sends

    def _send_records(
        self, records: Iterable[Endpoint], to: str, now: Millis
    ) -> list[Send]:
        sends = []
        for group in page(records):
            size = OVERHEAD + sum(map(wire_size, group))
            if not self._pacer.take(size, now):
                break
            sends.append(Send(to, Records(group)))
        return sends

    def _send_digest(self, draw: int, now: Millis) -> list[Send]:
        peer = self._controls.draw_any(draw)
        if peer is None or not self._pacer.take(OVERHEAD + _DIGEST_BYTES, now):
            return []
        return [Send(peer, Digest(self._buckets.hashes))]

    def _send_rumours(self, draw: int, now: Millis) -> list[Send]:
        peer = self._controls.draw_live(draw)
        if peer is None:
            return []
        names = self._rumours.next_names(_MAX_CHANGES)
        records = [self._records[name] for name in names]
        sends = self.send_changes(records, peer, now)
        if sends:
            self._rumours.count_down(names)
        return sends


def _is_urgent(record: Endpoint) -> bool:
    return record.role is Role.CONTROL or record.state is State.LEAVING


def _change(record: Endpoint) -> Change:
    return Change(
        name=name_hash(record.name),
        incarnation=record.incarnation,
        version=record.version,
        announced=record.announced,
        departing=record.departing,
        silence=record.silence,
    )


def _changed(known: Endpoint, change: Change) -> Endpoint:
    """Return the sender's record, as far as ``change`` tells it."""
    return replace(
        known,
        incarnation=change.incarnation,
        version=change.version,
        announced=change.announced,
        departing=change.departing,
        silence=change.silence,
    )
