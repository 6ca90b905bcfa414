"""The lease on a group, whose number is the fence of its coordinator.

The lease is one row of the platform's table. Its term is a duration, never a
time of day: each process measures it with its own monotonic clock, the holder
from *before* it sent the write, the others from when they first saw it. Clocks
need not agree, only run equally fast, and the holder stops early by a margin.
The fence protects even where that fails, as after a pause.
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
        Rises with each change of holder and each lapse.
    attempt : int
        Which of the holder's writes this is.
    map_id : str
        The last map that a holder put in force; empty if none is known.
    released : bool
        Whether the holder gave the lease up.
    """

    holder: str
    fence: int
    attempt: int
    map_id: str = ""
    released: bool = False


@dataclass(frozen=True, slots=True)
class VersionedLeaseRow:
    """The row with its version; both None while there is no row."""

    row: LeaseRow | None = None
    version: int | None = None


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the row."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write ``row`` if the present one has ``expected_version``; None: is absent."""

    row: LeaseRow
    expected_version: int | None


LeaseAction = ReadLease | WriteLease


@dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """The write took effect and gave the row ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The condition did not hold; ``seen`` is the present row."""

    seen: VersionedLeaseRow


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The write may have taken effect, or may do so later."""


@dataclass(frozen=True, slots=True)
class WriteNotApplied:
    """The write certainly did not take effect."""


WriteOutcome = WriteSucceeded | WriteConflict | OutcomeUnknown | WriteNotApplied


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Waits of the lease, in milliseconds.

    Parameters
    ----------
    duration : int, default=3000
        How long a write gives the lease for.
    safety_margin : int, default=300
        How long before the end of its term the holder stops.
    renew_interval : int, default=1000
        Between the begins of two renewals.
    poll_interval : int, default=500
        Between two looks of a process that does not hold it, and before a
        repeat while the platform gives no answer.
    """

    duration: Millis = 3_000
    safety_margin: Millis = 300
    renew_interval: Millis = 1_000
    poll_interval: Millis = 500


class Lease:
    """One process's view of the lease; one request is out at a time.

    Parameters
    ----------
    holder : str
        Name and incarnation of this process.
    timing : LeaseTiming
        Waits.
    """

    def __init__(self, holder: str, timing: LeaseTiming) -> None:
        self._holder = holder
        self._timing = timing
        self._seen: VersionedLeaseRow | None = None
        self._version: int | None = None
        self._seen_at: Millis = 0
        self._fence: int | None = None
        self._valid_until: Millis = 0
        self._min_fence = 0
        self._map_id = ""
        self._started: dict[int, Millis] = {}
        self._pending: LeaseAction | None = None
        self._act_at: Millis = 0

    @property
    def row(self) -> LeaseRow | None:
        """The row as last seen; None if absent or not known."""
        return self._seen.row if self._seen else None

    @property
    def map_id(self) -> str:
        """The last map known to be in force; empty if none is."""
        return self._map_id

    def fence_at(self, now: Millis) -> int | None:
        """Return the fence if this process holds the lease at ``now``."""
        if now >= self._valid_until - self._timing.safety_margin:
            return None
        return self._fence

    def record_active_map(self, map_id: str) -> None:
        """Store ``map_id`` with the next renewal, for successors."""
        self._map_id = map_id

    def abandon(self, min_fence: int = 0) -> None:
        """Stop using the present fence; the next one is above ``min_fence``.

        What goes wrong without: a coordinator that starts over under the same
        fence gives order numbers a second time. And ranks may know a higher
        fence than the table does, when it was restored from an older copy.
        """
        self._fence = None
        self._min_fence = max(self._min_fence, min_fence)
        self._act_at = 0

    def tick(self, now: Millis) -> LeaseAction | None:
        """Return the request that is due, if any; its outcome must be reported."""
        if self._pending is not None or now < self._act_at:
            return None
        self._pending = self._due(now)
        return self._pending

    def on_read(self, seen: VersionedLeaseRow | None, now: Millis) -> None:
        """Take in what was read; None if the platform gave no answer."""
        self._pending = None
        self._act_at = now + self._timing.poll_interval
        if seen is not None:
            self._look(seen, now)

    def on_write_outcome(self, outcome: WriteOutcome, now: Millis) -> None:
        """Take in what became of the write that was out."""
        write, self._pending = self._pending, None
        match outcome:
            case WriteSucceeded(version):
                self._look(VersionedLeaseRow(write.row, version), now)
            case WriteConflict(seen):
                self._act_at = now + self._timing.poll_interval
                self._look(seen, now)
            case OutcomeUnknown():
                # The row is read back: taken for not written, the lease would
                # be held unknown to its holder, and all would wait for its end.
                self._seen = None
                self._act_at = now + self._timing.poll_interval // 5
            case WriteNotApplied():
                self._act_at = now + self._timing.poll_interval

    def release(self, now: Millis) -> WriteLease | None:
        """Return the write that lets a successor follow at once, if it is held."""
        if self.fence_at(now) is None or self._seen is None:
            return None
        row = LeaseRow(self._holder, self._fence, 0, self._map_id, released=True)
        self._fence = None
        return WriteLease(row, self._seen.version)

    def _due(self, now: Millis) -> LeaseAction:
        if self._seen is None:
            return ReadLease()
        if self.fence_at(now) is not None:
            return self._write(self._fence, now)
        if self._is_free(now):
            known = self._seen.row.fence if self._seen.row else 0
            return self._write(max(known, self._min_fence) + 1, now)
        return ReadLease()

    def _is_free(self, now: Millis) -> bool:
        row = self._seen.row
        if row is None or row.released or row.holder == self._holder:
            return True
        return now - self._seen_at >= self._timing.duration

    def _write(self, fence: int, now: Millis) -> WriteLease:
        attempt = 1 + max(self._started, default=0)
        self._started[attempt] = now
        row = LeaseRow(self._holder, fence, attempt, self._map_id)
        return WriteLease(row, self._seen.version)

    def _look(self, seen: VersionedLeaseRow, now: Millis) -> None:
        if seen.version != self._version or seen.row is None:
            self._seen_at = now
        self._seen, self._version = seen, seen.version
        row = seen.row
        if row is None or row.holder != self._holder or row.released:
            self._fence = None
            self._map_id = row.map_id if row else self._map_id
            return
        self._keep(row)

    def _keep(self, row: LeaseRow) -> None:
        started = self._started.get(row.attempt)
        if started is None or row.fence <= self._min_fence:
            return
        self._fence = row.fence
        self._valid_until = self._term_from(started)
        self._act_at = started + self._timing.renew_interval
        later = {n: at for n, at in self._started.items() if n >= row.attempt}
        self._started = later

    def _term_from(self, started: Millis) -> Millis:
        return started + self._timing.duration
