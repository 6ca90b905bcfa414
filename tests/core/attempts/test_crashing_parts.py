"""Prompt parts that crash endpoints are quarantined; other parts are not."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.attempts.crashes import CrashReport, Quarantine
from azurefold.core.attempts.crashing_parts import PartPolicy, PartTracker
from azurefold.core.attempts.part_trials import TrialOnly

POLICY = PartPolicy()
DEADLY, OTHER = 1, 2
APART_MS = 2 * POLICY.separation


@pytest.fixture
def tracker():
    return PartTracker()


def record_crashes(tracker, *prompts, apart=APART_MS, start=0):
    """Crash one endpoint after another under prompts; return the time of the last."""
    for number, parts in enumerate(prompts):
        now = start + number * apart
        tracker.record_crash(parts, hash((start, number)), now)
    return now


def test_a_part_is_quarantined_after_three_crashes(tracker):
    now = record_crashes(tracker, {DEADLY}, {DEADLY})
    assert tracker.judge({DEADLY}, now) is None
    now = record_crashes(tracker, {DEADLY}, start=now + APART_MS)
    verdict = tracker.judge({DEADLY, OTHER}, now)
    assert verdict == Quarantine(3, now, now + POLICY.durations[0])
    assert tracker.judge({OTHER}, now) is None


def test_an_answer_that_begins_clears_its_parts(tracker):
    """Guards against refusing a popular part that was often beside a crashing one."""
    now = record_crashes(tracker, {OTHER}, {OTHER})
    tracker.record_begun({OTHER}, now + 1)
    now = record_crashes(tracker, {OTHER}, start=now + APART_MS)
    assert tracker.judge({OTHER}, now) is None


def test_an_answer_before_a_crash_clears_nothing(tracker):
    """Guards against a part that is never found because it was once sound."""
    tracker.record_begun({DEADLY}, 0)
    now = record_crashes(tracker, {DEADLY}, {DEADLY}, {DEADLY}, start=1)
    assert isinstance(tracker.judge({DEADLY}, now), Quarantine)


def test_crashes_at_one_moment_lead_to_trials_only(tracker):
    """Guards against refusing a popular part because a rack lost power."""
    now = record_crashes(tracker, *[{OTHER}] * 8, apart=50)
    assert tracker.judge({OTHER}, now) == TrialOnly(OTHER, 8, now)
    tracker.record_begun({OTHER}, now + 1)
    assert tracker.judge({OTHER}, now + 1) is None


def test_a_crash_in_a_trial_quarantines(tracker):
    now = record_crashes(tracker, *[{DEADLY}] * 8, apart=50)
    record_crashes(tracker, {DEADLY}, start=now + APART_MS)
    assert isinstance(tracker.judge({DEADLY}, now + APART_MS), Quarantine)


def test_a_trial_shortly_after_many_crashes_decides(tracker):
    """Guards against trials that go on as their crashes are near earlier ones."""
    now = record_crashes(tracker, *[{DEADLY}] * 8, apart=200)
    record_crashes(tracker, {DEADLY}, start=now + POLICY.separation // 2)
    assert isinstance(tracker.judge({DEADLY}, now + APART_MS), Quarantine)


def test_crashes_that_one_part_explains_count_against_no_other(tracker):
    """Guards against refusing parts that were beside a crashing one now and then."""
    beside = [{DEADLY, 10}, {DEADLY, 11}, {DEADLY, 10}, {DEADLY, 10}, {DEADLY, 12}]
    now = record_crashes(tracker, *beside)
    assert isinstance(tracker.judge({DEADLY}, now), Quarantine)
    assert tracker.judge({10}, now) is None


def test_two_crashing_parts_are_both_found(tracker):
    prompts = [{1, 10}, {2, 11}, {1, 12}, {2, 13}, {1, 14}, {2, 15}]
    now = record_crashes(tracker, *prompts)
    assert isinstance(tracker.judge({1}, now), Quarantine)
    assert isinstance(tracker.judge({2}, now), Quarantine)
    assert tracker.judge({10, 11, 12, 13, 14, 15}, now) is None


def test_parts_that_cannot_be_told_apart_are_tried(tracker):
    """Guards against refusing all that shares a part with the crashing prompts."""
    now = record_crashes(tracker, *[{DEADLY, OTHER}] * 4)
    assert isinstance(tracker.judge({DEADLY, OTHER}, now), Quarantine)
    assert isinstance(tracker.judge({OTHER}, now), TrialOnly)
    tracker.record_begun({OTHER}, now + 1)
    assert tracker.judge({OTHER}, now + 1) is None
    assert isinstance(tracker.judge({DEADLY}, now + 1), Quarantine)


def test_a_crash_of_another_cause_does_not_decide(tracker):
    """Guards against refusing a first part for one crash that was nobody's fault."""
    now = record_crashes(tracker, {OTHER}, *[{DEADLY, OTHER}] * 3)
    assert isinstance(tracker.judge({OTHER}, now), TrialOnly)


