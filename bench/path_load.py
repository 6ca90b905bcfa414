"""Many callers in one loop, cheap enough to leave the machine to what is measured."""

import selectors
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from azurefold.internal.http_server import split_address

__all__ = ["Load", "new_load"]

_READ = 65_536
_LAST_CHUNK = b"\r\n0\r\n\r\n"
_HEAD_END = b"\r\n\r\n"
_OK = b"HTTP/1.1 200"
_TICK_S = 0.05
_TOKEN_START = b" "
_FIELD = b": "


@dataclass(slots=True)
class _Caller:
    """One kept-alive connection that asks again as soon as it has its answer."""

    sock: socket.socket
    asked_at: float = 0.0
    head: bytes | None = b""
    tail: bytes = b""
    refused: bool = False
    got_token: bool = False


@dataclass(slots=True)
class Load:
    """Callers that keep as many streams open as there are of them.

    Parameters
    ----------
    address : str
    request : callable
        Returns the bytes of the next request from its number.
    tokens, answers, refusals : int
        What came so far.
    first_token_ms : list of float
        From sending a request to the first token.
    """

    address: str
    request: Callable[[int], bytes]
    tokens: int = 0
    answers: int = 0
    refusals: int = 0
    first_token_ms: list[float] = field(default_factory=list)
    _sent: int = 0
    _selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)

    def add(self, callers: int) -> None:
        """Open more connections and send a request on each."""
        for _ in range(callers):
            sock = socket.create_connection(split_address(self.address))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            caller = _Caller(sock)
            self._selector.register(sock, selectors.EVENT_READ, caller)
            self._ask(caller)

    def run(self, seconds: float) -> None:
        """Read what comes for a while."""
        end = time.perf_counter() + seconds
        while (left := end - time.perf_counter()) > 0:
            self._read_some(min(left, _TICK_S))

    def run_until(self, answers: int) -> None:
        """Read until so many answers or refusals have come in all."""
        while self.answers + self.refusals < answers:
            self._read_some(_TICK_S)

    def close(self) -> None:
        """Close all connections."""
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _read_some(self, timeout: float) -> None:
        for key, _ in self._selector.select(timeout):
            data = key.fileobj.recv(_READ)
            if not data:
                raise ConnectionError(f"{self.address} closed a connection")
            self._take(key.data, data)

    def _ask(self, caller: _Caller) -> None:
        caller.head, caller.tail = b"", b""
        caller.got_token = False
        caller.asked_at = time.perf_counter()
        caller.sock.sendall(self.request(self._sent))
        self._sent += 1

    def _take(self, caller: _Caller, data: bytes) -> None:
        if caller.head is not None:
            head, end, data = (caller.head + data).partition(_HEAD_END)
            if not end:
                caller.head = head
                return
            caller.head = None
            caller.refused = not head.startswith(_OK)
            caller.tail = b"\r\n" if b"chunked" in head else b""
            if not caller.tail:
                # A body with a length comes in one piece from these servers.
                self._finished(caller)
                return
        self._count(caller, data)
        caller.tail = (caller.tail + data)[-len(_LAST_CHUNK) :]
        if caller.tail == _LAST_CHUNK:
            self._finished(caller)

    def _count(self, caller: _Caller, data: bytes) -> None:
        # Each token of the stand-ins begins with a space and has no other; all
        # other spaces of the stream stand behind the colon of a field's name.
        fields = data.count(_FIELD)
        fields += caller.tail.endswith(b":") and data.startswith(_TOKEN_START)
        tokens = data.count(_TOKEN_START) - fields
        if tokens and not caller.got_token:
            caller.got_token = True
            waited = time.perf_counter() - caller.asked_at
            self.first_token_ms.append(waited * 1_000)
        self.tokens += tokens

    def _finished(self, caller: _Caller) -> None:
        if caller.refused:
            self.refusals += 1
        else:
            self.answers += 1
        self._ask(caller)


def new_load(address: str, request: Callable[[int], bytes]) -> Load:
    """Return a load that has no callers yet."""
    return Load(address, request)
