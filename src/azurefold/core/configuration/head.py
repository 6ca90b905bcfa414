"""The head of the configuration: which content a revision stands for.

A revision number alone does not say that. When the platform's store is restored
from an older copy, numbers that were given out already are given out again for
other content. So each accepted edit has a random id, and a head names the edits
it was built upon: two heads are of one line only if one names the other.
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

MAX_CHAIN_LENGTH = 32
"""Edits that a head remembers. A process further behind than this cannot tell
an ancestor from a stranger and takes the head for a stranger, with an alarm."""


@dataclass(frozen=True, slots=True)
class HeadId:
    """A head in short, small enough for each heartbeat and poll.

    Parameters
    ----------
    revision : int
        Counts accepted edits; 0 means that none has been accepted.
    edit_id : str
        Random id of the edit that made this revision.
    digest : str
        Hash over the sections' hashes.
    """

    revision: int
    edit_id: str
    digest: str


@dataclass(frozen=True, slots=True)
class Head:
    """An accepted configuration.

    Parameters
    ----------
    revision : int
        Counts accepted edits.
    edit_id : str
        Random id of the edit that made this revision.
    sections : dict of str to str
        Content hash of each section by name.
    chain : tuple of str
        Ids of the edits before this one, the newest first.
    """

    revision: int
    edit_id: str
    sections: dict[str, str]
    chain: tuple[str, ...] = ()

    @property
    def head_id(self) -> HeadId:
        """This head in short."""
        digest = content_hash(canonical_bytes(self.sections))
        return HeadId(self.revision, self.edit_id, digest)


NO_HEAD = Head(0, "", {})
"""Before the first accepted edit."""


class HeadRelation(Enum):
    """How a mark that was heard stands to the head that is held."""

    SAME = auto()
    NEWER = auto()
    ANCESTOR = auto()
    """Older, and this head was built upon it."""
    FORKED = auto()
    """Same number or lower, but of another line."""


def classify_relation(held: Head, heard: HeadId) -> HeadRelation:
    """Return how ``heard`` stands to ``held``.

    Examples
    --------
    >>> held = Head(5, "e5", {}, ("e4", "e3"))
    >>> classify_relation(held, HeadId(3, "e3", "")).name
    'ANCESTOR'
    >>> classify_relation(held, HeadId(5, "other", "")).name
    'FORKED'
    """
    if heard.revision > held.revision:
        return HeadRelation.NEWER
    if heard.revision == held.revision:
        same = heard.edit_id == held.edit_id
        return HeadRelation.SAME if same else HeadRelation.FORKED
    return (
        HeadRelation.ANCESTOR if is_descendant_of(held, heard) else HeadRelation.FORKED
    )


def is_descendant_of(head: Head, older: HeadId) -> bool:
    """Return whether the chain of ``head`` is known to name ``older``."""
    if older.revision == NO_HEAD.revision:
        return True
    back = head.revision - older.revision - 1
    return 0 <= back < len(head.chain) and head.chain[back] == older.edit_id


def build_next_head(
    base: Head, edit_id: str, sections: Mapping[str, str], held_revision: int = 0
) -> Head:
    """Return the head that follows ``base``.

    Parameters
    ----------
    base : Head
        What it is built upon.
    edit_id : str
        Random id of the edit.
    sections : mapping of str to str
        Content hash of each section by name.
    held_revision : int, default=0
        A revision that processes hold already though the restored store does
        not: the new one must be higher, or they would not take it.
    """
    if held_revision > base.revision:
        # Numbers are skipped, so places in the chain would name wrong edits.
        return Head(held_revision + 1, edit_id, dict(sections))
    chain = (base.edit_id, *base.chain) if base.revision else ()
    return Head(base.revision + 1, edit_id, dict(sections), chain[:MAX_CHAIN_LENGTH])


@dataclass(frozen=True, slots=True)
class HeadDelta:
    """What turns a head that is known into another.

    Parameters
    ----------
    base : str
        Digest of the head that is known.
    revision, edit_id, chain
        As in the new head.
    changed : dict of str to str
        Hashes of new and changed sections.
    removed : tuple of str
        Names of sections that are gone.
    """

    base: str
    revision: int
    edit_id: str
    chain: tuple[str, ...]
    changed: dict[str, str]
    removed: tuple[str, ...]


def compute_delta(base: Head, head: Head) -> HeadDelta:
    """Return what turns ``base`` into ``head``."""
    changed = {
        name: hashed
        for name, hashed in head.sections.items()
        if base.sections.get(name) != hashed
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
        If the delta starts from another head; ask for the whole head then.
    """
    if delta.base != base.head_id.digest:
        raise ValueError("the delta starts from another head; ask for the whole one")
    sections = {**base.sections, **delta.changed}
    for name in delta.removed:
        sections.pop(name, None)
    return Head(delta.revision, delta.edit_id, sections, delta.chain)


def encode_json(part: Head | HeadId) -> str:
    """Return ``part`` as JSON in its one spelling."""
    return canonical_bytes(asdict(part)).decode("utf-8")


def decode_head(text: str) -> Head:
    """Return the head that :func:`encode_json` wrote.

    Raises
    ------
    ValueError
        If the text is anything else.
    """
    raw = _object(text)
    try:
        sections = {str(k): str(v) for k, v in raw["sections"].items()}
        chain = tuple(str(each) for each in raw["chain"])
        return Head(int(raw["revision"]), str(raw["edit_id"]), sections, chain)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a head: {error}") from error


def decode_head_id(text: str) -> HeadId:
    """Return the mark that :func:`encode_json` wrote.

    Raises
    ------
    ValueError
        If the text is anything else.
    """
    raw = _object(text)
    try:
        return HeadId(int(raw["revision"]), str(raw["edit_id"]), str(raw["digest"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a mark: {error}") from error


def _object(text: str) -> dict:
    raw = json.loads(text)
    if not isinstance(raw, dict):
        raise ValueError("not a JSON object")
    return raw
