"""HTTP clients between processes."""

import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from azurefold.core.clock import Millis
from azurefold.internal.http_server import split_address

__all__ = ["CONNECTION_ERRORS", "fresh_client", "http_client"]

CONNECTION_ERRORS = (OSError, gevent.socket.timeout, HTTPParseError)
"""What a broken, refused or silent connection raises."""

_SECOND_MS = 1_000


def http_client(
    address: str,
    connect_timeout_ms: Millis,
    read_timeout_ms: Millis,
    concurrency: int = 64,
) -> HTTPClient:
    """Return a client with a pool of kept-alive connections to one address."""
    host, port = split_address(address)
    return HTTPClient(
        host,
        port,
        connection_timeout=connect_timeout_ms / _SECOND_MS,
        network_timeout=read_timeout_ms / _SECOND_MS,
        concurrency=concurrency,
        block_size=16_384,
    )


def fresh_client(
    address: str, connect_timeout_ms: Millis, read_timeout_ms: Millis
) -> HTTPClient:
    """Return a client that shares no connection with any other.

    Questions about an attempt go over a new connection. A pooled one may have
    gone silent together with the one that is asked about, and the question
    would be lost the same way.
    """
    return http_client(address, connect_timeout_ms, read_timeout_ms, concurrency=1)
