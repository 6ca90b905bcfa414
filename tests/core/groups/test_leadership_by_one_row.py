"""One node coordinates; another takes over when its beats stop."""

import pytest

from azurefold.core.groups.leadership import Beat, Leadership


@pytest.fixture
def second():
    leadership = Leadership("n2", position=1)
    leadership.start(now=0)
    return leadership


def test_a_node_waits_for_silence_and_its_turn(second):
    policy = second.policy
    second.heard(Beat("n1", 1), now=0)
    turn = policy.silence + policy.stagger
    assert not second.should_take(turn - 1)
    assert second.should_take(turn)


def test_beats_keep_a_node_from_taking_over(second):
    for now in range(0, 20_000, 500):
        second.heard(Beat("n1", 4), now)
        assert not second.should_take(now + 500)


def test_a_beat_of_an_older_term_does_not_count(second):
    second.heard(Beat("n1", 7), now=0)
    second.heard(Beat("n3", 5), now=10_000)
    assert second.should_take(10_000)


def test_a_holder_that_hears_a_higher_term_stops(second):
    second.taken(5, asked_at=0)
    assert second.holds
    assert second.heard(Beat("n1", 6), now=100)
    assert not second.holds


def test_a_holder_out_of_touch_with_store_and_peers_begins_no_change():
    """Two coordinators change one group and stand in each other's way.

    The holder is cut off or stood still for seconds, and another took the row.
    Its confirmation is old by then, on a clock that goes on during a pause, and
    it hears few of its peers.
    """
    leadership = Leadership("n1")
    leadership.taken(3, asked_at=1_000)
    assert leadership.may_change(heard=0, peers=8, now=1_500)
    assert not leadership.may_change(heard=3, peers=8, now=5_000)
    assert leadership.policy.confirmed_for < leadership.policy.silence


def test_a_holder_that_only_the_store_cannot_hear_goes_on():
    """The map stays as it was for twelve seconds while all else works.

    The holder's path to the store was cut, and each change waited for the
    store's word. No other node could tell, since the holder's beats went on.
    """
    leadership = Leadership("n1")
    leadership.taken(3, asked_at=1_000)
    assert leadership.may_change(heard=8, peers=8, now=13_000)


def test_a_node_that_holds_nothing_begins_no_change(second):
    assert not second.may_change(heard=8, peers=8, now=0)


def test_a_lost_row_ends_the_term(second):
    second.taken(5, asked_at=0)
    assert second.refused(9, now=50)
    assert not second.holds
    assert not second.should_take(50 + second.policy.first_silence)


def test_a_node_that_has_just_started_waits_less(second):
    """After a power loss nobody coordinates for four seconds.

    Each node waited as long as for a holder that falls silent, found the row of
    a holder that is no more, and waited as long again.
    """
    policy = second.policy
    turn = policy.first_silence + policy.stagger
    assert not second.should_take(turn - 1)
    assert second.should_take(turn)
    second.refused(term=4, now=turn)
    assert second.should_take(turn + policy.first_silence + policy.stagger)


def test_a_holder_that_gives_up_is_followed_at_once(second):
    second.heard(Beat("n1", 4), now=1_000)
    second.ended(Beat("n1", 4), now=1_100)
    assert not second.should_take(1_100 + second.policy.stagger - 1)
    assert second.should_take(1_100 + second.policy.stagger)


def test_a_holder_that_resigns_lets_others_try(second):
    second.taken(5, asked_at=0)
    second.resign(now=100)
    assert not second.holds
    assert not second.should_take(100 + second.policy.rest - 1)
    assert second.should_take(100 + second.policy.rest)


def test_after_no_answer_the_next_try_waits(second):
    now = 10_000
    assert second.should_take(now)
    second.unanswered(now)
    assert not second.should_take(now + second.policy.retry - 1)
    assert second.should_take(now + second.policy.retry)


def test_a_holder_that_falls_silent_within_a_change_is_succeeded_sooner(second):
    """All streams of a group stand still for three seconds, and callers leave.

    The holder stood still between the hold of a change and its release. The others
    waited as long as for a holder that has nothing under way.
    """
    policy = second.policy
    second.heard(Beat("n1", 4, is_changing=True), now=0)
    turn = policy.changing_silence + policy.changing_stagger
    assert turn < policy.silence
    assert not second.should_take(turn - 1)
    assert second.should_take(turn)


def test_after_its_change_a_holder_is_waited_for_as_usual(second):
    second.heard(Beat("n1", 4, is_changing=True), now=0)
    second.heard(Beat("n1", 4), now=100)
    assert not second.should_take(100 + second.policy.silence)
    assert second.should_take(100 + second.policy.silence + second.policy.stagger)
