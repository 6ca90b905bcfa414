"""Requests that crash endpoints are quarantined; other requests are not."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.attempts.crashes import CrashPolicy, CrashReport, CrashTracker

CRASHING, OTHER = 7, 8
SECOND = 1_000
DAY = 24 * 3_600 * SECOND
MAX_SENDS_AFTER_THIRD_CRASH = 3
POLICY = CrashPolicy()


@pytest.fixture
def tracker():
    return CrashTracker()


def crash(tracker, *times, identity=CRASHING):
    for endpoint, now in enumerate(times):
        tracker.record_crash(identity, endpoint, now)


def test_a_single_crash_does_not_quarantine(tracker):
    crash(tracker, 1_000)
    assert tracker.get_quarantine(CRASHING, 1_001) is None


def test_a_second_crash_quarantines(tracker):
    crash(tracker, 1_000, 1_200)
    quarantine = tracker.get_quarantine(CRASHING, 1_300)
    assert (quarantine.crashes, quarantine.since) == (2, 1_200)
    assert tracker.get_quarantine(OTHER, 1_300) is None


def test_a_crash_reported_by_two_nodes_counts_once(tracker):
    """Guards against refusing a popular request for a single crash."""
    crash(tracker, 1_000)
    tracker.merge(CRASHING, CrashReport({0: 1_040}), 1_050)
    assert tracker.get_quarantine(CRASHING, 1_100) is None


def test_crashes_at_different_nodes_add_up(tracker):
    crash(tracker, 1_000)
    assert tracker.merge(CRASHING, CrashReport({9: 900}), 1_050)
    assert tracker.get_quarantine(CRASHING, 1_100).crashes == 2
    assert not tracker.merge(CRASHING, CrashReport({9: 910}), 1_090)


@pytest.mark.parametrize("answered", [500, 1_100, 1_500])
def test_an_answer_clears_a_request(tracker, answered):
    """Guards against refusing a request that twice ran beside a crashing one."""
    events = [(1_000, 0), (1_400, 1), (answered, None)]
    for now, endpoint in sorted(events, key=lambda event: event[0]):
        if endpoint is None:
            tracker.record_answer(CRASHING, now)
        else:
            tracker.record_crash(CRASHING, endpoint, now)
    assert tracker.get_quarantine(CRASHING, 2_000) is None


def test_an_answer_at_another_node_clears_a_request(tracker):
    other_node = CrashTracker()
    other_node.record_answer(CRASHING, 500)
    crash(tracker, 1_000, 1_400)
    other_node.merge(CRASHING, tracker.build_reports()[CRASHING], 1_450)
    assert other_node.has_changed_locally_since(1_400)
    assert tracker.merge(CRASHING, other_node.build_reports()[CRASHING], 1_500)
    assert tracker.get_quarantine(CRASHING, 1_600) is None


def test_an_old_answer_does_not_clear_a_request(tracker):
    """Guards against ignoring crashes that began with a new release of the endpoint."""
    tracker.record_answer(CRASHING, 0)
    first_crash = POLICY.answer_validity + 1
    crash(tracker, first_crash, first_crash + 100)
    assert tracker.get_quarantine(CRASHING, first_crash + 200) is not None


def test_frequent_answers_are_rarely_reported(tracker):
    crash(tracker, 0)
    before = tracker.version
    for now in range(0, 20 * SECOND, 100):
        tracker.record_answer(CRASHING, now)
    assert tracker.version == before + 1


@given(st.lists(st.integers(0, 2 * 3_600 * SECOND), min_size=60, max_size=200))
def test_few_sends_follow_the_third_crash(pauses):
    """Guards against short quarantines that allow a crash after each."""
    tracker = CrashTracker()
    now, crashes, sends = 0, 0, 0
    for pause in pauses:
        now += pause
        if now > DAY:
            break
        if tracker.get_quarantine(CRASHING, now) is None:
            sends += crashes >= 3
            crashes += 1
            tracker.record_crash(CRASHING, crashes, now)
    assert sends <= MAX_SENDS_AFTER_THIRD_CRASH


def test_memory_is_bounded_and_quarantined_requests_are_kept(tracker):
    """Guards against memory use that grows with the number of suspects or answers."""
    crash(tracker, 1_000, 1_100)
    for identity in range(1_000, 1_000 + 4 * POLICY.max_requests):
        tracker.record_crash(identity, identity, 2_000)
        tracker.record_answer(10 * identity, 2_000)
    for identity in range(2 * POLICY.max_answers):
        tracker.record_answer(identity + 10**6, 2_000)
    assert tracker.size == POLICY.max_requests
    assert len(tracker._answers) == POLICY.max_answers
    assert tracker.get_quarantine(CRASHING, 2_000) is not None


def test_suspects_expire(tracker):
    crash(tracker, 0)
    tracker.record_crash(OTHER, 99, POLICY.suspect_retention)
    assert tracker.size == 1


def test_crashes_per_request_are_bounded(tracker):
    crash(tracker, *range(0, 100 * SECOND, SECOND))
    [report] = tracker.build_reports().values()
    assert len(report.crashes) <= 8
    assert tracker.get_quarantine(CRASHING, 100 * SECOND).until >= DAY


def test_reports_of_expired_suspects_are_ignored(tracker):
    """Guards against nodes that add and remove an expired suspect at each report."""
    crash(tracker, 0)
    report = tracker.build_reports()[CRASHING]
    other_node = CrashTracker()
    expiry = POLICY.suspect_retention
    for delay in range(0, 10 * SECOND, 100):
        assert not other_node.merge(CRASHING, report, expiry + delay)
    assert other_node.size == 0


def test_merged_reports_do_not_increment_the_version(tracker):
    """Guards against early messages from each node that receives a report."""
    other_node = CrashTracker()
    crash(tracker, 0, 100)
    assert other_node.merge(CRASHING, tracker.build_reports()[CRASHING], 150)
    assert other_node.version == 0
    assert CRASHING in other_node.build_reports()
