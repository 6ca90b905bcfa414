"""Partitions nodes and endpoints into cells, which limits the exchange of loads.

If every node sent its loads to every other, the number of messages would grow with the
square of the number of nodes: 31 nodes sent some 15,000 messages per second. Nodes and
endpoints are therefore partitioned into cells of about nine nodes. The nodes of a cell
send requests to its endpoints only, and exchange their loads only with each other.

All cells have the same size, and few names change cells when a name is added or
removed. Requests in flight continue when their node or endpoint moves, and must then be
reported to the endpoint's new cell, so moves should be rare.
"""

from collections.abc import Collection
from dataclasses import dataclass
from zlib import crc32

__all__ = ["Cell", "cell_of"]

_NODES_PER_CELL = 9
"""Number of nodes that exchange all their loads, as in a deployment without cells."""

_MIN_ENDPOINTS_PER_CELL = 8
"""Smallest number of endpoints per cell.

With fewer, a single slow or missing endpoint would be too large a part of its cell. All
nodes then send to all endpoints of the service."""

_SINGLE_CELL = (frozenset[str](),)


@dataclass(frozen=True, slots=True)
class Cell:
    """Cell of one node.

    Parameters
    ----------
    number : int
        Index of this cell in ``cells``.
    cells : tuple of frozenset of str
        Nodes of each cell.
    """

    number: int = 0
    cells: tuple[frozenset[str], ...] = _SINGLE_CELL

    @property
    def count(self) -> int:
        """Number of cells."""
        return len(self.cells)

    @property
    def nodes(self) -> frozenset[str]:
        """Nodes of this cell, this node included."""
        return self.cells[self.number]

    def assign_endpoints(self, endpoints: Collection[str]) -> dict[str, int]:
        """Return the number of the cell that sends to each endpoint of a service.

        Examples
        --------
        >>> cell = Cell(1, (frozenset({"n1"}), frozenset({"n2"})))
        >>> cells = cell.assign_endpoints([f"e{number:02}" for number in range(16)])
        >>> list(cells.values()).count(0), list(cells.values()).count(1)
        (8, 8)
        """
        cells = _partition(endpoints, self.count)
        return {name: number for number, names in enumerate(cells) for name in names}

    def should_partition(self, endpoints: Collection[str]) -> bool:
        """Whether the endpoints of a service are partitioned into cells."""
        return self.count > 1 and len(endpoints) >= _MIN_ENDPOINTS_PER_CELL * self.count


def cell_of(node: str, nodes: Collection[str]) -> Cell:
    """Return the cell of ``node`` among all ``nodes``.

    Examples
    --------
    >>> cell = cell_of("n03", [f"n{number:02}" for number in range(27)])
    >>> cell.count, len(cell.nodes), "n03" in cell.nodes
    (3, 9, True)
    """
    names = {node, *nodes}
    count = max(1, round(len(names) / _NODES_PER_CELL))
    cells = _partition(names, count)
    number = next(index for index, members in enumerate(cells) if node in members)
    return Cell(number, tuple(map(frozenset, cells)))


def _partition(names: Collection[str], count: int) -> list[set[str]]:
    """Assign names to cells by hash; a name whose cell is full goes to the next cell.

    Names are assigned in the order of their hashes, so that removing a name moves only
    some of the names after it.
    """
    min_size, larger_count = divmod(len(names), count)
    cells: list[set[str]] = [set() for _ in range(count)]
    for name_hash, name in sorted((crc32(name.encode()), name) for name in names):
        number = name_hash % count
        while len(cells[number]) >= min_size + (number < larger_count):
            number = (number + 1) % count
        cells[number].add(name)
    return cells
