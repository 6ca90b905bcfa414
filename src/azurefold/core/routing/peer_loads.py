"""Loads that the other nodes tell of themselves, summed by endpoint."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from zlib import crc32

from azurefold.core.clock import Millis

__all__ = ["LoadDigest", "PeerLoads", "endpoint_hash"]

_SILENT_AFTER_MS: Millis = 1_500
"""A node tells at least twice a second; three lost messages in a row are rare,
and the requests of a node that is gone end within seconds."""


def endpoint_hash(endpoint: str) -> int:
    """Return a number that stands for an endpoint's name, to save bytes."""
    return crc32(endpoint.encode())


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """One node's requests in flight.

    Parameters
    ----------
    node : str
    incarnation : int
        Of the node's process.
    sequence : int
        Rises with each digest of one incarnation.
    loads : mapping of int to int
        By :func:`endpoint_hash`; endpoints without requests are left out.
    has_callers : bool
        Whether it has had requests lately, also such as it refused.
    is_waiting : bool
        Whether requests wait there for a place at an endpoint.
    """

    node: str
    incarnation: int
    sequence: int
    loads: Mapping[int, int]
    has_callers: bool = False
    is_waiting: bool = False


@dataclass(slots=True)
class _Heard:
    at: Millis
    digest: LoadDigest


@dataclass(slots=True)
class PeerLoads:
    """The last digest of each node, and their sums."""

    _heard: dict[str, _Heard] = field(default_factory=dict)
    _sums: dict[int, int] = field(default_factory=dict)

    @property
    def nodes(self) -> frozenset[str]:
        """Other nodes that are heard."""
        return frozenset(self._heard)

    def requests_at(self, endpoint: str) -> int:
        """Return the requests of all other nodes at an endpoint."""
        return self._sums.get(endpoint_hash(endpoint), 0)

    def receive(self, digest: LoadDigest, now: Millis) -> bool:
        """Take in a digest; return whether it is newer than the last."""
        known = self._heard.get(digest.node)
        if known is not None and _is_older(digest, known.digest):
            return False
        if known is not None:
            self._add(known.digest.loads, -1)
        self._heard[digest.node] = _Heard(now, digest)
        self._add(digest.loads, 1)
        return True

    @property
    def nodes_with_callers(self) -> frozenset[str]:
        """Other nodes that have had requests lately."""
        return frozenset(
            node for node, heard in self._heard.items() if heard.digest.has_callers
        )

    @property
    def waiting_node_count(self) -> int:
        """How many other nodes have requests that wait."""
        return sum(heard.digest.is_waiting for heard in self._heard.values())

    def move_to(self, node: str, other: "PeerLoads") -> None:
        """Let ``other`` have what a node has told, if it has told anything."""
        heard = self._heard.pop(node, None)
        if heard is not None:
            self._add(heard.digest.loads, -1)
            other.receive(heard.digest, heard.at)

    def expire(self, now: Millis) -> list[str]:
        """Drop nodes that have fallen silent, and name them."""
        silent = [
            node
            for node, heard in self._heard.items()
            if now - heard.at >= _SILENT_AFTER_MS
        ]
        for node in silent:
            self._add(self._heard.pop(node).digest.loads, -1)
        return silent

    def _add(self, loads: Mapping[int, int], sign: int) -> None:
        for mark, load in loads.items():
            total = self._sums.get(mark, 0) + sign * load
            if total > 0:
                self._sums[mark] = total
            else:
                self._sums.pop(mark, None)


def _is_older(digest: LoadDigest, known: LoadDigest) -> bool:
    if digest.incarnation != known.incarnation:
        return digest.incarnation < known.incarnation
    return digest.sequence <= known.sequence
