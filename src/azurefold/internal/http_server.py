"""HTTP servers as all binaries run them."""

import contextlib
import logging
import socket
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import unquote

from gevent.pywsgi import WSGIHandler, WSGIServer

from azurefold.core.callers.http_head import BadHeadError, HttpHead
from azurefold.core.clock import Millis
from azurefold.internal.caller_connections import CallerConnection, OpenConnections
from azurefold.internal.process_limits import new_process_limits
from azurefold.internal.request_reader import ReadLimits, RequestBody, RequestReader

__all__ = ["HELD", "RequestHandler", "TimedServer", "http_server", "split_address"]

HELD = "azurefold.held"
"""Key of the request's :class:`Reservation` in its environment."""

_HEADER_TIMEOUT_MS: Millis = 10_000
_RECEIVE_BUFFER_BYTES = 65_536
_SEND_BUFFER_BYTES = 131_072
_UNSENT_BYTES = 32_768
"""Not yet sent, which is all that the kernel keeps for a caller who does not read."""
_RETRY_AFTER = b"Retry-After: 1\r\n"
_BACKLOG = 1_024

_ERROR = (
    b"HTTP/1.1 %d %b\r\n"
    b"Connection: close\r\n"
    b"Content-Type: application/json\r\n"
    b"%b"
    b"Content-Length: %d\r\n\r\n%b"
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
    """A handler whose caller gets a bounded share of memory, time and descriptors.

    The library writes answers; requests are read by :class:`RequestReader`.
    """

    wsgi_input: RequestBody
    _connection: CallerConnection
    _reader: RequestReader
    _head: HttpHead

    def __init__(
        self, sock: socket.socket, address: tuple, server: "TimedServer"
    ) -> None:
        # The library would make a file of the socket, which reads without bounds.
        super().__init__(sock, address, server, rfile=())

    def handle(self) -> None:
        """Answer the requests of one connection."""
        connection = self.server.connections.open(self.socket)
        if connection is None:
            return
        # pywsgi writes header and body apart. With Nagle's algorithm the body
        # waits for the peer's delayed ACK of the header, and each kept-alive
        # request takes 40 ms longer than it needs to.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection = connection
        self._reader = RequestReader(connection, self.server.limits)
        try:
            with contextlib.suppress(OSError):
                while self.handle_one_request():
                    pass
        finally:
            self.server.connections.close(connection)
            self.socket._sock.close()
            self.socket.close()

    def handle_one_request(self) -> bool:
        """Answer one request; return whether another one may follow."""
        try:
            head = self._reader.read_head()
        except BadHeadError as error:
            self._refuse(error)
            return False
        if head is None:
            return False
        self._take(head)
        self.environ = self.get_environ()
        self.application = self.server.application
        self.handle_one_response()
        if not self.close_connection and self.wsgi_input.is_whole:
            return True
        if not self.wsgi_input.is_whole:
            self._linger()
        return False

    def get_environ(self) -> dict[str, object]:
        """Return the environment of the present request."""
        head = self._head
        path, _, query = head.target.partition("?")
        environ = self.server.get_environ()
        environ |= {
            "REQUEST_METHOD": head.method,
            "SCRIPT_NAME": "",
            "PATH_INFO": unquote(path, "latin-1"),
            "QUERY_STRING": query,
            "SERVER_PROTOCOL": head.version,
            "REMOTE_ADDR": str(self.client_address[0]),
            "REMOTE_PORT": str(self.client_address[1]),
            "wsgi.input": self.wsgi_input,
            "wsgi.input_terminated": True,
            HELD: self._connection.held,
        }
        return environ | self._field_variables(head)

    def run_application(self) -> None:
        """Write the application's answer; reset the connection where it ends early."""
        try:
            super().run_application()
        except OSError:
            if self.headers_sent and not self.response_use_chunked:
                # Without chunks the end of the connection would be the end of
                # the answer.
                self._connection.reset_on_close()
            raise

    def finalize_headers(self) -> None:
        """Complete the head of an answer."""
        super().finalize_headers()
        if self.wsgi_input.is_long and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))

    def log_request(self) -> None:
        """Write no access log; processes log their own events."""

    def _field_variables(self, head: HttpHead) -> dict[str, str]:
        variables: dict[str, str] = {}
        for field, value in head.fields:
            # Applications could not tell "a_b" from "a-b".
            if "_" in field:
                continue
            name = field.replace("-", "_").upper()
            if name not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
                name = f"HTTP_{name}"
            if name in variables and name != "CONTENT_LENGTH":
                value = f"{variables[name]},{value}"
            variables[name] = value
        return variables

    def _take(self, head: HttpHead) -> None:
        self._head = head
        self.command, self.path = head.method, head.target
        self.request_version = head.version
        self.close_connection = not head.keeps_alive
        self.wsgi_input = self._reader.body_of(head)

    def _refuse(self, error: BadHeadError) -> None:
        """Say that a request is not read; it has not run."""
        self.server.connections.note("refused", error.reason)
        body = b'{"error":{"ran":"not_run","reason":"%b"}}' % error.reason.encode()
        is_brief = error.status is HTTPStatus.SERVICE_UNAVAILABLE
        extra = _RETRY_AFTER if is_brief else b""
        phrase = error.status.phrase.encode()
        answer = _ERROR % (error.status, phrase, extra, len(body), body)
        self._connection.send(answer, self.server.limits.idle_timeout_ms)
        self._linger()

    def _linger(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self._reader.linger()

    def _write(self, data: bytes) -> None:
        if data and self.response_use_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if data:
            self._sendall(data)

    def _sendall(self, data: bytes) -> None:
        try:
            self._connection.send(data, self.server.limits.idle_timeout_ms)
        except OSError as error:
            # As the library does: the answer is none that was sent.
            self.status = f"socket error: {error}"
            self.code = -abs(self.code)
            raise
        self.response_length += len(data)


class TimedServer(WSGIServer):
    """A server with bounds on what callers send and hold.

    Attributes
    ----------
    connections : OpenConnections
    limits : ReadLimits
        May be changed while the server runs.
    accepts : callable
        Returns whether to read from a new connection; otherwise it is closed.
    """

    connections: OpenConnections
    limits: ReadLimits
    accepts: Callable[[], bool] = staticmethod(lambda: True)

    def init_socket(self) -> None:
        """Listen, with small buffers in the kernel for each connection."""
        super().init_socket()
        for level, option, size in (
            (socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
            (socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES),
            (socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES),
        ):
            self.socket.setsockopt(level, option, size)

    def accept_pending_and_close(self) -> None:
        """Accept all pending connections, then close the listener."""
        # For want of descriptors the rest is reset.
        with contextlib.suppress(OSError):
            while (client := self.do_read()) is not None:
                self.do_handle(*client)
        self.close()

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
    connections: OpenConnections | None = None,
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
    connections : OpenConnections, optional
        By default as many as the system allows, and a budget of their own.
    """
    logger = logging.getLogger(name)
    server = TimedServer(
        split_address(address),
        application,
        handler_class=handler_class,
        log=None,
        error_log=logger,
        backlog=_BACKLOG,
    )
    if connections is None:
        connections = new_process_limits().caller_connections(name)
    server.connections = connections
    server.limits = ReadLimits(head_timeout_ms=header_timeout_ms)
    return server
