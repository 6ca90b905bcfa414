"""When a follower polls, which source it asks, and what counts as a confirmation."""

import pytest

from azurefold.core.configuration.follower import create_follower
from azurefold.core.configuration.head import NO_HEAD, build_next_head
from azurefold.core.configuration.messages import (
    Announce,
    AnnouncementReceived,
    Apply,
    FetchFailed,
    FetchHead,
    FetchSections,
    HeadFetched,
    Peer,
    Platform,
    PlatformPolled,
    PollFailed,
    PollNow,
    SectionsFetched,
    Tick,
)
from azurefold.core.configuration.pollers import choose_pollers
from azurefold.core.configuration.schedule import FollowerPolicy, PollSchedule
from azurefold.core.configuration.sections import content_hash

DATA_CENTRE = "fukuoka-hall"
LIVE_CONTROLS = frozenset(f"c{number}" for number in range(6))
POLLERS = choose_pollers(LIVE_CONTROLS, DATA_CENTRE)
NON_POLLERS = sorted(LIVE_CONTROLS - set(POLLERS))
CONTENT = b"{}"
FIRST_HEAD = build_next_head(NO_HEAD, "e1", {"service/a": content_hash(CONTENT)})
TICK = Tick(LIVE_CONTROLS, 0.0)


def find_poll_times(name, until, deliver=lambda follower, now: None):
    follower = create_follower(name, DATA_CENTRE)
    poll_times = []
    for now in range(0, until, 100):
        if PollNow() in follower.handle(TICK, now):
            poll_times.append(now)
            follower.handle(PollFailed(), now)
        deliver(follower, now)
    return poll_times


def test_chosen_pollers_poll_every_second():
    assert find_poll_times(POLLERS[0], 5_000) == [0, 1_000, 2_000, 3_000, 4_000]


def test_others_poll_only_after_two_seconds_without_confirmation():
    def announce(follower, now):
        if now < 4_000:
            follower.handle(AnnouncementReceived(NO_HEAD.head_id, Peer("c9"), 100), now)

    assert find_poll_times(NON_POLLERS[0], 9_000)[:3] == [0, 2_000, 4_000]
    assert find_poll_times(NON_POLLERS[0], 7_000, announce) == [0, 5_800]


def test_old_announcement_is_not_a_recent_confirmation():
    def announce(follower, now):
        follower.handle(AnnouncementReceived(NO_HEAD.head_id, Peer("c9"), now + 1), now)

    assert len(find_poll_times(NON_POLLERS[0], 9_000, announce)) > 3


def test_process_that_is_behind_does_not_confirm_its_head():
    """Guards against an accepted edit that takes effect nowhere while nobody polls.

    A poller sees the new head, cannot fetch its contents and keeps announcing the
    old head as confirmed, so the others stop polling. A confirmation means that
    nothing newer exists, which does not hold here.
    """
    follower = create_follower(POLLERS[0], DATA_CENTRE)
    follower.handle(PlatformPolled(NO_HEAD.head_id, None), 0)
    actions = follower.handle(PlatformPolled(FIRST_HEAD.head_id, 1), 5_000)
    assert Announce(NO_HEAD.head_id, 5_000) in actions
    follower.handle(AnnouncementReceived(FIRST_HEAD.head_id, Peer("c9"), 0), 6_000)
    assert follower.age_ms(6_000) == 6_000


def test_new_process_fetches_from_peer_during_outage():
    follower = create_follower(NON_POLLERS[0], DATA_CENTRE)
    follower.handle(PollFailed(), 0)
    peer = Peer("c9")
    (fetch,) = follower.handle(AnnouncementReceived(FIRST_HEAD.head_id, peer, None), 10)
    assert isinstance(fetch, FetchHead)
    assert fetch.source == peer
    (fetch,) = follower.handle(HeadFetched(FIRST_HEAD, peer), 20)
    assert fetch == FetchSections(peer, (content_hash(CONTENT),))
    actions = follower.handle(
        SectionsFetched({content_hash(CONTENT): CONTENT}, peer), 30
    )
    assert actions[0] == Apply(FIRST_HEAD, {"service/a": CONTENT})
    assert follower.get_contents([content_hash(CONTENT), "?"]) == {
        content_hash(CONTENT): CONTENT
    }


@pytest.mark.parametrize("is_silent", [True, False])
def test_another_source_is_asked_after_failure_or_timeout(is_silent):
    follower = create_follower(NON_POLLERS[0], DATA_CENTRE)
    follower.handle(AnnouncementReceived(FIRST_HEAD.head_id, Peer("c8"), None), 0)
    follower.handle(PlatformPolled(FIRST_HEAD.head_id, 1), 0)
    if is_silent:
        actions = follower.handle(TICK, FollowerPolicy().fetch_timeout_ms)
    else:
        actions = follower.handle(FetchFailed(Peer("c8")), 1)
    assert any(
        isinstance(action, FetchHead) and action.source == Platform()
        for action in actions
    )


def test_contents_that_arrive_after_timeout_are_kept():
    """Guards against a process that never catches up with a slow platform.

    Contents take longer than the timeout, another source is asked, and the late
    contents are discarded, again and again. They are identified by their hash, so
    they are valid whenever they arrive.
    """
    follower = create_follower(NON_POLLERS[0], DATA_CENTRE)
    section_hash = content_hash(CONTENT)
    follower.handle(PlatformPolled(FIRST_HEAD.head_id, 1), 0)
    follower.handle(HeadFetched(FIRST_HEAD, Platform()), 10)
    follower.handle(AnnouncementReceived(FIRST_HEAD.head_id, Peer("c8"), None), 20)
    (fetch,) = [
        action
        for action in follower.handle(TICK, 600)
        if isinstance(action, FetchSections)
    ]
    assert fetch.source == Peer("c8")
    follower.handle(FetchFailed(Peer("c8")), 700)
    follower.handle(AnnouncementReceived(FIRST_HEAD.head_id, Peer("c7"), None), 800)
    follower.handle(SectionsFetched({section_hash: CONTENT}, Platform()), 900)
    actions = follower.handle(HeadFetched(FIRST_HEAD, Peer("c7")), 1_000)
    assert isinstance(actions[0], Apply)


def test_polls_after_stale_confirmation_are_spread():
    """Guards against all processes polling the platform at once after an outage.

    Announcements stop for all at the same time. If all waited equally long, they
    would poll together, so each draws its own delay from two to four seconds.
    """
    due_times = []
    for jitter in (0.0, 0.25, 0.5, 0.75):
        schedule = PollSchedule(NON_POLLERS[0], DATA_CENTRE, FollowerPolicy())
        schedule.record_confirmation(0)
        tick = Tick(LIVE_CONTROLS, jitter)
        due_times.append(
            next(now for now in range(0, 9_000, 100) if schedule.is_due(tick, now))
        )
    assert due_times == [2_000, 2_500, 3_000, 3_500]
