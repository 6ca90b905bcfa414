"""Which control processes look at the platform for the rest.

If all 390 polled each second they would take a fifth of the platform's reads.
Two for each data centre do; two, so that one death delays nobody.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["N_POLLERS", "choose_pollers"]

N_POLLERS = 2


def choose_pollers(
    live: Iterable[str], data_centre: str, n_pollers: int = N_POLLERS
) -> tuple[str, ...]:
    """Choose pollers by rendezvous hash, without any agreement.

    Parameters
    ----------
    live : iterable of str
        Names of the control processes believed live in the data centre.
        Processes that believe different things choose differently for a
        while; that costs a few reads more, or the self-poll steps in.
    data_centre : str
        Salt, so that names used twice spread differently.
    n_pollers : int, default=2
        How many to choose.

    Examples
    --------
    >>> len(choose_pollers(["c1", "c2", "c3"], "fukuoka-hall"))
    2
    """

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{data_centre}\0{name}".encode()).digest()

    return tuple(sorted(set(live), key=weight, reverse=True)[:n_pollers])
