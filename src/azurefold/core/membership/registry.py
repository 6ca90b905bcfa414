"""Registry of the endpoints that a store lists, and which of them may get new work.

The store removes the entry of an endpoint that has been silent for a while. During an
outage of the store it receives no heartbeats, so entries of healthy endpoints lapse
too. Such entries stay in use for a short grace period.

A store that was restored from an older copy lists endpoints that have left since then.
Their entries are withheld until they are written again, or for a short time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from azurefold.core.clock import Millis
from azurefold.core.membership.departures import Departures
from azurefold.core.membership.endpoint_entry import EndpointEntry

__all__ = ["EndpointEntry", "EndpointRegistry", "RegistryPolicy"]


@dataclass(frozen=True, slots=True)
class RegistryPolicy:
    """Grace periods for entries that were removed together or restored.

    Parameters
    ----------
    outage_grace_ms : int
        After the end of a store outage, how long to keep many entries that lapsed
        together. Healthy endpoints register again within about two seconds; the rest
        covers the delay until this process detects the end.
    mass_removal_grace_ms : int
        Without a detected outage, how long to keep many entries that were removed
        together, from when they were last known to exist. It must be less than the two
        seconds after which a removed endpoint must get no more work.
    mass_removal_share : float
        Share of a service's entries from which a simultaneous removal counts as a mass
        removal.
    report_ttl_ms : int
        How long an entry is withheld because of another process's report. Reports are
        repeated at least twice a second.
    recovery_ms : int
        After a restore of the store is detected, the time within which endpoints write
        or remove their entries again.
    """

    outage_grace_ms: Millis = 2_300
    mass_removal_grace_ms: Millis = 1_500
    mass_removal_share: float = 0.3
    report_ttl_ms: Millis = 1_200
    recovery_ms: Millis = 2_000


@dataclass(frozen=True, slots=True)
class _Withheld:
    entry: EndpointEntry
    is_written: bool
    reported_until: Millis | None = None


@dataclass(slots=True)
class EndpointRegistry:
    """Entries by name, including removed ones that are still in use.

    A removed entry is retained for a grace period if its endpoint may be healthy. An
    entry is withheld, that is, not in use, while it may be outdated after a restore.

    Parameters
    ----------
    policy : RegistryPolicy
    departures : Departures
        Endpoints that have left.
    is_loaded : bool
        Whether the full list has been read at least once.
    """

    policy: RegistryPolicy = field(default_factory=RegistryPolicy)
    departures: Departures = field(default_factory=Departures)
    is_loaded: bool = False
    _entries: dict[str, EndpointEntry] = field(default_factory=dict)
    _retained_until: dict[str, Millis] = field(default_factory=dict)
    _withheld: dict[str, _Withheld] = field(default_factory=dict)
    # Endpoints whose entries are known to be current since the last restore.
    _verified_names: set[str] = field(default_factory=set)
    _is_store_lost: bool = False
    _outage_grace_until: Millis = 0
    _recovery_ends_at: Millis = 0
    _is_first_read_after_restore: bool = False

    @property
    def entries(self) -> dict[str, EndpointEntry]:
        """All entries that may be in use, by name."""
        return self._entries

    @property
    def leaving(self) -> frozenset[str]:
        """Endpoints that accept no new work."""
        return frozenset(name for name, entry in self._entries.items() if entry.leaving)

    @property
    def retained(self) -> frozenset[str]:
        """Endpoints whose entries were removed but are still in use."""
        return frozenset(self._retained_until)

    @property
    def withheld(self) -> frozenset[str]:
        """Endpoints that have left, whose entries a restored store contains again."""
        return frozenset(self._withheld)

    @property
    def departed(self) -> frozenset[str]:
        """The withheld endpoints whose departure this process itself has recorded."""
        return frozenset(
            name
            for name, withheld in self._withheld.items()
            if withheld.reported_until is None
        )

    def on_store_lost(self) -> None:
        """Handle a store that does not answer."""
        self._is_store_lost = True

    def on_store_regained(self, now: Millis) -> None:
        """Start the grace period once the store answers again after an outage."""
        if self._is_store_lost:
            self._is_store_lost = False
            self._outage_grace_until = now + self.policy.outage_grace_ms

    def end_outage_grace(self, now: Millis) -> None:
        """End the grace period, because only this process could not reach the store.

        The store kept receiving heartbeats, so no entry has lapsed for lack of them.
        The next :meth:`tick` deletes all entries that were removed and are retained.
        Without an outage or a grace period nothing changes.
        """
        if not self._is_store_lost and now >= self._outage_grace_until:
            return
        self._is_store_lost = False
        self._outage_grace_until = now
        self._retained_until = dict.fromkeys(self._retained_until, now)

    def on_store_restored(self, now: Millis) -> None:
        """Start the recovery from a restore, before the store is read again."""
        self.departures.on_store_restored()
        self._recovery_ends_at = now + self.policy.recovery_ms
        self._is_first_read_after_restore = True
        self._verified_names.clear()

    def replace_all(
        self,
        entries: Iterable[EndpointEntry],
        now: Millis,
        known_at: Millis | None = None,
    ) -> list[str]:
        """Apply a full list of entries.

        Parameters
        ----------
        entries : iterable of EndpointEntry
        now : int
        known_at : int, optional
            When unlisted entries were last known to exist; by default now.

        Returns
        -------
        list of str
            Endpoints that have restarted under the same name.
        """
        self.is_loaded = True
        listed = {entry.name: entry for entry in entries}
        gone = [name for name in self._entries if name not in listed]
        if self._is_first_read_after_restore:
            self._retain_unlisted(gone, now)
        if self.departures.is_recovering:
            # Endpoints retained because the older copy lacks their entries.
            gone = [name for name in gone if name not in self._retained_until]
        self.remove(gone, now, known_at)
        reported = {name for name in self._withheld if name not in self.departed}
        accepted = [
            entry
            for entry in listed.values()
            if entry.leaving or entry.name not in reported
        ]
        self._withheld = {
            name: replace(self._withheld[name], entry=listed[name])
            for name in reported & listed.keys()
        }
        return self._apply(accepted, is_written=False)

    def _retain_unlisted(self, names: Iterable[str], now: Millis) -> None:
        """Retain endpoints that a restored store lacks until they register again."""
        self._is_first_read_after_restore = False
        for name in names:
            if not self._entries[name].leaving:
                self._retained_until.setdefault(name, now + self.policy.outage_grace_ms)

    def put(self, entries: Iterable[EndpointEntry]) -> list[str]:
        """Apply newly written entries.

        An entry from an earlier start of the process than the known one is ignored.

        Returns
        -------
        list of str
            Endpoints that have restarted under the same name.
        """
        entries = tuple(entries)
        self._verified_names.update(entry.name for entry in entries)
        return self._apply(entries, is_written=True)

    def withhold_reported(self, names: Iterable[str], now: Millis) -> list[str]:
        """Withhold entries that another process reports as departed.

        Entries that this process has seen written since the restore, or that still
        existed here when the recovery ended, stay in use.

        Returns
        -------
        list of str
            Endpoints that were in use before.
        """
        until = now + self.policy.report_ttl_ms
        withheld = []
        for name in names:
            known = self._withheld.get(name)
            if known is not None and known.reported_until is not None:
                self._withheld[name] = replace(known, reported_until=until)
            entry = self._entries.get(name)
            if entry is None or entry.leaving or name in self._verified_names:
                continue
            self._forget(name)
            self._withheld[name] = _Withheld(
                entry, is_written=False, reported_until=until
            )
            withheld.append(name)
        return withheld

    def _apply(
        self, entries: Iterable[EndpointEntry], *, is_written: bool
    ) -> list[str]:
        restarted = []
        for entry in entries:
            known = self._entries.get(entry.name)
            if known is not None and 0 < entry.started_at_ms < known.started_at_ms:
                continue
            is_entry_current = self.departures.is_current(entry, is_written=is_written)
            if not (entry.leaving or is_entry_current):
                self._withheld[entry.name] = _Withheld(entry, is_written)
                continue
            if known is not None and 0 < known.started_at_ms < entry.started_at_ms:
                restarted.append(entry.name)
            self._activate(entry)
        return restarted

    def _activate(self, entry: EndpointEntry) -> None:
        self._entries[entry.name] = entry
        self._retained_until.pop(entry.name, None)
        self._withheld.pop(entry.name, None)
        if entry.leaving:
            self.departures.record(entry)
        else:
            self.departures.forget(entry.name)

    def discard(self, names: Iterable[str]) -> None:
        """Delete entries that no longer describe a usable endpoint."""
        for name in names:
            self._withheld.pop(name, None)
            if name in self._entries:
                self._forget(name)

    def remove(
        self, names: Iterable[str], now: Millis, known_at: Millis | None = None
    ) -> None:
        """Apply the simultaneous removal of entries.

        Parameters
        ----------
        names : iterable of str
        now : int
        known_at : int, optional
            When the entries were last known to exist; by default now.
        """
        removed = tuple(names)
        for name in removed:
            self._withheld.pop(name, None)
        gone = [name for name in removed if name in self._entries]
        since = now if known_at is None else known_at
        retention_ends = {
            name: self._compute_retention_end(name, gone, now, since) for name in gone
        }
        for name, until in retention_ends.items():
            self.departures.record(self._entries[name])
            if until <= now:
                self._forget(name)
            else:
                self._retained_until.setdefault(name, until)

    def tick(self, now: Millis) -> list[str]:
        """Delete entries after their grace period, and use withheld ones when due.

        Returns
        -------
        list of str
            Endpoints that were deleted or are in use again.
        """
        expired = [name for name, until in self._retained_until.items() if until <= now]
        for name in expired:
            self._forget(name)
        if self.departures.is_recovering and now >= self._recovery_ends_at:
            self.departures.end_recovery()
        released = [
            withheld
            for withheld in self._withheld.values()
            if self._should_release(withheld, now)
        ]
        for withheld in released:
            self._activate(withheld.entry)
            if withheld.reported_until is None:
                self._verified_names.add(withheld.entry.name)
        return expired + [withheld.entry.name for withheld in released]

    def _should_release(self, withheld: _Withheld, now: Millis) -> bool:
        if withheld.reported_until is not None:
            return withheld.reported_until <= now
        return self.departures.is_current(
            withheld.entry, is_written=withheld.is_written
        )

    def _compute_retention_end(
        self, name: str, gone: list[str], now: Millis, since: Millis
    ) -> Millis:
        # After a store outage of more than three heartbeats all entries have lapsed.
        # Without a grace period each node would drop all endpoints when the store
        # returns, and refuse requests for lack of endpoints for the two seconds until
        # the engines have registered again.
        entry = self._entries[name]
        if entry.leaving:
            return now
        entry_count = sum(
            1 for other in self._entries.values() if other.service == entry.service
        )
        removed_count = sum(
            1 for other in gone if self._entries[other].service == entry.service
        )
        is_mass_removal = (
            removed_count > 1
            and removed_count >= self.policy.mass_removal_share * entry_count
        )
        if now < self._outage_grace_until and (
            is_mass_removal or removed_count == entry_count
        ):
            return self._outage_grace_until
        if is_mass_removal:
            return since + self.policy.mass_removal_grace_ms
        return now

    def _forget(self, name: str) -> None:
        del self._entries[name]
        self._retained_until.pop(name, None)
        self._verified_names.discard(name)
