"""The text of ``azurefold rebalance --explain``."""

from azurefold.core.balance.explain import explain_proposal
from azurefold.core.balance.move_search import propose_rebalance
from azurefold.core.balance.proposal import LayerView
from azurefold.core.balance.straggler import Straggler

HOUR_MS = 3_600_000


def test_moves_are_shown_with_gain_cost_and_reason(hot_layer, policy):
    text = explain_proposal(propose_rebalance([hot_layer], policy, 0))
    assert "most popular: expert 15 120 tokens/s on 1" in text
    assert "slowest ranks now: rank" in text
    assert "take: replicate expert 15 to rank" in text
    assert "gain" in text
    assert "leave: " in text
    assert "another move gained more" in text


def test_move_factor_and_straggler_are_shown(hot_layer, booking_policy):
    stragglers = (Straggler(2, 1.5, 60_000),)
    text = explain_proposal(
        propose_rebalance([hot_layer], booking_policy, 10 * HOUR_MS, stragglers)
    )
    assert "moves are 1e+06 times dearer" in text
    assert "but not at the price of the present window" in text
    assert "rank 2 is slow as such: 1.50 times the median" in text
    assert "found 1 min ago" in text


def test_balanced_layer_gets_no_new_map(hot_layer, policy):
    idle_layer = LayerView(3, (0.0,) * 16, hot_layer.assignment, hot_layer.speeds)
    text = explain_proposal(propose_rebalance([idle_layer], policy, 0))
    assert "layer 3" in text
    assert "no new map" in text
