"""Proposals are valid, stay within their limits and are worth their cost."""

from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance import move_search, moves
from azurefold.core.balance.move_search import (
    compute_cost,
    propose_layer,
    propose_rebalance,
)
from azurefold.core.balance.moves import Drop, apply_move, count_weight_loads
from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import assign_evenly, validate_assignment
from azurefold.core.balance.policy import BalancePolicy, ReplicaSplit, move_factor
from azurefold.core.balance.proposal import LayerView, MoveReason
from azurefold.core.balance.shares import build_layer_loads

DAY_MS = 24 * 3_600_000
expert_rates = st.lists(st.floats(0, 1_000), min_size=12, max_size=12).map(tuple)


@st.composite
def views(draw):
    n_ranks = draw(st.integers(2, 6))
    slots_per_rank = draw(st.integers(-(-12 // n_ranks), 12))
    packed = pack_experts(draw(expert_rates), n_ranks, slots_per_rank)
    speeds = draw(st.tuples(*[st.floats(0.4, 1.0)] * n_ranks))
    return LayerView(0, draw(expert_rates), assign_evenly(packed), speeds)


policies = st.builds(
    BalancePolicy,
    skew_weight=st.floats(0, 10),
    move_weight=st.floats(0, 10),
    max_weight_loads=st.integers(0, 6),
    split=st.sampled_from(ReplicaSplit),
)


def check_proposal(view, policy, time_of_day=0):
    """Return the proposal for a layer after checking its invariants."""
    proposal = propose_layer(view, policy, time_of_day, policy.max_weight_loads)
    validate_assignment(proposal.assignment)
    weight_loads = sum(
        count_weight_loads(evaluated.move) for evaluated in proposal.accepted
    )
    assert weight_loads <= policy.max_weight_loads
    if proposal.accepted:
        factor = move_factor(policy, time_of_day)
        excess = build_layer_loads(proposal.assignment, view.rates, view.speeds).excess
        cost_after = compute_cost(policy, excess, weight_loads, factor)
        cost_before = compute_cost(policy, proposal.excess_after_resharing, 0, factor)
        assert cost_after < cost_before + 1e-6
    for evaluated in proposal.accepted:
        assert evaluated.gain > evaluated.cost
    return proposal


@given(views(), policies)
def test_proposal_is_valid_and_lowers_the_cost(view, policy):
    check_proposal(view, policy)


@given(views(), policies)
def test_proposals_are_deterministic(view, policy):
    assert propose_rebalance([view], policy, 0) == propose_rebalance([view], policy, 0)


@given(views(), st.lists(expert_rates, min_size=2, max_size=5), policies)
def test_proposals_stay_valid_while_popularity_drifts(view, drift, policy):
    for rates in drift:
        proposal = check_proposal(view, policy)
        view = LayerView(0, rates, proposal.assignment, view.speeds)


@given(views(), policies)
def test_no_load_is_lost_when_shares_change(view, policy):
    proposal = propose_layer(view, policy, 0, policy.max_weight_loads)
    total_load = sum(proposal.assignment.rank_loads(view.rates))
    assert total_load == pytest.approx(sum(view.rates))


def test_only_replica_is_never_removed(hot_layer):
    """Guards against steps that fail on all ranks because an expert has no slot.

    Popularity changes, and the only slot of a cold expert is given to a hot one. Tokens
    are then routed to an expert that no rank holds.
    """
    state = build_layer_loads(hot_layer.assignment, hot_layer.rates, hot_layer.speeds)
    expert = next(expert for expert, hosts in enumerate(state.hosts) if len(hosts) == 1)
    with pytest.raises(ValueError, match="only replica of expert"):
        apply_move(state, Drop(expert, state.hosts[expert][0]))


def check_drop_leaves_slots(view, expert):
    state = build_layer_loads(view.assignment, view.rates, view.speeds)
    with suppress(ValueError):
        apply_move(state, Drop(expert, state.hosts[expert][0]))
    assert all(state.hosts)


def test_mutant_that_removes_only_replicas_is_detected(hot_layer, monkeypatch):
    def remove_always(state, expert, rank):
        index = state.hosts[expert].index(rank)
        state.hosts[expert].pop(index)
        state.rank_loads[rank] -= state.replica_loads[expert].pop(index)

    check_drop_leaves_slots(hot_layer, expert=15)
    monkeypatch.setattr(moves, "_remove_replica", remove_always)
    with pytest.raises(AssertionError):
        check_drop_leaves_slots(hot_layer, expert=15)


def test_mutant_that_accepts_every_move_is_detected(hot_layer, monkeypatch):
    costly_policy = BalancePolicy(skew_weight=0.0001, move_weight=100.0)
    check_proposal(hot_layer, costly_policy)
    monkeypatch.setattr(
        move_search._MoveSearch, "_classify", lambda *_: MoveReason.GAIN_ABOVE_COST
    )
    with pytest.raises(AssertionError):
        check_proposal(hot_layer, costly_policy)
