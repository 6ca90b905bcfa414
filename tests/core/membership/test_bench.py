"""The membership benchmark runs, and its results are within their budgets."""

import pytest
from bench.membership import SIZES, run

from azurefold.core.membership.messages import Timing

BUDGET_BYTES = 2_000
SWEPT_METRICS = {"bytes_per_s", "datagrams_per_s", "cpu_share_of_core"}


@pytest.fixture(scope="module")
def figures():
    return run("tiny")


def test_traffic_is_within_the_budget(figures):
    assert 0 < figures["traffic"]["control"]["bytes_per_s_max"] <= BUDGET_BYTES
    assert 0 < figures["traffic"]["endpoint"]["bytes_per_s_max"] <= BUDGET_BYTES


def test_sweeps_have_at_least_four_sizes(figures):
    for sweep in ("by_endpoints", "by_controls"):
        assert figures[sweep].keys() == SWEPT_METRICS
        assert all(len(fit["sizes"]) >= 4 for fit in figures[sweep].values())
    full = SIZES["full"]
    assert (full.controls, full.endpoints) == (39, 390)


def test_failures_and_departures_are_detected_in_time(figures):
    for loss in ("loss_0", "loss_5"):
        failure = figures["detection_of_death"][loss]
        assert failure["last"]["max_ms"] <= Timing().expire_after_ms + 3_000
        leaving = figures["news_of_leaving"][loss]
        assert leaving["last"]["max_ms"] <= 3_000


def test_five_percent_loss_causes_no_false_declaration(figures):
    low_loss = figures["false_declarations"][0]
    assert low_loss["loss"] == 0.05
    assert low_loss["declared_gone"] == 0


def test_controls_agree_after_a_partition(figures):
    assert figures["cut_in_halves"]["agree_after_ms"] is not None
