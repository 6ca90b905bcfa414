"""Endpoints that have left, and whether their entries are current again.

A store that was restored from an older copy lists endpoints that have left since then,
in their earlier state. A process that has recorded a departure waits for evidence that
is newer than the copy: an entry that was written after the restore, or one that still
exists after endpoints have had the time to write or remove their own entries again.
"""

from dataclasses import dataclass, field

from azurefold.core.membership.endpoint_entry import EndpointEntry

__all__ = ["Departures"]

_MAX_REMEMBERED = 8_192
"""Maximum number of departures kept; the earliest ones are deleted first."""


@dataclass(frozen=True, slots=True)
class _Departure:
    entry: EndpointEntry
    restore_count: int


@dataclass(slots=True)
class Departures:
    """Endpoints that have left, and the restores of the store since then.

    Parameters
    ----------
    is_recovering : bool
        Whether the store was restored recently and entries may still be outdated.
    """

    is_recovering: bool = False
    _restore_count: int = 0
    _by_name: dict[str, _Departure] = field(default_factory=dict)

    def record(self, entry: EndpointEntry) -> None:
        """Record an endpoint that announced its departure or was removed."""
        self._by_name.pop(entry.name, None)
        self._by_name[entry.name] = _Departure(entry, self._restore_count)
        if len(self._by_name) > _MAX_REMEMBERED:
            del self._by_name[next(iter(self._by_name))]

    def forget(self, name: str) -> None:
        """Delete the departure of an endpoint that is available again."""
        self._by_name.pop(name, None)

    def on_store_restored(self) -> None:
        """Start the recovery after the store was restored from an older copy."""
        self._restore_count += 1
        self.is_recovering = True

    def end_recovery(self) -> None:
        """End the recovery once entries have been written or removed again."""
        self.is_recovering = False

    def is_current(self, entry: EndpointEntry, *, is_written: bool) -> bool:
        """Whether an entry shows that its endpoint is available.

        Parameters
        ----------
        entry : EndpointEntry
        is_written : bool
            Whether it is known to have been written since the last restore.

        Examples
        --------
        >>> departures = Departures()
        >>> entry = EndpointEntry("e1", "desk", "10.0.0.1:80", "dc-a", 6)
        >>> departures.record(entry)
        >>> departures.is_current(entry, is_written=False)
        True
        >>> departures.on_store_restored()
        >>> [departures.is_current(entry, is_written=w) for w in (False, True)]
        [False, True]
        >>> departures.end_recovery()
        >>> departures.is_current(entry, is_written=False)
        True
        """
        departure = self._by_name.get(entry.name)
        if departure is None or departure.restore_count == self._restore_count:
            return True
        departed = departure.entry
        has_start_times = entry.started_at_ms and departed.started_at_ms
        if has_start_times and entry.started_at_ms != departed.started_at_ms:
            return entry.started_at_ms > departed.started_at_ms
        if not departed.leaving:
            return is_written or not self.is_recovering
        # An announced departure is final until the endpoint restarts. Without start
        # times, only an entry that was written again and still exists after the
        # recovery can belong to another start.
        return not has_start_times and is_written and not self.is_recovering
