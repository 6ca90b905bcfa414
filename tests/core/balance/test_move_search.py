"""Costs, windows and limits decide which moves are accepted, each with its reason."""

import math

import pytest

from azurefold.core.balance.move_search import (
    _MoveSearch,
    propose_layer,
    propose_rebalance,
)
from azurefold.core.balance.moves import count_weight_loads
from azurefold.core.balance.policy import BalancePolicy, MoveWindow, move_factor
from azurefold.core.balance.proposal import MoveReason

HOUR_MS = 3_600_000


def rejection_reasons(proposal):
    return {evaluated.reason for evaluated in proposal.rejected}


def test_hot_expert_is_replicated(hot_layer, policy):
    proposal = propose_layer(hot_layer, policy, 0, weight_loads_left=8)
    assert [evaluated.move.expert for evaluated in proposal.accepted][:1] == [15]
    assert proposal.excess_after < proposal.excess_after_resharing / 2


def test_no_move_is_accepted_in_booking_hours(hot_layer, booking_policy):
    """Guards against confirmations that are delayed by moves in booking hours.

    Popularity drifts around ten in the morning and experts are moved. In those hours
    a move costs more than its gain, but its cost was computed as at night.
    """
    by_day = propose_layer(hot_layer, booking_policy, 10 * HOUR_MS, weight_loads_left=8)
    by_night = propose_layer(
        hot_layer, booking_policy, 2 * HOUR_MS, weight_loads_left=8
    )
    assert not by_day.accepted
    assert MoveReason.WINDOW_TOO_COSTLY in rejection_reasons(by_day)
    assert by_night.accepted


def test_mutant_without_windows_moves_in_booking_hours(hot_layer, policy):
    with pytest.raises(AssertionError):
        assert not propose_layer(
            hot_layer, policy, 10 * HOUR_MS, weight_loads_left=8
        ).accepted


def test_window_can_forbid_moves_and_span_midnight(hot_layer):
    night = MoveWindow(22 * HOUR_MS, 4 * HOUR_MS, factor=math.inf)
    policy = BalancePolicy(1e9, 1.0, move_windows=(night,))
    assert [move_factor(policy, hour * HOUR_MS) for hour in (23, 3, 4)] == [
        math.inf,
        math.inf,
        1.0,
    ]
    assert not propose_layer(
        hot_layer, policy, 23 * HOUR_MS, weight_loads_left=8
    ).accepted


def test_weight_load_limit_is_shared_by_all_layers(hot_layer, policy):
    limited_policy = BalancePolicy(
        policy.skew_weight, policy.move_weight, max_weight_loads=1
    )
    proposal = propose_rebalance([hot_layer, hot_layer], limited_policy, 0)
    accepted = [evaluated for layer in proposal.layers for evaluated in layer.accepted]
    assert sum(count_weight_loads(evaluated.move) for evaluated in accepted) == 1
    assert proposal.weight_loads_used == 1
    assert MoveReason.LOAD_LIMIT_REACHED in rejection_reasons(proposal.layers[1])


def test_move_that_costs_more_than_it_gains_is_rejected(hot_layer):
    costly_policy = BalancePolicy(skew_weight=1e-6, move_weight=1.0)
    proposal = propose_layer(hot_layer, costly_policy, 0, weight_loads_left=8)
    assert not proposal.accepted
    assert MoveReason.GAIN_BELOW_COST in rejection_reasons(proposal)


def test_short_placement_lifetime_makes_moves_unprofitable(hot_layer):
    long_lived = BalancePolicy(0.01, 1.0, placement_lifetime=HOUR_MS)
    short_lived = BalancePolicy(0.01, 1.0, placement_lifetime=1_000)
    assert propose_layer(hot_layer, long_lived, 0, weight_loads_left=8).accepted
    assert not propose_layer(hot_layer, short_lived, 0, weight_loads_left=8).accepted


@pytest.mark.parametrize("weights", [(-1.0, 1.0), (1.0, -1.0)])
def test_negative_weights_are_rejected(weights):
    with pytest.raises(ValueError, match="must not be negative"):
        BalancePolicy(*weights)


def check_limit(view, limit, weight_loads_left):
    """Check that one layer stays within the remaining weight loads."""
    proposal = propose_layer(view, BalancePolicy(1.0, 1e-6), 0, weight_loads_left)
    weight_loads = sum(
        count_weight_loads(evaluated.move) for evaluated in proposal.accepted
    )
    assert weight_loads <= limit


def test_mutant_without_weight_load_limit_is_detected(hot_layer):
    check_limit(hot_layer, limit=1, weight_loads_left=1)
    with pytest.raises(AssertionError):
        check_limit(hot_layer, limit=1, weight_loads_left=1_000)


def check_equally_hot_experts_are_relieved(view, policy):
    proposal = propose_layer(view, policy, 0, weight_loads_left=8)
    assert proposal.excess_after < proposal.excess_after_resharing / 2
    assert all(evaluated.gain > evaluated.cost for evaluated in proposal.accepted)


def test_two_equally_hot_experts_are_relieved_together(
    two_hot_experts_layer, policy, monkeypatch
):
    """Guards against a group that stays slow although ranks and slots are free.

    Two experts on two ranks become equally hot. Relieving one rank leaves the other
    as slow as before, so neither move has a gain of its own and none is accepted.
    """
    check_equally_hot_experts_are_relieved(two_hot_experts_layer, policy)
    monkeypatch.setattr(_MoveSearch, "_find_profitable_pair", lambda self, trials: [])
    with pytest.raises(AssertionError):
        check_equally_hot_experts_are_relieved(two_hot_experts_layer, policy)
