"""Connections to endpoints: opened, kept for a while, and looked at before use."""

import socket
import sys
from collections import deque
from dataclasses import dataclass, field

import gevent
from gevent import socket as gevent_socket

from azurefold.core.clock import Clock, Millis
from azurefold.gateway.callers.calls import CutOffError
from azurefold.internal.http_server import split_address
from azurefold.internal.sockets import tune_connection
from azurefold.internal.stream_socket import StreamSocket

__all__ = ["EndpointLinks", "Link"]

CONNECT_TIMEOUT_MS: Millis = 400
"""A connection takes some 5 ms; a first packet that was dropped is sent again
only after a second, and another endpoint answers sooner than that."""

_KEPT_IDLE_MS: Millis = 3_000
"""Endpoints close idle connections after some seconds; those that say when are
taken at their word, less a margin."""

_IDLE_MARGIN_MS: Millis = 500
_KEPT_PER_ENDPOINT = 6
_RECEIVE_BUFFER_BYTES = 65_536
"""The kernel would keep megabytes of an answer that its caller does not read."""

_SECOND_MS = 1_000


@dataclass(slots=True, eq=False)
class Link:
    """One connection to an endpoint."""

    sock: StreamSocket
    is_new: bool = True
    usable_until: Millis = 0

    def close(self) -> None:
        """Close the connection; most endpoints then drop its request."""
        self.sock.close()

    @property
    def is_quiet(self) -> bool:
        """Whether nothing has come on the idle connection, not even its end.

        What goes wrong without the look: an endpoint may send a second answer
        to the last request, or close the connection. The next request would
        read the one as its own answer, or be lost on the other.
        """
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


@dataclass(slots=True)
class EndpointLinks:
    """Idle connections by endpoint.

    Parameters
    ----------
    clock : Clock
    most_idle : int
        Idle connections to all endpoints together.
    opened : int
        Connections opened so far.
    """

    clock: Clock
    most_idle: int = sys.maxsize
    opened: int = 0
    _idle_count: int = 0
    _idle: dict[str, deque[Link]] = field(default_factory=dict)
    _busy: dict[str, set[Link]] = field(default_factory=dict)

    def take(self, endpoint: str, address: str, *, fresh: bool) -> Link:
        """Return a connection to an endpoint.

        Parameters
        ----------
        endpoint, address : str
        fresh : bool
            Never one that was used before. An endpoint may be closing an idle
            connection at this very moment, and whether it then ran the request
            could not be told.

        Raises
        ------
        OSError
            If the endpoint cannot be reached; nothing was sent.
        """
        link = None if fresh else self._idle_link(endpoint)
        if link is None:
            link = self._open(address)
        self._busy.setdefault(endpoint, set()).add(link)
        return link

    def _idle_link(self, endpoint: str) -> Link | None:
        idle = self._idle.get(endpoint)
        while idle:
            link = idle.pop()
            self._idle_count -= 1
            if self.clock.now() < link.usable_until and link.is_quiet:
                link.is_new = False
                return link
            link.close()
        return None

    def end(self, endpoint: str, link: Link) -> None:
        """Close a connection whose request is over."""
        self._no_longer_busy(endpoint, link)
        link.close()

    def _no_longer_busy(self, endpoint: str, link: Link) -> None:
        busy = self._busy.get(endpoint, set())
        busy.discard(link)
        if not busy:
            self._busy.pop(endpoint, None)

    def keep(self, endpoint: str, link: Link, idle_timeout_ms: Millis | None) -> None:
        """Keep a connection for the next request."""
        self._no_longer_busy(endpoint, link)
        kept_ms = _KEPT_IDLE_MS
        if idle_timeout_ms is not None:
            kept_ms = min(kept_ms, idle_timeout_ms - _IDLE_MARGIN_MS)
        link.usable_until = self.clock.now() + kept_ms
        idle = self._idle.setdefault(endpoint, deque())
        idle.append(link)
        self._idle_count += 1
        if len(idle) > _KEPT_PER_ENDPOINT or self._idle_count > self.most_idle:
            idle.popleft().close()
            self._idle_count -= 1

    def refuses_connections(
        self, endpoint: str, address: str, watch_ms: Millis = 0
    ) -> bool:
        """Return whether an endpoint refuses a new connection, as after a crash.

        A connection that succeeds is kept for the next request. Other errors, such
        as a timeout, do not count as a refusal.

        Parameters
        ----------
        endpoint, address : str
        watch_ms : int, default=0
            For so long it must stay open, else another one is tried. A process that is
            told to stop may close its port after its connections.
        """
        try:
            link = self._open(address)
            gevent.sleep(watch_ms / _SECOND_MS)
            if watch_ms and not link.is_quiet:
                link.close()
                link = self._open(address)
        except CutOffError:
            # An OSError too, but it ends the whole request.
            raise
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        self.keep(endpoint, link, None)
        return False

    def forget(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that is gone."""
        for link in self._idle.pop(endpoint, ()):
            link.close()
            self._idle_count -= 1

    def sever(self, endpoint: str) -> None:
        """Close all connections to a process that is gone, also those in use.

        Requests that wait for an answer on one learn at once that none will come.
        """
        self.forget(endpoint)
        for link in self._busy.pop(endpoint, set()):
            link.close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = self.clock.now()
        for endpoint, idle in list(self._idle.items()):
            while idle and idle[0].usable_until <= now:
                idle.popleft().close()
                self._idle_count -= 1
            if not idle:
                del self._idle[endpoint]

    def _open(self, address: str) -> Link:
        sock = StreamSocket(gevent_socket.AF_INET, gevent_socket.SOCK_STREAM)
        try:
            tune_connection(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
            sock.settimeout(CONNECT_TIMEOUT_MS / _SECOND_MS)
            sock.connect(split_address(address))
            sock.settimeout(None)
        except BaseException:
            sock.close()
            raise
        self.opened += 1
        return Link(sock)
