"""Assignment of endpoints to the control processes that they report to."""

import hashlib
from collections.abc import Iterable

__all__ = ["controls_digest", "select_owners"]

_HASH_BYTES = 8
_DIGEST_BYTES = 4


def select_owners(name: str, controls: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` controls that ``name`` reports to, best first.

    Uses rendezvous hashing: when a control fails, only the endpoints that reported to
    it are reassigned, and all processes with the same list of controls compute the
    same owners without coordination.

    Parameters
    ----------
    name : str
        The endpoint's name.
    controls : iterable of str
        Addresses of live controls, in any order.
    count : int
        Number of owners to select.

    Examples
    --------
    >>> owners = select_owners("a", ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"], 2)
    >>> owners == select_owners("a", ["10.0.0.3:7", "10.0.0.2:7", "10.0.0.1:7"], 2)
    True
    """
    name_hash = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES)

    def weight(control: str) -> tuple[bytes, str]:
        combined_hash = name_hash.copy()
        combined_hash.update(control.encode())
        return combined_hash.digest(), control

    return tuple(sorted(controls, key=weight, reverse=True)[:count])


def controls_digest(controls: Iterable[str]) -> int:
    """Return a 32-bit digest of a set of control addresses, in any order."""
    text = "\n".join(sorted(controls)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest())
