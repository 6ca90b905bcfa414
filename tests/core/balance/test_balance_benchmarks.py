"""The benchmarks run at a tiny size; the measured figures are not checked."""

import json

from bench import balance, balance_cpu
from bench.__main__ import render


def test_balance_benchmark_runs_and_renders():
    result = balance.run("tiny")
    names = {row["balancer"] for row in result["rows"]}
    assert {"never move", "interval re-pack", "threshold re-pack"} <= names
    assert {target["met"] for target in result["targets"]} <= {"met", "not met"}
    assert json.loads(json.dumps(result)) == result
    assert "azurefold, Hinokuni" in render(result)


def test_cpu_benchmark_times_each_shape():
    rows = balance_cpu.run("tiny")["rows"]
    assert [(row["experts"], row["ranks"]) for row in rows][0] == (256, 32)
    assert {row["met"] for row in rows} <= {"met", "not met"}
