"""How control processes keep their records equal: rumours and repair.

A change is passed on to random peers some times by each control that learns
it. What that misses, repair finds: each digest compares all buckets with one
peer, and for one bucket that differs the two exchange what is not the same.
"""

from collections.abc import Iterable, Mapping

from azurefold.core.clock import Millis
from azurefold.core.membership.buckets import Buckets
from azurefold.core.membership.controls import Controls
from azurefold.core.membership.endpoints import Endpoint
from azurefold.core.membership.messages import (
    Digest,
    Records,
    Send,
    Summary,
    Timing,
    Want,
)
from azurefold.core.membership.rumours import (
    OVERHEAD,
    Pacer,
    Rumours,
    page,
    wire_size,
)

__all__ = ["Gossip"]

_SUMMARY_ENTRY_BYTES = 11
_DIGEST_BYTES = 84
_WANT_ENTRY_BYTES = 5
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
        self._rumour_at = self._digest_at = now
        self._next_bucket = 0

    def spread(self, record: Endpoint) -> None:
        """Pass on a record that has changed."""
        self._buckets.put(record)
        self._rumours.add(record.name)

    def keep_quiet(self, name: str) -> None:
        """Do not pass on what is held of ``name``."""
        self._rumours.discard(name)

    def forget(self, name: str) -> None:
        """Drop what is kept for a record that is no longer held."""
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
        if bucket is None:
            return []
        self._next_bucket = bucket + 1
        summary = self._buckets.summary(bucket)
        size = OVERHEAD + _SUMMARY_ENTRY_BYTES * len(summary.entries)
        return [Send(origin, summary)] if self._pacer.take(size, now) else []

    def on_summary(self, message: Summary, origin: str, now: Millis) -> list[Send]:
        """Answer with the records that the peer lacks, and ask for others."""
        send, ask = self._buckets.compare(message)
        # Where one bucket differed, another one is likely to.
        self._digest_at = min(self._digest_at, now + self._timing.rumour)
        sends = self.send_records((self._records[name] for name in send), origin, now)
        wanted = tuple(ask[:_MAX_WANTED])
        size = OVERHEAD + _WANT_ENTRY_BYTES * len(wanted)
        if wanted and self._pacer.take(size, now):
            sends.append(Send(origin, Want(wanted)))
        return sends

    def on_want(self, message: Want, origin: str, now: Millis) -> list[Send]:
        """Answer with the records asked for."""
        names = (self._buckets.name_of(h) for h in message.names[:_MAX_WANTED])
        records = [self._records[name] for name in names if name is not None]
        return self.send_records(records, origin, now)

    def send_records(
        self, records: Iterable[Endpoint], to: str, now: Millis
    ) -> list[Send]:
        """Return datagrams with as many records as the budget allows."""
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
        sends = self.send_records(self._rumours.next_page(self._records), peer, now)
        for send in sends:
            self._rumours.mark_sent(send.message.records)
        return sends
