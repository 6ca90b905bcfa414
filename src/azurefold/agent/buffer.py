"""The text of one attempt, kept for as long as somebody may resume it."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from gevent.event import Event

from azurefold.core.attempts.frames import text_digest
from azurefold.core.clock import Millis
from azurefold.wire.frames import (
    encode_broken,
    encode_end,
    encode_frame,
    encode_head,
)

__all__ = ["AnswerBuffer"]

_SECOND_MS = 1_000
_KEEPALIVE_MS: Millis = 1_000
_BLANK_LINE = b"\n"


@dataclass(slots=True)
class AnswerBuffer:
    """Text that arrives at its own pace and is read from any offset.

    Parameters
    ----------
    attempt_id : str
    status : int
        Status of the endpoint's answer, for services that have one.
    content_type : str
    """

    attempt_id: str
    status: int = 200
    content_type: str = "text/event-stream"
    readers: int = 0
    _pieces: list[str] = field(default_factory=list)
    _offsets: list[int] = field(default_factory=list)
    _total: int = 0
    _broken: str | None = None
    _ended: bool = False
    _changed: Event = field(default_factory=Event)

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
        self._pieces.append(text)
        self._offsets.append(self._total)
        self._total += len(text)
        self._wake()

    def finish(self) -> None:
        """Mark the answer whole."""
        self._ended = True
        self._wake()

    def spoil(self, reason: str) -> None:
        """Mark the answer as one that cannot be finished."""
        self._broken = reason
        self._ended = True
        self._wake()

    def lines(self, start: int) -> Iterator[bytes]:
        """Yield the lines of the answer from an offset, until it ends.

        While nothing comes, a blank line is sent now and then. By that, the
        reader tells an endpoint that thinks from a connection gone silent.

        Parameters
        ----------
        start : int
            Offset in characters.
        """
        self.readers += 1
        try:
            yield from self._lines(start)
        finally:
            self.readers -= 1

    def _lines(self, start: int) -> Iterator[bytes]:
        piece = self._piece_at(start)
        offset = start
        head_sent = False
        while True:
            if not head_sent and (piece < len(self._pieces) or self._ended):
                head_sent = True
                yield encode_head(self.status, self.content_type)
            elif piece < len(self._pieces):
                text = self._text_from(piece, offset)
                piece = len(self._pieces)
                yield encode_frame(offset, text)
                offset += len(text)
            elif self._ended:
                yield self._last_line()
                return
            elif not self._wait():
                yield _BLANK_LINE

    def _wait(self) -> bool:
        self._changed.clear()
        return self._changed.wait(_KEEPALIVE_MS / _SECOND_MS)

    def _wake(self) -> None:
        self._changed.set()

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

    def _text_from(self, piece: int, offset: int) -> str:
        if piece == len(self._pieces) - 1:
            text = self._pieces[piece]
        else:
            text = "".join(self._pieces[piece:])
        return text[offset - self._offsets[piece] :]

    def _last_line(self) -> bytes:
        if self._broken is not None:
            return encode_broken(self._broken)
        return encode_end(self._total, text_digest(self.text))
