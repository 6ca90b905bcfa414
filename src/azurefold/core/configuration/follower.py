"""Following the accepted configuration: upward only, from whoever has it."""

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
    """One process's view of the accepted configuration.

    Parameters
    ----------
    name, data_centre : str
        Of this process.
    policy : FollowerPolicy
        Its times.
    """

    def __init__(self, name: str, data_centre: str, policy: FollowerPolicy) -> None:
        self._policy = policy
        self._schedule = PollSchedule(name, data_centre, policy)
        self._first_fetch = FirstFetchDelay(policy.first_fetch_scale_ms)
        self._lineage = Lineage()
        self._head = NO_HEAD
        self._mark = NO_HEAD.head_id
        self._contents: dict[str, bytes] = {}
        self._offers: dict[Source, HeadId] = {}
        self._wanted: Head | None = None
        self._asked: Source | None = None
        self._asked_at: Millis = 0
        self._alarms: set[Alarm] = set()

    @property
    def head(self) -> Head:
        """The head in force here; :data:`NO_HEAD` before the first."""
        return self._head

    @property
    def sections(self) -> Sections:
        """Contents of the head in force, by section name."""
        return {k: self._contents[v] for k, v in self._head.sections.items()}

    @property
    def alarms(self) -> frozenset[Alarm]:
        """All alarms raised since the start."""
        return frozenset(self._alarms)

    def get_contents(self, hashes: Iterable[str]) -> dict[str, bytes]:
        """Return those of the contents asked for that are held, for a peer."""
        return {each: self._contents[each] for each in hashes if each in self._contents}

    def age_ms(self, now: Millis) -> Millis | None:
        """Return how old the last news from the platform is, or ``None``."""
        return self._schedule.age_ms(now)

    def handle(self, event: Event, now: Millis) -> list[Action]:
        """Return what is to be done after ``event`` at ``now``."""
        match event:
            case AnnouncementReceived():
                return self._on_mark(event, now)
            case PlatformPolled():
                return self._on_polled(event, now)
            case PollFailed():
                return []
            case HeadFetched(head=head, source=source):
                return self._on_head(head, source, now)
            case SectionsFetched(contents=contents, source=source):
                return self._on_sections(contents, source, now)
            case FetchFailed(source=source):
                return self._on_fetch_failed(source, now)
            case Tick():
                return self._on_tick(event, now)

    def _on_mark(self, event: AnnouncementReceived, now: Millis) -> list[Action]:
        head_id = event.head_id
        if event.age_ms is not None:
            self._note_fresh(head_id, now - event.age_ms)
        if head_id.revision == self._mark.revision and head_id != self._mark:
            return self._alarm(AlarmKind.FORKED, head_id)
        return self._offered(event.peer, head_id, now)

    def _on_polled(self, event: PlatformPolled, now: Millis) -> list[Action]:
        head_id = event.head_id if event.head_id is not None else NO_HEAD.head_id
        self._note_fresh(head_id, now)
        actions: list[Action] = []
        if head_id.revision > self._mark.revision:
            actions += self._on_higher(head_id, now)
        elif head_id != self._mark:
            actions += self._on_lower(head_id, event.row_version)
        return [*actions, Announce(self._mark, self.age_ms(now))]

    def _on_higher(self, head_id: HeadId, now: Millis) -> list[Action]:
        if self._head is NO_HEAD:
            self._first_fetch.hold(head_id, now)
            return self._release_first_fetch(now)
        return self._offered(Platform(), head_id, now)

    def _release_first_fetch(self, now: Millis) -> list[Action]:
        head_id = self._first_fetch.release(now)
        return [] if head_id is None else self._offered(Platform(), head_id, now)

    def _note_fresh(self, head_id: HeadId, at: Millis) -> None:
        # Whoever is behind must not call itself fresh. Its announcements would
        # keep all the others from looking, while it may be unable to fetch
        # what it has seen: one sees an edit in force nowhere, and no polls.
        if head_id.revision <= self._mark.revision:
            self._schedule.record_confirmation(at)

    def _on_lower(self, head_id: HeadId, row_version: int | None) -> list[Action]:
        # A store restored from an older copy shows a lower head. Following it
        # would take an accepted configuration back, and only the operators'
        # surprise would tell. The held head is kept; if the lower one is a
        # known ancestor no edit is lost by writing the held head back over it.
        # Another line's edit was accepted by someone: only people can decide.
        if not self._lineage.is_ancestor(head_id, self._head):
            return self._alarm(AlarmKind.FORKED, head_id)
        actions = self._alarm(AlarmKind.RESTORED, head_id)
        return [*actions, WriteBack(self._head, self.sections, row_version)]

    def _offered(self, source: Source, head_id: HeadId, now: Millis) -> list[Action]:
        if head_id.revision <= self._head.revision:
            self._offers.pop(source, None)
            return []
        self._offers[source] = head_id
        if self._asked is not None:
            return []
        return self._ask_best(now)

    def _ask_best(self, now: Millis, but: Source | None = None) -> list[Action]:
        offers = {k: v for k, v in self._offers.items() if k != but} or self._offers
        if not offers:
            self._asked = None
            return []
        source = max(offers, key=lambda each: offers[each].revision)
        self._asked, self._asked_at = source, now
        self._wanted = None
        return [FetchHead(source, offers[source], self._mark.digest)]

    def _on_head(self, head: Head, source: Source, now: Millis) -> list[Action]:
        offer = self._offers.get(source)
        if offer is not None and _is_damaged(head, offer):
            actions = self._alarm(AlarmKind.DAMAGED, offer)
            return actions + self._on_fetch_failed(source, now)
        if head.revision <= self._head.revision:
            return self._on_fetch_failed(source, now) if source == self._asked else []
        if self._wanted is not None and head.revision <= self._wanted.revision:
            return []
        self._wanted = head
        return self._apply_or_fetch(source, now)

    def _apply_or_fetch(self, source: Source, now: Millis) -> list[Action]:
        missing = set(self._wanted.sections.values()) - self._contents.keys()
        if not missing:
            return self._apply(now)
        self._asked, self._asked_at = source, now
        return [FetchSections(source, tuple(sorted(missing)))]

    def _on_sections(
        self, contents: dict[str, bytes], source: Source, now: Millis
    ) -> list[Action]:
        # A content under a wrong hash would be applied as part of a revision
        # it does not belong to: two contents under one number.
        whole = {k: v for k, v in contents.items() if content_hash(v) == k}
        # Kept even if they come after another source has been asked. Thrown
        # away, a platform slower than the timeout would never be followed.
        self._contents.update(whole)
        if self._wanted is None:
            return []
        if self._is_complete(self._wanted):
            return self._apply(now)
        return self._on_fetch_failed(source, now)

    def _is_complete(self, head: Head) -> bool:
        return all(each in self._contents for each in head.sections.values())

    def _apply(self, now: Millis) -> list[Action]:
        head, self._wanted, self._asked = self._wanted, None, None
        actions: list[Action] = []
        head_id = head.head_id
        if not (is_descendant_of(head, self._mark) or self._too_far_to_tell(head)):
            actions += self._alarm(AlarmKind.LINE_REPLACED, head_id)
        self._head, self._mark = head, head_id
        self._lineage.record(head)
        self._contents = {k: self._contents[k] for k in set(head.sections.values())}
        offers = self._offers.items()
        self._offers = {k: v for k, v in offers if v.revision > head_id.revision}
        actions.append(Apply(head, self.sections))
        actions.append(Announce(head_id, self.age_ms(now)))
        return actions + self._ask_best(now)

    def _too_far_to_tell(self, head: Head) -> bool:
        return head.revision - self._head.revision > len(head.chain)

    def _on_fetch_failed(self, source: Source, now: Millis) -> list[Action]:
        if source != self._asked:
            return []
        self._offers.pop(source, None)
        if self._wanted is None:
            return self._ask_best(now, but=source)
        others = [
            each
            for each, head_id in self._offers.items()
            if head_id.revision >= self._wanted.revision
        ]
        if others:
            return self._apply_or_fetch(others[0], now)
        return self._ask_best(now, but=source)

    def _on_tick(self, tick: Tick, now: Millis) -> list[Action]:
        self._first_fetch.draw(tick)
        actions = self._release_first_fetch(now)
        if self._asked is not None and self._fetch_is_overdue(now):
            actions += self._on_fetch_failed(self._asked, now)
        if self._schedule.is_due(tick, now):
            actions.append(PollNow())
        return actions

    def _fetch_is_overdue(self, now: Millis) -> bool:
        return now - self._asked_at >= self._policy.fetch_timeout_ms

    def _alarm(self, kind: AlarmKind, heard: HeadId) -> list[Action]:
        alarm = Alarm(kind, self._mark, heard)
        if alarm in self._alarms:
            return []
        self._alarms.add(alarm)
        return [alarm]


def create_follower(
    name: str, data_centre: str, policy: FollowerPolicy | None = None
) -> Follower:
    """Return a follower that holds nothing yet.

    Parameters
    ----------
    name, data_centre : str
        Of the control process that it is part of.
    policy : FollowerPolicy, optional
        Its times.
    """
    return Follower(name, data_centre, policy or FollowerPolicy())


def _is_damaged(head: Head, offer: HeadId) -> bool:
    if head.revision != offer.revision or head.edit_id != offer.edit_id:
        return False
    return head.head_id.digest != offer.digest
