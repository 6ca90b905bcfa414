"""Splitting a stream into whole server-sent events.

Only whole events are passed on. An endpoint may stop in the middle of one, and
another endpoint that takes the stream up begins with a whole event again; half
an event before it would join pieces of two runs into one.
"""

from dataclasses import dataclass, field
from math import exp

from azurefold.core.clock import Millis

__all__ = ["EventTiming", "EventSplitter", "EventGapMonitor"]

_END = b"\n\n"
_END_WITH_RETURNS = b"\r\n\r\n"
_ID = b"id:"

_RECENT_MS: Millis = 100
_USUAL_MS: Millis = 1_500
_LEAST_SPAN_MS: Millis = 4
_REFRACTORY_MS: Millis = 700
"""After gaps have grown, until they may be said to have grown again: a map for them
takes as long to be in force."""

_GROWTH = 1.3
"""A jump lengthens passes by 1.4 to 2; prompts that are read by 1.2."""

_LEAST_GAP_MS: Millis = 60
"""Gaps half as long as the 120 ms that callers are promised make nobody late."""


@dataclass(slots=True)
class EventSplitter:
    r"""Bytes of a stream that do not make up a whole event yet.

    Parameters
    ----------
    last_id : str or None
        Id of the last whole event, from which the stream can be resumed.
    event_count : int
        Whole events so far.

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
    _rest: bytearray = field(default_factory=bytearray)

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return the events that are now whole."""
        self._rest += data
        end = self._end_of_last_event()
        if not end:
            return b""
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        self._note_ids(whole)
        return whole

    def discard_partial_event(self) -> None:
        """Forget the event that has begun: its endpoint will not end it."""
        self._rest.clear()

    def _end_of_last_event(self) -> int:
        plain = self._rest.rfind(_END)
        returns = self._rest.rfind(_END_WITH_RETURNS)
        ends = (
            plain + len(_END) if plain >= 0 else 0,
            returns + len(_END_WITH_RETURNS) if returns >= 0 else 0,
        )
        return max(ends)

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
            elif not line:
                self.event_count += 1


@dataclass(slots=True)
class EventTiming:
    """When a stream's events were passed on.

    Parameters
    ----------
    longest_gap : int
        Milliseconds between two of them.
    """

    longest_gap: Millis = 0
    _first: Millis | None = None
    _last: Millis = 0

    def record_events(self, now: Millis) -> Millis | None:
        """Note that events were passed on; return the gap, None at the first."""
        if self._first is None:
            self._first = self._last = now
            return None
        gap = now - self._last
        self.longest_gap = max(self.longest_gap, gap)
        self._last = now
        return gap

    def time_to_first_event(self, began: Millis) -> Millis | None:
        """Return the time from ``began`` to the first event; None without one.

        Examples
        --------
        >>> pace = EventTiming()
        >>> for now in (130, 190, 300):
        ...     _ = pace.record_events(now)
        >>> pace.time_to_first_event(100), pace.longest_gap
        (30, 110)
        """
        return None if self._first is None else self._first - began


@dataclass(slots=True)
class EventGapMonitor:
    """Whether the gaps between streams' events have grown of late.

    All ranks of a group compute each pass together, so the gaps of any stream show
    how long passes take. They grow within a pass or two when popularity jumps away
    from a map, long before the next sample of counts is due.
    """

    _recent: float = 0.0
    _usual: float = 0.0
    _at: Millis = 0
    _settled_at: Millis = 0

    def observe(self, gap: Millis, now: Millis) -> None:
        """Take in the gap between two events of a stream."""
        if not self._at:
            self._recent = self._usual = float(gap)
        elapsed = max(_LEAST_SPAN_MS, now - self._at)
        self._at = now
        self._recent += (1 - exp(-elapsed / _RECENT_MS)) * (gap - self._recent)
        self._usual += (1 - exp(-elapsed / _USUAL_MS)) * (gap - self._usual)

    def has_increased(self, now: Millis) -> bool:
        """Whether gaps are longer than they were, and long enough to matter."""
        if now - self._settled_at < _REFRACTORY_MS:
            return False
        is_long = self._recent >= _LEAST_GAP_MS
        return is_long and self._recent > _GROWTH * self._usual

    def reset_baseline(self, now: Millis) -> None:
        """Take the present gaps for the usual ones: somebody looks into them."""
        if self.has_increased(now):
            self._usual = self._recent
            self._settled_at = now
