"""Numbers of map changes, increasing across all coordinators.

An order number holds the fence of the coordinator's lease above a serial number of that
coordinator.
"""

__all__ = ["SERIALS_PER_FENCE", "fence_of", "order_number"]

SERIALS_PER_FENCE = 2**20


def order_number(fence: int, serial: int) -> int:
    """Return the order number of a coordinator's ``serial``-th change.

    Raises
    ------
    ValueError
        If ``serial`` is out of range: the coordinator must renew its lease
        under a new fence.

    Examples
    --------
    >>> fence_of(order_number(7, 3))
    7
    """
    if not 0 <= serial < SERIALS_PER_FENCE:
        raise ValueError(
            f"serial {serial} is out of range; renew the lease under a new fence"
        )
    return fence * SERIALS_PER_FENCE + serial


def fence_of(number: int) -> int:
    """Return the fence of the coordinator that issued ``number``."""
    return number // SERIALS_PER_FENCE
