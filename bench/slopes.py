"""Measure the slopes of all roles: ``python -m bench.slopes [tiny|full] [part ...]``.

A part is a module and a name, such as ``core.maps``; all are measured if none is
named. Each runs in a process of its own, some at a time, and what is found goes
into ``out/slopes.json``, beside what earlier runs found of other parts.
``python -m bench.slopes_page`` takes it into docs/CAPACITY.md.
"""

import importlib
import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

__all__ = ["OUT", "main"]

OUT = Path("out") / "slopes.json"
_MODULES = ("core", "changes", "control", "groups", "requests")
_AT_ONCE = 3
_ONE = "--one"


def main(arguments: list[str]) -> int:
    """Measure the parts that are named, all by default."""
    if arguments[:1] == [_ONE]:
        print(json.dumps(_measured(*arguments[1:])))
        return 0
    size = arguments[0] if arguments else "full"
    wanted = arguments[1:] or _parts()
    with ThreadPoolExecutor(_AT_ONCE) as pool:
        found = list(pool.map(lambda part: _in_a_process(part, size), wanted))
    _keep([each for each in found if each is not None])
    return 0 if all(each is not None for each in found) else 1


def _parts() -> list[str]:
    return [f"{name}.{part}" for name in _MODULES for part in _module(name).PARTS]


def _module(name: str):
    return importlib.import_module(f"bench.slopes_{name}")


def _measured(part: str, size: str) -> dict[str, dict]:
    module, _, name = part.partition(".")
    return _module(module).measure_part(size, name)


def _in_a_process(part: str, size: str) -> dict[str, dict] | None:
    begun = time.monotonic()
    command = [sys.executable, "-m", "bench.slopes", _ONE, part, size]
    done = subprocess.run(command, stdout=subprocess.PIPE, check=False)
    passed = time.monotonic() - begun
    print(f"{part}: exit code {done.returncode} after {passed:.0f} s", flush=True)
    return json.loads(done.stdout) if done.returncode == 0 else None


def _keep(found: list[dict[str, dict]]) -> None:
    kept = json.loads(OUT.read_text("utf-8")) if OUT.exists() else {}
    for each in found:
        kept.update(each)
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(kept, indent=1, sort_keys=True) + "\n", "utf-8")
    print(f"written to {OUT}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
