"""Endpoints as a store lists them, and which of them may get new work.

The store drops the entry of an endpoint that has been silent for a while.
While the store itself is away no endpoint can be heard, so entries lapse that
belong to sound endpoints. Such entries are trusted for a short time longer.
After its return from an older copy it lists endpoints that have left since. Entries of
those are withheld until they are written again, or for a short time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from azurefold.core.clock import Millis
from azurefold.core.membership.departures import Departures
from azurefold.core.membership.endpoint_entry import EndpointEntry

__all__ = ["EndpointEntry", "EndpointRegistry", "RegistryPolicy"]


@dataclass(frozen=True, slots=True)
class RegistryPolicy:
    """How long entries that lapsed in numbers are trusted.

    Parameters
    ----------
    after_outage : int
        Milliseconds from the store's return, for entries that lapsed in numbers.
        Sound endpoints are back within about two seconds of it; the rest covers our
        own delay in noticing.
    after_mass_removal : int
        Milliseconds from when the entries were last known to be there, where many
        went at once and no outage was seen. Less than the two seconds within which a
        removed endpoint must get no more work.
    mass_share : float
        Share of a service's entries whose removal at once is not believed.
    told : int
        Milliseconds for which an entry is withheld on another process's word, which is
        given again at least twice a second.
    settling : int
        Milliseconds from when the store's return from an older copy is noticed, within
        which endpoints write or remove their entries again.
    """

    after_outage: Millis = 2_300
    after_mass_removal: Millis = 1_500
    mass_share: float = 0.3
    told: Millis = 1_200
    settling: Millis = 2_000


@dataclass(frozen=True, slots=True)
class _Withheld:
    entry: EndpointEntry
    is_written: bool
    told_until: Millis | None = None


@dataclass(slots=True)
class EndpointRegistry:
    """Entries by name, with those that lapsed and are still trusted.

    Parameters
    ----------
    policy : RegistryPolicy
    departures : Departures
        Endpoints that left.
    is_loaded : bool
        Whether the whole list was ever read.
    """

    policy: RegistryPolicy = field(default_factory=RegistryPolicy)
    departures: Departures = field(default_factory=Departures)
    is_loaded: bool = False
    _entries: dict[str, EndpointEntry] = field(default_factory=dict)
    _lapsed_until: dict[str, Millis] = field(default_factory=dict)
    _withheld: dict[str, _Withheld] = field(default_factory=dict)
    _believed: set[str] = field(default_factory=set)
    _store_lost: bool = False
    _trust_until: Millis = 0
    _settled_at: Millis = 0
    _is_first_read: bool = False

    @property
    def entries(self) -> dict[str, EndpointEntry]:
        """All entries that may be in use, by name."""
        return self._entries

    @property
    def leaving(self) -> frozenset[str]:
        """Endpoints that take no new work."""
        return frozenset(name for name, entry in self._entries.items() if entry.leaving)

    @property
    def lapsed(self) -> frozenset[str]:
        """Endpoints whose entries are gone but still trusted."""
        return frozenset(self._lapsed_until)

    @property
    def withheld(self) -> frozenset[str]:
        """Endpoints that left, whose entries an older copy has brought back."""
        return frozenset(self._withheld)

    @property
    def departed(self) -> frozenset[str]:
        """Those of them that are withheld by this process's own memory."""
        return frozenset(
            name for name, each in self._withheld.items() if each.told_until is None
        )

    def on_store_lost(self) -> None:
        """Note that the store does not answer."""
        self._store_lost = True

    def on_store_regained(self, now: Millis) -> None:
        """Note that the store answers again."""
        if self._store_lost:
            self._store_lost = False
            self._trust_until = now + self.policy.after_outage

    def end_outage_grace(self, now: Millis) -> None:
        """Note that the store was away for this process alone: no entry has lapsed."""
        if not self._store_lost and now >= self._trust_until:
            return
        self._store_lost = False
        self._trust_until = now
        self._lapsed_until = dict.fromkeys(self._lapsed_until, now)

    def on_store_restored(self, now: Millis) -> None:
        """Note that the store came back from an older copy, not yet read."""
        self.departures.on_store_restored()
        self._settled_at = now + self.policy.settling
        self._is_first_read = True
        self._believed.clear()

    def replace(
        self,
        entries: Iterable[EndpointEntry],
        now: Millis,
        known_at: Millis | None = None,
    ) -> list[str]:
        """Take in the whole list; return those that have started again."""
        self.is_loaded = True
        listed = {entry.name: entry for entry in entries}
        gone = [name for name in self._entries if name not in listed]
        if self._is_first_read:
            self._trust_unlisted(gone, now)
        if self.departures.is_settling:
            # Not listed since the return: the copy has lost their entries.
            gone = [name for name in gone if name not in self._lapsed_until]
        self.remove(gone, now, known_at)
        told = {name for name in self._withheld if name not in self.departed}
        judged = [e for e in listed.values() if e.leaving or e.name not in told]
        self._withheld = {
            name: replace(self._withheld[name], entry=listed[name])
            for name in told & listed.keys()
        }
        return self._take(judged, is_written=False)

    def _trust_unlisted(self, names: Iterable[str], now: Millis) -> None:
        """Keep endpoints that the copy lacks until they have written themselves in."""
        self._is_first_read = False
        for name in names:
            if not self._entries[name].leaving:
                self._lapsed_until.setdefault(name, now + self.policy.after_outage)

    def put(self, entries: Iterable[EndpointEntry]) -> list[str]:
        """Take in entries that were written.

        An entry of an earlier start than the known one changes nothing.

        Returns
        -------
        list of str
            Endpoints that have started again under the name that they had.
        """
        entries = tuple(entries)
        self._believed.update(entry.name for entry in entries)
        return self._take(entries, is_written=True)

    def withhold_reported(self, names: Iterable[str], now: Millis) -> list[str]:
        """Withhold entries that another process knows to be of an older copy.

        Entries that this one has seen written since the store's return, or that have
        outlasted the settling here, are believed all the same.

        Returns
        -------
        list of str
            Endpoints that were in use until now.
        """
        until = now + self.policy.told
        taken = []
        for name in names:
            known = self._withheld.get(name)
            if known is not None and known.told_until is not None:
                self._withheld[name] = replace(known, told_until=until)
            entry = self._entries.get(name)
            if entry is None or entry.leaving or name in self._believed:
                continue
            self._forget(name)
            self._withheld[name] = _Withheld(entry, is_written=False, told_until=until)
            taken.append(name)
        return taken

    def _take(self, entries: Iterable[EndpointEntry], *, is_written: bool) -> list[str]:
        restarted = []
        for entry in entries:
            known = self._entries.get(entry.name)
            if known is not None and 0 < entry.started_at_ms < known.started_at_ms:
                continue
            is_credible = self.departures.is_credible(entry, is_written=is_written)
            if not (entry.leaving or is_credible):
                self._withheld[entry.name] = _Withheld(entry, is_written)
                continue
            if known is not None and 0 < known.started_at_ms < entry.started_at_ms:
                restarted.append(entry.name)
            self._use(entry)
        return restarted

    def _use(self, entry: EndpointEntry) -> None:
        self._entries[entry.name] = entry
        self._lapsed_until.pop(entry.name, None)
        self._withheld.pop(entry.name, None)
        if entry.leaving:
            self.departures.note(entry)
        else:
            self.departures.forget(entry.name)

    def drop(self, names: Iterable[str]) -> None:
        """Forget entries that name no endpoint to use any more."""
        for name in names:
            self._withheld.pop(name, None)
            if name in self._entries:
                self._forget(name)

    def remove(
        self, names: Iterable[str], now: Millis, known_at: Millis | None = None
    ) -> None:
        """Take in entries that were removed at one time.

        Parameters
        ----------
        names : iterable of str
        now : int
        known_at : int, optional
            When they were last known to be there; by default now.
        """
        removed = tuple(names)
        for name in removed:
            self._withheld.pop(name, None)
        gone = [name for name in removed if name in self._entries]
        since = now if known_at is None else known_at
        trusted = {name: self._trusted_until(name, gone, now, since) for name in gone}
        for name, until in trusted.items():
            self.departures.note(self._entries[name])
            if until <= now:
                self._forget(name)
            else:
                self._lapsed_until.setdefault(name, until)

    def tick(self, now: Millis) -> list[str]:
        """Drop entries that are trusted no longer, and use those that have proved true.

        Returns
        -------
        list of str
            Endpoints that were dropped or are used again.
        """
        over = [name for name, until in self._lapsed_until.items() if until <= now]
        for name in over:
            self._forget(name)
        if self.departures.is_settling and now >= self._settled_at:
            self.departures.settled()
        proved = [each for each in self._withheld.values() if self._is_over(each, now)]
        for each in proved:
            self._use(each.entry)
            if each.told_until is None:
                self._believed.add(each.entry.name)
        return over + [each.entry.name for each in proved]

    def _is_over(self, withheld: _Withheld, now: Millis) -> bool:
        if withheld.told_until is not None:
            return withheld.told_until <= now
        return self.departures.is_credible(
            withheld.entry, is_written=withheld.is_written
        )

    def _trusted_until(
        self, name: str, gone: list[str], now: Millis, since: Millis
    ) -> Millis:
        # What goes wrong without: the store was away for longer than three
        # heartbeats, every entry has lapsed, and on its return each node drops
        # all endpoints at once. Seen as refusals for want of endpoints for the
        # two seconds until the engines have written themselves in again.
        entry = self._entries[name]
        if entry.leaving:
            return now
        held = sum(
            1 for each in self._entries.values() if each.service == entry.service
        )
        lost = sum(1 for each in gone if self._entries[each].service == entry.service)
        in_numbers = lost > 1 and lost >= self.policy.mass_share * held
        if now < self._trust_until and (in_numbers or lost == held):
            return self._trust_until
        if in_numbers:
            return since + self.policy.after_mass_removal
        return now

    def _forget(self, name: str) -> None:
        del self._entries[name]
        self._lapsed_until.pop(name, None)
        self._believed.discard(name)
