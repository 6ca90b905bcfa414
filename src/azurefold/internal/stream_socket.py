"""Sockets for streams whose messages are small and come one by one.

An entry reads thousands of short lines a second, each on a connection that
was silent before it. gevent's own ``recv`` then makes two system calls for a
line, an exception, and a timer that nearly never fires.
"""

import errno
from dataclasses import dataclass, field

import gevent
import gevent.socket
from gevent.hub import Hub

from azurefold.core.clock import Millis

__all__ = ["StreamSocket"]

_SECOND_MS = 1_000
_SWEEP_MS: Millis = 100


@dataclass(slots=True)
class _Sweep:
    """One greenlet that ends reads which last too long, in place of a timer each."""

    hub: Hub
    began: dict["StreamSocket", float] = field(default_factory=dict)
    running: bool = False

    def add(self, sock: "StreamSocket") -> None:
        """Watch a read that begins now."""
        self.began[sock] = self.hub.loop.now()
        if not self.running:
            self.running = True
            gevent.spawn(self._run)

    def _run(self) -> None:
        # It ends when nobody reads, so that it keeps no process alive.
        try:
            while self.began:
                gevent.sleep(_SWEEP_MS / _SECOND_MS)
                now = self.hub.loop.now()
                for sock, began in list(self.began.items()):
                    if sock.timeout is not None and now - began > sock.timeout:
                        sock.end_read()
        finally:
            self.running = False


_sweeps: dict[Hub, _Sweep] = {}


def _sweep_of(hub: Hub) -> _Sweep:
    return _sweeps.setdefault(hub, _Sweep(hub))


class StreamSocket(gevent.socket.socket):
    """A socket that waits for data first and reads then.

    Its timeout for reading is observed to a tenth of a second.

    Attributes
    ----------
    most_unread : int or None
        Bytes that may come between two requests, or since :meth:`note_taken`; a peer
        that sends more without end would take all memory. None for no bound.
    """

    most_unread: int | None = None
    _unread: int = 0

    def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send a request, whose answer is counted anew."""
        self._unread = 0
        super().sendall(data, flags)

    def note_taken(self) -> None:
        """Count anew: what has come so far is not kept any more."""
        self._unread = 0

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return what is there, waiting for it.

        Raises
        ------
        TimeoutError
            If nothing comes within the socket's timeout.
        OSError
            If more has come than may be unread.
        """
        data = self._receive(size, flags)
        if self.most_unread is not None:
            self._unread += len(data)
            if self._unread > self.most_unread:
                raise OSError(errno.EMSGSIZE, "response too long")
        return data

    def _receive(self, size: int, flags: int) -> bytes:
        if self._read_event is None or self.timeout == 0.0:
            return super().recv(size, flags)
        hub = self.hub
        sweep = _sweeps.get(hub) or _sweep_of(hub)
        sweep.add(self)
        try:
            hub.wait(self._read_event)
        finally:
            del sweep.began[self]
        try:
            return self._sock.recv(size, flags)
        except BlockingIOError:
            return super().recv(size, flags)

    def end_read(self) -> None:
        """Let a read that waits fail with ``TimeoutError``."""
        self.hub.cancel_wait(self._read_event, TimeoutError("timed out"))
