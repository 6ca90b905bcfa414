"""The storm of repeats works at its smallest size."""

import pytest
from bench.storm import run

pytestmark = pytest.mark.scenario


def test_no_key_runs_twice_in_a_small_storm():
    figures = run("tiny")
    assert figures["most_runs_per_key"] <= 1
    assert figures["calls"] == 3 * figures["keys"]
    told = figures["answered"] + figures["refused"] + figures["unknown"]
    assert told == figures["calls"]
