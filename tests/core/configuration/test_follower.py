"""When a follower looks, whom it asks, and what it takes for fresh."""

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

HALL = "fukuoka-hall"
LIVE = frozenset(f"c{number}" for number in range(6))
POLLERS = choose_pollers(LIVE, HALL)
OTHERS = sorted(LIVE - set(POLLERS))
CONTENT = b"{}"
FIRST = build_next_head(NO_HEAD, "e1", {"service/a": content_hash(CONTENT)})
TICK = Tick(LIVE, 0.0)


def polls(name, until, news=lambda each, now: None):
    each = create_follower(name, HALL)
    looked = []
    for now in range(0, until, 100):
        if PollNow() in each.handle(TICK, now):
            looked.append(now)
            each.handle(PollFailed(), now)
        news(each, now)
    return looked


def test_chosen_pollers_look_each_second():
    assert polls(POLLERS[0], 5_000) == [0, 1_000, 2_000, 3_000, 4_000]


def test_others_look_only_without_news_for_two_seconds():
    def hear(each, now):
        if now < 4_000:
            each.handle(AnnouncementReceived(NO_HEAD.head_id, Peer("c9"), 100), now)

    assert polls(OTHERS[0], 9_000)[:3] == [0, 2_000, 4_000]
    assert polls(OTHERS[0], 7_000, hear) == [0, 5_800]


def test_news_of_old_age_is_not_fresh():
    def hear(each, now):
        each.handle(AnnouncementReceived(NO_HEAD.head_id, Peer("c9"), now + 1), now)

    assert len(polls(OTHERS[0], 9_000, hear)) > 3


def test_one_that_is_behind_does_not_call_itself_fresh():
    """Symptom: an accepted edit is in force nowhere, and nobody looks any more.

    Sequence: a poller sees the new head, cannot fetch its contents, and goes on
    announcing the old head as fresh; the others hear that and stop looking.
    Cause: freshness says "nothing newer than this", which is not so.
    """
    each = create_follower(POLLERS[0], HALL)
    each.handle(PlatformPolled(NO_HEAD.head_id, None), 0)
    actions = each.handle(PlatformPolled(FIRST.head_id, 1), 5_000)
    assert Announce(NO_HEAD.head_id, 5_000) in actions
    each.handle(AnnouncementReceived(FIRST.head_id, Peer("c9"), 0), 6_000)
    assert each.age_ms(6_000) == 6_000


def test_fresh_process_in_an_outage_takes_what_a_peer_holds():
    each = create_follower(OTHERS[0], HALL)
    each.handle(PollFailed(), 0)
    peer = Peer("c9")
    (ask,) = each.handle(AnnouncementReceived(FIRST.head_id, peer, None), 10)
    assert isinstance(ask, FetchHead)
    assert ask.source == peer
    (ask,) = each.handle(HeadFetched(FIRST, peer), 20)
    assert ask == FetchSections(peer, (content_hash(CONTENT),))
    actions = each.handle(SectionsFetched({content_hash(CONTENT): CONTENT}, peer), 30)
    assert actions[0] == Apply(FIRST, {"service/a": CONTENT})
    assert each.get_contents([content_hash(CONTENT), "?"]) == {
        content_hash(CONTENT): CONTENT
    }


@pytest.mark.parametrize("silent", [True, False])
def test_another_source_is_asked_when_one_fails_or_is_silent(silent):
    each = create_follower(OTHERS[0], HALL)
    each.handle(AnnouncementReceived(FIRST.head_id, Peer("c8"), None), 0)
    each.handle(PlatformPolled(FIRST.head_id, 1), 0)
    if silent:
        actions = each.handle(TICK, FollowerPolicy().fetch_timeout_ms)
    else:
        actions = each.handle(FetchFailed(Peer("c8")), 1)
    assert any(isinstance(a, FetchHead) and a.source == Platform() for a in actions)


def test_contents_that_come_after_the_timeout_are_kept():
    """Symptom: with a slow platform a process never follows.

    Sequence: contents take longer than the timeout, another source is asked,
    the contents come and are thrown away, and so on for ever.
    Cause: contents are named by their hash, so they are good whenever they come.
    """
    each = create_follower(OTHERS[0], HALL)
    hashed = content_hash(CONTENT)
    each.handle(PlatformPolled(FIRST.head_id, 1), 0)
    each.handle(HeadFetched(FIRST, Platform()), 10)
    each.handle(AnnouncementReceived(FIRST.head_id, Peer("c8"), None), 20)
    (ask,) = [a for a in each.handle(TICK, 600) if isinstance(a, FetchSections)]
    assert ask.source == Peer("c8")
    each.handle(FetchFailed(Peer("c8")), 700)
    each.handle(AnnouncementReceived(FIRST.head_id, Peer("c7"), None), 800)
    each.handle(SectionsFetched({hashed: CONTENT}, Platform()), 900)
    actions = each.handle(HeadFetched(FIRST, Peer("c7")), 1_000)
    assert isinstance(actions[0], Apply)


def test_self_polls_are_spread():
    """Symptom: at an outage's end the platform is hit by all at one moment.

    Sequence: news stops for all at once, all wait the same time, all look.
    Cause: each draws its own wait from two to four seconds.
    """
    due = []
    for jitter in (0.0, 0.25, 0.5, 0.75):
        schedule = PollSchedule(OTHERS[0], HALL, FollowerPolicy())
        schedule.record_confirmation(0)
        tick = Tick(LIVE, jitter)
        due.append(next(at for at in range(0, 9_000, 100) if schedule.is_due(tick, at)))
    assert due == [2_000, 2_500, 3_000, 3_500]
