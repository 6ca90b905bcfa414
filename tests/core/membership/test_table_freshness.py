"""The local copy of a table ages, is confirmed, and is refreshed in time."""

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
SLOT_MS = refresh_times(2_000).slot_ms


@pytest.fixture
def freshness():
    freshness = TableFreshness()
    freshness.record_full_read(era=1, version=10, store_ms=5_000)
    freshness.record_changes(version=12, newest_version=12, store_ms=5_100)
    return freshness


def test_no_watermark_before_the_first_answer():
    freshness = TableFreshness()
    assert freshness.watermark is None
    assert freshness.age(5_000) is None


def test_the_watermark_of_a_full_read_is_inexact(freshness):
    freshness.record_full_read(era=1, version=20, store_ms=5_200)
    assert freshness.watermark == TableWatermark(
        1, 20, 5_200, is_exact=False, answered_since=5_000
    )


def test_the_watermark_of_changes_is_exact(freshness):
    assert freshness.watermark == TableWatermark(1, 12, 5_100, answered_since=5_000)


def test_an_answer_without_changes_keeps_the_newest_version(freshness):
    freshness.record_changes(version=30, newest_version=None, store_ms=5_500)
    assert freshness.watermark == TableWatermark(1, 12, 5_500, answered_since=5_000)


def test_a_partial_answer_confirms_nothing(freshness):
    freshness.record_changes(version=14, newest_version=14, store_ms=None)
    assert freshness.age(5_400) == 300


def test_a_delayed_answer_does_not_make_the_copy_older(freshness):
    freshness.merge(TableWatermark(1, 12, 5_900))
    freshness.record_changes(version=12, newest_version=None, store_ms=5_500)
    assert (freshness.confirmed_at, freshness.own_confirmed_at) == (5_900, 5_500)


def test_a_watermark_of_the_applied_version_confirms_the_copy(freshness):
    freshness.merge(TableWatermark(1, 12, 5_800))
    assert freshness.age(6_000) == 200
    assert not freshness.is_behind


@pytest.mark.parametrize(
    "watermark",
    [
        pytest.param(TableWatermark(1, 13, 9_000), id="ahead"),
        pytest.param(TableWatermark(1, 13, 9_000, is_exact=False), id="ahead, inexact"),
        pytest.param(TableWatermark(2, 3, 9_000), id="later era"),
        pytest.param(TableWatermark(0, 3, 9_000), id="earlier era"),
        pytest.param(TableWatermark(1, 12, 4_000), id="older"),
    ],
)
def test_other_watermarks_confirm_nothing(freshness, watermark):
    freshness.merge(watermark)
    assert freshness.confirmed_at == 5_100


@pytest.mark.parametrize(
    ("watermark", "is_behind"),
    [
        (TableWatermark(1, 13, 5_000), True),
        (TableWatermark(1, 13, 5_000, is_exact=False), False),
        (TableWatermark(2, 3, 5_000), True),
        (TableWatermark(0, 99, 5_000), False),
    ],
)
def test_only_newer_exact_watermarks_show_that_the_copy_is_behind(
    freshness, watermark, is_behind
):
    freshness.merge(watermark)
    assert freshness.is_behind is is_behind


def test_the_copy_is_not_behind_once_the_change_is_applied(freshness):
    freshness.merge(TableWatermark(1, 13, 5_000))
    freshness.record_changes(version=13, newest_version=13, store_ms=5_200)
    assert not freshness.is_behind


def test_an_exact_watermark_replaces_the_version_of_a_full_read(freshness):
    freshness.record_full_read(era=1, version=20, store_ms=5_200)
    freshness.merge(TableWatermark(1, 12, 5_300))
    assert freshness.watermark == TableWatermark(1, 12, 5_300, answered_since=5_000)


@pytest.mark.parametrize("confirmed_at", [5_100, 5_150])
def test_an_older_watermark_does_not_lower_an_exact_version(freshness, confirmed_at):
    """Guards against a watermark that gives an older version for a later time."""
    freshness.record_changes(version=16, newest_version=16, store_ms=None)
    freshness.merge(TableWatermark(1, 12, confirmed_at))
    freshness.merge(TableWatermark(1, 16, 5_300))
    assert freshness.watermark.newest_version == 16


def test_a_new_era_discards_earlier_confirmations(freshness):
    freshness.record_full_read(era=2, version=4, store_ms=None)
    assert freshness.confirmed_at is None
    freshness.record_full_read(era=2, version=4, store_ms=100)
    assert freshness.age(150) == 50


def test_an_answer_after_a_clock_restart_confirms_the_copy(freshness):
    """Guards against a copy that keeps a confirmation from before a clock restart."""
    freshness.record_changes(version=12, newest_version=None, store_ms=100)
    assert freshness.age(2_100) == 2_000


def test_a_confirmation_ahead_of_the_clock_does_not_count_as_recent(freshness):
    """Guards against a table whose age stays 0 after the store's clock restarted.

    Both tables share a process's estimate of the clock. An answer for one table resets
    it, while the other table's confirmation still has a time before the restart.
    """
    clock = StoreClock()
    clock.observe(store_ms=5_100, sent=0, received=0)
    clock.observe(store_ms=100, sent=400, received=400)
    age = freshness.age(clock.at(2_400))
    assert age is None or age >= 2_000


def test_an_outage_is_local_if_another_process_was_answered(freshness):
    freshness.record_failed_call()
    freshness.merge(TableWatermark(1, 12, 9_000, answered_since=4_000))
    peer_watermark = TableWatermark(1, 12, 9_000, answered_since=4_000)
    assert freshness.is_outage_local(peer_watermark, store_now=9_200)
    assert not freshness.is_outage_local(peer_watermark, store_now=12_000)