@pytest.mark.parametrize(("parts", "crashes"), [(3, 4), (8, 6), (20, 7)])
def test_one_part_is_found_among_many_in_the_worst_order(tracker, parts, crashes):
    """Guards against trials that rule out one part each."""
    suspects = list(range(parts))
    now = record_crashes(tracker, *[suspects] * 3)
    while len(suspects) > 1:
        # The worst order: the largest prompt that may still be sent crashes.
        allowed = max(
            (
                suspects[:number]
                for number in range(1, len(suspects))
                if isinstance(tracker.judge(suspects[:number], now), TrialOnly)
            ),
            key=len,
        )
        suspects = allowed
        now = record_crashes(tracker, suspects, start=now + APART_MS)
    assert len(tracker.build_reports()[0].crashes) <= crashes
    assert isinstance(tracker.judge(suspects, now), Quarantine)


def test_few_trials_follow_a_quarantine_for_the_whole_time(tracker):
    """Guards against trials that crash an endpoint every other day for ever."""
    now = record_crashes(tracker, *[{DEADLY}] * 3)
    trials = 0
    for hour in range(24 * 29):
        at = now + 3_600_000 * hour
        if not isinstance(tracker.judge({DEADLY}, at), Quarantine):
            trials += 1
            tracker.record_crash({DEADLY}, 1_000 + hour, at)
    assert trials == len(POLICY.durations)


def test_a_part_that_is_sound_again_is_cleared_by_its_trial(tracker):
    now = record_crashes(tracker, *[{DEADLY}] * 3) + POLICY.durations[0]
    assert isinstance(tracker.judge({DEADLY}, now), TrialOnly)
    tracker.record_begun({DEADLY}, now)
    assert tracker.judge({DEADLY}, now) is None


def test_reports_of_nodes_add_up(tracker):
    far = PartTracker()
    for number, node in enumerate([tracker, far, tracker]):
        node.record_crash({DEADLY}, number, number * APART_MS)
    [(part, report)] = far.build_reports().items()
    assert tracker.merge(part, report, 2 * APART_MS)
    assert not tracker.merge(part, report, 2 * APART_MS)
    assert isinstance(tracker.judge({DEADLY}, 2 * APART_MS), Quarantine)


def test_a_report_of_an_answer_clears(tracker):
    now = record_crashes(tracker, *[{OTHER}] * 3)
    assert tracker.merge(OTHER, CrashReport({}, now), now)
    assert tracker.judge({OTHER}, now) is None


def test_memory_is_bounded(tracker):
    """Guards against prompts whose parts are all new."""
    now = record_crashes(tracker, *[{DEADLY}] * 3)
    for number in range(10, 20_000):
        tracker.record_begun({number}, now)
        tracker.record_crash({number + 100_000}, number, now)
    assert tracker.size <= POLICY.max_suspects
    assert len(tracker._begun) <= POLICY.max_begun
    assert isinstance(tracker.judge({DEADLY}, now), Quarantine)


def test_cleared_suspects_are_forgotten(tracker):
    """Guards against messages that go on telling of them for weeks."""
    now = record_crashes(tracker, {OTHER})
    tracker.record_begun({OTHER}, now)
    tracker.record_crash({DEADLY}, 99, now + POLICY.cleared_retention)
    assert list(tracker.build_reports()) == [DEADLY]


@given(
    st.lists(st.sets(st.integers(10, 30), max_size=6), min_size=20, max_size=40),
    st.integers(0, 3),
)
def test_a_crashing_part_is_found_among_any_neighbours(beside, causes):
    """Guards against other parts that outlast the crashing one as suspects."""
    tracker = PartTracker()
    sent = now = 0
    for number, others in enumerate(beside):
        now += APART_MS
        if number < causes:
            tracker.record_crash(others, number, now)
            continue
        if not isinstance(tracker.judge({DEADLY, *others}, now), Quarantine):
            tracker.record_crash({DEADLY, *others}, number, now)
            sent += 1
        for part in others:
            if not isinstance(tracker.judge({part}, now), Quarantine):
                tracker.record_begun({part}, now + 1)
    assert sent <= 5
