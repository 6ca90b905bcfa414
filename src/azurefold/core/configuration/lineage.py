"""Which edit stood behind each revision, as far as one process remembers."""

from azurefold.core.configuration.head import Head, HeadId, is_descendant_of

__all__ = ["Lineage"]

MAX_REVISIONS_KEPT = 20_000
"""Revisions remembered: more than a day of edits at the size aimed at. A copy
that is restored is older than the few edits that a head's own chain names."""


class Lineage:
    """Edits of the line that leads to the head that is held."""

    def __init__(self) -> None:
        self._edit_ids: dict[int, str] = {}

    def record(self, head: Head) -> None:
        """Note ``head`` and the edits that it was built upon."""
        self._edit_ids[head.revision] = head.edit_id
        for back, edit_id in enumerate(head.chain, start=1):
            self._edit_ids[head.revision - back] = edit_id
        while len(self._edit_ids) > MAX_REVISIONS_KEPT:
            del self._edit_ids[min(self._edit_ids)]

    def is_ancestor(self, head_id: HeadId, held: Head) -> bool:
        """Return whether ``held`` is known to be built upon ``head_id``."""
        if is_descendant_of(held, head_id):
            return True
        return self._edit_ids.get(head_id.revision) == head_id.edit_id
