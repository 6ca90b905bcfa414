"""Lease on a group; its number is the fencing token of the group's coordinator.

The lease is one row of the platform's table. It is valid for a duration, never until
a time of day. Each process measures the duration with its own monotonic clock: the
holder from *before* it sent the write, the other processes from when they first read
the row version. Clocks need not agree, only run at the same rate, and the holder
stops early by a safety margin. If this fails, for example after a pause of the
process, the fencing token still protects the group.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = [
    "Lease",
    "LeaseAction",
    "LeaseRow",
    "LeaseTiming",
    "WriteConflict",
    "WriteNotApplied",
    "ReadLease",
    "VersionedLeaseRow",
    "WriteSucceeded",
    "OutcomeUnknown",
    "WriteLease",
    "WriteOutcome",
]


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Content of the row.

    Parameters
    ----------
    holder : str
        Name and incarnation of the process that holds the lease.
    fence : int
        Fencing token; incremented when the holder changes and after an expiry.
    attempt : int
        Sequence number of the holder's write, by which the holder recognises the row
        as its own write if the answer to that write was lost.
    map_id : str
        The last map that a holder activated; empty if none is known.
    released : bool
        Whether the holder released the lease.
    """

    holder: str
    fence: int
    attempt: int
    map_id: str = ""
    released: bool = False


@dataclass(frozen=True, slots=True)
class VersionedLeaseRow:
    """The row with its version; both are None if there is no row."""

    row: LeaseRow | None = None
    version: int | None = None


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the row."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write ``row`` if the row has ``expected_version``; None means no row exists."""

    row: LeaseRow
    expected_version: int | None


LeaseAction = ReadLease | WriteLease


@dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """The write succeeded, and the row now has ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The row did not have the expected version; ``current`` is the present row."""

    current: VersionedLeaseRow


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The write may have taken effect or may do so later."""


@dataclass(frozen=True, slots=True)
class WriteNotApplied:
    """The write certainly did not take effect."""


WriteOutcome = WriteSucceeded | WriteConflict | OutcomeUnknown | WriteNotApplied


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of the lease, in milliseconds.

    Parameters
    ----------
    duration : int, default=3000
        Time for which a write grants the lease.
    safety_margin : int, default=300
        Time before the expiry at which the holder stops to use the lease.
    renew_interval : int, default=1000
        Time between the starts of two renewals.
    poll_interval : int, default=500
        Time between two reads by a process that does not hold the lease, and before
        a retry while the platform gives no answer.
    """

    duration: Millis = 3_000
    safety_margin: Millis = 300
    renew_interval: Millis = 1_000
    poll_interval: Millis = 500


