"""Digest that identifies repeats of the same request."""

from hashlib import blake2b

__all__ = ["request_identity"]

_DIGEST_BYTES = 8
_LENGTH_BYTES = 8


def request_identity(
    method: str, host: str, target: str, organisation: str, body: bytes
) -> int:
    """Return a digest of a request that is the same for each repeat of it.

    Attempt ids and deadlines differ between repeats and are left out. The digest
    does not depend on the node that computes it.

    Parameters
    ----------
    method, host : str
    target : str
        Path and query.
    organisation : str
        Organisation that the request belongs to.
    body : bytes

    Returns
    -------
    int
        Unsigned 64-bit digest.

    Examples
    --------
    >>> first = request_identity("POST", "h", "/drafts/", "shops", b"text")
    >>> first == request_identity("POST", "h", "/drafts/", "shops", b"text")
    True
    >>> first == request_identity("POST", "h", "/drafts/", "shops", b"other")
    False
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for text in (method, host, target, organisation):
        # Length prefixes keep ("ab", "c") and ("a", "bc") from colliding.
        encoded = text.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(_LENGTH_BYTES))
        digest.update(encoded)
    digest.update(body)
    return int.from_bytes(digest.digest())
