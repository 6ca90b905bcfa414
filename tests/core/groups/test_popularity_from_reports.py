"""Reports of all ranks become popularity by expert and pace by rank."""

import pytest

from azurefold.core.balance.placement import Placement, assign_evenly
from azurefold.core.groups.popularity import RankReport, new_group_popularity

LAYERS = (assign_evenly(Placement(3, 2, ((0, 1), (0, 2)))),)


def report(tokens, work=0.0, busy_us=0, map_id="m0"):
    return RankReport(map_id, LAYERS, (tuple(tokens),), work, busy_us)


@pytest.fixture
def first():
    """Popularity after one report of each of two ranks."""
    reports = (report([100, 0, 0]), report([0, 50, 0]))
    return new_group_popularity(30_000).with_reports(reports, 0)


def test_one_report_tells_nothing_of_rates(first):
    assert not first.is_known


def test_tokens_of_all_ranks_since_the_last_reports_count(first):
    reports = (report([110, 0, 0]), report([5, 50, 20]))
    (view,) = first.with_reports(reports, 1_000).layer_views()
    assert view.rates == (15.0, 0.0, 20.0)


def test_a_restarted_engine_counts_from_zero(first):
    reports = (report([7, 0, 0]), report([0, 50, 0]))
    (view,) = first.with_reports(reports, 1_000).layer_views()
    assert view.rates == (7.0, 0.0, 0.0)


def test_nothing_is_decided_while_ranks_use_two_maps(first):
    reports = (report([110, 0, 0], map_id="m1"), report([0, 50, 0]))
    assert not first.with_reports(reports, 1_000).is_known


def test_another_number_of_experts_begins_anew(first):
    other = RankReport("m0", LAYERS, ((1, 1),), 0.0, 0)
    assert not first.with_reports((other, other), 1_000).is_known


def test_a_layer_without_tokens_is_left_out(first):
    still = first.with_reports(first.reports, 1_000)
    assert still.layer_views() == ()


def test_a_rank_that_takes_longer_for_its_work_is_reported():
    state = new_group_popularity(30_000)
    for second in range(6):
        work, busy = 100.0 * second, 10_000 * second
        reports = tuple(
            report([10 * second, 0, 0], work, busy * slow) for slow in (1, 1, 1, 2)
        )
        state = state.with_reports(reports, 1_000 * second)
    assert [each.rank for each in state.stragglers(6_000)] == [3]
