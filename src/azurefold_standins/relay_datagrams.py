"""Relays datagrams between processes: cut, lost, doubled, late and reordered.

Every process is known by an address at which this relay listens and binds
another one itself. What comes from a process's own port goes on to the other
one's own port, sent from the address by which the sender is known. So both
ends see only known addresses, as the seals on datagrams demand.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent import socket

from azurefold.internal.http_server import split_address

__all__ = ["DatagramFaults", "DatagramLink", "Datagrams"]

_SECOND_MS = 1_000
_LARGEST = 65_536
_SEED = 1


class DatagramLink(msgspec.Struct, frozen=True):
    """How one process is reached.

    Parameters
    ----------
    known, own : str
        The address that others know, and the one it binds.
    data_centre : str
    """

    known: str
    own: str
    data_centre: str


class DatagramFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What happens to datagrams.

    Parameters
    ----------
    lose, double : float
        Shares of datagrams, 0 to 1.
    late_ms : int
        Each is held up for a random time up to this, so they overtake.
    cut : list
        Pairs of data centres between which nothing passes.
    """

    lose: float = 0.0
    double: float = 0.0
    late_ms: int = 0
    cut: list[tuple[str, str]] = []


@dataclass(slots=True)
class Datagrams:
    """Relays all datagrams of a site.

    Parameters
    ----------
    links : iterable of DatagramLink
    """

    links: Iterable[DatagramLink]
    faults: DatagramFaults = field(default_factory=DatagramFaults)
    passed: int = 0
    dropped: int = 0
    _by_own: dict[tuple, DatagramLink] = field(default_factory=dict)
    _sockets: dict[str, socket.socket] = field(default_factory=dict)
    _draw: random.Random = field(default_factory=lambda: random.Random(_SEED))

    def open(self) -> None:
        """Receive from now on."""
        for link in self.links:
            self._by_own[split_address(link.own)] = link
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(split_address(link.known))
            self._sockets[link.known] = sock
            gevent.spawn(self._receive, link, sock)

    def _receive(self, to: DatagramLink, sock: socket.socket) -> None:
        while True:
            data, origin = sock.recvfrom(_LARGEST)
            sender = self._by_own.get(origin)
            if sender is None or self._is_dropped(sender, to):
                self.dropped += 1
                continue
            copies = 2 if self._draw.random() < self.faults.double else 1
            for _ in range(copies):
                self._pass_on(data, sender, to)

    def _is_dropped(self, sender: DatagramLink, to: DatagramLink) -> bool:
        ends = {sender.data_centre, to.data_centre}
        if any(set(pair) == ends for pair in self.faults.cut):
            return True
        return self._draw.random() < self.faults.lose

    def _pass_on(self, data: bytes, sender: DatagramLink, to: DatagramLink) -> None:
        late_ms = self._draw.random() * self.faults.late_ms
        gevent.spawn_later(late_ms / _SECOND_MS, self._send, data, sender, to)

    def _send(self, data: bytes, sender: DatagramLink, to: DatagramLink) -> None:
        self.passed += 1
        try:
            self._sockets[sender.known].sendto(data, split_address(to.own))
        except OSError:
            self.dropped += 1
