"""Server-sent events of a stream: splitting into complete events, and timing.

Only complete events are forwarded. An endpoint may fail in the middle of an event,
and the endpoint that resumes the stream starts with a complete one. If a partial
event had been forwarded before it, the caller would parse parts of both as one.
"""

import re
from dataclasses import dataclass, field
from enum import StrEnum
from math import exp

from azurefold.core.clock import Millis

__all__ = ["EventFault", "EventGapMonitor", "EventSplitter", "EventTiming"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_LONGEST_EVENT_END = 4
_ID_FIELD = b"id:"
_COMMENT = b":"
_LONGEST_EVENT_BYTES = 1_048_576
"""Events of some tokens have some hundred bytes."""

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


class EventFault(StrEnum):
    """Why bytes of a stream are not its next event."""

    NO_ID = "event_without_id"
    ID_NOT_HIGHER = "event_id_not_higher"
    TOO_LONG = "event_too_long"


@dataclass(slots=True)
class EventSplitter:
    r"""Splitter of a byte stream into complete events with increasing ids.

    What follows an event whose id is not higher than the one before it is of another
    run of the request, or no event at all. The splitter returns nothing from there on.

    Parameters
    ----------
    needs_ids : bool, default=False
        Whether each event has an id. Otherwise only the events of a stream whose first
        event has one.
    last_id : str or None
        Id of the last complete event, from which the stream can be resumed.
    first_id : str or None
        Id of the first event of the present run.
    event_count : int
        Number of complete events so far.
    fault : EventFault or None
        Why the present run cannot go on.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.has_partial_event
    ('1', True)
    >>> splitter.feed(b"ta: b\n\n"), splitter.last_id, splitter.has_partial_event
    (b'id: 2\ndata: b\n\n', '2', False)
    >>> splitter.feed(b"id: 1\ndata: a\n\n"), splitter.fault
    (b'', <EventFault.ID_NOT_HIGHER: 'event_id_not_higher'>)
    """

    needs_ids: bool = False
    last_id: str | None = None
    first_id: str | None = None
    event_count: int = 0
    fault: EventFault | None = None
    _buffer: bytearray = field(default_factory=bytearray)
    _resumed_after: str | None = None

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds the start of an incomplete event."""
        return bool(self._buffer)

    def begin_run(self, resumed_after: str | None) -> None:
        """Begin the run of another endpoint; an incomplete event is discarded.

        Parameters
        ----------
        resumed_after : str or None
            Id of the event behind which the endpoint was asked to go on.
        """
        self._buffer.clear()
        self.fault = None
        self.first_id = None
        self._resumed_after = resumed_after

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are complete now."""
        if self.fault is not None:
            return b""
        # What was there before has no end of an event, but perhaps the start of one.
        searched = max(0, len(self._buffer) - _LONGEST_EVENT_END + 1)
        self._buffer += data
        events = bytearray()
        begin = 0
        for match in _EVENT_END.finditer(self._buffer, searched):
            event = bytes(self._buffer[begin : match.end()])
            begin = match.end()
            events += self._accept(event)
            if self.fault is not None:
                break
        del self._buffer[:begin]
        if len(self._buffer) > _LONGEST_EVENT_BYTES:
            self.fault = EventFault.TOO_LONG
        return bytes(events)

    def _accept(self, event: bytes) -> bytes:
        """Return the event, or nothing where it is none or its caller has it."""
        event_id = _event_id(event)
        if event_id is None:
            if _is_ignored(event):
                return event
            if self.needs_ids or self.last_id is not None:
                self.fault = EventFault.NO_ID
                return b""
        elif not self._accept_id(event_id):
            return b""
        self.event_count += 1
        return event

    def _accept_id(self, event_id: str) -> bool:
        is_first = self.first_id is None
        self.first_id = self.first_id or event_id
        if is_first and event_id == self._resumed_after:
            # Some endpoints go on at the event named instead of behind it.
            return False
        before = self.last_id or self._resumed_after
        if before is not None and not _is_higher(event_id, before):
            self.fault = EventFault.ID_NOT_HIGHER
            return False
        self.last_id = event_id
        return True


def _is_ignored(event: bytes) -> bool:
    """Whether readers of events pass over it: it has comments and empty lines only."""
    return all(not line or line.startswith(_COMMENT) for line in event.splitlines())


def _event_id(event: bytes) -> str | None:
    r"""Return the id of an event.

    Examples
    --------
    >>> _event_id(b"weight-versions: 3\nid: 7\ndata: a\n\n")
    '7'
    """
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


def _is_higher(event_id: str, before: str) -> bool:
    """Whether an id may follow another one.

    Examples
    --------
    >>> _is_higher("10", "9"), _is_higher("9", "10"), _is_higher("x", "9")
    (True, False, False)
    >>> _is_higher("b7", "a9"), _is_higher("a9", "a9")
    (True, False)
    """
    if not before.isdecimal():
        # The order of ids that are no numbers is not known here.
        return event_id != before
    return event_id.isdecimal() and _magnitude(event_id) > _magnitude(before)


def _magnitude(number: str) -> tuple[int, str]:
    # int() refuses numbers of some thousand digits, which an endpoint may send.
    digits = number.lstrip("0")
    return len(digits), digits


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
