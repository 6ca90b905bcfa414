"""Endpoints that left, and whether their entries may be believed again.

A store that comes back from an older copy lists endpoints that have left since, as they
were before. Whoever remembers them waits for evidence that is not of the copy: an entry
that was written after the return, or one that still stands once endpoints have had the
time to write or remove their own again.
"""

from dataclasses import dataclass, field

from azurefold.core.membership.endpoint_entry import EndpointEntry

__all__ = ["Departures"]

_MOST_REMEMBERED = 8_192
"""Endpoints; the longest gone are forgotten first."""


@dataclass(frozen=True, slots=True)
class _Departure:
    entry: EndpointEntry
    returns: int


@dataclass(slots=True)
class Departures:
    """Endpoints that left, with the store's returns from older copies.

    Parameters
    ----------
    is_settling : bool
        Whether the store came back a moment ago, and not all has been written again.
    """

    is_settling: bool = False
    _returns: int = 0
    _by_name: dict[str, _Departure] = field(default_factory=dict)

    def note(self, entry: EndpointEntry) -> None:
        """Remember an endpoint that announced its departure, or was removed."""
        self._by_name.pop(entry.name, None)
        self._by_name[entry.name] = _Departure(entry, self._returns)
        if len(self._by_name) > _MOST_REMEMBERED:
            del self._by_name[next(iter(self._by_name))]

    def forget(self, name: str) -> None:
        """Forget the departure of an endpoint that is there again."""
        self._by_name.pop(name, None)

    def on_store_restored(self) -> None:
        """Note that the store came back from an older copy."""
        self._returns += 1
        self.is_settling = True

    def settled(self) -> None:
        """Note that all entries have been written or removed again."""
        self.is_settling = False

    def is_credible(self, entry: EndpointEntry, *, is_written: bool) -> bool:
        """Whether an entry shows that its endpoint is there.

        Parameters
        ----------
        entry : EndpointEntry
        is_written : bool
            Whether it is known to have been written since the store's last return.

        Examples
        --------
        >>> departures = Departures()
        >>> entry = EndpointEntry("e1", "desk", "10.0.0.1:80", "dc-a", 6)
        >>> departures.note(entry)
        >>> departures.is_credible(entry, is_written=False)
        True
        >>> departures.on_store_restored()
        >>> [departures.is_credible(entry, is_written=each) for each in (False, True)]
        [False, True]
        >>> departures.settled()
        >>> departures.is_credible(entry, is_written=False)
        True
        """
        departure = self._by_name.get(entry.name)
        if departure is None or departure.returns == self._returns:
            return True
        left = departure.entry
        says_when_started = entry.started_at_ms and left.started_at_ms
        if says_when_started and entry.started_at_ms != left.started_at_ms:
            return entry.started_at_ms > left.started_at_ms
        if not left.leaving:
            return is_written or not self.is_settling
        # An announced departure holds until the endpoint starts again. If entries do
        # not say when, only one that outlasts the settling can be of another start.
        return not says_when_started and is_written and not self.is_settling
