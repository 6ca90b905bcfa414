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
        self._members: list[dict[int, int]] = [{} for _ in range(BUCKETS)]
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
        self._members[hashed % BUCKETS][hashed] = printed
        self._hashes[hashed % BUCKETS] ^= printed

    def remove(self, name: str) -> None:
        """Note that no live record of ``name`` is held."""
        hashed = name_hash(name)
        held = self._members[hashed % BUCKETS].pop(hashed, None)
        if held is not None:
            self._hashes[hashed % BUCKETS] ^= held

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
        entries = tuple(SummaryEntry(h, printed) for h, printed in members.items())
        return Summary(bucket, entries)

    def compare(self, summary: Summary) -> tuple[list[int], list[int]]:
        """Return name hashes that a peer lacks or holds differently, and mine.

        Returns
        -------
        here, there : list of int
            Live here, and live there, but not the same on the other side.
        """
        theirs = {entry.name: entry.fingerprint for entry in summary.entries}
        mine = self._members[summary.bucket % BUCKETS]
        here = [h for h, p in mine.items() if theirs.get(h) != p]
        there = [h for h, p in theirs.items() if mine.get(h) != p]
        return here, there
