"""Selects the nodes that hold a share of an endpoint's quota."""

from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["QuotaSharers"]

_MIN_HOLDERS = 3
_HOLDERS_PER_REQUEST_RATE = 1.5
"""Number of holders for each request per second of a quota.

With more holders, more callers can use the quota. But each holder may send one request
per window beyond its share. Endpoints tolerate half of the quota and five requests
beyond it, and this tolerance must also cover one holder too many."""


@dataclass(frozen=True, slots=True)
class QuotaSharers:
    """Nodes that share the quotas of endpoints.

    Parameters
    ----------
    node : str
        This node.
    nodes : frozenset of str
        Nodes of the cell that are live and have callers.
    cell_number, cell_count : int
        Index of this cell, and the number of cells.
    is_partitioned : bool
        Whether each endpoint of the service gets requests from one cell only.
    """

    node: str = ""
    nodes: frozenset[str] = frozenset()
    cell_number: int = 0
    cell_count: int = 1
    is_partitioned: bool = False

    def holders(self, endpoint: str, rate: float, rotation: int = 0) -> frozenset[str]:
        """Return the nodes that hold a share of an endpoint's quota.

        Holders are chosen by rendezvous hashing, so that the order of the other nodes
        does not change when a node joins or leaves.

        Parameters
        ----------
        endpoint : str
        rate : float
            Requests per second of all holders together.
        rotation : int, default=0
            How many times the holders are replaced by the next nodes in order.
        """
        if not self._is_of_this_cell(endpoint) or not self.nodes:
            return frozenset()
        ranked = sorted(self.nodes, key=lambda node: _rank_key(endpoint, node))
        count = min(len(ranked), _MIN_HOLDERS + int(_HOLDERS_PER_REQUEST_RATE * rate))
        first = rotation * count
        return frozenset(
            ranked[(first + offset) % len(ranked)] for offset in range(count)
        )

    def _is_of_this_cell(self, endpoint: str) -> bool:
        """Whether the holders for an endpoint are nodes of this cell.

        If all cells send to the endpoint, one of them is selected by hashing.
        """
        if self.is_partitioned or self.cell_count <= 1:
            return True
        cells = range(self.cell_count)
        return self.cell_number == min(
            cells, key=lambda cell: _rank_key(endpoint, str(cell))
        )


def _rank_key(endpoint: str, sharer: str) -> bytes:
    return blake2b(f"{endpoint}/{sharer}".encode(), digest_size=8).digest()
