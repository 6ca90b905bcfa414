"""The lease of the node that issues permits for cold endpoints.

The lease is a row of the store, which its holder renews. Nodes learn each version of
the row from its holder, or from the store, and take the lease when the row has not
changed for longer than a lease and the permits issued under it can be valid.
"""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.clock import Millis

__all__ = ["GrantorLease", "LeaseRow", "LeaseStep"]

_LEASE_MS: Millis = 3_000
"""How long a lease is valid, from before the call that renewed it."""

_RENEW_EVERY_MS: Millis = 1_000

_SUCCESSION_MS: Millis = _LEASE_MS + 1_200
"""How long the row must not have changed before a node takes the lease. Permits of the
former holder are then older than the window in which they count."""

_RETRY_MS: Millis = 1_000
"""Until a store that did not answer is called again by a node without the lease."""


class LeaseStep(Enum):
    """What to do next about the lease."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """A version of the row.

    Parameters
    ----------
    version : int
        0 if the row does not exist.
    era : int or None
        Rises whenever the store was restored from an older copy, which uses versions
        again; None if the store does not tell.
    """

    version: int
    era: int | None

    def is_newer(self, other: "LeaseRow") -> bool:
        """Whether this is a later version than ``other``, as far as can be told."""
        if self.era == other.era:
            return self.version > other.version
        return self.era is None or other.era is None or self.era > other.era


@dataclass(slots=True)
class GrantorLease:
    """One node's view of the lease.

    Parameters
    ----------
    stagger_ms : int
        How much longer than others this node waits before it takes the lease, so that
        few of hundreds of nodes try at once.
    is_holder : bool
        Whether this node wrote the row last, as far as it knows.
    row : LeaseRow or None
        The last known version; None before the first one.
    """

    stagger_ms: Millis = 0
    is_holder: bool = False
    row: LeaseRow | None = None
    _seen_at: Millis = 0
    _valid_until: Millis = 0
    _next_write_at: Millis = 0
    _next_read_at: Millis = 0

    def is_valid(self, now: Millis) -> bool:
        """Whether this node may issue permits."""
        return self.is_holder and now < self._valid_until

    def takeable_at(self, now: Millis) -> Millis:
        """Return when a node can take the lease if its holder is lost."""
        if self.row is None:
            return now + _SUCCESSION_MS
        return self._seen_at + _SUCCESSION_MS

    def next_step(self, now: Millis) -> LeaseStep | None:
        """Return what to do now, if anything."""
        if self.row is None:
            return LeaseStep.READ if now >= self._next_read_at else None
        if now < self._next_write_at:
            return None
        if self.is_holder or now >= self.takeable_at(now) + self.stagger_ms:
            return LeaseStep.WRITE
        return None

    def reset(self) -> None:
        """Give the lease up and forget the row, because nobody needs permits."""
        self.is_holder = False
        self.row = None

    def observe(self, row: LeaseRow, now: Millis) -> None:
        """Record a version of the row; one that is new ends a lease of this node."""
        if self.row is not None and not row.is_newer(self.row):
            # A late message, or no change.
            return
        self.is_holder = False
        self.row, self._seen_at = row, now
        self._next_write_at = 0

    def on_unanswered(self, now: Millis) -> None:
        """Handle a store that does not answer."""
        self._next_read_at = now + _RETRY_MS
        if not self.is_holder:
            self._next_write_at = now + _RETRY_MS

    def on_written(self, row: LeaseRow, asked_at: Millis, now: Millis) -> None:
        """Record a write of this node, which began at ``asked_at``.

        A write in another era shows that the store was restored. The row before it was
        that of an older copy, and another node's lease may be valid: the wait begins
        anew.
        """
        if self.row is None or row.era != self.row.era:
            self.observe(row, now)
            return
        self.row = row
        self.is_holder = True
        self._valid_until = asked_at + _LEASE_MS
        self._next_write_at = asked_at + _RENEW_EVERY_MS

    def on_conflict(self, row: LeaseRow, now: Millis, *, is_own: bool) -> None:
        """Record that the row has changed since this node last knew it.

        Parameters
        ----------
        row : LeaseRow
            The present version.
        now : int
        is_own : bool
            Whether this process wrote it, by a call whose answer was lost. Nobody has
            taken the lease since, so the row is written again at once.
        """
        if is_own and self.row is not None and row.era == self.row.era:
            self.row = row
            return
        if self.row is not None and row.era == self.row.era:
            # Lower versions of the same era are not expected, but the store decides.
            self.row = None
        self.observe(row, now)
