"""Processes that start together do not all read the whole configuration.

Symptom: 390 nodes start at once; the platform is asked for 55,826 reads in one
second, refuses most, and all wait longer for their configuration.
Sequence: each sees the head within a second, and nobody holds its sections yet.
Cause: each asks the platform for all of them; one reader and its peers would do.
"""

import pytest

from azurefold.core.configuration.follower import create_follower
from azurefold.core.configuration.head import NO_HEAD, build_next_head
from azurefold.core.configuration.messages import (
    AnnouncementReceived,
    FetchHead,
    Peer,
    Platform,
    PlatformPolled,
    Tick,
)
from azurefold.core.configuration.schedule import FollowerPolicy

HALL = "fukuoka-hall"
HEAD = build_next_head(NO_HEAD, "e1", {"service/a": "some-hash"})
SEEN = PlatformPolled(HEAD.head_id, 1)
WITHIN_MS = 400
LONGEST_MS = 7_000


def started(n_peers, jitter, policy=None):
    each = create_follower("c0", HALL, policy)
    each.handle(Tick(frozenset(["c0"]), jitter, n_peers), 0)
    return each


def asked_at(n_peers, jitter, policy=None):
    """Return when a process reads from the platform that it saw at 0."""
    each = started(n_peers, jitter, policy)
    actions = each.handle(SEEN, 0)
    for now in range(0, LONGEST_MS, 100):
        tick = Tick(frozenset(["c0"]), jitter, n_peers)
        actions += each.handle(tick, now)
        if any(isinstance(one, FetchHead) for one in actions):
            return now
    return None


def check_few_ask_early(n, policy=None):
    moments = [asked_at(n - 1, number / n, policy) for number in range(n)]
    assert None not in moments, "one never asked"
    early = sum(at <= WITHIN_MS for at in moments)
    assert early <= 3, f"{early} of {n} asked before anybody could tell them"
    assert moments[0] == 0, "nobody asked at once"


@pytest.mark.parametrize("n", [7, 39, 390])
def test_of_many_few_read_before_the_first_can_tell(n):
    check_few_ask_early(n)


def test_without_the_wait_all_read_at_once():
    with pytest.raises(AssertionError, match="390 of 390"):
        check_few_ask_early(390, FollowerPolicy(first_fetch_scale_ms=0))


@pytest.mark.parametrize("n_peers", [0, 5])
def test_a_lone_process_and_a_small_site_read_at_once(n_peers):
    assert asked_at(n_peers, 0.99) == 0


def test_a_peer_that_holds_the_head_is_asked_meanwhile():
    each = started(389, 0.5)
    assert not any(isinstance(one, FetchHead) for one in each.handle(SEEN, 0))
    (ask,) = each.handle(AnnouncementReceived(HEAD.head_id, Peer("c9"), None), 300)
    assert isinstance(ask, FetchHead)
    assert ask.source == Peer("c9")


def test_further_looks_do_not_put_the_read_off():
    each = started(389, 0.5)
    asked = []
    for now in range(0, LONGEST_MS, 100):
        actions = each.handle(SEEN, now)
        actions += each.handle(Tick(frozenset(["c0"]), 0.5, 389), now)
        asked += [(now, a.source) for a in actions if isinstance(a, FetchHead)]
    assert asked[0] == (5_300, Platform())
