"""HTTP connections that tell a request not sent from one that was."""

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

__all__ = ["NotSentError", "http_client"]


class NotSentError(Exception):
    """No connection could be had, so no byte of the request has left."""


class _TellingPool(ConnectionPool):
    # A timeout while connecting and a timeout while waiting for the answer
    # look alike to the caller of the library. Taken as one, each write made
    # while the platform is cut off would count as perhaps done, and callers
    # would be told "unknown" about requests that certainly did not run.
    def get_socket(self):
        try:
            return super().get_socket()
        except (OSError, gevent.Timeout) as error:
            raise NotSentError(f"no connection: {error}") from error


def http_client(address: str, timeout_ms: int, concurrency: int) -> HTTPClient:
    """Return a client for ``address`` with a pool of kept-alive connections.

    Parameters
    ----------
    address : str
        IP number and port, ``"ip:port"``.
    timeout_ms : int
        Limit for connecting and for each wait for bytes, in milliseconds.
    concurrency : int
        Most requests under way at once; further ones wait for a connection.

    Notes
    -----
    The library sends head and body in one write, so Nagle's algorithm does not
    hold the body back. It repeats idempotent methods only: a POST, with which
    the table is written, is never sent twice.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    seconds = timeout_ms / 1_000
    client = HTTPClient(
        host,
        int(port),
        connection_timeout=seconds,
        network_timeout=seconds,
        concurrency=concurrency,
    )
    client._connection_pool = _TellingPool(
        host,
        int(port),
        host,
        int(port),
        size=concurrency,
        connection_timeout=seconds,
        network_timeout=seconds,
    )
    return client
