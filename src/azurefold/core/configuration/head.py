"""The head of the configuration, which maps a revision to its content.

A revision number alone does not identify content: after the platform's store is
restored from an older copy, the same numbers are assigned again to other
content. So each accepted edit has a random id, and a head lists the ids of the
edits it was built upon. Two heads are on the same branch only if one lists the
other.
"""

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from enum import Enum, auto

from azurefold.core.configuration.sections import canonical_bytes, content_hash

__all__ = [
    "MAX_CHAIN_LENGTH",
    "NO_HEAD",
    "Head",
    "HeadDelta",
    "HeadId",
    "HeadRelation",
    "apply_delta",
    "build_next_head",
    "classify_relation",
    "compute_delta",
    "decode_head",
    "decode_head_id",
    "encode_json",
    "is_descendant_of",
]

_HIGHEST_REVISION = 2**53
MAX_CHAIN_LENGTH = 32
"""Edits that a head lists. An older head beyond these cannot be recognised as an
ancestor by the chain alone; :func:`classify_relation` classifies it as forked."""


@dataclass(frozen=True, slots=True)
class HeadId:
    """Identifies a head; small enough for every heartbeat and poll.

    Parameters
    ----------
    revision : int
        Number of the accepted edit; 0 if none has been accepted.
    edit_id : str
        Random id of the edit that created this revision.
    digest : str
        Hash over the sections' hashes.
    """

    revision: int
    edit_id: str
    digest: str


@dataclass(frozen=True, slots=True)
class Head:
    """An accepted configuration, as the content hashes of its sections.

    Parameters
    ----------
    revision : int
        Number of the accepted edit.
    edit_id : str
        Random id of the edit that created this revision.
    sections : dict of str to str
        Content hash of each section by name.
    chain : tuple of str
        Ids of the preceding edits, newest first.
    """

    revision: int
    edit_id: str
    sections: dict[str, str]
    chain: tuple[str, ...] = ()

    @property
    def head_id(self) -> HeadId:
        """Revision, edit id and digest of this head."""
        digest = content_hash(canonical_bytes(self.sections))
        return HeadId(self.revision, self.edit_id, digest)


NO_HEAD = Head(0, "", {})
"""Placeholder for the head before the first accepted edit."""


class HeadRelation(Enum):
    """How a received head id relates to the head that is held."""

    SAME = auto()
    NEWER = auto()
    ANCESTOR = auto()
    """Older, and the held head was built upon it."""
    FORKED = auto()
    """Same or lower revision, but not known to be on the same branch."""


def classify_relation(held: Head, received: HeadId) -> HeadRelation:
    """Return how ``received`` relates to ``held``.

    Examples
    --------
    >>> held = Head(5, "e5", {}, ("e4", "e3"))
    >>> classify_relation(held, HeadId(3, "e3", "")).name
    'ANCESTOR'
    >>> classify_relation(held, HeadId(5, "other", "")).name
    'FORKED'
    """
    if received.revision > held.revision:
        return HeadRelation.NEWER
    if received.revision == held.revision:
        is_same_edit = received.edit_id == held.edit_id
        return HeadRelation.SAME if is_same_edit else HeadRelation.FORKED
    return (
        HeadRelation.ANCESTOR
        if is_descendant_of(held, received)
        else HeadRelation.FORKED
    )


def is_descendant_of(head: Head, older: HeadId) -> bool:
    """Return whether ``head`` is known to be built upon ``older``.

    The result is also ``False`` if ``older`` lies beyond the chain of ``head``.
    """
    if older.revision == NO_HEAD.revision:
        return True
    position = head.revision - older.revision - 1
    return 0 <= position < len(head.chain) and head.chain[position] == older.edit_id


