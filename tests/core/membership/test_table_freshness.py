"""What is known of a table is dated, ages, and is asked for anew."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.membership.freshness import TableFreshness, TableWatermark
from azurefold.core.membership.store_clock import StoreClock
from azurefold.core.membership.table_refresh import (
    PollSlot,
    RefreshReason,
    RefreshScheduler,
    refresh_times,
)

MINUTE_MS = 60_000
TURN_MS = refresh_times(2_000).slot_ms


@pytest.fixture
def known():
    known = TableFreshness()
    known.record_full_read(era=1, version=10, store_ms=5_000)
    known.record_changes(version=12, newest_version=12, store_ms=5_100)
    return known


def test_nothing_is_told_before_the_first_answer():
    known = TableFreshness()
    assert known.watermark is None
    assert known.age(5_000) is None


def test_a_whole_table_is_told_as_inexact(known):
    known.record_full_read(era=1, version=20, store_ms=5_200)
    assert known.watermark == TableWatermark(
        1, 20, 5_200, is_exact=False, answered_since=5_000
    )


def test_changes_are_told_as_exact(known):
    assert known.watermark == TableWatermark(1, 12, 5_100, answered_since=5_000)


def test_an_answer_without_changes_keeps_the_newest(known):
    known.record_changes(version=30, newest_version=None, store_ms=5_500)
    assert known.watermark == TableWatermark(1, 12, 5_500, answered_since=5_000)


def test_an_answer_that_has_more_to_come_proves_nothing(known):
    known.record_changes(version=14, newest_version=14, store_ms=None)
    assert known.age(5_400) == 300


def test_a_delayed_proof_does_not_make_knowledge_older(known):
    known.merge(TableWatermark(1, 12, 5_900))
    known.record_changes(version=12, newest_version=None, store_ms=5_500)
    assert (known.confirmed_at, known.own_confirmed_at) == (5_900, 5_500)


def test_a_statement_of_no_more_than_is_known_renews(known):
    known.merge(TableWatermark(1, 12, 5_800))
    assert known.age(6_000) == 200
    assert not known.is_behind


@pytest.mark.parametrize(
    "told",
    [
        pytest.param(TableWatermark(1, 13, 9_000), id="ahead"),
        pytest.param(TableWatermark(1, 13, 9_000, is_exact=False), id="ahead, inexact"),
        pytest.param(TableWatermark(2, 3, 9_000), id="later era"),
        pytest.param(TableWatermark(0, 3, 9_000), id="earlier era"),
        pytest.param(TableWatermark(1, 12, 4_000), id="older"),
    ],
)
def test_other_statements_renew_nothing(known, told):
    known.merge(told)
    assert known.confirmed_at == 5_100


@pytest.mark.parametrize(
    ("told", "is_behind"),
    [
        (TableWatermark(1, 13, 5_000), True),
        (TableWatermark(1, 13, 5_000, is_exact=False), False),
        (TableWatermark(2, 3, 5_000), True),
        (TableWatermark(0, 99, 5_000), False),
    ],
)
def test_only_exact_statements_of_something_newer_show_a_lag(known, told, is_behind):
    known.merge(told)
    assert known.is_behind is is_behind


def test_a_lag_ends_once_the_change_is_in_force(known):
    known.merge(TableWatermark(1, 13, 5_000))
    known.record_changes(version=13, newest_version=13, store_ms=5_200)
    assert not known.is_behind


def test_an_exact_statement_replaces_the_version_of_a_read(known):
    known.record_full_read(era=1, version=20, store_ms=5_200)
    known.merge(TableWatermark(1, 12, 5_300))
    assert known.watermark == TableWatermark(1, 12, 5_300, answered_since=5_000)


@pytest.mark.parametrize("confirmed_at", [5_100, 5_150])
def test_an_exact_version_is_not_lowered_by_an_older_statement(known, confirmed_at):
    """Guards against telling of an older version as the newest of a later moment."""
    known.record_changes(version=16, newest_version=16, store_ms=None)
    known.merge(TableWatermark(1, 12, confirmed_at))
    known.merge(TableWatermark(1, 16, 5_300))
    assert known.watermark.newest_version == 16


def test_a_later_era_forgets_when_the_earlier_one_was_proved(known):
    known.record_full_read(era=2, version=4, store_ms=None)
    assert known.confirmed_at is None
    known.record_full_read(era=2, version=4, store_ms=100)
    assert known.age(150) == 50


def test_an_answer_after_the_clock_started_anew_dates_knowledge(known):
    """Guards against knowledge that never ages after the store's clock started anew."""
    known.record_changes(version=12, newest_version=None, store_ms=100)
    assert known.age(2_100) == 2_000


def test_knowledge_does_not_count_as_new_while_its_date_is_ahead(known):
    """Guards against a table that never ages since the other one's answer came."""
    time = StoreClock()
    time.observe(store_ms=5_100, sent=0, received=0)
    time.observe(store_ms=100, sent=400, received=400)
    age = known.age(time.at(2_400))
    assert age is None or age >= 2_000


def test_an_interruption_of_this_process_alone_shows_by_another_ones_answers(known):
    known.record_failed_call()
    known.merge(TableWatermark(1, 12, 9_000, answered_since=4_000))
    own = TableWatermark(1, 12, 9_000, answered_since=4_000)
    assert known.is_outage_local(own, store_now=9_200)
    assert not known.is_outage_local(own, store_now=12_000)


