"""Records of gone endpoints, kept for a while against late news of them."""

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import Endpoint, State

__all__ = ["Tombstones"]


class Tombstones:
    """Since when endpoints have been gone.

    Were a record dropped at once, a datagram still under way would bring the
    endpoint back as if it were new, and its leaving would be forgotten.

    Parameters
    ----------
    keep_for : int
        How long to keep the record of a gone endpoint, in milliseconds.
    """

    def __init__(self, keep_for: Millis) -> None:
        self._keep_for = keep_for
        self._gone_since: dict[str, Millis] = {}

    def note(self, record: Endpoint, now: Millis) -> None:
        """Note a record that has changed."""
        if record.state is State.GONE:
            self._gone_since.setdefault(record.name, now)
        else:
            self._gone_since.pop(record.name, None)

    def take_due(self, now: Millis) -> list[str]:
        """Return the names to forget now, and forget them here."""
        gone = self._gone_since.items()
        due = [name for name, since in gone if now - since >= self._keep_for]
        for name in due:
            del self._gone_since[name]
        return due
