"""Which edit stood behind each revision, as far as one process remembers."""

from azurefold.core.configuration.head import Head, Mark, is_built_upon

__all__ = ["Lineage"]

LONGEST_HISTORY = 20_000
"""Revisions remembered: more than a day of edits at the size aimed at. A copy
that is restored is older than the few edits that a head's own chain names."""


class Lineage:
    """Edits of the line that leads to the head that is held."""

    def __init__(self) -> None:
        self._edit_ids: dict[int, str] = {}

    def remember(self, head: Head) -> None:
        """Note ``head`` and the edits that it was built upon."""
        self._edit_ids[head.revision] = head.edit_id
        for back, edit_id in enumerate(head.chain, start=1):
            self._edit_ids[head.revision - back] = edit_id
        while len(self._edit_ids) > LONGEST_HISTORY:
            del self._edit_ids[min(self._edit_ids)]

    def leads_from(self, mark: Mark, held: Head) -> bool:
        """Return whether ``held`` is known to be built upon ``mark``."""
        if is_built_upon(held, mark):
            return True
        return self._edit_ids.get(mark.revision) == mark.edit_id
