"""The benchmarks of routing and limits run and give their figures."""

import pytest
from bench import limits, routing


@pytest.mark.parametrize("benchmark", [routing, limits])
def test_a_tiny_run_judges_every_target_and_repeats_itself(benchmark):
    found = benchmark.run("tiny")
    assert found["targets"]
    assert all(verdict["value"] >= 0 for verdict in found["targets"].values())
    assert benchmark.run("tiny")["targets"] == found["targets"]
