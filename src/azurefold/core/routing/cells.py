"""Cells of nodes and endpoints, so that loads are told to a few nodes only.

With every node telling every other, messages grow with the square of the nodes:
31 nodes sent some 15,000 a second. Nodes and endpoints are therefore dealt into
as many cells as there are times nine nodes; the nodes of a cell send to its
endpoints, and tell their loads to one another.

Cells are of the same size, and a name that comes or goes moves few others. What a
node has sent to an endpoint goes on when either of them moves, so each move is a
request more that the endpoint's new cell has to be told of.
"""

from collections.abc import Collection
from dataclasses import dataclass
from zlib import crc32

__all__ = ["Cell", "cell_of"]

_NODES_OF_A_CELL = 9
"""The size that each user has today, where all nodes know all loads."""

_LEAST_ENDPOINTS = 8
"""With fewer endpoints in a cell, one that is slow or gone is too much of it;
all nodes then send to all endpoints of the service."""

_ALONE = (frozenset[str](),)


@dataclass(frozen=True, slots=True)
class Cell:
    """One node's cell.

    Parameters
    ----------
    number : int
        This cell among all.
    cells : tuple of frozenset of str
        Nodes of each cell.
    """

    number: int = 0
    cells: tuple[frozenset[str], ...] = _ALONE

    @property
    def count(self) -> int:
        """How many cells there are."""
        return len(self.cells)

    @property
    def nodes(self) -> frozenset[str]:
        """Nodes of this cell, this one included."""
        return self.cells[self.number]

    def assign_endpoints(self, endpoints: Collection[str]) -> dict[str, int]:
        """Return the number of the cell that sends to each endpoint of a service.

        Examples
        --------
        >>> cell = Cell(1, (frozenset({"n1"}), frozenset({"n2"})))
        >>> dealt = cell.assign_endpoints([f"e{number:02}" for number in range(16)])
        >>> list(dealt.values()).count(0), list(dealt.values()).count(1)
        (8, 8)
        """
        cells = _dealt(endpoints, self.count)
        return {name: number for number, names in enumerate(cells) for name in names}

    def should_partition(self, endpoints: Collection[str]) -> bool:
        """Whether the endpoints of a service are dealt out to the cells."""
        return self.count > 1 and len(endpoints) >= _LEAST_ENDPOINTS * self.count


def cell_of(node: str, nodes: Collection[str]) -> Cell:
    """Return the cell of ``node`` among all ``nodes``.

    Examples
    --------
    >>> cell = cell_of("n03", [f"n{number:02}" for number in range(27)])
    >>> cell.count, len(cell.nodes), "n03" in cell.nodes
    (3, 9, True)
    """
    names = {node, *nodes}
    count = max(1, round(len(names) / _NODES_OF_A_CELL))
    cells = _dealt(names, count)
    number = next(n for n, members in enumerate(cells) if node in members)
    return Cell(number, tuple(map(frozenset, cells)))


def _dealt(names: Collection[str], count: int) -> list[set[str]]:
    """Deal names to cells by hash; what a full cell has no room for goes to the next.

    Names are taken in the order of their hashes, so that one that is gone only makes
    room for some of those behind it.
    """
    least, larger = divmod(len(names), count)
    cells: list[set[str]] = [set() for _ in range(count)]
    for mark, name in sorted((crc32(name.encode()), name) for name in names):
        number = mark % count
        while len(cells[number]) >= least + (number < larger):
            number = (number + 1) % count
        cells[number].add(name)
    return cells
