"""Digest of a directory in buckets, kept up to date at each change."""

from azurefold.core.membership.endpoints import (
    Endpoint,
    State,
    fingerprint,
    name_hash,
)
from azurefold.core.membership.messages import Summary, SummaryEntry

__all__ = ["BUCKETS", "Buckets"]

BUCKETS = 16


class Buckets:
    """The exclusive or of the fingerprints in each bucket.

    Gone endpoints are left out: controls forget them at different times, and
    would otherwise repair that difference for ever. A record that is gone here
    and live there still differs, and its join settles it.
    """

    def __init__(self) -> None:
        self._members: list[dict[int, tuple[str, int]]] = [{} for _ in range(BUCKETS)]
        self._hashes = [0] * BUCKETS

    @property
    def hashes(self) -> tuple[int, ...]:
        """One 32-bit hash for each bucket."""
        return tuple(self._hashes)

    def put(self, record: Endpoint) -> None:
        """Note that ``record`` is now held."""
        self.remove(record.name)
        if record.state is State.GONE:
            return
        hashed = name_hash(record.name)
        printed = fingerprint(record)
        self._members[hashed % BUCKETS][hashed] = (record.name, printed)
        self._hashes[hashed % BUCKETS] ^= printed

    def remove(self, name: str) -> None:
        """Note that no live record of ``name`` is held."""
        hashed = name_hash(name)
        held = self._members[hashed % BUCKETS].pop(hashed, None)
        if held is not None:
            self._hashes[hashed % BUCKETS] ^= held[1]

    def first_difference(self, hashes: tuple[int, ...], start: int) -> int | None:
        """Return the first bucket from ``start`` on that differs, or None."""
        if len(hashes) != BUCKETS:
            return None
        for step in range(BUCKETS):
            bucket = (start + step) % BUCKETS
            if hashes[bucket] != self._hashes[bucket]:
                return bucket
        return None

    def summary(self, bucket: int) -> Summary:
        """Return what is held in ``bucket``."""
        members = self._members[bucket]
        entries = tuple(SummaryEntry(h, held[1]) for h, held in members.items())
        return Summary(bucket, entries)

    def name_of(self, hashed: int) -> str | None:
        """Return the live endpoint's name with this hash, or None."""
        held = self._members[hashed % BUCKETS].get(hashed)
        return held[0] if held is not None else None

    def compare(self, summary: Summary) -> tuple[list[str], list[int]]:
        """Return the names to send to a peer and the name hashes to ask for."""
        theirs = {entry.name: entry.fingerprint for entry in summary.entries}
        mine = self._members[summary.bucket % BUCKETS]
        send = [name for h, (name, p) in mine.items() if theirs.get(h) != p]
        ask = [h for h, p in theirs.items() if h not in mine or mine[h][1] != p]
        return send, ask
