"""Runs scenario files: ``python -m azurefold_standins.scenario FILE...``."""

import sys
import tempfile
from pathlib import Path

from azurefold.border.findings import FindingsError
from azurefold_standins.scenario.parser import parse_scenario
from azurefold_standins.scenario.runner import StepFailedError, run_scenario
from azurefold_standins.scenario.world import new_world

_FAILED = 1
_BAD_FILE = 2


def main() -> int:
    """Run each file on a site of its own; 0 if all held."""
    codes = [_run(Path(name)) for name in sys.argv[1:]]
    return max(codes, default=_BAD_FILE)


def _run(path: Path) -> int:
    try:
        scenario = parse_scenario(path.name, path.read_text("utf-8"))
    except (FindingsError, OSError) as error:
        print(error, file=sys.stderr)
        return _BAD_FILE
    world = new_world(scenario.given, Path(tempfile.mkdtemp(prefix="azurefold-")))
    try:
        run_scenario(scenario, world, path.stem)
    except StepFailedError as error:
        print(f"{error}\nlogs: {world.site.folder}", file=sys.stderr)
        return _FAILED
    finally:
        world.site.processes.kill_all()
    print(f"{path.name}: held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
