"""HTTP servers as all binaries run them."""

import logging
import socket
from collections.abc import Callable

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from azurefold.core.clock import Millis

__all__ = ["http_server", "split_address"]

_SECOND_MS = 1_000
_HEADER_TIMEOUT_MS: Millis = 10_000
_IDLE_TIMEOUT_MS: Millis = 75_000


def split_address(address: str) -> tuple[str, int]:
    """Split ``"ip:port"``.

    Examples
    --------
    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class _Handler(WSGIHandler):
    """A handler that a slow or silent sender cannot hold for ever.

    What goes wrong without it: a sender that dribbles one header byte a
    second keeps a connection and a greenlet each; one would notice by open
    connections that grow while requests do not.
    """

    header_timeout_ms: Millis = _HEADER_TIMEOUT_MS

    def handle(self) -> None:
        # pywsgi writes header and body apart. With Nagle's algorithm the body
        # waits for the peer's delayed ACK of the header, and each kept-alive
        # request takes 40 ms longer than it needs to.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(_IDLE_TIMEOUT_MS / _SECOND_MS)
        super().handle()

    def read_request(self, raw_requestline: str) -> object:
        with gevent.Timeout(self.header_timeout_ms / _SECOND_MS, False):
            return super().read_request(raw_requestline)
        self.close_connection = True
        return ("408 Request Timeout", "The headers did not come in time.\n")

    def _write(self, data: bytes) -> None:
        if data and self.response_use_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if data:
            self._sendall(data)

    def _sendall(self, data: bytes) -> None:
        # Nearly always the kernel takes a token at once. The library's way
        # sets up a timer and asks for the buffer's size before each write; a
        # caller too slow for its stream is still left to it.
        try:
            sent = self.socket._sock.send(data)
        except OSError:
            sent = 0
        self.response_length += sent
        if sent < len(data):
            super()._sendall(data[sent:])

    def log_request(self) -> None:
        """Write no access log; processes log their own events."""


def http_server(address: str, application: Callable, name: str) -> WSGIServer:
    """Return a server, not yet started, for a WSGI application.

    Parameters
    ----------
    address : str
        ``"ip:port"``; port 0 lets the system choose one.
    application : callable
        A WSGI application.
    name : str
        Shown in logs of errors.
    """
    logger = logging.getLogger(name)
    return WSGIServer(
        split_address(address),
        application,
        handler_class=_Handler,
        log=None,
        error_log=logger,
        backlog=1_024,
    )
