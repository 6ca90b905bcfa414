"""HTTP servers as all binaries run them."""

import logging
import socket
from collections.abc import Callable

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from azurefold.core.clock import Millis

__all__ = ["RequestHandler", "TimedServer", "http_server", "split_address"]

_SECOND_MS = 1_000
_HEADER_TIMEOUT_MS: Millis = 10_000
_IDLE_TIMEOUT_MS: Millis = 75_000
_TOO_LATE_BODY = (
    b'{"error":{"ran":"not_run","reason":"slow_headers",'
    b'"detail":"The headers did not come in time."}}'
)
_TOO_LATE = (
    "408",
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Connection: close\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(_TOO_LATE_BODY), _TOO_LATE_BODY),
)


def split_address(address: str) -> tuple[str, int]:
    """Split ``"ip:port"``.

    Examples
    --------
    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class RequestHandler(WSGIHandler):
    """A handler that a slow or silent sender cannot hold for ever.

    What goes wrong without it: a sender that dribbles one header byte a
    second keeps a connection and a greenlet each; one would notice by open
    connections that grow while requests do not.
    """

    _headers_late = False

    def handle(self) -> None:
        """Answer the requests of one connection."""
        # pywsgi writes header and body apart. With Nagle's algorithm the body
        # waits for the peer's delayed ACK of the header, and each kept-alive
        # request takes 40 ms longer than it needs to.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(self.server.idle_timeout_ms / _SECOND_MS)
        super().handle()

    def read_request(self, raw_requestline: str) -> object:
        """Read the headers of a request, in the time that settings give."""
        timeout_ms = self.server.header_timeout_ms
        with gevent.Timeout(timeout_ms / _SECOND_MS, False):
            return super().read_request(raw_requestline)
        self._headers_late = True
        return False

    def handle_one_request(self) -> object:
        """Answer one request, or say that its headers came too late."""
        result = super().handle_one_request()
        return _TOO_LATE if self._headers_late else result

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


class TimedServer(WSGIServer):
    """A server whose handlers observe its timeouts, which may be changed.

    Attributes
    ----------
    accepts : callable
        Returns whether to read from a new connection; otherwise it is closed.
    """

    header_timeout_ms: Millis = _HEADER_TIMEOUT_MS
    idle_timeout_ms: Millis = _IDLE_TIMEOUT_MS
    accepts: Callable[[], bool] = staticmethod(lambda: True)

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve a new connection, or close it unread."""
        if self.accepts():
            super().handle(sock, address)


def http_server(
    address: str,
    application: Callable,
    name: str,
    header_timeout_ms: Millis = _HEADER_TIMEOUT_MS,
    handler_class: type[RequestHandler] = RequestHandler,
) -> TimedServer:
    """Return a server, not yet started, for a WSGI application.

    Parameters
    ----------
    address : str
        ``"ip:port"``; port 0 lets the system choose one.
    application : callable
        A WSGI application.
    name : str
        Shown in logs of errors.
    header_timeout_ms : int, default=10000
        For a sender to send all headers of a request.
    handler_class : type, default=RequestHandler
        What answers the requests of one connection.
    """
    logger = logging.getLogger(name)
    server = TimedServer(
        split_address(address),
        application,
        handler_class=handler_class,
        log=None,
        error_log=logger,
        backlog=1_024,
    )
    server.header_timeout_ms = header_timeout_ms
    return server
