"""Popularity by expert and pace by rank from the reports of all ranks."""

import pytest

from azurefold.core.balance.placement import Placement, assign_evenly
from azurefold.core.groups.popularity import RankReport, new_group_popularity

LAYERS = (assign_evenly(Placement(3, 2, ((0, 1), (0, 2)))),)


def report(tokens, work=0.0, busy_us=0, map_id="m0"):
    return RankReport(map_id, LAYERS, (tuple(tokens),), work, busy_us)


@pytest.fixture
def popularity():
    """Popularity after one report of each of two ranks."""
    reports = (report([100, 0, 0]), report([0, 50, 0]))
    return new_group_popularity(30_000).with_reports(reports, 0)


def test_rates_are_unknown_after_one_report(popularity):
    assert not popularity.is_known


def test_rates_are_computed_from_tokens_since_the_last_reports(popularity):
    reports = (report([110, 0, 0]), report([5, 50, 20]))
    (view,) = popularity.with_reports(reports, 1_000).layer_views()
    assert view.rates == (15.0, 0.0, 20.0)


def test_counts_of_a_restarted_engine_start_from_zero(popularity):
    reports = (report([7, 0, 0]), report([0, 50, 0]))
    (view,) = popularity.with_reports(reports, 1_000).layer_views()
    assert view.rates == (7.0, 0.0, 0.0)


def test_popularity_is_unknown_while_ranks_use_two_maps(popularity):
    reports = (report([110, 0, 0], map_id="m1"), report([0, 50, 0]))
    assert not popularity.with_reports(reports, 1_000).is_known


def test_a_different_number_of_experts_resets_the_popularity(popularity):
    other = RankReport("m0", LAYERS, ((1, 1),), 0.0, 0)
    assert not popularity.with_reports((other, other), 1_000).is_known


def test_a_layer_without_tokens_is_left_out(popularity):
    unchanged = popularity.with_reports(popularity.reports, 1_000)
    assert unchanged.layer_views() == ()


def test_a_rank_with_longer_busy_time_is_a_straggler():
    state = new_group_popularity(30_000)
    for second in range(6):
        work, busy = 100.0 * second, 10_000 * second
        reports = tuple(
            report([10 * second, 0, 0], work, busy * slowdown)
            for slowdown in (1, 1, 1, 2)
        )
        state = state.with_reports(reports, 1_000 * second)
    assert [straggler.rank for straggler in state.stragglers(6_000)] == [3]
