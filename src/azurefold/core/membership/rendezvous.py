"""Which control processes an endpoint reports to."""

import hashlib
from collections.abc import Iterable

__all__ = ["controls_digest", "homes"]

_HASH_BYTES = 8
_DIGEST_BYTES = 4


def homes(name: str, controls: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` controls that ``name`` reports to, best first.

    Rendezvous hashing: when one control dies only the endpoints that reported
    to it move, and all who know the same controls agree without a word.

    Parameters
    ----------
    name : str
        The endpoint's name.
    controls : iterable of str
        Addresses of live controls, in any order.
    count : int
        How many to choose.

    Examples
    --------
    >>> chosen = homes("a", ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"], 2)
    >>> chosen == homes("a", ["10.0.0.3:7", "10.0.0.2:7", "10.0.0.1:7"], 2)
    True
    """
    seed = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES)

    def weight(control: str) -> tuple[bytes, str]:
        mixed = seed.copy()
        mixed.update(control.encode())
        return mixed.digest(), control

    return tuple(sorted(controls, key=weight, reverse=True)[:count])


def controls_digest(controls: Iterable[str]) -> int:
    """Return a 32-bit digest of a list of controls, whatever its order."""
    text = "\n".join(sorted(controls)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest())
