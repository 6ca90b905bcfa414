"""A control process's view of the endpoints and controls of its data centre.

The directory does no input or output: it takes messages and the time as arguments and
returns the messages to send. Its parts are in modules of their own: records and their
join, failure detection, gossip with its rate limit, and buckets for anti-entropy.
"""

from collections.abc import Iterable
from dataclasses import replace

from azurefold.core.clock import Millis
from azurefold.core.membership.controls import Controls
from azurefold.core.membership.endpoints import Endpoint, State, join
from azurefold.core.membership.failure_detector import FailureDetector
from azurefold.core.membership.gossip import Gossip
from azurefold.core.membership.messages import (
    SKIP_CONTROL_LIST,
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
from azurefold.core.membership.ownership import OwnershipTracker
from azurefold.core.membership.snapshot import SnapshotEntry, build_snapshot
from azurefold.core.membership.tombstones import Tombstones
from azurefold.core.membership.vm_list import ListedVm, VmList, record_from_vm

__all__ = ["Directory"]


class Directory:
    """The records that one control process holds, and the messages that update them.

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
        self._failure_detector = FailureDetector(self._timing, now)
        self._ownership = OwnershipTracker(
            own, self._controls, self._failure_detector, self._timing.owner_count
        )
        self._gossip = Gossip(self._records, self._controls, self._timing, now)
        self._vm_list = VmList()
        self._tombstones = Tombstones(self._timing.forget_after_ms)
        self._next_heartbeat_at = now
        self._merge(own, now)

    @property
    def revision(self) -> int:
        """Number that increases whenever the records or the snapshot change."""
        return self._revision

    @property
    def own(self) -> Endpoint:
        """This control's own record."""
        return self._records[self._own_name]

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Datagram addresses of all live controls, including this one."""
        return self._controls.addresses

    def record(self, name: str) -> Endpoint | None:
        """Return the record of ``name``, or None."""
        return self._records.get(name)

    def records(self) -> tuple[Endpoint, ...]:
        """Return all records, for instance for a control that starts."""
        return tuple(self._records.values())

    def snapshot(self) -> tuple[SnapshotEntry, ...]:
        """Return all endpoints with their effective states."""
        return build_snapshot(self._records.values(), self._vm_list, self._loads)

    def update_vms(self, vms: Iterable[ListedVm], now: Millis) -> None:
        """Apply a newly read list of VMs; see :mod:`.vm_list`."""
        before = {entry.record.name: entry.state for entry in self.snapshot()}
        listed = tuple(vms)
        self._vm_list.replace(listed)
        for vm in listed:
            if vm.name not in self._records and not vm.leaving:
                self._merge(record_from_vm(vm), now)
        after = {entry.record.name: entry.state for entry in self.snapshot()}
        self._revision += before != after

    def leave(self, now: Millis) -> None:
        """Announce that this control is about to stop."""
        own = self.own
        changed = replace(own, version=own.version + 1, announced=State.LEAVING)
        self._merge(changed, now)

    def merge(self, records: Iterable[Endpoint], now: Millis) -> None:
        """Merge records from a snapshot of another control."""
        # Controls come first: each new one causes the owners of all records to be
        # recomputed, which is cheap only while there are few records.
        for record in sorted(records, key=lambda record: -record.role):
            self._merge(record, now)
            # Other controls already have it; anti-entropy sends whatever they lack.
            if record.name != self._own_name:
                self._gossip.cancel_update(record.name)

    def receive(self, message: Message, source: Source, now: Millis) -> list[Send]:
        """Process one authenticated message; return the messages to send."""
        self._record_message(source, now)
        match message:
            case Heartbeat():
                return self._on_heartbeat(message, source, now)
            case Announcement():
                return self._on_announcement(message, source, now)
            case Records():
                return self._merge_all(message.records, source, now)
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
        """Return the messages that are due; call it every ``update_interval_ms``.

        Parameters
        ----------
        now : int
            The present time in milliseconds.
        draw : int
            A new random number, not negative, that selects the peer.
        """
        self._controls.publish_if_stable(now)
        sends = self._check_silence(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._timing.heartbeat_interval_ms
            sends += self._send_own_heartbeats()
            self._forget_expired(now)
        return sends + self._gossip.tick(now, draw)

    def _record_message(self, source: Source, now: Millis) -> None:
        """Record a message from a known incarnation, which is no longer silent."""
        known = self._records.get(source.name)
        if known is None or source.incarnation != known.incarnation:
            return
        self._failure_detector.record_message(source.name, now)
        if known.is_silent:
            self._merge(replace(known, silence=known.silence + 1), now)

    def _on_heartbeat(
        self, heartbeat: Heartbeat, source: Source, now: Millis
    ) -> list[Send]:
        known = self._records.get(source.name)
        is_known = known is not None and known.incarnation >= source.incarnation
        if is_known and known.incarnation == source.incarnation:
            self._loads[source.name] = heartbeat.load
            self._apply_heartbeat(known, heartbeat, now)
        is_list_stale = heartbeat.controls not in (
            SKIP_CONTROL_LIST,
            self._controls.digest,
        )
        if is_known and not is_list_stale and not heartbeat.reply_wanted:
            return []
        controls = self._controls.published if is_list_stale else ()
        return [Send(source.origin, Reply(controls, not is_known))]

    def _apply_heartbeat(
        self, known: Endpoint, heartbeat: Heartbeat, now: Millis
    ) -> None:
        if heartbeat.version <= known.version:
            return
        changed = replace(
            known,
            version=heartbeat.version,
            announced=heartbeat.announced,
            load=heartbeat.load,
        )
        self._merge(changed, now)

    def _on_announcement(
        self, message: Announcement, source: Source, now: Millis
    ) -> list[Send]:
        record = message.record
        # An endpoint may only announce itself, and only in the incarnation that its
        # message was authenticated with.
        if (record.name, record.incarnation) != (source.name, source.incarnation):
            return []
        self._merge(record, now)
        self._record_message(source, now)
        self._loads[record.name] = record.load
        if message.controls in (SKIP_CONTROL_LIST, self._controls.digest):
            return []
        return [Send(source.origin, Reply(self._controls.published))]

    def _on_changes(self, message: Changes, source: Source, now: Millis) -> list[Send]:
        records, unknown = self._gossip.expand_changes(message)
        requests = self._gossip.request_records(unknown, source.origin, now)
        return requests + self._merge_all(records, source, now)

    def _merge_all(
        self, records: Iterable[Endpoint], source: Source, now: Millis
    ) -> list[Send]:
        """Merge a peer's records; return the changes that the peer lacks."""
        newer = []
        for record in records:
            before = self._records.get(record.name)
            held = self._merge(record, now)
            if held is not None and held != record:
                newer.append(held)
            elif held == before:
                self._gossip.record_duplicate(record.name)
        return self._gossip.send_changes(newer, source.origin, now)

    def _merge(self, record: Endpoint, now: Millis) -> Endpoint | None:
        """Join a record with the known one; return the record held afterwards.

        An unknown endpoint that is gone is not added; the result is None.
        """
        known = self._records.get(record.name)
        if known is None and record.state is State.GONE:
            return None
        joined = record if known is None else join(known, record)
        if record.name == self._own_name:
            joined = self._keep_own_record(known, joined)
        elif joined.is_silent and self._has_recent_message(joined, known, now):
            joined = replace(joined, silence=joined.silence + 1)
        if joined == known:
            return joined
        if known is not None:
            self._update_failure_detector(known, joined, now)
        self._store(joined, now)
        return joined

    def _keep_own_record(self, known: Endpoint | None, joined: Endpoint) -> Endpoint:
        if known is not None and joined.incarnation != known.incarnation:
            # Another process uses the same name in another incarnation. Peers already
            # reject this process's messages as stale. It keeps its own record.
            return known
        if joined.is_silent:
            return replace(joined, silence=joined.silence + 1)
        return joined

    def _has_recent_message(
        self, new: Endpoint, old: Endpoint | None, now: Millis
    ) -> bool:
        if old is None or old.incarnation != new.incarnation:
            return False
        return self._failure_detector.has_recent_message(new.name, now)

    def _update_failure_detector(
        self, old: Endpoint, new: Endpoint, now: Millis
    ) -> None:
        name, is_revived = new.name, old.is_silent and not new.is_silent
        if new.incarnation != old.incarnation:
            self._failure_detector.forget(name)
            self._loads.pop(name, None)
        elif is_revived and not self._failure_detector.has_recent_message(name, now):
            self._failure_detector.double_timeout(name)

    def _store(self, joined: Endpoint, now: Millis) -> None:
        self._records[joined.name] = joined
        self._gossip.enqueue(joined)
        self._revision += 1
        self._tombstones.update(joined, now)
        self._ownership.update(joined, self._records.values(), now)

    def _check_silence(self, now: Millis) -> list[Send]:
        silent = self._failure_detector.check(now, self._vm_list.dropped)
        for name in silent.expired:
            record = self._records[name]
            if not record.is_silent:
                self._merge(replace(record, silence=record.silence + 1), now)
        probed = (self._records[name] for name in silent.to_probe)
        return [Send(record.udp_address, Probe()) for record in probed]

    def _send_own_heartbeats(self) -> list[Send]:
        own = self.own
        heartbeat = Heartbeat(own.version, own.announced, own.load, SKIP_CONTROL_LIST)
        owners = self._controls.owners_of_self(own.name, self._timing.owner_count)
        return [Send(owner, heartbeat) for owner in owners]

    def _forget_expired(self, now: Millis) -> None:
        for name in self._tombstones.pop_expired(now):
            del self._records[name]
            self._loads.pop(name, None)
            self._failure_detector.forget(name)
            self._gossip.forget(name)
            self._controls.forget(name)
            self._vm_list.forget(name)
