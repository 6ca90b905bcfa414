"""A control process's view of its data centre: who serves, who leaves.

Pure: messages and the time come in, typed messages to send go out. The parts
it puts together each have a module: records and their join, watches over
silence, rumours and their budget, buckets for repair.
"""

from collections.abc import Iterable
from dataclasses import replace

from azurefold.core.clock import Millis
from azurefold.core.membership.controls import Controls
from azurefold.core.membership.endpoints import Endpoint, State, join
from azurefold.core.membership.failure_detector import Watches
from azurefold.core.membership.gossip import Gossip
from azurefold.core.membership.messages import (
    NO_LIST,
    Announcement,
    Changes,
    Digest,
    Heartbeat,
    Message,
    Probe,
    Records,
    Reply,
    Send,
    Source,
    Summary,
    Timing,
    Want,
)
from azurefold.core.membership.ownership import Responsibility
from azurefold.core.membership.snapshot import Shown, show
from azurefold.core.membership.tombstones import Tombstones
from azurefold.core.membership.vm_list import ListedVm, VmList, record_from_vm

__all__ = ["Directory"]


class Directory:
    """All records that one control process holds.

    Parameters
    ----------
    own : Endpoint
        This control's own record, announced as serving.
    now : int
        The present time in milliseconds.
    seeds : tuple of str
        Datagram addresses of some controls of the data centre.
    timing : Timing
        Intervals and budgets.
    """

    def __init__(
        self,
        own: Endpoint,
        now: Millis,
        seeds: tuple[str, ...] = (),
        timing: Timing | None = None,
    ) -> None:
        self._timing = timing or Timing()
        self._own_name = own.name
        self._records: dict[str, Endpoint] = {}
        self._loads: dict[str, int] = {}
        self._revision = 0
        self._controls = Controls(own.udp_address, seeds)
        self._watches = Watches(self._timing, now)
        self._responsibility = Responsibility(
            own, self._controls, self._watches, self._timing.homes
        )
        self._gossip = Gossip(self._records, self._controls, self._timing, now)
        self._vm_list = VmList()
        self._tombstones = Tombstones(self._timing.forget_after)
        self._heartbeat_at = now
        self._merge(own, now)

    @property
    def revision(self) -> int:
        """Rises with each change that a snapshot would show."""
        return self._revision

    @property
    def own(self) -> Endpoint:
        """This control's own record."""
        return self._records[self._own_name]

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Datagram addresses of all live controls, this one among them."""
        return self._controls.addresses

    def record(self, name: str) -> Endpoint | None:
        """Return what is known of ``name``, or None."""
        return self._records.get(name)

    def records(self) -> tuple[Endpoint, ...]:
        """Return all records, for a control that starts."""
        return tuple(self._records.values())

    def snapshot(self) -> tuple[Shown, ...]:
        """Return all endpoints as the entry process should take them."""
        return show(self._records.values(), self._vm_list, self._loads)

    def update_vms(self, vms: Iterable[ListedVm], now: Millis) -> None:
        """Take a newly read list of VMs; see :mod:`.vm_list`."""
        before = {shown.record.name: shown.state for shown in self.snapshot()}
        listed = tuple(vms)
        self._vm_list.replace(listed)
        for vm in listed:
            if vm.name not in self._records and not vm.leaving:
                self._merge(record_from_vm(vm), now)
        after = {shown.record.name: shown.state for shown in self.snapshot()}
        self._revision += before != after

    def leave(self, now: Millis) -> None:
        """Announce that this control is about to stop."""
        own = self.own
        changed = replace(own, version=own.version + 1, announced=State.LEAVING)
        self._merge(changed, now)

    def merge(self, records: Iterable[Endpoint], now: Millis) -> None:
        """Take records from a snapshot of another control."""
        # Each new control has all responsibilities worked out anew, which is
        # cheap only as long as there are few other records.
        for record in sorted(records, key=lambda record: -record.role):
            self._merge(record, now)
            # The others have it already; what they lack, repair will find.
            if record.name != self._own_name:
                self._gossip.keep_quiet(record.name)

    def receive(self, message: Message, source: Source, now: Millis) -> list[Send]:
        """Take one message whose seal was good; return what to send."""
        self._hear(source, now)
        match message:
            case Heartbeat():
                return self._on_heartbeat(message, source, now)
            case Announcement():
                return self._on_announcement(message, source, now)
            case Records():
                return self._take_all(message.records, source, now)
            case Changes():
                return self._on_changes(message, source, now)
            case Digest():
                return self._gossip.on_digest(message, source.origin, now)
            case Summary():
                return self._gossip.on_summary(message, source.origin, now)
            case Want():
                return self._gossip.on_want(message, source.origin, now)
            case Probe() | Reply(announcement_wanted=True):
                return [Send(source.origin, Announcement(self.own))]
            case Reply():
                return []

    def tick(self, now: Millis, draw: int) -> list[Send]:
        """Do what is due; call it each ``Timing.rumour`` ms.

        Parameters
        ----------
        now : int
            The present time in milliseconds.
        draw : int
            A freshly drawn number, not negative, that chooses the peer.
        """
        self._controls.settle(now)
        sends = self._expire(now)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._timing.heartbeat
            sends += self._own_heartbeats()
            self._forget_gone(now)
        return sends + self._gossip.tick(now, draw)

    def _hear(self, source: Source, now: Millis) -> None:
        known = self._records.get(source.name)
        if known is None or source.incarnation != known.incarnation:
            return
        self._watches.hear(source.name, now)
        if known.is_silent:
            self._merge(replace(known, silence=known.silence + 1), now)

    def _on_heartbeat(self, beat: Heartbeat, source: Source, now: Millis) -> list[Send]:
        known = self._records.get(source.name)
        current = known is not None and known.incarnation >= source.incarnation
        if current and known.incarnation == source.incarnation:
            self._loads[source.name] = beat.load
            self._take_version(known, beat, now)
        stale_list = beat.controls not in (NO_LIST, self._controls.digest)
        if current and not stale_list and not beat.reply_wanted:
            return []
        controls = self._controls.settled if stale_list else ()
        return [Send(source.origin, Reply(controls, not current))]

    def _take_version(self, known: Endpoint, beat: Heartbeat, now: Millis) -> None:
        if beat.version <= known.version:
            return
        changed = replace(
            known, version=beat.version, announced=beat.announced, load=beat.load
        )
        self._merge(changed, now)

    def _on_announcement(
        self, message: Announcement, source: Source, now: Millis
    ) -> list[Send]:
        record = message.record
        # Each endpoint may speak for itself only, in its sealed incarnation.
        if (record.name, record.incarnation) != (source.name, source.incarnation):
            return []
        self._merge(record, now)
        self._hear(source, now)
        self._loads[record.name] = record.load
        if message.controls in (NO_LIST, self._controls.digest):
            return []
        return [Send(source.origin, Reply(self._controls.settled))]

    def _on_changes(self, message: Changes, source: Source, now: Millis) -> list[Send]:
        records, unknown = self._gossip.read(message)
        asked = self._gossip.ask_for(unknown, source.origin, now)
        return asked + self._take_all(records, source, now)

    def _take_all(
        self, records: Iterable[Endpoint], source: Source, now: Millis
    ) -> list[Send]:
        newer = []
        for record in records:
            before = self._records.get(record.name)
            held = self._merge(record, now)
            if held is not None and held != record:
                newer.append(held)
            elif held == before:
                self._gossip.heard_again(record.name)
        return self._gossip.send_changes(newer, source.origin, now)

    def _merge(self, record: Endpoint, now: Millis) -> Endpoint | None:
        known = self._records.get(record.name)
        if known is None and record.state is State.GONE:
            return None
        joined = record if known is None else join(known, record)
        if record.name == self._own_name:
            joined = self._refute_own(known, joined)
        elif joined.is_silent and self._has_evidence(joined, known, now):
            joined = replace(joined, silence=joined.silence + 1)
        if joined == known:
            return joined
        if known is not None:
            self._note_silence(known, joined, now)
        self._put(joined, now)
        return joined

    def _refute_own(self, known: Endpoint | None, joined: Endpoint) -> Endpoint:
        if known is not None and joined.incarnation != known.incarnation:
            # Another process uses this name. Its seals have already made this
            # one's stale elsewhere; this one keeps its own record.
            return known
        if joined.is_silent:
            return replace(joined, silence=joined.silence + 1)
        return joined

    def _has_evidence(self, new: Endpoint, old: Endpoint | None, now: Millis) -> bool:
        if old is None or old.incarnation != new.incarnation:
            return False
        return self._watches.heard_lately(new.name, now)

    def _note_silence(self, old: Endpoint, new: Endpoint, now: Millis) -> None:
        name, revived = new.name, old.is_silent and not new.is_silent
        if new.incarnation != old.incarnation:
            self._watches.forget(name)
            self._loads.pop(name, None)
        elif revived and not self._watches.heard_lately(name, now):
            self._watches.others_hear(name)

    def _put(self, joined: Endpoint, now: Millis) -> None:
        self._records[joined.name] = joined
        self._gossip.spread(joined)
        self._revision += 1
        self._tombstones.note(joined, now)
        self._responsibility.take(joined, self._records.values(), now)

    def _expire(self, now: Millis) -> list[Send]:
        due = self._watches.due(now, self._vm_list.dropped)
        for name in due.expired:
            record = self._records[name]
            if not record.is_silent:
                self._merge(replace(record, silence=record.silence + 1), now)
        probed = (self._records[name] for name in due.probe)
        return [Send(record.udp_address, Probe()) for record in probed]

    def _own_heartbeats(self) -> list[Send]:
        own = self.own
        beat = Heartbeat(own.version, own.announced, own.load, NO_LIST)
        homes = self._controls.own_homes(own.name, self._timing.homes)
        return [Send(home, beat) for home in homes]

    def _forget_gone(self, now: Millis) -> None:
        for name in self._tombstones.take_due(now):
            del self._records[name]
            self._loads.pop(name, None)
            self._watches.forget(name)
            self._gossip.forget(name)
            self._controls.forget(name)
            self._vm_list.forget(name)
