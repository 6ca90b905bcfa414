"""A short soak: misbehaving callers press gateways while signals come in series."""

import pytest

from azurefold_standins.crowd_soak import run_crowd_soak

pytestmark = pytest.mark.scenario


@pytest.mark.parametrize("seed", [3, 11])
def test_a_short_soak_of_misbehaving_callers_holds(tmp_path, seed):
    soak = run_crowd_soak(seed, seconds=6.0, folder=tmp_path)
    assert soak.findings == []
    assert sum(caller.requests for caller in soak.misbehaving) > 0
    assert sum(soak.signals.values()) > 0
