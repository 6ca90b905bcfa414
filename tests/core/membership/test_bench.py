"""The measurement of membership runs, and its figures are within budget."""

import pytest
from bench.membership import SIZES, run

from azurefold.core.membership.messages import Timing

BUDGET_BYTES = 2_000
SWEPT = {"bytes_per_s", "datagrams_per_s", "cpu_share_of_core"}


@pytest.fixture(scope="module")
def figures():
    return run("tiny")


def test_traffic_is_within_the_budget(figures):
    assert 0 < figures["traffic"]["control"]["bytes_per_s_max"] <= BUDGET_BYTES
    assert 0 < figures["traffic"]["endpoint"]["bytes_per_s_max"] <= BUDGET_BYTES


def test_slopes_have_four_sizes_or_more(figures):
    for sweep in ("by_endpoints", "by_controls"):
        assert figures[sweep].keys() == SWEPT
        assert all(len(fit["sizes"]) >= 4 for fit in figures[sweep].values())
    full = SIZES["full"]
    assert (full.controls, full.endpoints) == (39, 390)


def test_death_is_noticed_in_its_term_and_leaving_at_once(figures):
    for loss in ("loss_0", "loss_5"):
        death = figures["detection_of_death"][loss]
        assert death["last"]["max_ms"] <= Timing().expiry + 3_000
        leaving = figures["news_of_leaving"][loss]
        assert leaving["last"]["max_ms"] <= 3_000


def test_five_in_a_hundred_lost_declares_nobody_gone(figures):
    lost_few = figures["false_declarations"][0]
    assert lost_few["loss"] == 0.05
    assert lost_few["declared_gone"] == 0


def test_a_cut_heals(figures):
    assert figures["cut_in_halves"]["agree_after_ms"] is not None
