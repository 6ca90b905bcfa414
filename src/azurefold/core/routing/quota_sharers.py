"""The nodes to which an endpoint's quota is dealt."""

from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["QuotaSharers"]

_LEAST_HOLDERS = 3
_HOLDERS_FOR_EACH = 1.5
"""For each request a second of a quota. More holders find more callers; but each may
have one request more in a window than its part, and what endpoints bear, half of the
quota and five requests beyond it, has to have room for one holder too many."""


@dataclass(frozen=True, slots=True)
class QuotaSharers:
    """The nodes among which quotas are dealt out.

    Parameters
    ----------
    node : str
        This one.
    nodes : frozenset of str
        Those of the cell that are heard and have callers.
    cell, cells : int
        Number of the cell, and how many there are.
    is_divided : bool
        Whether each endpoint gets requests of one cell only.
    """

    node: str = ""
    nodes: frozenset[str] = frozenset()
    cell: int = 0
    cells: int = 1
    is_divided: bool = False

    def holders(self, endpoint: str, rate: float, turn: int = 0) -> frozenset[str]:
        """Return the nodes to which an endpoint's quota is dealt.

        They are found by rendezvous hashing: when a node comes or goes, no other one
        changes its place.

        Parameters
        ----------
        endpoint : str
        rate : float
            Requests a second of all holders together.
        turn : int, default=0
            How often other holders are to be tried.
        """
        if not self._is_of_this_cell(endpoint) or not self.nodes:
            return frozenset()
        ranked = sorted(self.nodes, key=lambda node: _place(endpoint, node))
        number = min(len(ranked), _LEAST_HOLDERS + int(_HOLDERS_FOR_EACH * rate))
        first = turn * number
        return frozenset(
            ranked[(first + place) % len(ranked)] for place in range(number)
        )

    def _is_of_this_cell(self, endpoint: str) -> bool:
        if self.is_divided or self.cells <= 1:
            return True
        cells = range(self.cells)
        return self.cell == min(cells, key=lambda cell: _place(endpoint, str(cell)))


def _place(endpoint: str, sharer: str) -> bytes:
    return blake2b(f"{endpoint}/{sharer}".encode(), digest_size=8).digest()
