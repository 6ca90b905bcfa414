"""The open connections of a server, and which of them gives way to others.

Descriptors and memory are for all callers. Where they run short, the connection that
has kept this process waiting for longest is closed: first those without a byte, then
those that leave an answer unread or a request unfinished, then idle ones.
"""

import errno
import fcntl
import logging
import socket
import struct
import termios
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import gevent
import gevent.socket

from azurefold.core.callers.memory import MemoryBudget, Reservation
from azurefold.core.clock import Clock, Millis
from azurefold.internal.clock import monotonic_clock
from azurefold.internal.logs import log_event

__all__ = [
    "CallerConnection",
    "ConnectionEndedError",
    "OpenConnections",
    "Wait",
    "WaitTimeoutError",
]

_log = logging.getLogger("azurefold.callers")

CONNECTION_BYTES = 98_304
"""Of a connection with its greenlet, its parsed head and the kernel's two buffers."""

_SILENT_MS: Millis = 100
"""A caller sends its request along with its connection."""

_UNREAD_MS: Millis = 250
"""An answer that does not fit into the kernel's buffers is read on by then."""

_WAITED_MS: Millis = 1_000
_SWEEP_MS: Millis = 250
_SECOND_MS = 1_000
_LOG_EVERY_MS: Millis = 1_000


class Wait(StrEnum):
    """What a connection waits for its caller to do."""

    SILENT = "silent"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    CLOSE = "close"


_HOLDING = (Wait.HEAD, Wait.BODY, Wait.ANSWER)
_LEAST_MS = {Wait.SILENT: _SILENT_MS, Wait.ANSWER: _UNREAD_MS}
"""For which a connection has to wait before it gives way; the others ``_WAITED_MS``."""


class ConnectionEndedError(ConnectionError):
    """This process ends the connection."""

    def __init__(self, reason: str) -> None:
        super().__init__(errno.EPIPE, reason)


class WaitTimeoutError(ConnectionEndedError):
    """The caller took too long."""

    def __init__(self, wait: Wait) -> None:
        super().__init__(f"{wait}_timeout")
        self.wait = wait


@dataclass(slots=True, eq=False)
class CallerConnection:
    """One caller's connection.

    Parameters
    ----------
    sock : gevent.socket.socket
    held : Reservation
        Of the present request and its answer.
    """

    sock: gevent.socket.socket
    held: Reservation
    _open: "OpenConnections"
    _own: Reservation
    _wait: Wait | None = None
    _since: Millis = 0
    _until: Millis = 0
    _timeout_ms: Millis = 0
    _watcher: object = None

    def begin_wait(self, wait: Wait, timeout_ms: Millis) -> None:
        """Wait for the caller from now on, until :meth:`end_wait`.

        Parameters
        ----------
        wait : Wait
        timeout_ms : int
            After which the wait fails with :class:`WaitTimeoutError`.
        """
        self._open.begin_wait(self, wait, timeout_ms)

    def end_wait(self) -> None:
        """Do not wait for the caller any more."""
        self._open.end_wait(self)

    def note_progress(self) -> None:
        """Let the timeout of the present wait begin again."""
        self._until = self._open.clock.now() + self._timeout_ms

    def receive(self, most: int) -> bytes:
        """Return what has come, waiting for it; empty at the connection's end.

        Others get a turn first, also if something is there already.

        Raises
        ------
        OSError
            If the connection broke, or is ended meanwhile.
        """
        self._watcher = self.sock._read_event
        try:
            gevent.get_hub().wait(self._watcher)
        finally:
            self._watcher = None
        try:
            return self.sock._sock.recv(most)
        except BlockingIOError:
            return self.receive(most)

    def send(self, data: bytes, timeout_ms: Millis) -> None:
        """Send all of ``data``, however slowly the caller takes it.

        Parameters
        ----------
        data : bytes
        timeout_ms : int
            For which the caller may take nothing.

        Raises
        ------
        OSError
            If the connection broke, or is ended meanwhile.
        """
        sent = self._send_now(data)
        if sent == len(data):
            return
        rest = memoryview(data)[sent:]
        if not self.held.grow_to(len(rest)):
            raise ConnectionEndedError("memory_short")
        self.begin_wait(Wait.ANSWER, timeout_ms)
        try:
            while rest:
                self._await_room()
                sent = self._send_now(rest)
                if sent:
                    self.note_progress()
                rest = rest[sent:]
        except WaitTimeoutError:
            self.reset_on_close()
            raise
        finally:
            self.end_wait()

    def reset_on_close(self) -> None:
        """Have the connection reset when it is closed, without what is unsent."""
        no_linger = struct.pack("ii", 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)

    def end(self, error: ConnectionEndedError) -> None:
        """End the wait for the caller with an error."""
        if self._wait is not Wait.IDLE or self._has_unsent():
            self.reset_on_close()
        if self._watcher is not None:
            gevent.get_hub().cancel_wait(self._watcher, error)

    def _await_room(self) -> None:
        self._watcher = self.sock._write_event
        try:
            gevent.get_hub().wait(self._watcher)
        finally:
            self._watcher = None

    def _send_now(self, data: bytes | memoryview) -> int:
        try:
            return self.sock._sock.send(data)
        except BlockingIOError:
            return 0

    def _has_unsent(self) -> bool:
        try:
            unsent = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError:
            return True
        return any(unsent)


