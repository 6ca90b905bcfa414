"""Chooses the control processes that poll the platform on behalf of the others.

If all 390 processes polled every second, they would use a fifth of the
platform's reads. Two pollers per data centre are enough: with two, the failure
of one delays nobody.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["POLLERS_PER_DATA_CENTRE", "choose_pollers"]

POLLERS_PER_DATA_CENTRE = 2


def choose_pollers(
    live_controls: Iterable[str],
    data_centre: str,
    n_pollers: int = POLLERS_PER_DATA_CENTRE,
) -> tuple[str, ...]:
    """Choose pollers by rendezvous hashing, without coordination.

    Parameters
    ----------
    live_controls : iterable of str
        Names of the control processes considered live in the data centre.
        Processes with different views choose differently for a while. This
        costs a few extra reads, or processes poll for themselves once their
        information is stale.
    data_centre : str
        Salt, so that the same names in two data centres hash differently.
    n_pollers : int, default=2
        Number of pollers to choose.

    Examples
    --------
    >>> len(choose_pollers(["c1", "c2", "c3"], "fukuoka-hall"))
    2
    """

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{data_centre}\0{name}".encode()).digest()

    return tuple(sorted(set(live_controls), key=weight, reverse=True)[:n_pollers])
