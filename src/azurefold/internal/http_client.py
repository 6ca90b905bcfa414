"""HTTP clients between processes."""

import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPSocketResponse,
)

from azurefold.core.clock import Millis
from azurefold.internal.http_server import split_address
from azurefold.internal.sockets import tune_connection
from azurefold.internal.stream_socket import StreamSocket

__all__ = [
    "CONNECTION_ERRORS",
    "fresh_client",
    "http_client",
    "is_status",
    "lines_at_once",
    "note_taken",
    "read_body",
]

CONNECTION_ERRORS = (OSError, gevent.socket.timeout, HTTPParseError)
"""What a broken, refused or silent connection raises."""

_SECOND_MS = 1_000
_BLOCK_BYTES = 16_384

_REPEATS = 1
"""Of a call whose connection ends before its answer."""


_LOWEST_STATUS, _HIGHEST_STATUS = 100, 599
_SWITCHING_PROTOCOLS = 101
"""Only sent to those who asked for it."""

_MOST_UNREAD_BYTES = 32 * 1_048_576
"""Of one answer that its reader has not taken: the longest body that is read whole,
encoded as text, and its head."""


def is_status(code: int) -> bool:
    """Whether an answer of HTTP can have this status (RFC 9110, 15).

    Examples
    --------
    >>> is_status(503), is_status(0), is_status(600)
    (True, False, False)
    """
    is_known = _LOWEST_STATUS <= code <= _HIGHEST_STATUS
    return is_known and code != _SWITCHING_PROTOCOLS


class _Pool(ConnectionPool):
    """Connections without delayed writes, made for streams."""

    most_unread: int = _MOST_UNREAD_BYTES

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> StreamSocket:
        sock = StreamSocket(family, socktype, protocol)
        sock.most_unread = self.most_unread
        tune_connection(sock)
        return sock


def http_client(
    address: str,
    connect_timeout_ms: Millis,
    read_timeout_ms: Millis,
    concurrency: int = 64,
    most_unread: int | None = None,
) -> HTTPClient:
    """Return a client with a pool of kept-alive connections to one address.

    Parameters
    ----------
    address : str
    connect_timeout_ms, read_timeout_ms : int
    concurrency : int, default=64
        Connections that are kept.
    most_unread : int, optional
        Bytes of an answer that its reader has not taken; 32 MiB by default.
    """
    host, port = split_address(address)
    client = HTTPClient(host, port, block_size=_BLOCK_BYTES)
    # The client takes no pool of ours as an argument.
    client._connection_pool = _Pool(
        host,
        port,
        host,
        port,
        size=concurrency,
        connection_timeout=connect_timeout_ms / _SECOND_MS,
        network_timeout=read_timeout_ms / _SECOND_MS,
    )
    client._connection_pool.most_unread = most_unread or _MOST_UNREAD_BYTES
    # The client sends what may be repeated once more for each connection that the
    # pool may hold, should they all have been closed meanwhile. Before a server that
    # resets every connection that made four calls of one, each of which has its price
    # and its part of the server's rate. One repeat is enough: for that the client
    # opens a new connection.
    client._connection_pool.size = _REPEATS - 1
    return client


def read_body(response: HTTPSocketResponse, most_bytes: int) -> bytes:
    """Wait for the whole body of an answer.

    Raises
    ------
    HTTPParseError
        If it is larger than ``most_bytes``; the connection is closed.
    """
    body = bytearray()
    while piece := response.read(_BLOCK_BYTES):
        body += piece
        note_taken(response)
        if len(body) > most_bytes:
            response.release()
            raise HTTPParseError(f"a body of more than {most_bytes} bytes")
    return bytes(body)


def lines_at_once(response: HTTPSocketResponse) -> list[bytes]:
    """Wait for a line of a body and return all whole lines that are there.

    Returns
    -------
    list of bytes
        With their ends; empty where the body has ended.
    """
    # Not by the response's readline: line by line, each would be copied twice
    # and move all the rest of the buffer to its front.
    buffered = response._body_buffer
    while not (end := buffered.rfind(b"\n") + 1):
        if response.message_complete:
            return []
        _read_more(response)
    data = bytes(buffered[:end])
    del buffered[:end]
    note_taken(response)
    return data.splitlines(keepends=True)


def note_taken(response: HTTPSocketResponse) -> None:
    """Note that what has come of an answer so far is not kept any more."""
    if response._sock is not None:
        response._sock.note_taken()


def _read_more(response: HTTPSocketResponse) -> None:
    sock = response._sock
    if sock is None:
        raise HTTPConnectionClosed("connection closed.")
    try:
        response.feed(sock.recv(response.block_size))
    except BaseException:
        # Also when the greenlet is killed: half a message must not be left in
        # a connection that goes back to the pool.
        response.release()
        raise


def fresh_client(
    address: str, connect_timeout_ms: Millis, read_timeout_ms: Millis
) -> HTTPClient:
    """Return a client that shares no connection with any other.

    Questions about an attempt go over a new connection. A pooled one may have
    gone silent together with the one that is asked about, and the question
    would be lost the same way.
    """
    return http_client(address, connect_timeout_ms, read_timeout_ms, concurrency=1)
