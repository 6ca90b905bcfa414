"""Prices, windows and limits decide which moves are taken, and it says why."""

import math

import pytest

from azurefold.core.balance.moves import count_weight_loads
from azurefold.core.balance.policy import BalancePolicy, MoveWindow, move_factor
from azurefold.core.balance.proposal import MoveReason
from azurefold.core.balance.search import _Search, propose_layer, propose_rebalance

HOUR = 3_600_000


def reasons(decided):
    return {judged.reason for judged in decided.rejected}


def test_a_hot_expert_is_replicated(hot_layer, policy):
    decided = propose_layer(hot_layer, policy, 0, weight_loads_left=8)
    assert [judged.move.expert for judged in decided.accepted][:1] == [15]
    assert decided.excess_after < decided.excess_after_resharing / 2


def test_no_move_is_taken_in_booking_hours(hot_layer, booking_policy):
    """A confirmation delayed by moves.

    Symptom: confirmations slow down around ten in the morning. Sequence:
    booking hours begin, popularity drifts, experts are moved. Cause: a move
    costs more in those hours than its gain, but was priced as at night.
    """
    by_day = propose_layer(hot_layer, booking_policy, 10 * HOUR, weight_loads_left=8)
    by_night = propose_layer(hot_layer, booking_policy, 2 * HOUR, weight_loads_left=8)
    assert not by_day.accepted
    assert MoveReason.WINDOW_TOO_COSTLY in reasons(by_day)
    assert by_night.accepted


def test_mutant_without_windows_moves_in_booking_hours(hot_layer, policy):
    with pytest.raises(AssertionError):
        assert not propose_layer(
            hot_layer, policy, 10 * HOUR, weight_loads_left=8
        ).accepted


def test_a_window_can_forbid_moves_and_go_over_midnight(hot_layer):
    night = MoveWindow(22 * HOUR, 4 * HOUR, factor=math.inf)
    policy = BalancePolicy(1e9, 1.0, move_windows=(night,))
    assert [move_factor(policy, h * HOUR) for h in (23, 3, 4)] == [
        math.inf,
        math.inf,
        1.0,
    ]
    assert not propose_layer(hot_layer, policy, 23 * HOUR, weight_loads_left=8).accepted


def test_the_limit_of_loads_is_shared_by_all_layers(hot_layer, policy):
    limited = BalancePolicy(policy.skew_weight, policy.move_weight, max_weight_loads=1)
    proposal = propose_rebalance([hot_layer, hot_layer], limited, 0)
    taken = [judged for layer in proposal.layers for judged in layer.accepted]
    assert sum(count_weight_loads(judged.move) for judged in taken) == 1
    assert proposal.weight_loads_used == 1
    assert MoveReason.LOAD_LIMIT_REACHED in reasons(proposal.layers[1])


def test_a_move_that_costs_more_than_it_gains_is_left(hot_layer):
    stingy = BalancePolicy(skew_weight=1e-6, move_weight=1.0)
    decided = propose_layer(hot_layer, stingy, 0, weight_loads_left=8)
    assert not decided.accepted
    assert MoveReason.GAIN_BELOW_COST in reasons(decided)


def test_a_short_life_of_the_drift_makes_moves_not_worth_it(hot_layer):
    long = BalancePolicy(0.01, 1.0, placement_lifetime=HOUR)
    short = BalancePolicy(0.01, 1.0, placement_lifetime=1_000)
    assert propose_layer(hot_layer, long, 0, weight_loads_left=8).accepted
    assert not propose_layer(hot_layer, short, 0, weight_loads_left=8).accepted


@pytest.mark.parametrize("weights", [(-1.0, 1.0), (1.0, -1.0)])
def test_negative_weights_are_refused(weights):
    with pytest.raises(ValueError, match="must not be negative"):
        BalancePolicy(*weights)


def check_limit(view, limit, weight_loads_left):
    """One layer keeps to what is left of the interval's weight loads."""
    decided = propose_layer(view, BalancePolicy(1.0, 1e-6), 0, weight_loads_left)
    loads = sum(count_weight_loads(judged.move) for judged in decided.accepted)
    assert loads <= limit


def test_mutant_without_a_limit_of_loads_is_caught(hot_layer):
    check_limit(hot_layer, limit=1, weight_loads_left=1)
    with pytest.raises(AssertionError):
        check_limit(hot_layer, limit=1, weight_loads_left=1_000)


def check_twins_are_relieved(view, policy):
    decided = propose_layer(view, policy, 0, weight_loads_left=8)
    assert decided.excess_after < decided.excess_after_resharing / 2
    assert all(judged.gain > judged.cost for judged in decided.accepted)


def test_two_experts_equally_hot_are_relieved_together(twin_layer, policy, monkeypatch):
    """Two slow ranks hold each other up.

    Symptom: a group stays slow though ranks and slots are free. Sequence: two
    experts on two ranks become equally hot. Cause: relieving one leaves the
    other as slow, so neither move alone gains anything and none is taken.
    """
    check_twins_are_relieved(twin_layer, policy)
    monkeypatch.setattr(_Search, "_paying_pair", lambda self, trials: [])
    with pytest.raises(AssertionError):
        check_twins_are_relieved(twin_layer, policy)
