"""The HTTP server that callers connect to."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.greenlet import Greenlet

from azurefold.core.callers.http_head import HttpHead
from azurefold.core.callers.memory import Reservation
from azurefold.gateway.callers.calls import CallerGoneError
from azurefold.internal.caller_connections import OpenConnections
from azurefold.internal.http_server import (
    HELD,
    RequestHandler,
    TimedServer,
    http_server,
)

__all__ = ["CONNECTION", "CallerConnection", "front_server"]

CONNECTION = "azurefold.connection"
"""Key of the :class:`CallerConnection` in a request's environment."""

_READ = 1


@dataclass(slots=True)
class CallerConnection:
    """What the server knows of a request beside its environment.

    Parameters
    ----------
    target : str
        Path and query as they came, not decoded.
    headers : list of (str, str)
        As they came.
    held : Reservation
        Of the request and its answer.
    """

    target: str
    headers: list[tuple[str, str]]
    held: Reservation
    _sock: socket.socket

    def watch(self) -> "CallerWatch":
        """Return a watch that ends this greenlet's work when the caller leaves."""
        return CallerWatch(self._sock, gevent.getcurrent())


class CallerWatch:
    """Notices that a caller has closed its connection.

    What goes wrong without: the caller has left, and an endpoint goes on
    working for it until the next byte cannot be written, which for a queued
    request or a plain call is never. Seen as endpoints that are busy with
    answers nobody reads.

    Parameters
    ----------
    sock : socket
        The caller's; its request has been read whole.
    worker : Greenlet
        Where :class:`CallerGoneError` is raised.
    """

    def __init__(self, sock: socket.socket, worker: Greenlet) -> None:
        self._sock = sock
        self._worker = worker
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), _READ)

    def __enter__(self) -> "CallerWatch":
        self._watcher.start(self._look)
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        """Stop watching."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _look(self) -> None:
        # Runs in the event loop, so it must not wait.
        self._watcher.stop()
        try:
            data = self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            self._watcher.start(self._look)
            return
        except OSError:
            data = b""
        # Bytes are the caller's next request, sent early: it is still there.
        if not data:
            gevent.kill(self._worker, CallerGoneError("caller left"))


class _FrontHandler(RequestHandler):
    """Adds what a relay needs, and leaves out what only other applications need."""

    def get_environ(self) -> dict[str, object]:
        environ = super().get_environ()
        environ[CONNECTION] = CallerConnection(
            self._head.target, self._head.fields, environ[HELD], self.socket
        )
        return environ

    def _field_variables(self, head: HttpHead) -> dict[str, str]:
        return {}


def front_server(
    address: str,
    application: Callable,
    connections: OpenConnections | None = None,
) -> TimedServer:
    """Return the server for callers, not yet started."""
    return http_server(
        address,
        application,
        "azurefold.gateway.front",
        handler_class=_FrontHandler,
        connections=connections,
    )
