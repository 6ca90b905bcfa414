"""Reading one answer of an endpoint off a connection."""

from dataclasses import dataclass
from enum import StrEnum

from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPResponse,
)

from azurefold.core.clock import Millis
from azurefold.gateway.callers.calls import CutOffError
from azurefold.gateway.endpoints.connections import Link
from azurefold.internal.http_client import is_status
from azurefold.platform.headers import AnswerHead, read_answer

__all__ = ["BrokenReplyError", "Framing", "Reply", "read_reply"]

_BLOCK_BYTES = 16_384
_SECOND_MS = 1_000
_FIRST_FINAL_STATUS = 200
_WITHOUT_BODY = (204, 304)

_MOST_OVERHEAD_BYTES = 65_536
"""Of a head, and between two pieces of a body: four times what callers may send."""

_TIMEOUT_REASON = "silent"
_MOST_DIGITS = 18


class Framing(StrEnum):
    """How an answer says where its body ends (RFC 9112, 6.3)."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CONNECTION = "connection"


class BrokenReplyError(Exception):
    """The answer broke off, or was none; what was sent may have been run.

    Parameters
    ----------
    reason : str
        A short word for logs.
    begun : bool
        Whether any byte of an answer had come.
    """

    def __init__(self, reason: str, begun: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.begun = begun

    @property
    def is_timeout(self) -> bool:
        """Whether reading timed out while the connection was still open."""
        return self.reason == _TIMEOUT_REASON


class _Parser(HTTPResponse):
    """A parser for one final answer.

    The library's goes on to the next answer on the connection and forgets the
    one before. Bytes behind a whole answer belong to no request of ours; they
    must not change what was read, and the connection is not used again.
    """

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= _FIRST_FINAL_STATUS:
            raise HTTPProtocolViolationError("bytes behind the answer")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        # One below 200 would pass for an interim answer, with the final one to come.
        if not is_status(self.get_code()):
            raise HTTPProtocolViolationError(f"no status: {self.get_code()}")
        return super()._on_headers_complete()


@dataclass(slots=True)
class Reply:
    """An answer whose head has come; made by :func:`read_reply`.

    Parameters
    ----------
    head : AnswerHead
    """

    head: AnswerHead
    _link: Link
    _parser: _Parser
    _spoiled: bool

    @property
    def is_whole(self) -> bool:
        """Whether all of the answer has come."""
        return self._parser.message_complete

    @property
    def framing(self) -> Framing:
        """What ends the body."""
        if "transfer-encoding" in self._parser:
            return Framing.CHUNKED
        is_empty = self.head.status in _WITHOUT_BODY or self._parser.method == "HEAD"
        if is_empty or "content-length" in self._parser:
            return Framing.LENGTH
        return Framing.CONNECTION

    @property
    def may_reuse(self) -> bool:
        """Whether the connection can carry another request."""
        return not self._spoiled and not self._parser.should_close()

    @property
    def idle_timeout_ms(self) -> Millis | None:
        """How long the endpoint says it keeps an idle connection."""
        for part in str(self._parser.get("keep-alive", "")).split(","):
            name, _, seconds = part.strip().partition("=")
            is_number = seconds.isascii() and seconds.isdecimal()
            if name == "timeout" and is_number and len(seconds) <= _MOST_DIGITS:
                return int(seconds) * _SECOND_MS
        return None

    def next_bytes(self) -> bytes:
        """Wait for more of the body; empty when it is whole.

        Raises
        ------
        BrokenReplyError
            If the connection ends before the answer does.
        """
        overhead = 0
        while not self._parser._body_buffer:
            if self._parser.message_complete:
                return b""
            received, is_clean = _feed(self._link, self._parser, begun=True)
            self._spoiled |= not is_clean
            overhead = _checked_overhead(overhead + received)
        data = bytes(self._parser._body_buffer)
        self._parser._body_buffer.clear()
        return data

    @property
    def content_length(self) -> int | None:
        """Bytes of the body if the answer tells them before."""
        if self.framing is not Framing.LENGTH:
            return None
        length = str(self._parser.get("content-length", ""))
        is_number = length.isascii() and length.isdecimal()
        return int(length) if is_number and len(length) <= _MOST_DIGITS else None


def read_reply(link: Link, method: str) -> Reply:
    """Wait for the head of an answer.

    Raises
    ------
    BrokenReplyError
        If there is none, or bytes that are no answer.
    """
    parser = _Parser(method)
    clean = True
    received = 0
    while not parser.headers_complete or parser.get_code() < _FIRST_FINAL_STATUS:
        count, is_clean = _feed(link, parser, begun=received > 0)
        clean &= is_clean
        received = _checked_overhead(received + count)
    pairs = [(name, str(value)) for name, value in parser.items()]
    head = read_answer(parser.get_code(), pairs)
    return Reply(head, link, parser, not clean)


def _checked_overhead(received: int) -> int:
    """Return how much has come without a piece of a body, if that is not too much.

    Raises
    ------
    BrokenReplyError
        If bytes come without end that are no part of an answer.
    """
    if received > _MOST_OVERHEAD_BYTES:
        raise BrokenReplyError("no_end_of_head", begun=True)
    return received


def _feed(link: Link, parser: _Parser, begun: bool) -> tuple[int, bool]:
    """Read once; return how much, and whether the connection still makes sense."""
    try:
        data = link.sock.recv(_BLOCK_BYTES)
    except CutOffError:
        # Ends the whole request, not this attempt. Taken for a connection that broke,
        # a caller's leaving had the request sent to another endpoint.
        raise
    except TimeoutError as error:
        raise BrokenReplyError(_TIMEOUT_REASON, begun) from error
    except OSError as error:
        raise BrokenReplyError("reset", begun) from error
    try:
        # No data is the end of the connection, which ends an answer that has
        # no length of its own.
        parser.feed(data)
    except HTTPParseError as error:
        if parser.message_complete and parser.headers_complete:
            return len(data), False
        reason = "not_an_answer" if data else "closed"
        raise BrokenReplyError(reason, begun) from error
    if not data and not parser.message_complete:
        raise BrokenReplyError("closed", begun)
    return len(data), bool(data)
