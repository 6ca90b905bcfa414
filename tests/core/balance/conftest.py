"""Fixtures shared by the tests of the expert balance."""

import pytest

from azurefold.core.balance.packing import pack_experts
from azurefold.core.balance.placement import Placement, assign_evenly
from azurefold.core.balance.policy import BalancePolicy, MoveWindow
from azurefold.core.balance.proposal import LayerView

HOUR_MS = 3_600_000


@pytest.fixture
def hot_layer():
    """Sixteen experts on four ranks; one became hot after they were packed."""
    packed = pack_experts([10.0] * 16, n_ranks=4, slots_per_rank=5)
    rates = (10.0,) * 15 + (120.0,)
    return LayerView(0, rates, assign_evenly(packed), (1.0,) * 4)


@pytest.fixture
def two_hot_experts_layer():
    """Six experts on six ranks with a free slot each; two are equally hot."""
    placement = Placement(6, 2, tuple((expert,) for expert in range(6)))
    rates = (60.0, 60.0, 10.0, 10.0, 10.0, 10.0)
    return LayerView(0, rates, assign_evenly(placement), (1.0,) * 6)


@pytest.fixture
def policy():
    return BalancePolicy(skew_weight=1.0, move_weight=1.0)


@pytest.fixture
def booking_policy():
    window = MoveWindow(9 * HOUR_MS, 14 * HOUR_MS, factor=1e6)
    return BalancePolicy(skew_weight=1.0, move_weight=1.0, move_windows=(window,))
