"""The body of an answer, kept until it is whole or for as long as there is room.

An answer that breaks off before its caller has any of it can be asked for again, so a
body is kept first. One that is too long for that, or for which the memory is short, is
passed on as its caller takes it.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from azurefold.core.callers.memory import Reservation
from azurefold.gateway.endpoints.reply import BrokenReplyError, Framing, Reply

__all__ = ["KeptBody", "check_end", "keep_body", "read_to_end"]

_PIECE_BYTES = 65_536
_MOST_KEPT_BYTES = 16 * 1_048_576
"""Four times what callers may send."""

_MOST_WITHOUT_END_BYTES = _MOST_KEPT_BYTES
"""Of a body that ends with its connection. Bytes that are no answer may come without
end, and nothing else tells them from a long one."""


@dataclass(slots=True)
class KeptBody:
    """A body, or its beginning.

    Parameters
    ----------
    pieces : deque of bytes
    is_whole : bool
    held : Reservation
        Of the request, with the pieces.
    held_before : int
        Bytes that the request held without them.
    """

    pieces: deque[bytes]
    is_whole: bool
    held: Reservation
    held_before: int

    @property
    def length(self) -> int:
        """Bytes that are kept."""
        return sum(len(piece) for piece in self.pieces)

    @property
    def body(self) -> bytes | tuple[bytes, ...]:
        """The pieces, or the only one."""
        if len(self.pieces) > 1:
            return tuple(self.pieces)
        return self.pieces[0] if self.pieces else b""

    def take_and_read_on(self, reply: Reply) -> Iterator[bytes]:
        """Yield the pieces, none of which is kept longer, and the rest of the body."""
        while self.pieces:
            yield self.pieces.popleft()
            self.held.shrink_to(self.held_before + self.length)
        while data := reply.next_bytes():
            yield data


def keep_body(reply: Reply, held: Reservation) -> KeptBody:
    """Read a body until it is whole or no more of it can be kept.

    Parameters
    ----------
    reply : Reply
    held : Reservation
        Grows by what is kept.

    Raises
    ------
    BrokenReplyError
        If the connection ends before the body does.
    """
    before = held.size
    try:
        return _read(reply, held, before)
    except BaseException:
        held.shrink_to(before)
        raise


def _read(reply: Reply, held: Reservation, held_before: int) -> KeptBody:
    pieces = deque()
    last = bytearray()
    length = 0
    is_whole = True
    while data := reply.next_bytes():
        last += data
        length += len(data)
        if len(last) >= _PIECE_BYTES:
            pieces.append(bytes(last))
            last.clear()
        if length > _MOST_KEPT_BYTES or not held.grow(len(data)):
            check_end(reply, length)
            is_whole = False
            break
    if last:
        pieces.append(bytes(last))
    return KeptBody(pieces, is_whole, held, held_before)


def read_to_end(reply: Reply) -> None:
    """Read a body that nobody wants, so that its connection can be used again.

    Raises
    ------
    BrokenReplyError
        If the connection ends before the body does, or the body is too long.
    """
    length = 0
    while data := reply.next_bytes():
        length += len(data)
        if length > _MOST_KEPT_BYTES:
            raise BrokenReplyError("body_too_long", begun=True)


def check_end(reply: Reply, length: int) -> None:
    """Check that a body of so many bytes so far still has an end.

    Raises
    ------
    BrokenReplyError
    """
    if reply.framing is Framing.CONNECTION and length > _MOST_WITHOUT_END_BYTES:
        raise BrokenReplyError("body_too_long", begun=True)
