"""Replication of records between control processes: gossip and anti-entropy.

Each control that learns of a change forwards it several times to random peers.
Anti-entropy repairs whatever gossip misses: a digest compares all buckets with one
peer, and for one differing bucket both sides exchange the records that differ.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from azurefold.core.clock import Millis
from azurefold.core.membership.buckets import Buckets
from azurefold.core.membership.controls import Controls
from azurefold.core.membership.endpoints import Endpoint, Role, State, name_hash
from azurefold.core.membership.gossip_queue import (
    DATAGRAM_OVERHEAD_BYTES,
    MAX_PAYLOAD_BYTES,
    GossipQueue,
    GossipRateLimiter,
    split_into_datagrams,
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
_MAX_CHANGES = MAX_PAYLOAD_BYTES // _CHANGE_BYTES
_MAX_WANTED = 100


class Gossip:
    """Exchange of records between one control and its peers.

    Parameters
    ----------
    records : mapping
        The directory's records by name. Only the directory modifies them.
    controls : Controls
        The peers to send to.
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
        self._queue = GossipQueue(timing.sends_per_update)
        self._rate_limiter = GossipRateLimiter(timing, now)
        self._buckets = Buckets()
        self._name_by_hash: dict[int, str] = {}
        self._next_update_at = self._next_digest_at = now
        self._next_bucket = 0

    @property
    def _has_pending_updates(self) -> bool:
        # Gossip carries more information per byte than anti-entropy, which would use up
        # the byte budget to resend changes that are already in flight. So anti-entropy
        # waits until the queue is empty, unless there is no peer to send the queue to.
        return bool(self._queue) and bool(self._controls.peers)

    def enqueue(self, record: Endpoint) -> None:
        """Queue a changed record for sending, and update its bucket."""
        self._name_by_hash[name_hash(record.name)] = record.name
        self._buckets.put(record)
        self._queue.add(record.name, urgent=_is_urgent(record))

    def find_by_hash(self, hashed_name: int) -> Endpoint | None:
        """Return the record whose name has this hash, or None."""
        name = self._name_by_hash.get(hashed_name)
        return None if name is None else self._records[name]

    def expand_changes(self, message: Changes) -> tuple[list[Endpoint], list[int]]:
        """Return the records that a peer's changes describe, and unknown name hashes.

        A change contains only the mutable fields, so a record can be built only if its
        incarnation or a later one is known here. Nothing is stored.
        """
        records, unknown = [], []
        for change in message.changes:
            known = self.find_by_hash(change.name)
            if known is None or known.incarnation < change.incarnation:
                unknown.append(change.name)
            else:
                records.append(_apply_change(known, change))
        return records, unknown

    def record_duplicate(self, name: str) -> None:
        """Record that a peer sent a change that is already known here."""
        self._queue.record_duplicate(name)

    def cancel_update(self, name: str) -> None:
        """Cancel the sends of the latest change of ``name``."""
        self._queue.discard(name)

    def forget(self, name: str) -> None:
        """Delete all state of a record that the directory has deleted."""
        self._name_by_hash.pop(name_hash(name), None)
        self._buckets.remove(name)
        self._queue.discard(name)

    def tick(self, now: Millis, draw: int) -> list[Send]:
        """Return the messages with the digest and the queued changes that are due."""
        sends = []
        if now >= self._next_digest_at:
            self._next_digest_at = now + self._timing.digest_interval_ms
            sends += self._send_digest(draw, now)
        if now >= self._next_update_at and self._queue:
            self._next_update_at = now + self._timing.update_interval_ms
            sends += self._send_updates(draw, now)
        return sends

    def on_digest(self, message: Digest, origin: str, now: Millis) -> list[Send]:
        """Reply with a summary of one differing bucket, if any differs.

        No reply is sent while changes are queued or the rate limit is exceeded.
        """
        bucket = self._buckets.find_difference(message.buckets, self._next_bucket)
        if bucket is None or self._has_pending_updates:
            return []
        self._next_bucket = bucket + 1
        summary = self._buckets.summary(bucket)
        size = DATAGRAM_OVERHEAD_BYTES + _SUMMARY_ENTRY_BYTES * len(summary.entries)
        return (
            [Send(origin, summary)] if self._rate_limiter.try_consume(size, now) else []
        )

    def on_summary(self, message: Summary, origin: str, now: Millis) -> list[Send]:
        """Reply with the local records that differ, and request unknown ones."""
        local, remote = self._buckets.compare(message)
        # If one bucket differs, another one is likely to differ too, so the next digest
        # is sent early.
        if not self._has_pending_updates:
            self._next_digest_at = min(
                self._next_digest_at, now + self._timing.update_interval_ms
            )
        unknown = [
            hashed_name
            for hashed_name in remote
            if hashed_name not in self._name_by_hash
        ]
        known = {*local, *remote}.difference(unknown)
        records = [
            self._records[self._name_by_hash[hashed_name]]
            for hashed_name in sorted(known)
        ]
        changes = self.send_changes(records, origin, now)
        return changes + self.request_records(unknown, origin, now)

    def request_records(
        self, hashes: Sequence[int], origin: str, now: Millis
    ) -> list[Send]:
        """Request complete records from a peer, by the hashes of their names."""
        wanted = tuple(hashes[:_MAX_WANTED])
        size = DATAGRAM_OVERHEAD_BYTES + _WANT_ENTRY_BYTES * len(wanted)
        if not wanted or not self._rate_limiter.try_consume(size, now):
            return []
        return [Send(origin, Want(wanted))]

    def on_want(self, message: Want, origin: str, now: Millis) -> list[Send]:
        """Reply with the requested records."""
        found = (
            self.find_by_hash(hashed_name)
            for hashed_name in message.names[:_MAX_WANTED]
        )
        return self._send_records(
            [record for record in found if record is not None], origin, now
        )

    def send_changes(
        self, records: Sequence[Endpoint], to: str, now: Millis
    ) -> list[Send]:
        """Return datagrams with the mutable fields of ``records``.

        Records that exceed the rate limit are left out.
        """
        sends = []
        for start in range(0, len(records), _MAX_CHANGES):
            group = records[start : start + _MAX_CHANGES]
            if not self._rate_limiter.try_consume(
                DATAGRAM_OVERHEAD_BYTES + _CHANGE_BYTES * len(group), now
            ):
                break
            sends.append(Send(to, Changes(tuple(map(_to_change, group)))))
        return sends

    def _send_records(
        self, records: Iterable[Endpoint], to: str, now: Millis
    ) -> list[Send]:
        sends = []
        for group in split_into_datagrams(records):
            size = DATAGRAM_OVERHEAD_BYTES + sum(map(wire_size, group))
            if not self._rate_limiter.try_consume(size, now):
                break
            sends.append(Send(to, Records(group)))
        return sends

    def _send_digest(self, draw: int, now: Millis) -> list[Send]:
        peer = self._controls.pick_any(draw)
        if peer is None or not self._rate_limiter.try_consume(
            DATAGRAM_OVERHEAD_BYTES + _DIGEST_BYTES, now
        ):
            return []
        return [Send(peer, Digest(self._buckets.hashes))]

    def _send_updates(self, draw: int, now: Millis) -> list[Send]:
        peer = self._controls.pick_live(draw)
        if peer is None:
            return []
        names = self._queue.next_names(_MAX_CHANGES)
        records = [self._records[name] for name in names]
        sends = self.send_changes(records, peer, now)
        if sends:
            self._queue.decrement_remaining_sends(names)
        return sends


def _is_urgent(record: Endpoint) -> bool:
    return record.role is Role.CONTROL or record.state is State.LEAVING


def _to_change(record: Endpoint) -> Change:
    return Change(
        name=name_hash(record.name),
        incarnation=record.incarnation,
        version=record.version,
        announced=record.announced,
        departing=record.departing,
        silence=record.silence,
    )


def _apply_change(known: Endpoint, change: Change) -> Endpoint:
    """Return the known record with the fields of ``change``."""
    return replace(
        known,
        incarnation=change.incarnation,
        version=change.version,
        announced=change.announced,
        departing=change.departing,
        silence=change.silence,
    )
