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


def test_a_paused_holder_must_confirm_before_it_holds_the_group():
    """Two coordinators change one group at the same time.

    The holder stood still for seconds and another took the row. It wakes up,
    still believes that it holds the row, and goes on. Its confirmation is old
    by then, on a clock that goes on during the pause.
    """
    leadership = Leadership("n1")
    leadership.taken(3, asked_at=1_000)
    assert not leadership.must_confirm(1_500)
    assert leadership.must_confirm(5_000)
    assert leadership.policy.confirmed_for < leadership.policy.silence


def test_a_lost_row_ends_the_term(second):
    second.taken(5, asked_at=0)
    assert second.refused(9, now=50)
    assert not second.holds
    assert not second.should_take(50 + second.policy.silence)


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
