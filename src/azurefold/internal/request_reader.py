"""Reading callers' requests off their connections, within bounds of size and time."""

from dataclasses import dataclass, field
from http import HTTPStatus

import gevent

from azurefold.core.callers.chunks import BadChunkError, ChunkDecoder
from azurefold.core.callers.http_head import (
    BadHeadError,
    HttpHead,
    parse_http_head,
)
from azurefold.core.clock import Millis
from azurefold.internal.caller_connections import (
    CallerConnection,
    ConnectionEndedError,
    Wait,
    WaitTimeoutError,
)

__all__ = ["BodyRefusedError", "ReadLimits", "RequestBody", "RequestReader"]

_BLOCK_BYTES = 16_384
_HEAD_END = b"\r\n\r\n"
_EMPTY_LINE = b"\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_FIELD_BYTES = 256
"""What the objects of one field take beside its text."""

_DISCARDED_BYTES = 65_536
"""Of a body that nobody reads, for which the connection is kept."""

_LINGER_BYTES = 8 * 1_048_576
_LINGER_MS: Millis = 2_000


@dataclass(slots=True)
class ReadLimits:
    """Bounds on what a caller sends; they may be changed while connections are open.

    Parameters
    ----------
    head_bytes : int
        Of a request line, and of all fields of a head or trailer.
    head_timeout_ms : int
        From the first byte of a head to its end.
    body_timeout_ms : int
        For a whole body.
    idle_timeout_ms : int
        Between two requests, and while a caller takes nothing of its answer.
    """

    head_bytes: int = 16_384
    head_timeout_ms: Millis = 10_000
    body_timeout_ms: Millis = 10_000
    idle_timeout_ms: Millis = 75_000


