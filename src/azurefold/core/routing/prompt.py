"""Which prefixes of a prompt are told apart."""

import hashlib

from azurefold.core.routing.messages import Prefix

__all__ = ["prompt_prefixes"]

_SHORTEST = 256
_LONGEST = 16_384
_CHARACTERS_PER_TOKEN = 4
_HASH_BYTES = 8


def prompt_prefixes(prompt: str) -> tuple[Prefix, ...]:
    """Return the prefixes of doubling lengths that a prompt has.

    Prompts of one application begin alike, with its instructions, and end
    apart. A few lengths find most of what two of them share; one for each of
    the engine's blocks would cost more than the rest of the choice.

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
    start, length = 0, _SHORTEST
    while length <= min(len(prompt), _LONGEST):
        digest.update(prompt[start:length].encode("utf-8", "surrogatepass"))
        number = int.from_bytes(digest.copy().digest(), "big")
        prefixes.append(Prefix(number, length // _CHARACTERS_PER_TOKEN))
        start, length = length, 2 * length
    return tuple(prefixes)
