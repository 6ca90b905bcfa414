"""The text of one attempt, kept for as long as somebody may resume it."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from gevent.event import Event

from azurefold.agent.channels import Channel
from azurefold.core.attempts.frames import text_digest
from azurefold.core.callers.memory import Reservation
from azurefold.wire.frames import (
    encode_broken,
    encode_end,
    encode_frame,
    encode_head,
    number_line,
)

__all__ = ["AnswerBuffer"]

_BLANK_LINE = b"\n"
_FRAME_CHARACTERS = 65_536
"""Of a line, so that a reader takes a long answer in parts."""


@dataclass(frozen=True, slots=True)
class _Follower:
    channel: Channel
    number: int

    def put(self, line: bytes) -> None:
        self.channel.put(number_line(self.number, line))


@dataclass(slots=True)
class AnswerBuffer:
    """Text that arrives at its own pace and is read from any offset.

    Parameters
    ----------
    attempt_id : str
    status : int
        Status of the endpoint's answer, for services that have one.
    content_type : str
    held : Reservation, optional
        Of the text.
    """

    attempt_id: str
    status: int = 200
    content_type: str = "text/event-stream"
    held: Reservation | None = None
    _readers: int = 0
    _followers: list[_Follower] = field(default_factory=list)
    _pieces: list[str] = field(default_factory=list)
    _offsets: list[int] = field(default_factory=list)
    _total: int = 0
    _total_at_beat: int = -1
    _broken: str | None = None
    _ended: bool = False
    _changed: Event = field(default_factory=Event)

    @property
    def readers(self) -> int:
        """Entries that are reading the answer just now."""
        return self._readers + len(self._followers)

    @property
    def total(self) -> int:
        """Characters so far."""
        return self._total

    @property
    def ended(self) -> bool:
        """Whether nothing more will come."""
        return self._ended

    @property
    def text(self) -> str:
        """All text so far."""
        return "".join(self._pieces)

    def append(self, text: str) -> None:
        """Add text at the end."""
        offset = self._total
        self._pieces.append(text)
        self._offsets.append(offset)
        self._total = offset + len(text)
        if self._followers:
            if offset == 0:
                self._tell(self._head())
            self._tell(encode_frame(offset, text))
        if self._readers:
            self._changed.set()

    def finish(self) -> None:
        """Mark the answer whole."""
        self._end()

    def spoil(self, reason: str) -> None:
        """Mark the answer as one that cannot be finished."""
        self._broken = reason
        self._end()

    def follow(self, channel: Channel, number: int) -> None:
        """Send the whole answer on a channel, as it comes.

        Parameters
        ----------
        channel : Channel
        number : int
            What the channel's entry calls the attempt.
        """
        follower = _Follower(channel, number)
        if self._pieces or self._ended:
            follower.put(self._head())
        for frame in self._frames(0, 0):
            follower.put(frame)
        if self._ended:
            follower.put(self._last_line())
        else:
            self._followers.append(follower)

    def leave(self, channel: Channel) -> None:
        """Send nothing more on a channel."""
        self._followers = [one for one in self._followers if one.channel != channel]

    def keep_alive(self) -> None:
        """Wake readers where nothing came since the last call, once a second."""
        self._followers = [one for one in self._followers if not one.channel.closed]
        if self._readers and self._total_at_beat == self._total:
            self._changed.set()
        self._total_at_beat = self._total

    def lines(self, start: int) -> Iterator[bytes]:
        """Yield the lines of the answer from an offset, until it ends.

        While nothing comes, a blank line is sent now and then. By that, the
        reader tells an endpoint that thinks from a connection gone silent.

        Parameters
        ----------
        start : int
            Offset in characters.
        """
        self._readers += 1
        try:
            yield from self._lines(start)
        finally:
            self._readers -= 1

    def _end(self) -> None:
        self._ended = True
        if self._followers:
            if not self._pieces:
                self._tell(self._head())
            self._tell(self._last_line())
            self._followers = []
        self._changed.set()

    def _tell(self, line: bytes) -> None:
        for follower in self._followers:
            follower.put(line)

    def _lines(self, start: int) -> Iterator[bytes]:
        piece = self._piece_at(start)
        offset = start
        head_sent = False
        while True:
            if not head_sent and (piece < len(self._pieces) or self._ended):
                head_sent = True
                yield self._head()
            elif piece < len(self._pieces):
                text, piece = self._text_from(piece, offset)
                yield encode_frame(offset, text)
                offset += len(text)
            elif self._ended:
                yield self._last_line()
                return
            else:
                self._changed.clear()
                self._changed.wait()
                if piece == len(self._pieces) and not self._ended:
                    yield _BLANK_LINE

    def _piece_at(self, start: int) -> int:
        piece = len(self._pieces)
        while piece > 0 and self._offsets[piece - 1] >= start:
            piece -= 1
        if (
            piece > 0
            and self._offsets[piece - 1] + len(self._pieces[piece - 1]) > start
        ):
            piece -= 1
        return piece

    def _text_from(self, piece: int, offset: int) -> tuple[str, int]:
        """Return text from an offset in a piece on, and the piece behind it."""
        end = piece + 1
        until = offset + _FRAME_CHARACTERS
        while end < len(self._pieces) and self._offsets[end] < until:
            end += 1
        text = "".join(self._pieces[piece:end])
        return text[offset - self._offsets[piece] :], end

    def _frames(self, piece: int, offset: int) -> Iterator[bytes]:
        while piece < len(self._pieces):
            text, piece = self._text_from(piece, offset)
            yield encode_frame(offset, text)
            offset += len(text)

    def _head(self) -> bytes:
        return encode_head(self.status, self.content_type)

    def _last_line(self) -> bytes:
        if self._broken is not None:
            return encode_broken(self._broken)
        return encode_end(self._total, text_digest(self.text))