@dataclass(slots=True)
class OpenConnections:
    """The connections of one server.

    Parameters
    ----------
    budget : MemoryBudget
        Of the process.
    limit : int
        Connections that may be open.
    name : str
        Of the server, for logs.
    is_charged : bool
        Whether the connections themselves are reserved from the budget.
    events : Counter of (str, str)
        Connections that were refused, and those closed for want of room or time, by
        what was done and why.
    most_open : int
        Highest number of connections so far.
    """

    budget: MemoryBudget
    limit: int
    name: str
    is_charged: bool = True
    clock: Clock = field(default_factory=monotonic_clock)
    events: Counter[tuple[str, str]] = field(default_factory=Counter)
    most_open: int = 0
    _open: set[CallerConnection] = field(default_factory=set)
    _silent: dict[CallerConnection, None] = field(default_factory=dict)
    _waiting: dict[CallerConnection, None] = field(default_factory=dict)
    _is_sweeping: bool = False
    _logged_at: Millis | None = None
    _unlogged: Counter[tuple[str, str]] = field(default_factory=Counter)

    def __len__(self) -> int:
        return len(self._open)

    def open(self, sock: gevent.socket.socket) -> CallerConnection | None:
        """Return a new connection, or None if there is no room for one."""
        if len(self._open) >= self.limit and not self._close_one("descriptors"):
            self.note("refused", "descriptors")
            return None
        own = self.budget.reservation(is_exempt=True)
        if self.is_charged and not own.grow(CONNECTION_BYTES):
            self.note("refused", "memory")
            return None
        connection = CallerConnection(sock, self.budget.reservation(), self, own)
        self._open.add(connection)
        self.most_open = max(self.most_open, len(self._open))
        return connection

    def close(self, connection: CallerConnection) -> None:
        """Forget a connection, with all that is held for it."""
        self._forget(connection)

    def begin_wait(
        self, connection: CallerConnection, wait: Wait, timeout_ms: Millis
    ) -> None:
        """Note that a connection waits for its caller.

        Raises
        ------
        ConnectionEndedError
            If the connection has been closed for want of room.
        """
        if connection not in self._open:
            raise ConnectionEndedError("closed")
        now = self.clock.now()
        if connection._wait is None:
            connection._since = now
        waiting = self._silent if wait is Wait.SILENT else self._waiting
        if wait is not Wait.SILENT:
            self._silent.pop(connection, None)
        waiting.setdefault(connection)
        connection._wait = wait
        connection._timeout_ms = timeout_ms
        connection._until = now + timeout_ms
        if not self._is_sweeping:
            self._is_sweeping = True
            gevent.spawn(self._sweep_while_waiting)

    def end_wait(self, connection: CallerConnection) -> None:
        """Note that a connection's caller has done what was waited for."""
        self._silent.pop(connection, None)
        self._waiting.pop(connection, None)
        connection._wait = None

    def make_room(self, size: int) -> bool:
        """Close a connection that holds memory; return whether one was found."""
        return self._close_one("memory", _HOLDING) or self._close_one("memory")

    def _close_one(self, why: str, waits: Iterable[Wait] = tuple(Wait)) -> bool:
        """Close the connection that has waited for longest, if it has for long."""
        now = self.clock.now()
        for waiting in (self._silent, self._waiting):
            for connection in waiting:
                waited = now - connection._since
                if waited < min(_LEAST_MS.values()):
                    break
                is_due = waited >= _LEAST_MS.get(connection._wait, _WAITED_MS)
                is_meant = is_due and connection._wait in waits
                if is_meant and connection._watcher is not None:
                    self.note("closed", f"{why}_{connection._wait}")
                    connection.end(ConnectionEndedError(why))
                    self._forget(connection)
                    return True
        return False

    def _forget(self, connection: CallerConnection) -> None:
        self.end_wait(connection)
        self._open.discard(connection)
        connection.held.release()
        connection._own.release()

    def _sweep_while_waiting(self) -> None:
        while self._waiting or self._silent or self._unlogged:
            gevent.sleep(_SWEEP_MS / _SECOND_MS)
            now = self.clock.now()
            late = [each for each in self._silent if each._until <= now]
            late += [each for each in self._waiting if each._until <= now]
            for connection in late:
                if connection._watcher is not None:
                    wait = connection._wait
                    if wait in _HOLDING:
                        self.note("closed", f"late_{wait}")
                    gevent.get_hub().cancel_wait(
                        connection._watcher, WaitTimeoutError(wait)
                    )
            self._log_unlogged(now)
        self._is_sweeping = False

    def note(self, what: str, why: str) -> None:
        """Count what a limit has done, and log it."""
        self.events[what, why] += 1
        self._unlogged[what, why] += 1
        self._log_unlogged(self.clock.now())

    def _log_unlogged(self, now: Millis) -> None:
        """Log what happened since the last line, at most one line a second."""
        if not self._unlogged:
            return
        if self._logged_at is not None and now - self._logged_at < _LOG_EVERY_MS:
            return
        self._logged_at = now
        counts = {f"{what}_{why}": n for (what, why), n in self._unlogged.items()}
        self._unlogged.clear()
        log_event(
            _log,
            "caller_limits_acted",
            logging.WARNING,
            server=self.name,
            open=len(self._open),
            most_open=self.limit,
            held_bytes=self.budget.held,
            most_held_bytes=self.budget.limit,
            **counts,
        )
