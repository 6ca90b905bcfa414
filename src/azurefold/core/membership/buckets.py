"""Digest of a directory for anti-entropy, split into buckets by name hash.

Two controls compare the hashes of their buckets to find the records that differ. The
hashes are updated incrementally.
"""

from azurefold.core.membership.endpoints import (
    Endpoint,
    State,
    fingerprint,
    name_hash,
)
from azurefold.core.membership.messages import Summary, SummaryEntry

__all__ = ["BUCKET_COUNT", "Buckets"]

BUCKET_COUNT = 16


class Buckets:
    """The exclusive or of the record fingerprints in each bucket.

    Gone endpoints are left out. Controls delete them at different times, so they would
    otherwise repair that difference for ever. A record that is gone here and live on a
    peer still differs, and joining the two records resolves it.
    """

    def __init__(self) -> None:
        self._members: list[dict[int, int]] = [{} for _ in range(BUCKET_COUNT)]
        self._hashes = [0] * BUCKET_COUNT

    @property
    def hashes(self) -> tuple[int, ...]:
        """One 32-bit hash for each bucket."""
        return tuple(self._hashes)

    def put(self, record: Endpoint) -> None:
        """Add or replace a record; a gone one is removed."""
        self.remove(record.name)
        if record.state is State.GONE:
            return
        hashed_name = name_hash(record.name)
        record_fingerprint = fingerprint(record)
        self._members[hashed_name % BUCKET_COUNT][hashed_name] = record_fingerprint
        self._hashes[hashed_name % BUCKET_COUNT] ^= record_fingerprint

    def remove(self, name: str) -> None:
        """Remove the record of ``name``, if there is one."""
        hashed_name = name_hash(name)
        removed = self._members[hashed_name % BUCKET_COUNT].pop(hashed_name, None)
        if removed is not None:
            self._hashes[hashed_name % BUCKET_COUNT] ^= removed

    def find_difference(self, hashes: tuple[int, ...], start: int) -> int | None:
        """Return the first bucket that differs, or None.

        The search begins at ``start`` and wraps around.
        """
        if len(hashes) != BUCKET_COUNT:
            return None
        for step in range(BUCKET_COUNT):
            bucket = (start + step) % BUCKET_COUNT
            if hashes[bucket] != self._hashes[bucket]:
                return bucket
        return None

    def summary(self, bucket: int) -> Summary:
        """Return the name hash and fingerprint of each record in ``bucket``."""
        members = self._members[bucket]
        entries = tuple(
            SummaryEntry(hashed_name, record_fingerprint)
            for hashed_name, record_fingerprint in members.items()
        )
        return Summary(bucket, entries)

    def compare(self, summary: Summary) -> tuple[list[int], list[int]]:
        """Return the name hashes of the records that differ from a peer's.

        Returns
        -------
        local, remote : list of int
            Live here, and live at the peer, but missing or different on the other
            side.
        """
        theirs = {entry.name: entry.fingerprint for entry in summary.entries}
        ours = self._members[summary.bucket % BUCKET_COUNT]
        local = [name for name, value in ours.items() if theirs.get(name) != value]
        remote = [name for name, value in theirs.items() if ours.get(name) != value]
        return local, remote