@pytest.mark.parametrize("answered_since", [None, 5_101])
def test_an_outage_of_other_processes_too_is_not_local(freshness, answered_since):
    freshness.record_failed_call()
    watermark = TableWatermark(1, 12, 9_000, answered_since=answered_since)
    assert not freshness.is_outage_local(watermark, store_now=9_200)


def test_reset_discards_everything(freshness):
    freshness.merge(TableWatermark(1, 99, 9_000))
    freshness.reset()
    assert freshness == TableFreshness()


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
def test_the_copy_is_never_confirmed_later_than_its_evidence(steps):
    freshness, evidence = TableFreshness(), {0: 0}
    for kind, era, version, store_ms, is_exact in steps:
        if kind == "prove":
            freshness.record_full_read(era, version, store_ms)
        else:
            freshness.merge(TableWatermark(era, version, store_ms, is_exact))
            if version > freshness.applied_version:
                continue
        evidence[era] = max(evidence.get(era, 0), store_ms)
        assert (
            freshness.confirmed_at is None
            or freshness.confirmed_at <= evidence[freshness.era]
        )


def test_poll_slots_are_evenly_spaced():
    for now in (0, 1, SLOT_MS, 6 * SLOT_MS + 99, 7_000_123):
        ends = sorted(now + PollSlot(index, 6).poll_wait_ms(now) for index in range(6))
        assert now < ends[0] <= now + SLOT_MS
        assert {
            later - earlier for earlier, later in zip(ends, ends[1:], strict=False)
        } == {SLOT_MS}
    assert PollSlot().poll_wait_ms(None) == SLOT_MS


def test_an_aged_table_is_refreshed_between_950_and_1250_ms(freshness):
    scheduler = RefreshScheduler(freshness)
    assert scheduler.check(0, 6_049, 0.0) is None
    assert scheduler.check(0, 6_050, 0.999) is RefreshReason.AGED
    assert scheduler.check(0, 6_349, 0.0) is None
    assert scheduler.check(0, 6_350, 0.0) is RefreshReason.AGED


@pytest.mark.parametrize("bound_ms", [2_000, 3_000, 4_000])
def test_a_refresh_leaves_a_third_of_the_bound_for_the_call(bound_ms):
    times = refresh_times(bound_ms)
    assert times.slot_ms < times.max_age_ms
    assert 3 * (times.max_age_ms + times.max_jitter_ms) <= 2 * bound_ms


def test_an_unconfirmed_table_is_not_refreshed(freshness):
    assert RefreshScheduler(freshness).check(0, None, 0.0) is None
    assert RefreshScheduler(TableFreshness()).check(0, 99_000, 0.0) is None


def test_refresh_after_500_ms_behind_and_again_as_still_behind(freshness):
    scheduler = RefreshScheduler(freshness)
    freshness.merge(TableWatermark(1, 13, 5_100))
    reasons = [scheduler.check(now, 5_200, 0.0) for now in (0, 499, 500, 999, 1_000)]
    assert reasons == [
        None,
        None,
        RefreshReason.BEHIND,
        None,
        RefreshReason.STILL_BEHIND,
    ]


def test_the_delay_restarts_after_the_copy_was_up_to_date(freshness):
    scheduler = RefreshScheduler(freshness)
    freshness.merge(TableWatermark(1, 13, 5_100))
    assert scheduler.check(0, 5_200, 0.0) is None
    freshness.record_changes(version=13, newest_version=13, store_ms=5_200)
    assert scheduler.check(400, 5_300, 0.0) is None
    freshness.merge(TableWatermark(1, 14, 5_300))
    assert scheduler.check(600, 5_400, 0.0) is None
    assert scheduler.check(1_100, 5_400, 0.0) is RefreshReason.BEHIND


def test_the_store_time_is_unknown_before_the_first_answer():
    assert StoreClock().at(1_000) is None


def test_a_delayed_answer_does_not_set_the_clock_back():
    clock = StoreClock()
    clock.observe(store_ms=5_004, sent=1_000, received=1_010)
    clock.observe(store_ms=5_104, sent=1_100, received=3_100)
    assert clock.at(4_000) == 7_994


@pytest.mark.parametrize("ahead", [-900, 900])
def test_a_clock_restart_is_detected(ahead):
    clock = StoreClock()
    clock.observe(store_ms=7_000_000, sent=0, received=10)
    clock.observe(store_ms=1_000 + ahead, sent=1_000, received=1_010)
    assert clock.at(1_010) == 1_000 + ahead


@given(st.integers(-20, 20), st.integers(2, 12))
def test_drift_is_corrected_within_two_windows(drift, minutes):
    clock, step = StoreClock(), 1_000

    def store_ms(now):
        return 7_000_000 + now + drift * now // MINUTE_MS

    for now in range(0, minutes * MINUTE_MS, step):
        clock.observe(store_ms(now), now, now)
        assert abs(clock.at(now) - store_ms(now)) <= 2 * abs(drift) + 1


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 900)), min_size=1))
def test_the_time_is_a_lower_bound(answers):
    clock, now = StoreClock(), 0
    for pause, delay in answers:
        sent = now + pause
        now = sent + delay
        clock.observe(store_ms=sent + 50_000, sent=sent, received=now)
        assert clock.at(now) <= now + 50_000
        assert clock.at(now) >= sent + 50_000
