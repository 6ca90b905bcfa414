"""Replicas share an expert's load so that no rank is slower than it must be."""

from itertools import combinations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance import shares
from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import Placement, assign_evenly
from azurefold.core.balance.shares import balance_replica_loads, build_layer_loads


def best_slowest(state):
    """Return the exact optimum: the tightest set of ranks decides it.

    Experts held only within a set of ranks have nowhere else to go, so the set
    takes at least their load over its speed; by max-flow min-cut the largest
    such value can be reached.
    """
    ranks = range(len(state.totals))
    sets = [set(s) for k in ranks for s in combinations(ranks, k + 1)]
    return max(
        sum(
            load
            for load, hosts in zip(state.loads, state.hosts, strict=True)
            if set(hosts) <= chosen
        )
        / sum(state.speeds[rank] for rank in chosen)
        for chosen in sets
    )


@st.composite
def states(draw):
    n_ranks = draw(st.integers(2, 5))
    loads = draw(st.lists(st.floats(0.1, 100), min_size=6, max_size=6))
    hosts = st.sets(st.integers(0, n_ranks - 1), min_size=1)
    held = [draw(hosts) for _ in loads]
    ranks = tuple(
        tuple(e for e, on in enumerate(held) if rank in on) for rank in range(n_ranks)
    )
    speeds = draw(st.lists(st.floats(0.4, 1), min_size=n_ranks, max_size=n_ranks))
    return build_layer_loads(assign_evenly(Placement(6, 6, ranks)), loads, speeds)


def check_near_optimum(state):
    balance_replica_loads(state, max_sweeps=2_000)
    assert state.slowest <= best_slowest(state) * 1.02 + 1e-9


@given(states())
def test_the_slowest_rank_comes_near_the_exact_optimum(state):
    check_near_optimum(state)


def test_mutant_that_keeps_even_shares_is_caught(monkeypatch):
    placement = Placement(3, 2, ((0, 1), (0, 2)))
    loads = [10.0, 8.0, 1.0]
    check_near_optimum(build_layer_loads(assign_evenly(placement), loads, [1.0, 1.0]))
    monkeypatch.setattr(shares, "_fill", lambda state, expert: None)
    with pytest.raises(AssertionError):
        check_near_optimum(
            build_layer_loads(assign_evenly(placement), loads, [1.0, 1.0])
        )


@given(st.lists(st.floats(0, 100), min_size=1, max_size=20), st.integers(1, 6))
def test_packing_gives_every_expert_a_slot(loads, n_ranks):
    slots = -(-len(loads) // n_ranks) + 1
    assert pack_experts(loads, n_ranks, slots).find_violations() == ()


def test_packing_says_when_slots_are_too_few():
    with pytest.raises(ValueError, match="add ranks or slots"):
        pack_experts([1.0] * 5, n_ranks=2, slots_per_rank=2)
