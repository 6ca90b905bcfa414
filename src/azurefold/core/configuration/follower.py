"""Follows the accepted configuration from the platform or a peer.

A follower applies newer revisions only; it never returns to an older one.
"""

from collections.abc import Iterable

from azurefold.core.clock import Millis
from azurefold.core.configuration.first_fetch import FirstFetchDelay
from azurefold.core.configuration.head import (
    NO_HEAD,
    Head,
    HeadId,
    is_descendant_of,
)
from azurefold.core.configuration.lineage import Lineage
from azurefold.core.configuration.messages import (
    Action,
    Alarm,
    AlarmKind,
    Announce,
    AnnouncementReceived,
    Apply,
    Event,
    FetchFailed,
    FetchHead,
    FetchSections,
    HeadFetched,
    Platform,
    PlatformPolled,
    PollFailed,
    PollNow,
    SectionsFetched,
    Source,
    Tick,
    WriteBack,
)
from azurefold.core.configuration.schedule import FollowerPolicy, PollSchedule
from azurefold.core.configuration.sections import Sections, content_hash

__all__ = ["Follower", "FollowerPolicy", "create_follower"]


class Follower:
    """Keeps one process on the newest accepted configuration.

    It does no I/O: :meth:`handle` takes one event and returns the actions that the
    caller must perform. The results of these actions come back as events.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of this process.
    policy : FollowerPolicy
        Intervals and timeouts.
    """

    def __init__(self, name: str, data_centre: str, policy: FollowerPolicy) -> None:
        self._policy = policy
        self._schedule = PollSchedule(name, data_centre, policy)
        self._first_fetch = FirstFetchDelay(policy.first_fetch_scale_ms)
        self._lineage = Lineage()
        self._head = NO_HEAD
        self._head_id = NO_HEAD.head_id
        self._contents: dict[str, bytes] = {}  # by section hash
        # Newer head that each source offered last; removed if a fetch there fails.
        self._offers: dict[Source, HeadId] = {}
        # Fetched head whose sections are not all held yet.
        self._pending_head: Head | None = None
        self._fetch_source: Source | None = None  # None if no fetch is running
        self._fetch_started_at: Millis = 0
        self._alarms: set[Alarm] = set()

    @property
    def head(self) -> Head:
        """The active head; :data:`NO_HEAD` before the first one is applied."""
        return self._head

    @property
    def sections(self) -> Sections:
        """Section contents of the active head, by section name."""
        return {
            name: self._contents[section_hash]
            for name, section_hash in self._head.sections.items()
        }

    @property
    def alarms(self) -> frozenset[Alarm]:
        """All alarms raised since this process started."""
        return frozenset(self._alarms)

    def get_contents(self, hashes: Iterable[str]) -> dict[str, bytes]:
        """Return the requested contents that this process holds, by hash."""
        return {
            section_hash: self._contents[section_hash]
            for section_hash in hashes
            if section_hash in self._contents
        }

    def age_ms(self, now: Millis) -> Millis | None:
        """Return the time since the last confirmation by the platform, or ``None``.

        A confirmation is a poll, here or at a peer, that showed nothing newer
        than the active head.
        """
        return self._schedule.age_ms(now)

    def handle(self, event: Event, now: Millis) -> list[Action]:
        """Return the actions that follow from ``event`` at ``now``."""
        match event:
            case AnnouncementReceived():
                return self._on_announcement(event, now)
            case PlatformPolled():
                return self._on_polled(event, now)
            case PollFailed():
                return []
            case HeadFetched(head=head, source=source):
                return self._on_head_fetched(head, source, now)
            case SectionsFetched(contents=contents, source=source):
                return self._on_sections_fetched(contents, source, now)
            case FetchFailed(source=source):
                return self._on_fetch_failed(source, now)
            case Tick():
                return self._on_tick(event, now)

    def _on_announcement(
        self, event: AnnouncementReceived, now: Millis
    ) -> list[Action]:
        head_id = event.head_id
        if event.age_ms is not None:
            self._record_confirmation(head_id, now - event.age_ms)
        if head_id.revision == self._head_id.revision and head_id != self._head_id:
            return self._raise_alarm(AlarmKind.FORKED, head_id)
        return self._record_offer(event.peer, head_id, now)

    def _on_polled(self, event: PlatformPolled, now: Millis) -> list[Action]:
        head_id = event.head_id if event.head_id is not None else NO_HEAD.head_id
        self._record_confirmation(head_id, now)
        actions: list[Action] = []
        if head_id.revision > self._head_id.revision:
            actions += self._on_newer_platform_head(head_id, now)
        elif head_id != self._head_id:
            actions += self._on_older_or_forked_head(head_id, event.row_version)
        return [*actions, Announce(self._head_id, self.age_ms(now))]

    def _on_newer_platform_head(self, head_id: HeadId, now: Millis) -> list[Action]:
        if self._head is NO_HEAD:
            self._first_fetch.defer(head_id, now)
            return self._start_due_first_fetch(now)
        return self._record_offer(Platform(), head_id, now)

    def _start_due_first_fetch(self, now: Millis) -> list[Action]:
        head_id = self._first_fetch.take_due(now)
        return [] if head_id is None else self._record_offer(Platform(), head_id, now)

    def _record_confirmation(self, head_id: HeadId, confirmed_at: Millis) -> None:
        # A process that is behind must not report itself as up to date. It may
        # be unable to fetch the newer head, while its announcements keep all
        # others from polling: the edit would take effect nowhere and nobody
        # would poll.
        if head_id.revision <= self._head_id.revision:
            self._schedule.record_confirmation(confirmed_at)

    def _on_older_or_forked_head(
        self, head_id: HeadId, row_version: int | None
    ) -> list[Action]:
        # A store restored from an older copy shows an older head. Following it
        # would revert an accepted configuration without any notice. The held
        # head is kept. If the platform's head is a known ancestor, writing the
        # held head back over it loses no edit. If it is not, its edit was
        # accepted on another branch, and an operator must decide.
        if not self._lineage.is_ancestor(head_id, self._head):
            return self._raise_alarm(AlarmKind.FORKED, head_id)
        actions = self._raise_alarm(AlarmKind.RESTORED, head_id)
        return [*actions, WriteBack(self._head, self.sections, row_version)]

    def _record_offer(
        self, source: Source, head_id: HeadId, now: Millis
    ) -> list[Action]:
        if head_id.revision <= self._head.revision:
            self._offers.pop(source, None)
            return []
        self._offers[source] = head_id
        if self._fetch_source is not None:
            return []
        return self._fetch_newest_offer(now)

    def _fetch_newest_offer(
        self, now: Millis, excluded: Source | None = None
    ) -> list[Action]:
        offers = {
            candidate: head_id
            for candidate, head_id in self._offers.items()
            if candidate != excluded
        } or self._offers
        if not offers:
            self._fetch_source = None
            return []
        source = max(offers, key=lambda candidate: offers[candidate].revision)
        self._fetch_source, self._fetch_started_at = source, now
        self._pending_head = None
        return [FetchHead(source, offers[source], self._head_id.digest)]

    def _on_head_fetched(self, head: Head, source: Source, now: Millis) -> list[Action]:
        offer = self._offers.get(source)
        if offer is not None and _has_digest_mismatch(head, offer):
            actions = self._raise_alarm(AlarmKind.DAMAGED, offer)
            return actions + self._on_fetch_failed(source, now)
        if head.revision <= self._head.revision:
            return (
                self._on_fetch_failed(source, now)
                if source == self._fetch_source
                else []
            )
        # A head that is at least as new is pending already.
        if (
            self._pending_head is not None
            and head.revision <= self._pending_head.revision
        ):
            return []
        self._pending_head = head
        return self._apply_or_fetch_sections(source, now)

    def _apply_or_fetch_sections(self, source: Source, now: Millis) -> list[Action]:
        missing = set(self._pending_head.sections.values()) - self._contents.keys()
        if not missing:
            return self._apply_pending_head(now)
        self._fetch_source, self._fetch_started_at = source, now
        return [FetchSections(source, tuple(sorted(missing)))]

    def _on_sections_fetched(
        self, contents: dict[str, bytes], source: Source, now: Millis
    ) -> list[Action]:
        # Content that does not match its hash would be applied to a revision it
        # does not belong to, and one revision would have two contents.
        intact = {
            section_hash: data
            for section_hash, data in contents.items()
            if content_hash(data) == section_hash
        }
        # Contents are kept even if they arrive after another source was asked.
        # Otherwise a platform slower than the timeout could never be followed.
        self._contents.update(intact)
        if self._pending_head is None:
            return []
        if self._has_all_sections(self._pending_head):
            return self._apply_pending_head(now)
        return self._on_fetch_failed(source, now)

    def _has_all_sections(self, head: Head) -> bool:
        return all(
            section_hash in self._contents for section_hash in head.sections.values()
        )

    def _apply_pending_head(self, now: Millis) -> list[Action]:
        head, self._pending_head, self._fetch_source = self._pending_head, None, None
        actions: list[Action] = []
        head_id = head.head_id
        if not (is_descendant_of(head, self._head_id) or self._is_beyond_chain(head)):
            actions += self._raise_alarm(AlarmKind.LINE_REPLACED, head_id)
        self._head, self._head_id = head, head_id
        self._lineage.record(head)
        self._contents = {
            section_hash: self._contents[section_hash]
            for section_hash in set(head.sections.values())
        }
        offers = self._offers.items()
        self._offers = {
            source: offer
            for source, offer in offers
            if offer.revision > head_id.revision
        }
        actions.append(Apply(head, self.sections))
        actions.append(Announce(head_id, self.age_ms(now)))
        return actions + self._fetch_newest_offer(now)

    def _is_beyond_chain(self, head: Head) -> bool:
        # A chain lists a limited number of edits, and none after skipped revisions.
        # The head may still be built upon the active one, so it raises no alarm.
        return head.revision - self._head.revision > len(head.chain)

    def _on_fetch_failed(self, source: Source, now: Millis) -> list[Action]:
        if source != self._fetch_source:
            return []
        self._offers.pop(source, None)
        if self._pending_head is None:
            return self._fetch_newest_offer(now, excluded=source)
        other_sources = [
            candidate
            for candidate, head_id in self._offers.items()
            if head_id.revision >= self._pending_head.revision
        ]
        if other_sources:
            return self._apply_or_fetch_sections(other_sources[0], now)
        return self._fetch_newest_offer(now, excluded=source)

    def _on_tick(self, tick: Tick, now: Millis) -> list[Action]:
        self._first_fetch.draw_delay(tick)
        actions = self._start_due_first_fetch(now)
        if self._fetch_source is not None and self._is_fetch_overdue(now):
            actions += self._on_fetch_failed(self._fetch_source, now)
        if self._schedule.is_due(tick, now):
            actions.append(PollNow())
        return actions

    def _is_fetch_overdue(self, now: Millis) -> bool:
        return now - self._fetch_started_at >= self._policy.fetch_timeout_ms

    def _raise_alarm(self, kind: AlarmKind, received: HeadId) -> list[Action]:
        alarm = Alarm(kind, self._head_id, received)
        if alarm in self._alarms:
            return []
        self._alarms.add(alarm)
        return [alarm]


def create_follower(
    name: str, data_centre: str, policy: FollowerPolicy | None = None
) -> Follower:
    """Return a follower without a configuration.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of this control process.
    policy : FollowerPolicy, optional
        Intervals and timeouts.
    """
    return Follower(name, data_centre, policy or FollowerPolicy())


def _has_digest_mismatch(head: Head, offer: HeadId) -> bool:
    # A source may return a newer head than it offered; that one has another digest.
    if head.revision != offer.revision or head.edit_id != offer.edit_id:
        return False
    return head.head_id.digest != offer.digest
