"""The HTTP server that callers connect to."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.greenlet import Greenlet

from azurefold.gateway.callers.calls import CallerGoneError, CutOffError
from azurefold.internal.http_server import RequestHandler, TimedServer, http_server

__all__ = ["CONNECTION", "CallerConnection", "front_server"]

CONNECTION = "azurefold.connection"
"""Key of the :class:`CallerConnection` in a request's environment."""

_CHUNKED = "chunked"
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
    """

    target: str
    headers: list[tuple[str, str]]
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
        self._watcher.stop()
        self._watcher.close()

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
    """Adds what a relay needs, and refuses requests that could be read two ways."""

    def MessageClass(self, *arguments: object) -> object:  # noqa: N802
        message = super().MessageClass(*arguments)
        _check_framing(message)
        return message

    def run_application(self) -> None:
        try:
            super().run_application()
        except CutOffError:
            if self.headers_sent and not self.response_use_chunked:
                self._reset_on_close()
            raise

    def _reset_on_close(self) -> None:
        # Without chunks the end of the connection would be the end of the answer.
        no_linger = struct.pack("ii", 1, 0)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)

    def get_environ(self) -> dict[str, object]:
        environ = super().get_environ()
        pairs = [(name, value) for name, value in self.headers.items()]
        environ[CONNECTION] = CallerConnection(self.path, pairs, self.socket)
        return environ


def _check_framing(message) -> None:
    """Refuse a body whose end can be read in two ways.

    What goes wrong without: this server takes one length and an endpoint
    another, and what is left over is run as a request that nobody sent.

    Raises
    ------
    ValueError
        The server answers 400 and closes the connection.
    """
    lengths = message.get_all("content-length") or []
    encodings = message.get_all("transfer-encoding") or []
    if len(set(lengths)) > 1 or (lengths and encodings):
        raise ValueError("the length of the body is given in two ways")
    if any(not length.strip().isdecimal() for length in lengths):
        raise ValueError("the length of the body is no number")
    if encodings and [each.strip().lower() for each in encodings] != [_CHUNKED]:
        raise ValueError("the body is in an encoding that is not known")


def front_server(address: str, application: Callable) -> TimedServer:
    """Return the server for callers, not yet started."""
    return http_server(
        address,
        application,
        "azurefold.gateway.front",
        handler_class=_FrontHandler,
    )