def build_next_head(
    base: Head, edit_id: str, sections: Mapping[str, str], held_revision: int = 0
) -> Head:
    """Return the head that follows ``base``.

    Parameters
    ----------
    base : Head
        Head that the edit is based on.
    edit_id : str
        Random id of the edit.
    sections : mapping of str to str
        Content hash of each section by name.
    held_revision : int, default=0
        Highest revision that processes hold although the restored store does
        not. The new revision must be higher, because a process never applies
        an older one.
    """
    if held_revision > base.revision:
        # Revisions are skipped, so positions in the chain would no longer match
        # revisions. The chain is left empty.
        return Head(held_revision + 1, edit_id, dict(sections))
    chain = (base.edit_id, *base.chain) if base.revision else ()
    return Head(base.revision + 1, edit_id, dict(sections), chain[:MAX_CHAIN_LENGTH])


@dataclass(frozen=True, slots=True)
class HeadDelta:
    """The difference between a head that the receiver holds and a newer one.

    Parameters
    ----------
    base : str
        Digest of the head that the receiver holds.
    revision, edit_id, chain
        As in the new head.
    changed : dict of str to str
        Content hashes of added and changed sections, by name.
    removed : tuple of str
        Names of removed sections.
    """

    base: str
    revision: int
    edit_id: str
    chain: tuple[str, ...]
    changed: dict[str, str]
    removed: tuple[str, ...]


def compute_delta(base: Head, head: Head) -> HeadDelta:
    """Return the delta that turns ``base`` into ``head``."""
    changed = {
        name: section_hash
        for name, section_hash in head.sections.items()
        if base.sections.get(name) != section_hash
    }
    removed = sorted(base.sections.keys() - head.sections.keys())
    return HeadDelta(
        base.head_id.digest,
        head.revision,
        head.edit_id,
        head.chain,
        changed,
        tuple(removed),
    )


def apply_delta(base: Head, delta: HeadDelta) -> Head:
    """Return the head that ``delta`` describes.

    Raises
    ------
    ValueError
        If the delta was computed from another base. The whole head must be
        fetched then.
    """
    if delta.base != base.head_id.digest:
        raise ValueError(
            "the delta was computed from another base; fetch the whole head"
        )
    sections = {**base.sections, **delta.changed}
    for name in delta.removed:
        sections.pop(name, None)
    return Head(delta.revision, delta.edit_id, sections, delta.chain)


def encode_json(value: Head | HeadId) -> str:
    """Return ``value`` as canonical JSON."""
    return canonical_bytes(asdict(value)).decode("utf-8")


def decode_head(text: str) -> Head:
    """Return the head that :func:`encode_json` encoded.

    Raises
    ------
    ValueError
        If the text is not valid.
    """
    raw = _decode_object(text)
    try:
        sections = {str(k): str(v) for k, v in raw["sections"].items()}
        chain = tuple(str(edit_id) for edit_id in raw["chain"])
        edit_id = str(raw["edit_id"])
        _check_encodable(edit_id, *sections, *sections.values(), *chain)
        return Head(_revision(raw), edit_id, sections, chain)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed head: {error}") from error


def decode_head_id(text: str) -> HeadId:
    """Return the head id that :func:`encode_json` encoded.

    Raises
    ------
    ValueError
        If the text is not valid.
    """
    raw = _decode_object(text)
    try:
        edit_id, digest = str(raw["edit_id"]), str(raw["digest"])
        _check_encodable(edit_id, digest)
        return HeadId(_revision(raw), edit_id, digest)
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"malformed head id: {error}") from error


def _decode_object(text: str) -> dict:
    try:
        raw = json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if not isinstance(raw, dict):
        raise ValueError("not a JSON object")
    return raw


def _revision(raw: dict) -> int:
    revision = int(raw["revision"])
    if not 0 <= revision <= _HIGHEST_REVISION:
        raise ValueError("the revision is out of range")
    return revision


def _check_encodable(*texts: str) -> None:
    # JSON can hold half of a character, which no message can.
    "".join(texts).encode("utf-8")
