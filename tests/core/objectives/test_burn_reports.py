"""Burn reports of known traffic show the expected rates, budgets and offenders."""

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

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS


@pytest.fixture
def objective():
    return Objective(ObjectiveKind.ANSWERED_WHOLE, target=0.99)


@pytest.fixture
def source():
    return Source("entry-1", "bakery", "10.0.0.7")


def add_samples(log, source, counts_by_minute, start=0):
    """Add one sample per minute; each entry is (good, bad) of that minute."""
    published = ZERO_COUNTS
    log.add(source, published, start)
    for minute, (good, bad) in enumerate(counts_by_minute, start=1):
        published = published + RequestCounts(good, good + bad)
        log.add(source, published, start + minute * MINUTE_MS)
    return start + len(counts_by_minute) * MINUTE_MS


def test_each_window_has_its_own_rate(objective, source):
    log = ObjectiveLog("recalls", objective)
    # An hour without failures, then five minutes in which one in ten requests fails.
    now = add_samples(log, source, [(100, 0)] * 60 + [(90, 10)] * 5)
    five_minutes, hour, six_hours, three_days = build_burn_report(log, now).windows
    assert five_minutes.rate == pytest.approx(10.0)
    assert hour.rate == pytest.approx(50 / 6_000 / 0.01)
    assert six_hours.rate == pytest.approx(50 / 6_500 / 0.01)
    assert three_days.rate == six_hours.rate
    assert five_minutes.observed.covered == 5 * MINUTE_MS
    assert six_hours.observed.covered == 65 * MINUTE_MS


def test_budget_exhaustion_is_predicted(source):
    objective = Objective(ObjectiveKind.ANSWERED_WHOLE, target=0.9, period=10 * DAY_MS)
    log = ObjectiveLog("recalls", objective)
    now = add_samples(log, source, [(95, 5)] * 120)
    report = build_burn_report(log, now)
    assert report.budget_left == pytest.approx(0.5)
    # Half of the budget is left, at half the rate that spends it in ten days.
    assert report.ends_in == pytest.approx(10 * DAY_MS)
    assert report.ends_window == HOUR_MS


def test_spent_budget_is_reported(objective, source):
    log = ObjectiveLog("recalls", objective)
    now = add_samples(log, source, [(50, 50)] * 10)
    report = build_burn_report(log, now)
    assert report.budget_left == pytest.approx(-49.0)
    assert report.ends_in == 0
    assert "budget is spent" in render_burn([report])


def test_no_requests_differ_from_no_bad_requests(objective, source):
    log = ObjectiveLog("recalls", objective)
    now = add_samples(log, source, [(0, 0)] * 10)
    report = build_burn_report(log, now)
    assert {burn.rate for burn in report.windows} == {None}
    assert report.budget_left == 1.0
    assert report.ends_in is None
    assert "last 5 min: no requests" in render_burn([report])


def test_worst_offenders_are_listed_with_their_share(objective):
    log = ObjectiveLog("bookings", objective)
    add_samples(log, Source("entry-1", "athina", "10.0.0.1"), [(70, 30)])
    add_samples(log, Source("entry-2", "athina", "10.0.0.2"), [(90, 10)])
    now = add_samples(log, Source("entry-2", "marousi", "10.0.0.2"), [(940, 60)])
    report = build_burn_report(log, now)
    organisations = [(o.name, o.counts.bad) for o in report.worst_organisations]
    endpoints = [(o.name, o.share_of_bad) for o in report.worst_endpoints]
    assert organisations == [("marousi", 60), ("athina", 40)]
    assert endpoints == [("10.0.0.2", 0.7), ("10.0.0.1", 0.3)]
    assert report.worst_organisations[1].rate == pytest.approx(20.0)
    text = render_burn([report])
    assert "marousi: 60 bad of 1000, burn rate 6.00, 60% of all bad" in text


def check_restart_is_counted(objective):
    history = CountHistory()
    samples = [(0, 0), (100, 100), (150, 200), (30, 40), (80, 100)]
    for minute, (good, total) in enumerate(samples):
        history.add(RequestCounts(good, total), minute * MINUTE_MS)
    increase = history.count_within(HOUR_MS, 4 * MINUTE_MS).counts
    assert increase == RequestCounts(good=230, total=300)
    assert burn_rate(increase, objective) == pytest.approx(70 / 300 / 0.01)


def test_counts_restart_from_zero_with_the_process(objective):
    """Guards against a report that shows a full budget right after an outage.

    A process answers badly, stops, restarts and counts from zero. The new count minus
    the old one is negative, which hides the bad requests before the restart.
    """
    check_restart_is_counted(objective)


