"""Sums the loads that other nodes report, by endpoint."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import zip_longest
from zlib import crc32

from azurefold.core.clock import Millis

__all__ = ["LoadDigest", "PeerLoads", "endpoint_hash"]

_EXPIRY_MS: Millis = 1_500
"""Time without a digest after which a node's load is no longer counted.

Nodes send at least two digests per second, and three lost messages in a row are rare.
The requests of a node that has stopped end within seconds."""


def endpoint_hash(endpoint: str) -> int:
    """Return the hash of an endpoint's name, which is shorter in messages."""
    return crc32(endpoint.encode())


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """Numbers of one node's requests in flight, as it reports them to other nodes.

    Parameters
    ----------
    node : str
    incarnation : int
        Incarnation of the node's process.
    sequence : int
        Increases with each digest of one incarnation.
    loads : mapping of int to int
        Requests by :func:`endpoint_hash`; endpoints without requests are omitted.
    has_callers : bool
        Whether the node has recently received requests, refused ones included.
    is_waiting : bool
        Whether requests are queued at the node because no endpoint has room.
    turned_away : int
        Requests refused there in the last second because quotas are used up.
    waiting : mapping of int to tuple of int
        Queued requests by :func:`endpoint_hash` of the service's name, and by class.
    """

    node: str
    incarnation: int
    sequence: int
    loads: Mapping[int, int]
    has_callers: bool = False
    is_waiting: bool = False
    turned_away: int = 0
    waiting: Mapping[int, tuple[int, ...]] = field(default_factory=dict)


@dataclass(slots=True)
class _ReceivedDigest:
    received_at: Millis
    digest: LoadDigest


@dataclass(slots=True)
class PeerLoads:
    """Last digest of each node, and the sums of their loads."""

    _received: dict[str, _ReceivedDigest] = field(default_factory=dict)
    _sums: dict[int, int] = field(default_factory=dict)

    @property
    def nodes(self) -> frozenset[str]:
        """Other nodes whose last digest has not expired."""
        return frozenset(self._received)

    def requests_at(self, endpoint: str) -> int:
        """Return the number of requests of all other nodes at an endpoint."""
        return self._sums.get(endpoint_hash(endpoint), 0)

    def receive(self, digest: LoadDigest, now: Millis) -> bool:
        """Apply a digest; return whether it is newer than the node's last one."""
        previous = self._received.get(digest.node)
        if previous is not None and _is_older(digest, previous.digest):
            return False
        if previous is not None:
            self._add(previous.digest.loads, -1)
        self._received[digest.node] = _ReceivedDigest(now, digest)
        self._add(digest.loads, 1)
        return True

    @property
    def nodes_with_callers(self) -> frozenset[str]:
        """Other nodes that have recently received requests."""
        return frozenset(
            node
            for node, received in self._received.items()
            if received.digest.has_callers
        )

    @property
    def requests_by_node(self) -> list[int]:
        """Requests in flight, or turned away in the last second, at each other node."""
        digests = [received.digest for received in self._received.values()]
        return [sum(digest.loads.values()) + digest.turned_away for digest in digests]

    @property
    def waiting_node_count(self) -> int:
        """Number of other nodes that have queued requests."""
        return sum(received.digest.is_waiting for received in self._received.values())

    def waiting_for(self, service: str) -> tuple[int, ...]:
        """Return how many requests for a service wait at all other nodes, by class."""
        mark = endpoint_hash(service)
        digests = (received.digest for received in self._received.values())
        counts = [each.waiting[mark] for each in digests if mark in each.waiting]
        return tuple(map(sum, zip_longest(*counts, fillvalue=0)))

    def move_to(self, node: str, other: "PeerLoads") -> None:
        """Move the last digest of ``node``, if there is one, to ``other``."""
        received = self._received.pop(node, None)
        if received is not None:
            self._add(received.digest.loads, -1)
            other.receive(received.digest, received.received_at)

    def expire(self, now: Millis) -> list[str]:
        """Remove nodes whose last digest has expired, and return their names."""
        expired = [
            node
            for node, received in self._received.items()
            if now - received.received_at >= _EXPIRY_MS
        ]
        for node in expired:
            self._add(self._received.pop(node).digest.loads, -1)
        return expired

    def _add(self, loads: Mapping[int, int], sign: int) -> None:
        for name_hash, load in loads.items():
            total = self._sums.get(name_hash, 0) + sign * load
            if total > 0:
                self._sums[name_hash] = total
            else:
                self._sums.pop(name_hash, None)


def _is_older(digest: LoadDigest, previous: LoadDigest) -> bool:
    if digest.incarnation != previous.incarnation:
        return digest.incarnation < previous.incarnation
    return digest.sequence <= previous.sequence
