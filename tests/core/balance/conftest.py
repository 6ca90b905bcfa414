"""Fixtures shared by the tests of the balance."""

import pytest

from azurefold.core.balance.packing import pack
from azurefold.core.balance.placement import even_assignment
from azurefold.core.balance.policy import BalancePolicy, MoveWindow
from azurefold.core.balance.proposal import LayerView

HOUR = 3_600_000


@pytest.fixture
def hot_layer():
    """Sixteen experts on four ranks, after one of them has become hot."""
    packed = pack([10.0] * 16, n_ranks=4, slots_per_rank=5)
    rates = (10.0,) * 15 + (120.0,)
    return LayerView(0, rates, even_assignment(packed), (1.0,) * 4)


@pytest.fixture
def policy():
    return BalancePolicy(skew_weight=1.0, move_weight=1.0)


@pytest.fixture
def booking_policy():
    window = MoveWindow(9 * HOUR, 14 * HOUR, factor=1e6)
    return BalancePolicy(skew_weight=1.0, move_weight=1.0, windows=(window,))