class BodyRefusedError(Exception):
    """A body that is not read to its end; its request has not run.

    Parameters
    ----------
    status : HTTPStatus
    reason : str
        A short word for logs.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class BrokenOffError(ConnectionEndedError):
    """The caller ended the connection within a request."""


@dataclass(slots=True)
class RequestReader:
    """The requests of one connection, one after the other.

    Parameters
    ----------
    connection : CallerConnection
    limits : ReadLimits
    """

    connection: CallerConnection
    limits: ReadLimits
    _buffer: bytearray = field(default_factory=bytearray)
    _is_first: bool = True

    def read_head(self) -> HttpHead | None:
        """Wait for the next request; None if the connection ends before it.

        Raises
        ------
        BadHeadError
            With status 408 if the head has begun and does not end in time.
        OSError
            If the connection broke, or is ended by this process.
        """
        connection = self.connection
        connection.held.release()
        if self._buffer:
            # Requests that were sent at once are there without any wait.
            gevent.sleep(0)
        wait = Wait.SILENT if self._is_first else Wait.IDLE
        connection.begin_wait(wait, self.limits.idle_timeout_ms)
        try:
            head = self._read_head()
        except WaitTimeoutError as error:
            if error.wait is Wait.HEAD:
                raise BadHeadError(HTTPStatus.REQUEST_TIMEOUT, "slow_headers") from None
            return None
        finally:
            connection.end_wait()
        self._is_first = False
        if head is None:
            return None
        parsed = parse_http_head(head, self.limits.head_bytes)
        if not connection.held.grow(len(head) + _FIELD_BYTES * len(parsed.fields)):
            raise BadHeadError(HTTPStatus.SERVICE_UNAVAILABLE, "memory_short")
        return parsed

    def _read_head(self) -> bytes | None:
        buffer = self._buffer
        has_begun = False
        searched = 0
        while True:
            while buffer.startswith(_EMPTY_LINE):
                del buffer[: len(_EMPTY_LINE)]
            end = buffer.find(_HEAD_END, max(0, searched - len(_HEAD_END)))
            if end >= 0:
                head = bytes(buffer[:end])
                del buffer[: end + len(_HEAD_END)]
                return head
            self._check_size()
            searched = len(buffer)
            if buffer and not has_begun:
                has_begun = True
                self.connection.begin_wait(Wait.HEAD, self.limits.head_timeout_ms)
            data = self.connection.receive(_BLOCK_BYTES)
            if not data:
                return None
            buffer += data

    def _check_size(self) -> None:
        """Refuse a head as soon as it is longer than any that is allowed."""
        limit = self.limits.head_bytes
        line_end = self._buffer.find(_EMPTY_LINE)
        if (line_end if line_end >= 0 else len(self._buffer)) > limit:
            raise BadHeadError(HTTPStatus.REQUEST_URI_TOO_LONG, "target_too_long")
        if len(self._buffer) - max(0, line_end) > limit + len(_HEAD_END):
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise BadHeadError(status, "head_too_large")

    def body_of(self, head: HttpHead) -> "RequestBody":
        """Return the body that follows a head."""
        decoder = ChunkDecoder(self.limits.head_bytes) if head.is_chunked else None
        return RequestBody(self, head, decoder, head.content_length or 0)

    def fill(self) -> None:
        """Wait for more of the body.

        Raises
        ------
        BrokenOffError
            If there is none.
        """
        data = self.connection.receive(_BLOCK_BYTES)
        if not data:
            raise BrokenOffError("the body broke off")
        self._buffer += data

    def linger(self) -> None:
        """Drop what the caller still sends, for a while.

        A connection that is closed with bytes unread is reset, and the caller may lose
        the answer that it was just given.
        """
        self.connection.begin_wait(Wait.CLOSE, _LINGER_MS)
        try:
            left = _LINGER_BYTES
            while left > 0 and (data := self.connection.receive(_BLOCK_BYTES)):
                left -= len(data)
        except OSError:
            return
        finally:
            self.connection.end_wait()


@dataclass(slots=True)
class RequestBody:
    """The body of one request, as ``wsgi.input``."""

    _reader: RequestReader
    _head: HttpHead
    _decoder: ChunkDecoder | None
    _left: int
    _data: bytearray = field(default_factory=bytearray)
    _is_refused: bool = False
    _is_continued: bool = False

    @property
    def content_length(self) -> int | None:
        """As the caller told it; None for a body in chunks."""
        return self._head.content_length

    @property
    def is_whole(self) -> bool:
        """Whether all of it was read off the connection."""
        if self._decoder is not None:
            return self._decoder.is_whole
        return not self._left

    @property
    def is_long(self) -> bool:
        """Whether too much of it is unread for the connection to be kept."""
        if self._is_refused or (self._head.expects_continue and not self._is_continued):
            return not self.is_whole
        return self._decoder is not None or self._left > _DISCARDED_BYTES

    def read(self, size: int = -1) -> bytes:
        """Return ``size`` bytes, or what there is up to the end of the body.

        Raises
        ------
        BodyRefusedError
            If it is no body, comes too slowly, or is too much to be held.
        OSError
            If the connection broke, or is ended by this process.
        """
        if not self.is_whole and (size < 0 or len(self._data) < size):
            self._receive(size)
        size = len(self._data) if size < 0 else size
        data = bytes(self._data[:size])
        del self._data[:size]
        return data

    def discard(self) -> bool:
        """Read what is left; return whether the connection can be used again."""
        self._data.clear()
        if self.is_whole:
            return True
        if self.is_long:
            return False
        connection = self._reader.connection
        connection.begin_wait(Wait.BODY, self._reader.limits.body_timeout_ms)
        try:
            while not self.is_whole:
                self._reader.fill()
                self._move()
                self._data.clear()
        except (BadChunkError, OSError):
            return False
        finally:
            connection.end_wait()
        return True

    # The name by which the library's handler calls it.
    _discard = discard

    def _receive(self, size: int) -> None:
        """Read off the connection until ``size`` bytes are there, or all."""
        connection = self._reader.connection
        if self._head.expects_continue and not self._is_continued:
            self._is_continued = True
            connection.send(_CONTINUE, self._reader.limits.idle_timeout_ms)
        connection.begin_wait(Wait.BODY, self._reader.limits.body_timeout_ms)
        try:
            self._move_held()
            while not self.is_whole and (size < 0 or len(self._data) < size):
                self._reader.fill()
                self._move_held()
        except WaitTimeoutError as error:
            raise self._refused(HTTPStatus.REQUEST_TIMEOUT, "slow_body") from error
        except BadChunkError as error:
            raise self._refused(HTTPStatus.BAD_REQUEST, "bad_body") from error
        finally:
            connection.end_wait()

    def _move_held(self) -> None:
        before = len(self._data)
        self._move()
        if not self._reader.connection.held.grow(len(self._data) - before):
            self._data.clear()
            self._reader.connection.held.release()
            raise self._refused(HTTPStatus.SERVICE_UNAVAILABLE, "memory_short")

    def _move(self) -> None:
        """Take what has come of the body out of the connection's buffer."""
        buffer = self._reader._buffer
        if self._decoder is not None:
            self._decoder.decode(buffer, self._data)
            return
        size = min(len(buffer), self._left)
        self._data += memoryview(buffer)[:size]
        del buffer[:size]
        self._left -= size

    def _refused(self, status: HTTPStatus, reason: str) -> BodyRefusedError:
        self._is_refused = True
        return BodyRefusedError(status, reason)
