"""Heads and sections as control processes send them to each other.

The whole head names some 300 sections in 25 KB. Sent at each of 12,000 changes
a day it alone would be more than a node may move for control, so a peer that
holds an earlier head is sent what changed since. Sections hold many records of
one shape and shrink to a fraction when compressed.
"""

import logging
import zlib
from collections.abc import Mapping

import msgspec

from azurefold.border.decoding import LARGEST_COUNT, UnreadableError, json_decoder
from azurefold.core.configuration.head import (
    Head,
    HeadDelta,
    apply_delta,
    compute_delta,
    decode_head,
    encode_json,
)
from azurefold.internal.logs import log_event

__all__ = ["packed_head", "packed_sections", "unpacked_head", "unpacked_sections"]

_log = logging.getLogger("azurefold.control")

_MAX_SECTION_BYTES = 4_194_304

_decode_delta = json_decoder(HeadDelta)


def packed_head(head: Head, base: Head | None) -> str:
    """Return ``head`` as JSON, as a delta if ``base`` is an earlier one.

    A process of an older version names the revision that it wants instead of
    the one that it holds, and understands only whole heads: it gets one.
    """
    if base is None or base.revision >= head.revision:
        return encode_json(head)
    return msgspec.json.encode(compute_delta(base, head)).decode()


def unpacked_head(text: str, base: Head) -> Head | None:
    """Return the head that a peer sent, or None if it cannot be told.

    Parameters
    ----------
    text : str
        What :func:`packed_head` returned at the peer.
    base : Head
        The head held when the peer was asked. A delta names its base by digest,
        so one upon another edit of the same number is never applied to it.
    """
    try:
        return decode_head(text)
    except ValueError:
        return _from_delta(text, base)


def packed_sections(contents: Mapping[str, bytes]) -> dict[str, bytes]:
    """Return contents compressed, under the hashes of what they contain."""
    return {hashed: zlib.compress(data) for hashed, data in contents.items()}


def unpacked_sections(contents: Mapping[str, bytes]) -> dict[str, bytes]:
    """Return contents as their hashes name them; damaged ones are left out.

    The limit keeps a small message from filling the memory: what it cuts off
    fails the comparison with the hash, like any other damage.
    """
    unpacked = {}
    for hashed, data in contents.items():
        try:
            reader = zlib.decompressobj()
            unpacked[hashed] = reader.decompress(data, _MAX_SECTION_BYTES)
        except zlib.error as error:
            log_event(_log, "bad_section", logging.WARNING, why=error)
    return unpacked


def _from_delta(text: str, base: Head) -> Head | None:
    try:
        delta = _decode_delta(text)
        if not 0 <= delta.revision <= LARGEST_COUNT:
            raise UnreadableError("the revision is out of range")
        return apply_delta(base, delta)
    except ValueError as error:
        log_event(_log, "bad_head", logging.WARNING, why=error)
        return None
