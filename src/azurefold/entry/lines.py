"""Lines in which answers come from agents."""

from collections.abc import Iterator

from azurefold.core.attempts.frames import EndFrame, Frame
from azurefold.internal.http_client import CONNECTION_ERRORS, lines_at_once
from azurefold.wire.frames import BadLineError, Broken, Head, decode_line

__all__ = ["Line", "LostError", "decoded_lines", "raw_lines"]

_BLANK_LINE = b"\n"

Line = Frame | EndFrame | Broken | Head


class LostError(Exception):
    """The connection broke or went silent."""


def raw_lines(response: object) -> Iterator[list[bytes]]:
    """Yield the lines that are there at one moment, blank ones left out.

    An empty list is a sign of life.

    Raises
    ------
    LostError
        When the connection breaks, ends or goes silent.
    """
    while True:
        try:
            lines = lines_at_once(response)
        except CONNECTION_ERRORS as error:
            raise LostError(str(error)) from error
        if not lines:
            raise LostError("the agent closed the stream before its end")
        yield [line for line in lines if line != _BLANK_LINE]


def decoded_lines(response: object, attempt_id: str) -> Iterator[list[Line]]:
    """Yield the lines of one attempt that has its connection to itself.

    Raises
    ------
    LostError
        When the connection fails, or carries what is no frame.
    """
    for raw in raw_lines(response):
        try:
            yield [decode_line(attempt_id, line) for line in raw]
        except BadLineError as error:
            raise LostError(str(error)) from error
