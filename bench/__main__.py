"""Run every benchmark: ``python -m bench [tiny|full] [name ...]``.

Each module of this package that has a ``run(size)`` takes part, or only those
named. One table is printed for each, and all go to ``out/bench.json``.
"""

import importlib
import json
import pkgutil
import sys
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType

import bench

_SIZES = ("tiny", "full")
_OUT = Path("out") / "bench.json"


def main(arguments: list[str]) -> int:
    """Run the benchmarks that ``arguments`` name, all by default."""
    size = arguments[0] if arguments else "full"
    if size not in _SIZES:
        print(f"the size is one of {', '.join(_SIZES)}, not {size!r}", file=sys.stderr)
        return 2
    results = {}
    for module in _modules(arguments[1:]):
        name = module.__name__.removeprefix("bench.")
        results[name] = module.run(size)
        print(f"== {name}\n{render(results[name])}\n", flush=True)
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")
    print(f"written to {_OUT}")
    return 0


def _modules(names: list[str]) -> Iterator[ModuleType]:
    for info in pkgutil.iter_modules(bench.__path__):
        if info.name == "__main__" or (names and info.name not in names):
            continue
        module = importlib.import_module(f"bench.{info.name}")
        if hasattr(module, "run"):
            yield module


def render(result: object, heading: str = "") -> str:
    """Return a benchmark's result as text; a list of mappings becomes a table."""
    match result:
        case dict():
            blocks = (render(value, str(key)) for key, value in result.items())
            return "\n".join(filter(None, blocks))
        case [dict(), *_]:
            return f"\n{heading}\n{_table(result)}"
        case _:
            return f"{heading}: {result}"


def _table(rows: list[dict]) -> str:
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [columns] + [[str(row.get(key, "")) for key in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
