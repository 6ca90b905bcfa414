"""One node is the leader; another takes over when its heartbeats stop."""

import pytest

from azurefold.core.groups.leadership import LeaderHeartbeat, Leadership


@pytest.fixture
def second_node():
    leadership = Leadership("n2", position=1)
    leadership.start(now=0)
    return leadership


def test_a_node_waits_for_the_timeout_and_its_stagger(second_node):
    policy = second_node.policy
    second_node.on_heartbeat(LeaderHeartbeat("n1", 1), now=0)
    takeover_at = policy.heartbeat_timeout + policy.stagger
    assert not second_node.should_take_over(takeover_at - 1)
    assert second_node.should_take_over(takeover_at)


def test_heartbeats_prevent_a_takeover(second_node):
    for now in range(0, 20_000, 500):
        second_node.on_heartbeat(LeaderHeartbeat("n1", 4), now)
        assert not second_node.should_take_over(now + 500)


def test_a_heartbeat_of_an_older_term_is_ignored(second_node):
    second_node.on_heartbeat(LeaderHeartbeat("n1", 7), now=0)
    second_node.on_heartbeat(LeaderHeartbeat("n3", 5), now=10_000)
    assert second_node.should_take_over(10_000)


def test_a_leader_steps_down_on_a_higher_term(second_node):
    second_node.on_row_acquired(5, sent_at=0)
    assert second_node.is_leader
    assert second_node.on_heartbeat(LeaderHeartbeat("n1", 6), now=100)
    assert not second_node.is_leader


def test_a_fully_partitioned_leader_starts_no_change():
    """Guards against two leaders whose concurrent changes make each other fail.

    The leader was partitioned or paused for seconds, and another node has replaced the
    row. Its confirmation is old by then, on a clock that continues during a pause, and
    it reaches few of its peers.
    """
    leadership = Leadership("n1")
    leadership.on_row_acquired(3, sent_at=1_000)
    assert leadership.can_start_change(reachable_peers=0, known_peers=8, now=1_500)
    assert not leadership.can_start_change(reachable_peers=3, known_peers=8, now=5_000)
    assert leadership.policy.confirmation_ttl < leadership.policy.heartbeat_timeout


def test_a_leader_partitioned_from_the_store_only_stays_active():
    """Guards against twelve seconds without map changes in a working site.

    The leader had lost its connection to the store, and each change waited for the
    answer of the store. No other node took over, because the heartbeats continued.
    """
    leadership = Leadership("n1")
    leadership.on_row_acquired(3, sent_at=1_000)
    assert leadership.can_start_change(reachable_peers=8, known_peers=8, now=13_000)


def test_a_node_that_is_not_the_leader_starts_no_change(second_node):
    assert not second_node.can_start_change(reachable_peers=8, known_peers=8, now=0)


def test_a_lost_row_ends_the_term(second_node):
    second_node.on_row_acquired(5, sent_at=0)
    assert second_node.on_row_refused(9, now=50)
    assert not second_node.is_leader
    assert not second_node.should_take_over(
        50 + second_node.policy.initial_heartbeat_timeout
    )


def test_a_node_that_has_just_started_uses_a_shorter_timeout(second_node):
    """Guards against four seconds without a leader after a power loss.

    Each node waited for the full heartbeat timeout, found the row of a leader that no
    longer existed, and waited for the full timeout again.
    """
    policy = second_node.policy
    takeover_at = policy.initial_heartbeat_timeout + policy.stagger
    assert not second_node.should_take_over(takeover_at - 1)
    assert second_node.should_take_over(takeover_at)
    second_node.on_row_refused(term=4, now=takeover_at)
    assert second_node.should_take_over(
        takeover_at + policy.initial_heartbeat_timeout + policy.stagger
    )


def test_a_resignation_is_followed_by_an_immediate_takeover(second_node):
    second_node.on_heartbeat(LeaderHeartbeat("n1", 4), now=1_000)
    second_node.on_resignation(LeaderHeartbeat("n1", 4), now=1_100)
    assert not second_node.should_take_over(1_100 + second_node.policy.stagger - 1)
    assert second_node.should_take_over(1_100 + second_node.policy.stagger)


