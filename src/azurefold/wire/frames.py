"""Lines in which an agent streams an answer to an entry.

One JSON array a line. A line carries all text that is there when it is
written: one message a token would cost more than the answer itself. On a
channel, which carries the lines of many attempts, each begins with the number
that the entry has given to its attempt.
"""

from typing import Annotated

import msgspec

from azurefold.border.decoding import Count, UnreadableError, json_decoder
from azurefold.core.attempts.frames import EndFrame, Frame

__all__ = [
    "HEADER_CHANNEL",
    "BadLineError",
    "Broken",
    "Head",
    "decode_line",
    "encode_broken",
    "encode_end",
    "encode_frame",
    "encode_head",
    "number_line",
    "split_number",
]

HEADER_CHANNEL = "Azurefold-Channel"
"""Asks an agent to send an attempt's lines on a channel: ``ID/NUMBER``."""


class BadLineError(ValueError):
    """A line that is no frame."""


class _Text(msgspec.Struct, array_like=True, tag="f", frozen=True):
    offset: Count
    text: str


class _End(msgspec.Struct, array_like=True, tag="e", frozen=True):
    total: Count
    digest: str


class Broken(msgspec.Struct, array_like=True, tag="x", frozen=True):
    """The answer cannot be finished.

    Parameters
    ----------
    reason : str
        A machine-readable word.
    """

    reason: str


class Head(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Status and type of the endpoint's answer.

    Parameters
    ----------
    status : int
    content_type : str
    """

    status: Annotated[int, msgspec.Meta(ge=100, le=599)]
    content_type: str


_encode = msgspec.json.Encoder().encode
_decode = json_decoder(_Text | _End | Broken | Head)


def encode_frame(offset: int, text: str) -> bytes:
    r"""Return the line of a run of text.

    Examples
    --------
    >>> encode_frame(3, "a")
    b'["f",3,"a"]\n'
    """
    return _encode(_Text(offset, text)) + b"\n"


def encode_head(status: int, content_type: str) -> bytes:
    """Return the line that comes before the first text."""
    return _encode(Head(status, content_type)) + b"\n"


def encode_end(total: int, digest: str) -> bytes:
    """Return the last line of a whole answer."""
    return _encode(_End(total, digest)) + b"\n"


def encode_broken(reason: str) -> bytes:
    """Return the last line of an answer that cannot be finished."""
    return _encode(Broken(reason)) + b"\n"


def decode_line(attempt_id: str, line: bytes) -> Frame | EndFrame | Broken | Head:
    """Read a line of the attempt ``attempt_id``.

    Raises
    ------
    BadLineError
        If the line is no frame.
    """
    try:
        message = _decode(line)
    except UnreadableError as error:
        raise BadLineError(f"a line from an agent is no frame: {error}") from error
    match message:
        case _Text(offset=offset, text=text):
            return Frame(attempt_id, offset, text)
        case _End(total=total, digest=digest):
            return EndFrame(attempt_id, total, digest)
        case _:
            return message


def number_line(number: int, line: bytes) -> bytes:
    r"""Return an attempt's line as it goes on a channel.

    Examples
    --------
    >>> number_line(7, b'["f",3,"a"]\n')
    b'7 ["f",3,"a"]\n'
    """
    return b"%d %b" % (number, line)


def split_number(line: bytes) -> tuple[int, bytes]:
    r"""Return the number of a channel's line, and the attempt's own line.

    Raises
    ------
    BadLineError
        If it has no number.

    Examples
    --------
    >>> split_number(b'7 ["f",3,"a"]\n')
    (7, b'["f",3,"a"]\n')
    """
    number, _, rest = line.partition(b" ")
    try:
        return int(number), rest
    except ValueError as error:
        raise BadLineError("a channel's line has no number") from error
