"""Known traffic gives known burn rates, budgets and offenders."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.objectives import counts as counts_module
from azurefold.core.objectives.burn import ObjectiveLog, build_burn_report
from azurefold.core.objectives.counts import (
    ZERO_COUNTS,
    CountHistory,
    RequestCounts,
    Source,
    count_good_from_buckets,
)
from azurefold.core.objectives.objective import Objective, ObjectiveKind, burn_rate
from azurefold.core.objectives.rendering import render_burn

MINUTE = 60_000
HOUR = 60 * MINUTE
DAY = 24 * HOUR


@pytest.fixture
def whole():
    return Objective(ObjectiveKind.ANSWERED_WHOLE, target=0.99)


@pytest.fixture
def source():
    return Source("entry-1", "bakery", "10.0.0.7")


def feed(log, source, per_minute, start=0):
    """Add one sample a minute; each entry is (good, bad) of that minute."""
    running = ZERO_COUNTS
    log.add(source, running, start)
    for minute, (good, bad) in enumerate(per_minute, start=1):
        running = running + RequestCounts(good, good + bad)
        log.add(source, running, start + minute * MINUTE)
    return start + len(per_minute) * MINUTE


def test_each_window_has_its_own_rate(whole, source):
    log = ObjectiveLog("recalls", whole)
    # An hour without a fault, then five minutes in which one in ten fails.
    now = feed(log, source, [(100, 0)] * 60 + [(90, 10)] * 5)
    five, hour, six, three_days = build_burn_report(log, now).windows
    assert five.rate == pytest.approx(10.0)
    assert hour.rate == pytest.approx(50 / 6_000 / 0.01)
    assert six.rate == pytest.approx(50 / 6_500 / 0.01)
    assert three_days.rate == six.rate
    assert five.observed.covered == 5 * MINUTE
    assert six.observed.covered == 65 * MINUTE


def test_budget_and_its_end(source):
    objective = Objective(ObjectiveKind.ANSWERED_WHOLE, target=0.9, period=10 * DAY)
    log = ObjectiveLog("recalls", objective)
    now = feed(log, source, [(95, 5)] * 120)
    report = build_burn_report(log, now)
    assert report.budget_left == pytest.approx(0.5)
    # Half of the budget at half the rate that spends it in ten days.
    assert report.ends_in == pytest.approx(10 * DAY)
    assert report.ends_window == HOUR


def test_a_spent_budget_is_said_to_be_spent(whole, source):
    log = ObjectiveLog("recalls", whole)
    now = feed(log, source, [(50, 50)] * 10)
    report = build_burn_report(log, now)
    assert report.budget_left == pytest.approx(-49.0)
    assert report.ends_in == 0
    assert "budget is spent" in render_burn([report])


def test_no_request_is_not_the_same_as_no_fault(whole, source):
    log = ObjectiveLog("recalls", whole)
    now = feed(log, source, [(0, 0)] * 10)
    report = build_burn_report(log, now)
    assert {burn.rate for burn in report.windows} == {None}
    assert report.budget_left == 1.0
    assert report.ends_in is None
    assert "last 5 min: no requests" in render_burn([report])


def test_the_worst_are_named_with_their_share(whole):
    log = ObjectiveLog("bookings", whole)
    feed(log, Source("entry-1", "athina", "10.0.0.1"), [(70, 30)])
    feed(log, Source("entry-2", "athina", "10.0.0.2"), [(90, 10)])
    now = feed(log, Source("entry-2", "marousi", "10.0.0.2"), [(940, 60)])
    report = build_burn_report(log, now)
    organisations = [(o.name, o.counts.bad) for o in report.worst_organisations]
    endpoints = [(o.name, o.share_of_bad) for o in report.worst_endpoints]
    assert organisations == [("marousi", 60), ("athina", 40)]
    assert endpoints == [("10.0.0.2", 0.7), ("10.0.0.1", 0.3)]
    assert report.worst_organisations[1].rate == pytest.approx(20.0)
    text = render_burn([report])
    assert "marousi: 60 bad of 1000, burn rate 6.00, 60% of all bad" in text


def check_restart_is_counted(whole):
    history = CountHistory()
    samples = [(0, 0), (100, 100), (150, 200), (30, 40), (80, 100)]
    for minute, (good, total) in enumerate(samples):
        history.add(RequestCounts(good, total), minute * MINUTE)
    grown = history.over(HOUR, 4 * MINUTE).counts
    assert grown == RequestCounts(good=230, total=300)
    assert burn_rate(grown, whole) == pytest.approx(70 / 300 / 0.01)


def test_a_restarted_process_counts_from_zero_again(whole):
    """A burn rate below nothing.

    Symptom: the report shows a full budget right after an outage. Sequence: a
    process serves badly, dies, restarts and counts from zero. Cause: the new
    count less the old one is negative and hides the bad requests before it.
    """
    check_restart_is_counted(whole)


def test_mutant_blind_to_restarts_is_caught(whole, monkeypatch):
    def without_restarts(self, counts):
        first = self._samples[0] if self._samples else counts
        total = max(0, counts.total - first.total)
        return RequestCounts(min(total, max(0, counts.good - first.good)), total)

    monkeypatch.setattr(counts_module.CountHistory, "_grown_to", without_restarts)
    with pytest.raises(AssertionError):
        check_restart_is_counted(whole)


def test_a_source_that_appears_later_stood_at_zero(whole):
    """A lost first failure.

    Symptom: an organisation's only request fails and the report shows nothing.
    Sequence: the process is sampled; the request fails; the process publishes
    the organisation's count for the first time; it is sampled again. Cause: the
    first sample of a count is taken as where it starts.
    """
    log = ObjectiveLog("recalls", whole)
    log.add(Source("entry-1", "bakery", "10.0.0.7"), RequestCounts(500, 500), 0)
    log.add(Source("entry-1", "deli", "10.0.0.7"), RequestCounts(0, 1), MINUTE)
    log.add(Source("entry-9", "deli", "10.0.0.7"), RequestCounts(70, 80), MINUTE)
    report = build_burn_report(log, MINUTE)
    assert report.period.counts == RequestCounts(good=0, total=1)
    assert [o.name for o in report.worst_organisations] == ["deli"]


minutes = st.tuples(st.integers(0, 50), st.integers(0, 50), st.booleans())


@given(st.lists(minutes, min_size=1, max_size=30))
def test_restarts_right_after_a_sample_lose_nothing(traffic):
    history = CountHistory()
    history.add(ZERO_COUNTS, 0)
    running, truth = ZERO_COUNTS, ZERO_COUNTS
    for minute, (good, bad, restarts) in enumerate(traffic, start=1):
        grown = RequestCounts(good, good + bad)
        truth = truth + grown
        # A restart can be told only if the new count is lower than the old.
        visible = grown.good < running.good or grown.bad < running.bad
        running = grown if restarts and visible else running + grown
        history.add(running, minute * MINUTE)
    assert history.over(DAY, len(traffic) * MINUTE).counts == truth


def test_forgetting_keeps_what_windows_need():
    history = CountHistory()
    for minute in range(100):
        history.add(RequestCounts(minute, minute), minute * MINUTE)
    before = history.over(10 * MINUTE, 99 * MINUTE)
    history.forget(99 * MINUTE - 10 * MINUTE)
    assert history.over(10 * MINUTE, 99 * MINUTE) == before
    assert history.over(DAY, 99 * MINUTE).covered == 10 * MINUTE


def test_samples_out_of_order_are_refused():
    history = CountHistory()
    history.add(ZERO_COUNTS, 10)
    with pytest.raises(ValueError, match="in order"):
        history.add(ZERO_COUNTS, 9)


def test_a_histogram_counts_rather_too_few_good():
    buckets = [(100.0, 5), (1_000.0, 50), (2_000.0, 70)]
    assert count_good_from_buckets(buckets, 1_100) == 50
    assert count_good_from_buckets(buckets, 1_000) == 50
    assert count_good_from_buckets(buckets, 50) is None


@pytest.mark.parametrize("target", [0.0, 1.0, 1.5])
def test_a_target_without_a_budget_is_refused(target):
    with pytest.raises(ValueError, match="between 0 and 1"):
        Objective(ObjectiveKind.ANSWERED_WHOLE, target)


def test_a_threshold_must_fit_the_kind():
    with pytest.raises(ValueError, match="takes a threshold"):
        Objective(ObjectiveKind.FIRST_TOKEN, 0.95)
    with pytest.raises(ValueError, match="takes no threshold"):
        Objective(ObjectiveKind.ANSWERED_WHOLE, 0.95, threshold=5)


def test_the_text_shows_threshold_and_thin_windows(source):
    objective = Objective(ObjectiveKind.FIRST_TOKEN, 0.95, threshold=1_100)
    log = ObjectiveLog("recalls", objective)
    now = feed(log, source, [(95, 5)] * 10)
    text = render_burn([build_burn_report(log, now)])
    assert "recalls: first token within 1100 ms for 95.0000%" in text
    assert "last 5 min: burn rate 1.00 (25 bad of 500)" in text
    assert (
        "last 1 h: burn rate 1.00 (50 bad of 1000), samples cover 10 min only" in text
    )
