"""One node coordinates; another takes over when its beats stop."""

import pytest

from azurefold.core.groups.leadership import LeaderHeartbeat, Leadership


@pytest.fixture
def second():
    leadership = Leadership("n2", position=1)
    leadership.start(now=0)
    return leadership


def test_a_node_waits_for_silence_and_its_turn(second):
    policy = second.policy
    second.on_heartbeat(LeaderHeartbeat("n1", 1), now=0)
    turn = policy.heartbeat_timeout + policy.stagger
    assert not second.should_take_over(turn - 1)
    assert second.should_take_over(turn)


def test_beats_keep_a_node_from_taking_over(second):
    for now in range(0, 20_000, 500):
        second.on_heartbeat(LeaderHeartbeat("n1", 4), now)
        assert not second.should_take_over(now + 500)


def test_a_beat_of_an_older_term_does_not_count(second):
    second.on_heartbeat(LeaderHeartbeat("n1", 7), now=0)
    second.on_heartbeat(LeaderHeartbeat("n3", 5), now=10_000)
    assert second.should_take_over(10_000)


def test_a_holder_that_hears_a_higher_term_stops(second):
    second.on_row_acquired(5, asked_at=0)
    assert second.is_leader
    assert second.on_heartbeat(LeaderHeartbeat("n1", 6), now=100)
    assert not second.is_leader


def test_a_holder_out_of_touch_with_store_and_peers_begins_no_change():
    """Two coordinators change one group and stand in each other's way.

    The holder is cut off or stood still for seconds, and another took the row.
    Its confirmation is old by then, on a clock that goes on during a pause, and
    it hears few of its peers.
    """
    leadership = Leadership("n1")
    leadership.on_row_acquired(3, asked_at=1_000)
    assert leadership.may_start_change(reachable_peers=0, known_peers=8, now=1_500)
    assert not leadership.may_start_change(reachable_peers=3, known_peers=8, now=5_000)
    assert leadership.policy.confirmation_ttl < leadership.policy.heartbeat_timeout


def test_a_holder_that_only_the_store_cannot_hear_goes_on():
    """The map stays as it was for twelve seconds while all else works.

    The holder's path to the store was cut, and each change waited for the
    store's word. No other node could tell, since the holder's beats went on.
    """
    leadership = Leadership("n1")
    leadership.on_row_acquired(3, asked_at=1_000)
    assert leadership.may_start_change(reachable_peers=8, known_peers=8, now=13_000)


def test_a_node_that_holds_nothing_begins_no_change(second):
    assert not second.may_start_change(reachable_peers=8, known_peers=8, now=0)


def test_a_lost_row_ends_the_term(second):
    second.on_row_acquired(5, asked_at=0)
    assert second.on_row_refused(9, now=50)
    assert not second.is_leader
    assert not second.should_take_over(50 + second.policy.initial_heartbeat_timeout)


def test_a_node_that_has_just_started_waits_less(second):
    """After a power loss nobody coordinates for four seconds.

    Each node waited as long as for a holder that falls silent, found the row of
    a holder that is no more, and waited as long again.
    """
    policy = second.policy
    turn = policy.initial_heartbeat_timeout + policy.stagger
    assert not second.should_take_over(turn - 1)
    assert second.should_take_over(turn)
    second.on_row_refused(term=4, now=turn)
    assert second.should_take_over(
        turn + policy.initial_heartbeat_timeout + policy.stagger
    )


def test_a_holder_that_gives_up_is_followed_at_once(second):
    second.on_heartbeat(LeaderHeartbeat("n1", 4), now=1_000)
    second.on_resignation(LeaderHeartbeat("n1", 4), now=1_100)
    assert not second.should_take_over(1_100 + second.policy.stagger - 1)
    assert second.should_take_over(1_100 + second.policy.stagger)


def test_a_holder_that_resigns_lets_others_try(second):
    second.on_row_acquired(5, asked_at=0)
    second.resign(now=100)
    assert not second.is_leader
    assert not second.should_take_over(100 + second.policy.resign_backoff - 1)
    assert second.should_take_over(100 + second.policy.resign_backoff)


def test_after_no_answer_the_next_try_waits(second):
    now = 10_000
    assert second.should_take_over(now)
    second.on_store_unanswered(now)
    assert not second.should_take_over(now + second.policy.retry_delay - 1)
    assert second.should_take_over(now + second.policy.retry_delay)


def test_a_holder_that_falls_silent_within_a_change_is_succeeded_sooner(second):
    """All streams of a group stand still for three seconds, and callers leave.

    The holder stood still between the hold of a change and its release. The others
    waited as long as for a holder that has nothing under way.
    """
    policy = second.policy
    second.on_heartbeat(LeaderHeartbeat("n1", 4, is_changing=True), now=0)
    turn = policy.heartbeat_timeout_in_change + policy.stagger_in_change
    assert turn < policy.heartbeat_timeout
    assert not second.should_take_over(turn - 1)
    assert second.should_take_over(turn)


def test_after_its_change_a_holder_is_waited_for_as_usual(second):
    second.on_heartbeat(LeaderHeartbeat("n1", 4, is_changing=True), now=0)
    second.on_heartbeat(LeaderHeartbeat("n1", 4), now=100)
    assert not second.should_take_over(100 + second.policy.heartbeat_timeout)
    assert second.should_take_over(
        100 + second.policy.heartbeat_timeout + second.policy.stagger
    )
