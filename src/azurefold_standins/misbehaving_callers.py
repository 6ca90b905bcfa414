"""Callers that keep outside the limits, each in a way that a seed draws."""

import random
import socket
import struct
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from azurefold.internal.http_server import split_address
from azurefold_standins.gateway_site import HOST, KEY

__all__ = ["MisbehavingCaller", "request_bytes"]

_OPEN_CONNECTIONS = 24
_QUIET_S = 0.5
_ANSWER_BYTES = 4 * 1_048_576
_BODY_BYTES = 2 * 1_048_576
_BLOCK_BYTES = 65_536


def request_bytes(path: str, attempt: str, *lines: str) -> bytes:
    """Return the head of a request that the configuration allows."""
    head = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Authorization: Bearer {KEY}",
        "Deadline-Ms: 4000",
        *lines,
    ]
    return "\r\n".join([*head, "", ""]).encode("latin-1")


@dataclass(slots=True)
class MisbehavingCaller:
    """One caller with some open connections, of which the oldest goes first.

    Parameters
    ----------
    name : str
    draw : random.Random
    requests : int
        Requests begun so far.
    """

    name: str
    draw: random.Random
    requests: int = 0
    _socks: deque[socket.socket] = field(default_factory=deque)

    def run(self, choose_address: Callable[[], str], stop: threading.Event) -> None:
        """Misbehave at drawn addresses until told to stop."""
        ways = (
            self._ask_and_read_nothing,
            self._ask_again_and_again,
            self._send_a_body_without_its_end,
            self._send_tiny_chunks,
            self._send_trailers,
            self._send_half_a_head,
            self._send_nothing,
            self._send_much_too_much,
            self._leave_at_once,
        )
        while not stop.is_set():
            way = self.draw.choice(ways)
            try:
                way(self._connect(choose_address()))
            except OSError:
                stop.wait(0.05)
        for sock in self._socks:
            sock.close()

    def _connect(self, address: str) -> socket.socket:
        if len(self._socks) >= _OPEN_CONNECTIONS:
            self._socks.popleft().close()
        sock = socket.socket()
        self._socks.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.settimeout(_QUIET_S)
        sock.connect(split_address(address))
        return sock

    def _head(self, path: str, *lines: str) -> bytes:
        self.requests += 1
        return request_bytes(path, f"{self.name}-{self.requests}", *lines)

    def _ask_and_read_nothing(self, sock: socket.socket) -> None:
        sock.sendall(self._head(f"/lists/size-{_ANSWER_BYTES}/"))

    def _ask_again_and_again(self, sock: socket.socket) -> None:
        path = f"/lists/size-{self.draw.choice([1_000, _ANSWER_BYTES])}/"
        sock.sendall(b"".join(self._head(path) for _ in range(30)))

    def _send_a_body_without_its_end(self, sock: socket.socket) -> None:
        head = self._head("/lists/b/", f"Content-Length: {_BODY_BYTES}")
        sock.sendall(head + bytes(_BODY_BYTES - 1))

    def _send_tiny_chunks(self, sock: socket.socket) -> None:
        head = self._head("/lists/c/", "Transfer-Encoding: chunked")
        sock.sendall(head + b"1\r\nx\r\n" * self.draw.choice([10, 60_000]))

    def _send_trailers(self, sock: socket.socket) -> None:
        head = self._head("/lists/t/", "Transfer-Encoding: chunked")
        sock.sendall(head + b"0\r\n" + b"A: b\r\n" * _BLOCK_BYTES)

    def _send_half_a_head(self, sock: socket.socket) -> None:
        head = self._head("/lists/h/", *[f"X-{n}: y" for n in range(500)])
        sock.sendall(head[: self.draw.randrange(1, len(head) - 2)])

    def _send_nothing(self, sock: socket.socket) -> None:
        """Leave the connection as it is."""

    def _send_much_too_much(self, sock: socket.socket) -> None:
        head = self._head("/lists/m/", "Content-Length: 400000000")
        sock.sendall(head)
        for _ in range(100):
            sock.sendall(bytes(_BLOCK_BYTES))

    def _leave_at_once(self, sock: socket.socket) -> None:
        sock.sendall(self._head(f"/lists/size-{_ANSWER_BYTES}/"))
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        self._socks.pop().close()
