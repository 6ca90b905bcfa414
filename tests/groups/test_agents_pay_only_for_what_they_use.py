"""Agents of plain services do without gRPC, which ranks' agents need."""

import subprocess
import sys

import pytest

LOADED = "import sys, {module}; print('grpc' in sys.modules)"


@pytest.mark.parametrize(
    ("module", "loads_grpc"),
    [("azurefold.agent.service", False), ("azurefold.agent.expert_maps", True)],
)
def test_only_agents_of_ranks_load_grpc(module, loads_grpc):
    """Symptom: small slots of plain services run out of memory."""
    code = LOADED.format(module=module)
    path = ":".join(sys.path)
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": path},
    )
    assert done.stdout.strip() == str(loads_grpc)
