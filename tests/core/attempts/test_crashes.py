"""Requests that crash endpoints are quarantined; other requests are not."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.attempts.crashes import CrashPolicy, CrashReport, CrashTracker

CRASHING_REQUEST, OTHER_REQUEST = 7, 8  # identities of requests
SECOND_MS = 1_000
DAY_MS = 24 * 3_600 * SECOND_MS
MAX_SENDS_AFTER_THIRD_CRASH = 3
POLICY = CrashPolicy()


@pytest.fixture
def tracker():
    return CrashTracker()


def record_crashes(tracker, *times, identity=CRASHING_REQUEST):
    for endpoint, now in enumerate(times):
        tracker.record_crash(identity, endpoint, now)


def test_a_single_crash_does_not_quarantine(tracker):
    record_crashes(tracker, 1_000)
    assert tracker.get_quarantine(CRASHING_REQUEST, 1_001) is None


def test_a_second_crash_quarantines(tracker):
    record_crashes(tracker, 1_000, 1_200)
    quarantine = tracker.get_quarantine(CRASHING_REQUEST, 1_300)
    assert (quarantine.crashes, quarantine.since) == (2, 1_200)
    assert tracker.get_quarantine(OTHER_REQUEST, 1_300) is None


def test_a_crash_reported_by_two_nodes_counts_once(tracker):
    """Guards against refusing a popular request for a single crash."""
    record_crashes(tracker, 1_000)
    tracker.merge(CRASHING_REQUEST, CrashReport({0: 1_040}), 1_050)
    assert tracker.get_quarantine(CRASHING_REQUEST, 1_100) is None


def test_crashes_at_different_nodes_add_up(tracker):
    record_crashes(tracker, 1_000)
    assert tracker.merge(CRASHING_REQUEST, CrashReport({9: 900}), 1_050)
    assert tracker.get_quarantine(CRASHING_REQUEST, 1_100).crashes == 2
    assert not tracker.merge(CRASHING_REQUEST, CrashReport({9: 910}), 1_090)


@pytest.mark.parametrize("answered_at", [500, 1_100, 1_500])
def test_an_answer_clears_a_request(tracker, answered_at):
    """Guards against refusing a request that twice ran beside a crashing request."""
    events = [(1_000, 0), (1_400, 1), (answered_at, None)]
    for now, endpoint in sorted(events, key=lambda event: event[0]):
        if endpoint is None:
            tracker.record_answer(CRASHING_REQUEST, now)
        else:
            tracker.record_crash(CRASHING_REQUEST, endpoint, now)
    assert tracker.get_quarantine(CRASHING_REQUEST, 2_000) is None


def test_an_answer_at_another_node_clears_a_request(tracker):
    other_node = CrashTracker()
    other_node.record_answer(CRASHING_REQUEST, 500)
    record_crashes(tracker, 1_000, 1_400)
    other_node.merge(CRASHING_REQUEST, tracker.build_reports()[CRASHING_REQUEST], 1_450)
    assert other_node.has_changed_locally_since(1_400)
    assert tracker.merge(
        CRASHING_REQUEST, other_node.build_reports()[CRASHING_REQUEST], 1_500
    )
    assert tracker.get_quarantine(CRASHING_REQUEST, 1_600) is None


def test_an_old_answer_does_not_clear_a_request(tracker):
    """Guards against ignoring crashes caused by a new release of the endpoint."""
    tracker.record_answer(CRASHING_REQUEST, 0)
    first_crash = POLICY.answer_validity + 1
    record_crashes(tracker, first_crash, first_crash + 100)
    assert tracker.get_quarantine(CRASHING_REQUEST, first_crash + 200) is not None


def test_frequent_answers_are_rarely_reported(tracker):
    record_crashes(tracker, 0)
    version_before = tracker.version
    for now in range(0, 20 * SECOND_MS, 100):
        tracker.record_answer(CRASHING_REQUEST, now)
    assert tracker.version == version_before + 1


@given(st.lists(st.integers(0, 2 * 3_600 * SECOND_MS), min_size=60, max_size=200))
def test_few_sends_follow_the_third_crash(pauses):
    """Guards against short quarantines that allow a crash after each."""
    tracker = CrashTracker()
    now, crashes, sends = 0, 0, 0
    for pause in pauses:
        now += pause
        if now > DAY_MS:
            break
        if tracker.get_quarantine(CRASHING_REQUEST, now) is None:
            sends += crashes >= 3
            crashes += 1
            tracker.record_crash(CRASHING_REQUEST, crashes, now)
    assert sends <= MAX_SENDS_AFTER_THIRD_CRASH


def test_memory_is_bounded_and_quarantined_requests_are_kept(tracker):
    """Guards against memory use that grows with the number of suspects or answers."""
    record_crashes(tracker, 1_000, 1_100)
    for identity in range(1_000, 1_000 + 4 * POLICY.max_requests):
        tracker.record_crash(identity, identity, 2_000)
        tracker.record_answer(10 * identity, 2_000)
    for identity in range(2 * POLICY.max_answers):
        tracker.record_answer(identity + 10**6, 2_000)
    assert tracker.size == POLICY.max_requests
    assert len(tracker._answers) == POLICY.max_answers
    assert tracker.get_quarantine(CRASHING_REQUEST, 2_000) is not None


def test_suspects_expire(tracker):
    record_crashes(tracker, 0)
    tracker.record_crash(OTHER_REQUEST, 99, POLICY.suspect_retention)
    assert tracker.size == 1


def test_crashes_per_request_are_bounded(tracker):
    record_crashes(tracker, *range(0, 100 * SECOND_MS, SECOND_MS))
    [report] = tracker.build_reports().values()
    assert len(report.crashes) <= 8
    assert tracker.get_quarantine(CRASHING_REQUEST, 100 * SECOND_MS).until >= DAY_MS


def test_reports_of_expired_suspects_are_ignored(tracker):
    """Guards against nodes that add and remove an expired suspect at each report."""
    record_crashes(tracker, 0)
    report = tracker.build_reports()[CRASHING_REQUEST]
    other_node = CrashTracker()
    expiry = POLICY.suspect_retention
    for delay in range(0, 10 * SECOND_MS, 100):
        assert not other_node.merge(CRASHING_REQUEST, report, expiry + delay)
    assert other_node.size == 0


def test_merged_reports_do_not_increment_the_version(tracker):
    """Guards against early messages from each node that receives a report."""
    other_node = CrashTracker()
    record_crashes(tracker, 0, 100)
    assert other_node.merge(
        CRASHING_REQUEST, tracker.build_reports()[CRASHING_REQUEST], 150
    )
    assert other_node.version == 0
    assert CRASHING_REQUEST in other_node.build_reports()
