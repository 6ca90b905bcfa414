"""Whatever drifts, every expert has a slot, no rank overflows, moves pay."""

from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance import moves, search
from azurefold.core.balance.moves import Drop, apply_move, count_weight_loads
from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import assign_evenly, validate_assignment
from azurefold.core.balance.policy import BalancePolicy, ReplicaSplit, move_factor
from azurefold.core.balance.proposal import LayerView, MoveReason
from azurefold.core.balance.search import compute_cost, propose_layer, propose_rebalance
from azurefold.core.balance.shares import build_layer_loads

DAY_MS = 24 * 3_600_000
rates_of = st.lists(st.floats(0, 1_000), min_size=12, max_size=12).map(tuple)


@st.composite
def views(draw):
    n_ranks = draw(st.integers(2, 6))
    slots = draw(st.integers(-(-12 // n_ranks), 12))
    start = pack_experts(draw(rates_of), n_ranks, slots)
    speeds = draw(st.tuples(*[st.floats(0.4, 1.0)] * n_ranks))
    return LayerView(0, draw(rates_of), assign_evenly(start), speeds)


policies = st.builds(
    BalancePolicy,
    skew_weight=st.floats(0, 10),
    move_weight=st.floats(0, 10),
    max_weight_loads=st.integers(0, 6),
    split=st.sampled_from(ReplicaSplit),
)


def check_decision(view, policy, time_of_day=0):
    """Hold a decision against all that must be true of it."""
    decided = propose_layer(view, policy, time_of_day, policy.max_weight_loads)
    validate_assignment(decided.assignment)
    loads = sum(count_weight_loads(judged.move) for judged in decided.accepted)
    assert loads <= policy.max_weight_loads
    if decided.accepted:
        factor = move_factor(policy, time_of_day)
        proposed = build_layer_loads(decided.assignment, view.rates, view.speeds).excess
        after = compute_cost(policy, proposed, loads, factor)
        before = compute_cost(policy, decided.excess_after_resharing, 0, factor)
        assert after < before + 1e-6
    for judged in decided.accepted:
        assert judged.gain > judged.cost
    return decided


@given(views(), policies)
def test_a_decision_is_sound_and_lowers_the_objective(view, policy):
    check_decision(view, policy)


@given(views(), policies)
def test_the_same_view_always_gets_the_same_decision(view, policy):
    assert propose_rebalance([view], policy, 0) == propose_rebalance([view], policy, 0)


@given(views(), st.lists(rates_of, min_size=2, max_size=5), policies)
def test_soundness_lasts_through_a_day_of_drift(view, drift, policy):
    for rates in drift:
        decided = check_decision(view, policy)
        view = LayerView(0, rates, decided.assignment, view.speeds)


@given(views(), policies)
def test_no_load_is_lost_when_shares_change(view, policy):
    decided = propose_layer(view, policy, 0, policy.max_weight_loads)
    total = sum(decided.assignment.rank_loads(view.rates))
    assert total == pytest.approx(sum(view.rates))


def test_an_only_replica_is_never_removed(hot_layer):
    """An expert without a slot.

    Symptom: a step fails on all ranks, since tokens are routed to an expert
    that none holds. Sequence: popularity moves on; a cold expert's slot is
    given to a hot one. Cause: the slot was that expert's only one.
    """
    state = build_layer_loads(hot_layer.assignment, hot_layer.rates, hot_layer.speeds)
    expert = next(e for e, hosts in enumerate(state.hosts) if len(hosts) == 1)
    with pytest.raises(ValueError, match="without a slot"):
        apply_move(state, Drop(expert, state.hosts[expert][0]))


def check_drop_leaves_slots(view, expert):
    state = build_layer_loads(view.assignment, view.rates, view.speeds)
    with suppress(ValueError):
        apply_move(state, Drop(expert, state.hosts[expert][0]))
    assert all(state.hosts)


def test_mutant_that_removes_only_replicas_is_caught(hot_layer, monkeypatch):
    def remove_anyway(state, expert, rank):
        index = state.hosts[expert].index(rank)
        state.hosts[expert].pop(index)
        state.totals[rank] -= state.parts[expert].pop(index)

    check_drop_leaves_slots(hot_layer, expert=15)
    monkeypatch.setattr(moves, "_remove", remove_anyway)
    with pytest.raises(AssertionError):
        check_drop_leaves_slots(hot_layer, expert=15)


def test_mutant_that_takes_every_move_is_caught(hot_layer, monkeypatch):
    dear = BalancePolicy(skew_weight=0.0001, move_weight=100.0)
    check_decision(hot_layer, dear)
    monkeypatch.setattr(search._Search, "_judge", lambda *_: MoveReason.GAIN_ABOVE_COST)
    with pytest.raises(AssertionError):
        check_decision(hot_layer, dear)
