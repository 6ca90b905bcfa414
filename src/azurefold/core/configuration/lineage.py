"""The edit id of each earlier revision that one process has seen."""

from azurefold.core.configuration.head import Head, HeadId, is_descendant_of

__all__ = ["Lineage"]

MAX_REVISIONS_KEPT = 20_000
"""More than a day of edits at the target size. The chain of a head lists only a few
edits, and a restored copy of the store is older than these."""


class Lineage:
    """Records the edits that the held head was built upon."""

    def __init__(self) -> None:
        self._edit_id_by_revision: dict[int, str] = {}

    def record(self, head: Head) -> None:
        """Record ``head`` and the edits in its chain."""
        self._edit_id_by_revision[head.revision] = head.edit_id
        for distance, edit_id in enumerate(head.chain, start=1):
            self._edit_id_by_revision[head.revision - distance] = edit_id
        while len(self._edit_id_by_revision) > MAX_REVISIONS_KEPT:
            del self._edit_id_by_revision[min(self._edit_id_by_revision)]

    def is_ancestor(self, head_id: HeadId, held: Head) -> bool:
        """Return whether ``held`` is known to be built upon ``head_id``."""
        if is_descendant_of(held, head_id):
            return True
        return self._edit_id_by_revision.get(head_id.revision) == head_id.edit_id
