"""Cells of nodes and endpoints, so that loads are told to a few nodes only.

With every node telling every other, messages grow with the square of the nodes:
31 nodes sent some 15,000 a second. Nodes and endpoints are therefore dealt into
as many cells as there are times nine nodes; the nodes of a cell send to its
endpoints, and tell their loads to one another. Each cell has nodes and endpoints
of all data centres, since names are dealt in their order.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

__all__ = ["Cell", "cell_of"]

_NODES_OF_A_CELL = 9
"""The size that each user has today, where all nodes know all loads."""

_LEAST_ENDPOINTS = 8
"""With fewer endpoints in a cell, one that is slow or gone is too much of it;
all nodes then send to all endpoints of the service."""


@dataclass(frozen=True, slots=True)
class Cell:
    """One node's cell.

    Parameters
    ----------
    number, count : int
        This cell among all.
    nodes : frozenset of str
        Nodes of the cell, this one included.
    """

    number: int = 0
    count: int = 1
    nodes: frozenset[str] = frozenset()

    def endpoints_of(self, endpoints: Sequence[str]) -> frozenset[str]:
        """Return those of a service's endpoints that the cell sends to.

        Examples
        --------
        >>> cell = Cell(1, 2)
        >>> sorted(cell.endpoints_of([f"e{number:02}" for number in range(16)]))[:3]
        ['e01', 'e03', 'e05']
        >>> len(cell.endpoints_of(["e1", "e2", "e3"]))
        3
        """
        if not self.divides(endpoints):
            return frozenset(endpoints)
        return frozenset(sorted(endpoints)[self.number :: self.count])

    def divides(self, endpoints: Collection[str]) -> bool:
        """Whether the endpoints of a service are dealt out to the cells."""
        return self.count > 1 and len(endpoints) >= _LEAST_ENDPOINTS * self.count


def cell_of(node: str, nodes: Collection[str]) -> Cell:
    """Return the cell of ``node`` among all ``nodes``.

    Examples
    --------
    >>> cell_of("n03", [f"n{number:02}" for number in range(27)])
    ... # doctest: +ELLIPSIS
    Cell(number=0, count=3, nodes=frozenset({...}))
    """
    ordered = sorted({node, *nodes})
    count = max(1, round(len(ordered) / _NODES_OF_A_CELL))
    number = ordered.index(node) % count
    return Cell(number, count, frozenset(ordered[number::count]))
