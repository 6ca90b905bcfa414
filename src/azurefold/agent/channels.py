"""Channels on which one entry follows many attempts.

A stream for each attempt costs a system call, a wake-up and an HTTP chunk for
each token. All ranks step together, so the tokens of many attempts are there
at the same moment and go out in one write.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from gevent.event import Event

__all__ = ["Channel", "Channels"]

_MAX_PENDING_BYTES = 4 * 1024 * 1024
_BLANK_LINE = b"\n"


@dataclass(slots=True, eq=False)
class Channel:
    """Lines of several attempts on their way to one entry."""

    closed: bool = False
    _lines: list[bytes] = field(default_factory=list)
    _bytes: int = 0
    _idle: bool = False
    _changed: Event = field(default_factory=Event)

    @property
    def pending(self) -> bool:
        """Whether something has not been written yet."""
        return bool(self._lines) and not self.closed

    def put(self, line: bytes) -> None:
        """Add a line; it goes out together with others of the same moment."""
        if self.closed:
            return
        self._lines.append(line)
        self._bytes += len(line)
        # An entry that reads too slowly would have this process hold all its
        # answers twice. Its attempts' text is kept anyway; it takes them up
        # again one by one.
        if self._bytes > _MAX_PENDING_BYTES:
            self.closed = True
        self._changed.set()

    def keep_alive(self) -> None:
        """Write a blank line where nothing was written since the last call.

        By that the entry tells a channel without news from one that something
        between the two ends has lost track of.
        """
        if self._idle:
            self.put(_BLANK_LINE)
        self._idle = True

    def lines(self) -> Iterator[bytes]:
        """Yield what there is to write, until the channel is closed."""
        yield _BLANK_LINE
        try:
            while not self.closed:
                self._changed.wait()
                self._changed.clear()
                self._idle = False
                lines, self._lines = self._lines, []
                self._bytes = 0
                yield b"".join(lines)
        finally:
            self.closed = True


@dataclass(slots=True)
class Channels:
    """The channels of all entries."""

    _by_id: dict[str, Channel] = field(default_factory=dict)

    def __len__(self) -> int:
        return sum(not channel.closed for channel in self._by_id.values())

    @property
    def pending(self) -> int:
        """Channels with something that has not been written yet."""
        return sum(channel.pending for channel in self._by_id.values())

    def open(self, channel_id: str) -> Channel:
        """Return a new channel, which takes the place of one with the same id."""
        channel = Channel()
        self._by_id[channel_id] = channel
        return channel

    def find(self, channel_id: str) -> Channel | None:
        """Return a channel that is open."""
        channel = self._by_id.get(channel_id)
        return None if channel is None or channel.closed else channel

    def keep_alive(self) -> None:
        """Keep all channels alive and forget closed ones; call it each second."""
        for channel_id, channel in list(self._by_id.items()):
            channel.keep_alive()
            if channel.closed:
                del self._by_id[channel_id]
