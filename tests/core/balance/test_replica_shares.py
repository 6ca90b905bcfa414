"""Replica shares bring the slowest rank close to the optimal time."""

from itertools import combinations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance import shares
from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import Placement, assign_evenly
from azurefold.core.balance.shares import balance_replica_loads, build_layer_loads


def optimal_slowest_time(state):
    """Return the exact optimum, which the tightest set of ranks determines.

    Load of experts that only a set of ranks holds cannot go elsewhere. The set
    therefore takes at least that load over its speed. By max-flow min-cut, the largest
    of these lower bounds can be reached.
    """
    ranks = range(len(state.rank_loads))
    rank_sets = [set(chosen) for k in ranks for chosen in combinations(ranks, k + 1)]
    return max(
        sum(
            load
            for load, hosts in zip(state.expert_loads, state.hosts, strict=True)
            if set(hosts) <= rank_set
        )
        / sum(state.speeds[rank] for rank in rank_set)
        for rank_set in rank_sets
    )


@st.composite
def layer_loads(draw):
    n_ranks = draw(st.integers(2, 5))
    loads = draw(st.lists(st.floats(0.1, 100), min_size=6, max_size=6))
    hosts = st.sets(st.integers(0, n_ranks - 1), min_size=1)
    hosts_by_expert = [draw(hosts) for _ in loads]
    ranks = tuple(
        tuple(
            expert
            for expert, expert_hosts in enumerate(hosts_by_expert)
            if rank in expert_hosts
        )
        for rank in range(n_ranks)
    )
    speeds = draw(st.lists(st.floats(0.4, 1), min_size=n_ranks, max_size=n_ranks))
    return build_layer_loads(assign_evenly(Placement(6, 6, ranks)), loads, speeds)


def check_near_optimum(state):
    balance_replica_loads(state, max_sweeps=2_000)
    assert state.slowest_time <= optimal_slowest_time(state) * 1.02 + 1e-9


@given(layer_loads())
def test_slowest_time_is_near_the_optimum(state):
    check_near_optimum(state)


def test_mutant_that_keeps_even_shares_is_detected(monkeypatch):
    placement = Placement(3, 2, ((0, 1), (0, 2)))
    loads = [10.0, 8.0, 1.0]
    check_near_optimum(build_layer_loads(assign_evenly(placement), loads, [1.0, 1.0]))
    monkeypatch.setattr(shares, "_water_fill", lambda state, expert: None)
    with pytest.raises(AssertionError):
        check_near_optimum(
            build_layer_loads(assign_evenly(placement), loads, [1.0, 1.0])
        )


@given(st.lists(st.floats(0, 100), min_size=1, max_size=20), st.integers(1, 6))
def test_packing_gives_every_expert_a_slot(loads, n_ranks):
    slots_per_rank = -(-len(loads) // n_ranks) + 1
    assert pack_experts(loads, n_ranks, slots_per_rank).find_violations() == ()


def test_packing_rejects_too_few_slots():
    with pytest.raises(ValueError, match="add ranks or slots"):
        pack_experts([1.0] * 5, n_ranks=2, slots_per_rank=2)
