"""Computes the prefixes of a prompt that are used for routing."""

import hashlib

from azurefold.core.routing.messages import Prefix

__all__ = ["prompt_prefixes"]

_MIN_PREFIX_CHARACTERS = 256
_MAX_PREFIX_CHARACTERS = 16_384
_CHARACTERS_PER_TOKEN = 4
_HASH_BYTES = 8


def prompt_prefixes(prompt: str) -> tuple[Prefix, ...]:
    """Return the prefixes of a prompt, each twice as long as the one before.

    Prompts of one application start with the same instructions and then differ. A few
    lengths find most of what two prompts have in common. One prefix for each of the
    engine's blocks would cost more than the rest of the routing decision.

    Parameters
    ----------
    prompt : str

    Returns
    -------
    tuple of Prefix
        Shortest first; empty for a short prompt.

    Examples
    --------
    >>> [prefix.tokens for prefix in prompt_prefixes("lot 7 " * 200)]
    [64, 128, 256]
    """
    prefixes = []
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    start, length = 0, _MIN_PREFIX_CHARACTERS
    while length <= min(len(prompt), _MAX_PREFIX_CHARACTERS):
        digest.update(prompt[start:length].encode("utf-8", "surrogatepass"))
        prefix_hash = int.from_bytes(digest.copy().digest(), "big")
        prefixes.append(Prefix(prefix_hash, length // _CHARACTERS_PER_TOKEN))
        start, length = length, 2 * length
    return tuple(prefixes)