@pytest.mark.parametrize("answered_since", [None, 5_101])
def test_an_interruption_of_others_too_is_not_this_process_alone(known, answered_since):
    known.record_failed_call()
    told = TableWatermark(1, 12, 9_000, answered_since=answered_since)
    assert not known.is_outage_local(told, store_now=9_200)


def test_all_is_forgotten_with_the_store(known):
    known.merge(TableWatermark(1, 99, 9_000))
    known.reset()
    assert known == TableFreshness()


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["hear", "prove"]),
            st.integers(0, 2),
            st.integers(0, 30),
            st.integers(0, 9_000),
            st.booleans(),
        )
    )
)
def test_knowledge_is_never_dated_later_than_its_evidence(steps):
    known, evidence = TableFreshness(), {0: 0}
    for kind, era, version, at, is_exact in steps:
        if kind == "prove":
            known.record_full_read(era, version, at)
        else:
            known.merge(TableWatermark(era, version, at, is_exact))
            if version > known.applied_version:
                continue
        evidence[era] = max(evidence.get(era, 0), at)
        assert known.confirmed_at is None or known.confirmed_at <= evidence[known.era]


def test_turns_are_a_turn_apart():
    for now in (0, 1, TURN_MS, 6 * TURN_MS + 99, 7_000_123):
        ends = sorted(now + PollSlot(index, 6).poll_wait_ms(now) for index in range(6))
        assert now < ends[0] <= now + TURN_MS
        assert {b - a for a, b in zip(ends, ends[1:], strict=False)} == {TURN_MS}
    assert PollSlot().poll_wait_ms(None) == TURN_MS


def test_an_aged_table_is_asked_for_between_950_and_1250_ms(known):
    renewal = RefreshScheduler(known)
    assert renewal.check(0, 6_049, 0.0) is None
    assert renewal.check(0, 6_050, 0.999) is RefreshReason.AGED
    assert renewal.check(0, 6_349, 0.0) is None
    assert renewal.check(0, 6_350, 0.0) is RefreshReason.AGED


@pytest.mark.parametrize("bound_ms", [2_000, 3_000, 4_000])
def test_asking_anew_leaves_a_third_of_the_bound_for_the_call(bound_ms):
    times = refresh_times(bound_ms)
    assert times.slot_ms < times.max_age_ms
    assert 3 * (times.max_age_ms + times.max_jitter_ms) <= 2 * bound_ms


def test_a_table_that_is_not_dated_is_not_asked_for(known):
    assert RefreshScheduler(known).check(0, None, 0.0) is None
    assert RefreshScheduler(TableFreshness()).check(0, 99_000, 0.0) is None


def test_a_lag_has_to_last_and_is_told_apart_when_it_stays(known):
    renewal = RefreshScheduler(known)
    known.merge(TableWatermark(1, 13, 5_100))
    dues = [renewal.check(now, 5_200, 0.0) for now in (0, 499, 500, 999, 1_000)]
    assert dues == [None, None, RefreshReason.BEHIND, None, RefreshReason.STILL_BEHIND]


def test_a_lag_that_ended_begins_anew(known):
    renewal = RefreshScheduler(known)
    known.merge(TableWatermark(1, 13, 5_100))
    assert renewal.check(0, 5_200, 0.0) is None
    known.record_changes(version=13, newest_version=13, store_ms=5_200)
    assert renewal.check(400, 5_300, 0.0) is None
    known.merge(TableWatermark(1, 14, 5_300))
    assert renewal.check(600, 5_400, 0.0) is None
    assert renewal.check(1_100, 5_400, 0.0) is RefreshReason.BEHIND


def test_the_store_time_is_not_known_before_an_answer():
    assert StoreClock().at(1_000) is None


def test_a_delayed_answer_does_not_set_the_time_back():
    time = StoreClock()
    time.observe(store_ms=5_004, sent=1_000, received=1_010)
    time.observe(store_ms=5_104, sent=1_100, received=3_100)
    assert time.at(4_000) == 7_994


@pytest.mark.parametrize("ahead", [-900, 900])
def test_the_clock_starts_anew(ahead):
    time = StoreClock()
    time.observe(store_ms=7_000_000, sent=0, received=10)
    time.observe(store_ms=1_000 + ahead, sent=1_000, received=1_010)
    assert time.at(1_010) == 1_000 + ahead


@given(st.integers(-20, 20), st.integers(2, 12))
def test_drift_is_followed_within_two_windows(drift, minutes):
    time, step = StoreClock(), 1_000

    def store_ms(now):
        return 7_000_000 + now + drift * now // MINUTE_MS

    for now in range(0, minutes * MINUTE_MS, step):
        time.observe(store_ms(now), now, now)
        assert abs(time.at(now) - store_ms(now)) <= 2 * abs(drift) + 1


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 900)), min_size=1))
def test_the_time_is_a_lower_bound(answers):
    time, now = StoreClock(), 0
    for pause, delay in answers:
        sent = now + pause
        now = sent + delay
        time.observe(store_ms=sent + 50_000, sent=sent, received=now)
        assert time.at(now) <= now + 50_000
        assert time.at(now) >= sent + 50_000
