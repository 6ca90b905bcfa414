"""Of processes that start together, few fetch all sections from the platform.

Guards against overload of the platform when 390 nodes start at once: each sees
the head within a second while nobody holds its sections, and all fetch every
section from the platform instead of from the first peer that has them. That makes
55,826 reads in one second, most of which are refused, and all nodes wait longer.
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

DATA_CENTRE = "fukuoka-hall"
HEAD = build_next_head(NO_HEAD, "e1", {"service/a": "some-hash"})
HEAD_POLLED = PlatformPolled(HEAD.head_id, 1)
EARLY_MS = 400
"""A fetch up to this time starts before a peer could announce the head."""
MAX_DELAY_MS = 7_000


def start_follower(n_peers, jitter, policy=None):
    follower = create_follower("c0", DATA_CENTRE, policy)
    follower.handle(Tick(frozenset(["c0"]), jitter, n_peers), 0)
    return follower


def find_fetch_time(n_peers, jitter, policy=None):
    """Return when a process fetches from the platform a head that it polled at 0."""
    follower = start_follower(n_peers, jitter, policy)
    actions = follower.handle(HEAD_POLLED, 0)
    for now in range(0, MAX_DELAY_MS, 100):
        tick = Tick(frozenset(["c0"]), jitter, n_peers)
        actions += follower.handle(tick, now)
        if any(isinstance(action, FetchHead) for action in actions):
            return now
    return None


def check_few_fetch_early(n_processes, policy=None):
    fetch_times = [
        find_fetch_time(n_processes - 1, number / n_processes, policy)
        for number in range(n_processes)
    ]
    assert None not in fetch_times, "a process never fetched"
    n_early = sum(fetch_time <= EARLY_MS for fetch_time in fetch_times)
    assert n_early <= 3, (
        f"{n_early} of {n_processes} fetched before a peer could announce the head"
    )
    assert fetch_times[0] == 0, "no process fetched immediately"


@pytest.mark.parametrize("n_processes", [7, 39, 390])
def test_few_of_many_processes_fetch_before_first_announcement(n_processes):
    check_few_fetch_early(n_processes)


def test_without_delay_all_processes_fetch_early():
    with pytest.raises(AssertionError, match="390 of 390"):
        check_few_fetch_early(390, FollowerPolicy(first_fetch_scale_ms=0))


@pytest.mark.parametrize("n_peers", [0, 5])
def test_single_process_and_small_site_fetch_immediately(n_peers):
    assert find_fetch_time(n_peers, 0.99) == 0


def test_peer_with_head_is_asked_during_delay():
    follower = start_follower(389, 0.5)
    assert not any(
        isinstance(action, FetchHead) for action in follower.handle(HEAD_POLLED, 0)
    )
    (fetch,) = follower.handle(
        AnnouncementReceived(HEAD.head_id, Peer("c9"), None), 300
    )
    assert isinstance(fetch, FetchHead)
    assert fetch.source == Peer("c9")


def test_repeated_polls_do_not_postpone_fetch():
    follower = start_follower(389, 0.5)
    fetches = []
    for now in range(0, MAX_DELAY_MS, 100):
        actions = follower.handle(HEAD_POLLED, now)
        actions += follower.handle(Tick(frozenset(["c0"]), 0.5, 389), now)
        fetches += [
            (now, action.source) for action in actions if isinstance(action, FetchHead)
        ]
    assert fetches[0] == (5_300, Platform())