@pytest.mark.parametrize("position", [0, 1, 7])
def test_repeated_resignations_do_not_delay_the_takeover(position):
    """A group stays held for six seconds, until who resigned may take over again."""
    node = Leadership("n2", position=position)
    node.on_heartbeat(LeaderHeartbeat("n1", 4), now=1_000)
    due = 1_000 + position * node.policy.stagger
    for now in range(1_000, due, 50):
        node.on_resignation(LeaderHeartbeat("n1", 4), now)
        assert not node.should_take_over(now)
    node.on_resignation(LeaderHeartbeat("n1", 4), due)
    assert node.should_take_over(due)


def test_a_leader_that_resigned_backs_off(second_node):
    second_node.on_row_acquired(5, sent_at=0)
    second_node.resign(now=100)
    assert not second_node.is_leader
    assert not second_node.should_take_over(100 + second_node.policy.resign_backoff - 1)
    assert second_node.should_take_over(100 + second_node.policy.resign_backoff)


def resigned_node(position=0):
    node = Leadership("n1", position=position)
    node.on_row_acquired(5, sent_at=0)
    node.resign(now=100)
    return node


@pytest.mark.parametrize("position", [0, 1, 7])
def test_a_leader_that_resigned_follows_a_successor_that_resigned(position):
    """Two gateways resign in turn, and a group stays held for six seconds."""
    node = resigned_node(position)
    node.on_heartbeat(LeaderHeartbeat("n2", 6), now=300)
    node.on_resignation(LeaderHeartbeat("n2", 6), now=2_000)
    # Others are heard to resign up to 150 ms late, and one in last position waits.
    last_of_others = 2_000 + 7 * node.policy.stagger + 150
    assert not node.should_take_over(last_of_others - 1)
    assert node.should_take_over(2_000 + node.policy.resigned_stagger)


def test_a_leader_that_resigned_follows_a_successor_never_heard():
    """The successor's first message was lost, or said at once that it resigns."""
    node = resigned_node()
    node.on_resignation(LeaderHeartbeat("n2", 6), now=600)
    assert node.should_take_over(600 + node.policy.resigned_stagger)


def test_a_leader_that_resigned_follows_a_successor_that_stopped():
    """A successor's process ends, and a group stays held for six seconds."""
    node = resigned_node()
    node.on_heartbeat(LeaderHeartbeat("n2", 6, is_changing=True), now=300)
    policy = node.policy
    due = 300 + policy.heartbeat_timeout_in_change + policy.resigned_stagger
    assert not node.should_take_over(due - 1)
    assert node.should_take_over(due)


def test_a_leader_that_resigned_long_ago_waits_as_others_do():
    node = resigned_node()
    now = 100 + node.policy.resign_backoff
    node.on_heartbeat(LeaderHeartbeat("n2", 6), now)
    node.on_resignation(LeaderHeartbeat("n2", 6), now)
    assert node.should_take_over(now)


def test_a_takeover_is_delayed_after_no_answer_of_the_store(second_node):
    now = 10_000
    assert second_node.should_take_over(now)
    second_node.on_store_unanswered(now)
    assert not second_node.should_take_over(now + second_node.policy.retry_delay - 1)
    assert second_node.should_take_over(now + second_node.policy.retry_delay)


def test_the_heartbeat_timeout_is_shorter_during_a_change(second_node):
    """Guards against streams that stop for three seconds, so that callers disconnect.

    The leader was paused between the hold of a change and its release, and the other
    nodes waited for the usual heartbeat timeout.
    """
    policy = second_node.policy
    second_node.on_heartbeat(LeaderHeartbeat("n1", 4, is_changing=True), now=0)
    takeover_at = policy.heartbeat_timeout_in_change + policy.stagger_in_change
    assert takeover_at < policy.heartbeat_timeout
    assert not second_node.should_take_over(takeover_at - 1)
    assert second_node.should_take_over(takeover_at)


def test_the_usual_heartbeat_timeout_applies_after_a_change(second_node):
    second_node.on_heartbeat(LeaderHeartbeat("n1", 4, is_changing=True), now=0)
    second_node.on_heartbeat(LeaderHeartbeat("n1", 4), now=100)
    assert not second_node.should_take_over(100 + second_node.policy.heartbeat_timeout)
    assert second_node.should_take_over(
        100 + second_node.policy.heartbeat_timeout + second_node.policy.stagger
    )
