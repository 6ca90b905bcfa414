"""The benchmarks of routing and limits run and report results for their targets."""

import pytest
from bench import limits, routing


@pytest.mark.parametrize("benchmark", [routing, limits])
def test_tiny_run_reports_every_target_reproducibly(benchmark):
    report = benchmark.run("tiny")
    assert report["targets"]
    assert all(result["value"] >= 0 for result in report["targets"].values())
    assert benchmark.run("tiny")["targets"] == report["targets"]