class Lease:
    """One process's view of the lease, with at most one request in flight.

    Parameters
    ----------
    holder : str
        Name and incarnation of this process.
    timing : LeaseTiming
        Durations of the lease.
    """

    def __init__(self, holder: str, timing: LeaseTiming) -> None:
        self._holder = holder
        self._timing = timing
        self._last_read: VersionedLeaseRow | None = None
        self._version: int | None = None
        self._version_seen_at: Millis = 0
        self._fence: int | None = None
        self._valid_until: Millis = 0
        self._min_fence = 0
        self._map_id = ""
        self._sent_at: dict[int, Millis] = {}
        self._pending: LeaseAction | None = None
        self._next_request_at: Millis = 0

    @property
    def row(self) -> LeaseRow | None:
        """The row as last read; None if absent or unknown."""
        return self._last_read.row if self._last_read else None

    @property
    def map_id(self) -> str:
        """The last map known to be active; empty if none is known."""
        return self._map_id

    def fence_at(self, now: Millis) -> int | None:
        """Return the fence if this process holds the lease at ``now``, else None."""
        if now >= self._valid_until - self._timing.safety_margin:
            return None
        return self._fence

    def record_active_map(self, map_id: str) -> None:
        """Store ``map_id`` with the next renewal, so that successors can read it."""
        self._map_id = map_id

    def abandon(self, min_fence: int = 0) -> None:
        """Stop using the current fence; the next one is higher than ``min_fence``.

        A coordinator that restarted under the same fence would reuse order numbers.
        Also, ranks may know a higher fence than the table if the table was restored
        from an older copy.
        """
        self._fence = None
        self._min_fence = max(self._min_fence, min_fence)
        self._next_request_at = 0

    def tick(self, now: Millis) -> LeaseAction | None:
        """Return the request that is due, if any; the caller reports its outcome."""
        if self._pending is not None or now < self._next_request_at:
            return None
        self._pending = self._next_request(now)
        return self._pending

    def on_read(self, read: VersionedLeaseRow | None, now: Millis) -> None:
        """Handle the result of a read; None if the platform gave no answer."""
        self._pending = None
        self._next_request_at = now + self._timing.poll_interval
        if read is not None:
            self._observe_row(read, now)

    def on_write_outcome(self, outcome: WriteOutcome, now: Millis) -> None:
        """Handle the outcome of the write in flight."""
        write, self._pending = self._pending, None
        match outcome:
            case WriteSucceeded(version):
                self._observe_row(VersionedLeaseRow(write.row, version), now)
            case WriteConflict(current):
                self._next_request_at = now + self._timing.poll_interval
                self._observe_row(current, now)
            case OutcomeUnknown():
                # Read the row back. If the write were assumed to have failed but took
                # effect, no process would use the lease until it expired.
                self._last_read = None
                self._next_request_at = now + self._timing.poll_interval // 5
            case WriteNotApplied():
                self._next_request_at = now + self._timing.poll_interval

    def release(self, now: Millis) -> WriteLease | None:
        """Return the write that ends the lease early, or None if it is not held."""
        if self.fence_at(now) is None or self._last_read is None:
            return None
        row = LeaseRow(self._holder, self._fence, 0, self._map_id, released=True)
        self._fence = None
        return WriteLease(row, self._last_read.version)

    def _next_request(self, now: Millis) -> LeaseAction:
        if self._last_read is None:
            return ReadLease()
        if self.fence_at(now) is not None:
            return self._build_write(self._fence, now)
        if self._is_free(now):
            last_fence = self._last_read.row.fence if self._last_read.row else 0
            return self._build_write(max(last_fence, self._min_fence) + 1, now)
        return ReadLease()

    def _is_free(self, now: Millis) -> bool:
        row = self._last_read.row
        if row is None or row.released or row.holder == self._holder:
            return True
        return now - self._version_seen_at >= self._timing.duration

    def _build_write(self, fence: int, now: Millis) -> WriteLease:
        attempt = 1 + max(self._sent_at, default=0)
        self._sent_at[attempt] = now
        row = LeaseRow(self._holder, fence, attempt, self._map_id)
        return WriteLease(row, self._last_read.version)

    def _observe_row(self, read: VersionedLeaseRow, now: Millis) -> None:
        if read.version != self._version or read.row is None:
            self._version_seen_at = now
        self._last_read, self._version = read, read.version
        row = read.row
        if row is None or row.holder != self._holder or row.released:
            self._fence = None
            self._map_id = row.map_id if row else self._map_id
            return
        self._adopt_lease(row)

    def _adopt_lease(self, row: LeaseRow) -> None:
        sent_at = self._sent_at.get(row.attempt)
        if sent_at is None or row.fence <= self._min_fence:
            return
        self._fence = row.fence
        self._valid_until = self._compute_expiry(sent_at)
        self._next_request_at = sent_at + self._timing.renew_interval
        still_relevant = {n: at for n, at in self._sent_at.items() if n >= row.attempt}
        self._sent_at = still_relevant

    def _compute_expiry(self, sent_at: Millis) -> Millis:
        return sent_at + self._timing.duration
