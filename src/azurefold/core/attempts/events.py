"""Server-sent events of a stream: splitting into complete events, and timing.

Only complete events are forwarded. An endpoint may fail in the middle of an event,
and the endpoint that resumes the stream starts with a complete one. If a partial
event had been forwarded before it, the caller would parse parts of both as one.
"""

from dataclasses import dataclass, field
from math import exp

from azurefold.core.clock import Millis

__all__ = ["EventTiming", "EventSplitter", "EventGapMonitor", "first_event_id"]

_EVENT_END = b"\n\n"
_EVENT_END_CRLF = b"\r\n\r\n"
_ID_FIELD = b"id:"

_RECENT_TIME_CONSTANT_MS: Millis = 100
_BASELINE_TIME_CONSTANT_MS: Millis = 1_500
_MIN_ELAPSED_MS: Millis = 4
_RESET_COOLDOWN_MS: Millis = 700
"""Time after a reset of the baseline during which no increase is reported. The new
expert map takes this long to take effect."""

_MIN_GROWTH_FACTOR = 1.3
"""A sudden change of expert popularity lengthens passes by a factor of 1.4 to 2,
the processing of prompts by a factor of 1.2."""

_LONG_GAP_MS: Millis = 60
"""Callers are guaranteed gaps of at most 120 ms; half of that delays nobody."""


def first_event_id(events: bytes) -> str | None:
    r"""Return the first id in some events, or None without one.

    Examples
    --------
    >>> first_event_id(b"weight-versions: 3\nid: 7\ndata: a\n\nid: 8\ndata: b\n\n")
    '7'
    """
    for line in events.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


@dataclass(slots=True)
class EventSplitter:
    r"""Splitter of a byte stream into complete events.

    Parameters
    ----------
    last_id : str or None
        Id of the last complete event, from which the stream can be resumed.
    event_count : int
        Number of complete events so far.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.has_partial_event
    ('1', True)
    >>> splitter.feed(b"ta: b\n\n"), splitter.last_id, splitter.has_partial_event
    (b'id: 2\ndata: b\n\n', '2', False)
    """

    last_id: str | None = None
    event_count: int = 0
    _buffer: bytearray = field(default_factory=bytearray)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds the start of an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are complete now."""
        self._buffer += data
        end = self._find_end_of_last_event()
        if not end:
            return b""
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._record_events(events)
        return events

    def discard_partial_event(self) -> None:
        """Discard an incomplete event that its endpoint will not complete."""
        self._buffer.clear()

    def _find_end_of_last_event(self) -> int:
        lf_index = self._buffer.rfind(_EVENT_END)
        crlf_index = self._buffer.rfind(_EVENT_END_CRLF)
        ends = (
            lf_index + len(_EVENT_END) if lf_index >= 0 else 0,
            crlf_index + len(_EVENT_END_CRLF) if crlf_index >= 0 else 0,
        )
        return max(ends)

    def _record_events(self, events: bytes) -> None:
        for line in events.splitlines():
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
            elif not line:
                self.event_count += 1


@dataclass(slots=True)
class EventTiming:
    """Times at which the events of a stream were forwarded.

    Parameters
    ----------
    longest_gap : int
        Longest time between two successive events, in milliseconds.
    """

    longest_gap: Millis = 0
    _first_at: Millis | None = None
    _last_at: Millis = 0

    def record_events(self, now: Millis) -> Millis | None:
        """Record forwarded events; return the gap before them, None for the first."""
        if self._first_at is None:
            self._first_at = self._last_at = now
            return None
        gap = now - self._last_at
        self.longest_gap = max(self.longest_gap, gap)
        self._last_at = now
        return gap

    def time_to_first_event(self, started_at: Millis) -> Millis | None:
        """Return the time from ``started_at`` to the first event, or None without one.

        Examples
        --------
        >>> timing = EventTiming()
        >>> for now in (130, 190, 300):
        ...     _ = timing.record_events(now)
        >>> timing.time_to_first_event(100), timing.longest_gap
        (30, 110)
        """
        return None if self._first_at is None else self._first_at - started_at


@dataclass(slots=True)
class EventGapMonitor:
    """Detector of a recent increase of the gaps between events of a group's streams.

    All ranks of a group compute each pass together, so the gaps of any stream show
    how long passes take. When expert popularity changes suddenly and no longer suits
    the map, gaps grow within one or two passes, long before the next sample of
    request counts.
    """

    _recent_gap: float = 0.0
    _baseline_gap: float = 0.0
    _observed_at: Millis = 0
    _baseline_reset_at: Millis = 0

    def observe(self, gap: Millis, now: Millis) -> None:
        """Update the moving averages with the gap between two events of a stream."""
        if not self._observed_at:
            self._recent_gap = self._baseline_gap = float(gap)
        elapsed = max(_MIN_ELAPSED_MS, now - self._observed_at)
        self._observed_at = now
        self._recent_gap += (1 - exp(-elapsed / _RECENT_TIME_CONSTANT_MS)) * (
            gap - self._recent_gap
        )
        self._baseline_gap += (1 - exp(-elapsed / _BASELINE_TIME_CONSTANT_MS)) * (
            gap - self._baseline_gap
        )

    def has_increased(self, now: Millis) -> bool:
        """Whether gaps have grown, are long, and no increase was reported recently."""
        if now - self._baseline_reset_at < _RESET_COOLDOWN_MS:
            return False
        is_long = self._recent_gap >= _LONG_GAP_MS
        return is_long and self._recent_gap > _MIN_GROWTH_FACTOR * self._baseline_gap

    def reset_baseline(self, now: Millis) -> None:
        """Make the recent gaps the baseline once an increase is being handled."""
        if self.has_increased(now):
            self._baseline_gap = self._recent_gap
            self._baseline_reset_at = now