def test_mutant_that_ignores_restarts_is_detected(objective, monkeypatch):
    def ignore_restarts(self, counts):
        first = self._samples[0] if self._samples else counts
        total = max(0, counts.total - first.total)
        return RequestCounts(min(total, max(0, counts.good - first.good)), total)

    monkeypatch.setattr(counts_module.CountHistory, "_increase_up_to", ignore_restarts)
    with pytest.raises(AssertionError):
        check_restart_is_counted(objective)


def test_new_source_of_known_process_starts_at_zero(objective):
    """Guards against a report without the only, failed request of an organisation.

    The process is scraped, the request fails, and the process publishes the count of
    the organisation for the first time. If the first sample of a count is taken as its
    starting point, the failure is missing from the report.
    """
    log = ObjectiveLog("recalls", objective)
    log.add(Source("entry-1", "bakery", "10.0.0.7"), RequestCounts(500, 500), 0)
    log.add(Source("entry-1", "deli", "10.0.0.7"), RequestCounts(0, 1), MINUTE_MS)
    log.add(Source("entry-9", "deli", "10.0.0.7"), RequestCounts(70, 80), MINUTE_MS)
    report = build_burn_report(log, MINUTE_MS)
    assert report.period.counts == RequestCounts(good=0, total=1)
    assert [o.name for o in report.worst_organisations] == ["deli"]


minute_traffic = st.tuples(st.integers(0, 50), st.integers(0, 50), st.booleans())


@given(st.lists(minute_traffic, min_size=1, max_size=30))
def test_restarts_right_after_a_sample_lose_no_requests(traffic):
    history = CountHistory()
    history.add(ZERO_COUNTS, 0)
    published, expected = ZERO_COUNTS, ZERO_COUNTS
    for minute, (good, bad, restarts) in enumerate(traffic, start=1):
        increase = RequestCounts(good, good + bad)
        expected = expected + increase
        # A restart is only detectable if the new count is lower than the old one.
        is_detectable = increase.good < published.good or increase.bad < published.bad
        published = increase if restarts and is_detectable else published + increase
        history.add(published, minute * MINUTE_MS)
    assert history.count_within(DAY_MS, len(traffic) * MINUTE_MS).counts == expected


def test_drop_before_keeps_samples_that_windows_need():
    history = CountHistory()
    for minute in range(100):
        history.add(RequestCounts(minute, minute), minute * MINUTE_MS)
    before = history.count_within(10 * MINUTE_MS, 99 * MINUTE_MS)
    history.drop_before(99 * MINUTE_MS - 10 * MINUTE_MS)
    assert history.count_within(10 * MINUTE_MS, 99 * MINUTE_MS) == before
    assert history.count_within(DAY_MS, 99 * MINUTE_MS).covered == 10 * MINUTE_MS


def test_samples_out_of_order_are_rejected():
    history = CountHistory()
    history.add(ZERO_COUNTS, 10)
    with pytest.raises(ValueError, match="in order"):
        history.add(ZERO_COUNTS, 9)


def test_histogram_never_counts_too_many_good_requests():
    buckets = [(100.0, 5), (1_000.0, 50), (2_000.0, 70)]
    assert count_good_from_buckets(buckets, 1_100) == 50
    assert count_good_from_buckets(buckets, 1_000) == 50
    assert count_good_from_buckets(buckets, 50) is None


@pytest.mark.parametrize("target", [0.0, 1.0, 1.5])
def test_target_without_error_budget_is_rejected(target):
    with pytest.raises(ValueError, match="between 0 and 1"):
        Objective(ObjectiveKind.ANSWERED_WHOLE, target)


def test_threshold_must_fit_the_kind():
    with pytest.raises(ValueError, match="takes a threshold"):
        Objective(ObjectiveKind.FIRST_TOKEN, 0.95)
    with pytest.raises(ValueError, match="takes no threshold"):
        Objective(ObjectiveKind.ANSWERED_WHOLE, 0.95, threshold=5)


def test_text_shows_threshold_and_partly_covered_windows(source):
    objective = Objective(ObjectiveKind.FIRST_TOKEN, 0.95, threshold=1_100)
    log = ObjectiveLog("recalls", objective)
    now = add_samples(log, source, [(95, 5)] * 10)
    text = render_burn([build_burn_report(log, now)])
    assert "recalls: first token within 1100 ms for 95.0000%" in text
    assert "last 5 min: burn rate 1.00 (25 bad of 500)" in text
    assert (
        "last 1 h: burn rate 1.00 (50 bad of 1000), samples cover 10 min only" in text
    )
