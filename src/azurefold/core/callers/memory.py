"""One bound on all the bytes that a process holds for its callers.

Bodies that come in, answers that wait to go out, heads and connections are reserved
from the same budget. What does not fit is not held: a request is refused before it
runs, and an answer is passed on in pieces as its caller takes them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["MemoryBudget", "Reservation", "new_memory_budget"]

SMALL_BYTES = 65_536
"""Of one request, what is held even while large requests use up their share."""

_MEGABYTE = 1_048_576
OWN_BYTES = 64 * _MEGABYTE
"""For a program itself, with the configuration and state of a large deployment."""

_SHARE = 0.75
"""Of the rest. The allocator keeps what it has freed in part, and a piece of a body may
be there twice while it is copied."""

_LARGE_SHARE = 0.75
"""Of the budget, what requests may hold beyond ``SMALL_BYTES`` each."""

_LEAST_BYTES = 8 * _MEGABYTE


@dataclass(slots=True)
class MemoryBudget:
    """Bytes that may be held for callers, and those that are.

    Parameters
    ----------
    limit : int
        Bytes.
    held : int, default=0
        Bytes reserved at present.
    most_held : int, default=0
        Highest value of ``held`` so far.
    refused : int, default=0
        Reservations that were denied.
    make_room : callable
        Given a number of bytes, tries to have reservations of that size released and
        returns whether anything was. Called when the budget is used up.

    Examples
    --------
    >>> budget = MemoryBudget(limit=100_000)
    >>> first, second = budget.reservation(), budget.reservation()
    >>> first.grow(60_000), second.grow(60_000)
    (True, False)
    >>> first.release()
    >>> second.grow(60_000), budget.held
    (True, 60000)
    """

    limit: int
    held: int = 0
    most_held: int = 0
    refused: int = 0
    make_room: Callable[[int], bool] = field(default=lambda size: False, repr=False)

    @property
    def large_limit(self) -> int:
        """Bytes up to which requests may hold more than ``SMALL_BYTES``."""
        return int(self.limit * _LARGE_SHARE)

    def reservation(self, *, is_exempt: bool = False) -> "Reservation":
        """Return a reservation that holds nothing yet.

        Parameters
        ----------
        is_exempt : bool, default=False
            Whether it may be of any size within the limit, as that of a connection.
        """
        return Reservation(self, is_exempt=is_exempt)

    def _reserve(self, size: int, limit: int) -> bool:
        if self.held + size > limit and not self._has_made_room(size, limit):
            self.refused += 1
            return False
        self.held += size
        self.most_held = max(self.most_held, self.held)
        return True

    def _has_made_room(self, size: int, limit: int) -> bool:
        while self.held + size > limit:
            if not self.make_room(self.held + size - limit):
                return False
        return True


@dataclass(slots=True, eq=False)
class Reservation:
    """What one connection or request holds of a budget.

    Parameters
    ----------
    budget : MemoryBudget
    size : int, default=0
        Bytes.
    is_exempt : bool, default=False
        Whether ``large_limit`` does not apply to it.
    """

    budget: MemoryBudget
    size: int = 0
    is_exempt: bool = False

    def grow(self, size: int) -> bool:
        """Reserve ``size`` bytes more; return False if they are not to be had."""
        is_large = self.size + size > SMALL_BYTES and not self.is_exempt
        limit = self.budget.large_limit if is_large else self.budget.limit
        if not self.budget._reserve(size, limit):
            return False
        self.size += size
        return True

    def grow_to(self, size: int) -> bool:
        """Reserve what is missing to ``size`` bytes."""
        return self.size >= size or self.grow(size - self.size)

    def shrink_to(self, size: int) -> None:
        """Give back what is held beyond ``size`` bytes."""
        if self.size > size:
            self.budget.held -= self.size - size
            self.size = size

    def release(self) -> None:
        """Give back all that is held."""
        self.shrink_to(0)


def new_memory_budget(machine_bytes: int, own_bytes: int = OWN_BYTES) -> MemoryBudget:
    """Return the budget of a process on a machine, or in a slot, of this memory.

    Parameters
    ----------
    machine_bytes : int
    own_bytes : int
        What the program needs for itself.

    Examples
    --------
    >>> new_memory_budget(300 * 1_048_576).limit // 1_048_576
    177
    """
    rest = machine_bytes - own_bytes
    return MemoryBudget(max(_LEAST_BYTES, int(rest * _SHARE)))
