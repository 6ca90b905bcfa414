"""Processor time and duration of a gateway's start, up to its first connection."""

import json
import os
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from azurefold_standins.site import free_port

_STARTS = {"tiny": 2, "full": 9}
_POLL_S = 0.002
_LONGEST_S = 60.0


def run(size: str) -> dict[str, float]:
    """Return medians over some starts, in milliseconds."""
    with tempfile.TemporaryDirectory() as folder:
        starts = [start_once(Path(folder), n) for n in range(_STARTS[size])]
    cpu, wall = zip(*starts, strict=True)
    return {"cpu_ms": statistics.median(cpu), "wall_ms": statistics.median(wall)}


def start_once(folder: Path, number: int) -> tuple[float, float]:
    """Start a gateway whose store is away, and end it once it accepts a connection.

    Returns
    -------
    tuple of (float, float)
        Processor time of the process, and time until it accepted, in milliseconds.
    """
    ip = f"127.78.{os.getpid() % 250}.{number % 250 + 1}"
    settings = folder / f"{number}.json"
    front = (ip, free_port(ip))
    settings.write_text(json.dumps(_settings(front)), "utf-8")
    arguments = [sys.executable, "-m", "azurefold.gateway", str(settings)]
    used = _children_ms()
    began = time.monotonic()
    process = subprocess.Popen(arguments, stdout=subprocess.DEVNULL)
    try:
        while not _accepts(front):
            if time.monotonic() - began > _LONGEST_S or process.poll() is not None:
                raise TimeoutError("the gateway accepted no connection")
            time.sleep(_POLL_S)
        wall_ms = 1_000 * (time.monotonic() - began)
    finally:
        process.kill()
        process.wait()
    return _children_ms() - used, wall_ms


def _settings(front: tuple[str, int]) -> dict[str, object]:
    ip, port = front
    ports = [free_port(ip) for _ in range(3)]
    return {
        "NodeName": "gateway",
        "Zone": "dc-a",
        "Listen": {"Frontend": f"{ip}:{port}", "Ready": f"{ip}:{ports[0]}"},
        "PortRange": [ports[1], ports[1]],
        "Bootstrap": True,
        "HeartbeatMs": 1200,
        "Bounds": {
            "GraceS": 8,
            "RetryRatio": 0.2,
            "RetrySlack": 9,
            "RetryWindowS": 10,
        },
        "Platform": {"Address": f"{ip}:{ports[2]}"},
    }


def _accepts(address: tuple[str, int]) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex(address) == 0


def _children_ms() -> float:
    """Processor time of all children that have ended."""
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return 1_000 * (used.ru_utime + used.ru_stime)
