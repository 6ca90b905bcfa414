"""Pause caused by a change of expert map between real processes, in steps.

``python -m bench.group_processes 4 32`` starts a group of each size on loopback
with two control processes, orders changes one after the other, and reads the
engine's own count of the step times for which a step was held up. It measures
time on a machine that does other things as well, so it is not among the
benchmarks that ``python -m bench`` runs.
"""

import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from azurefold_standins.processes import wait_until
from azurefold_standins.rank_group import RankGroup, group_layout, rank_group
from azurefold_standins.site import new_site

_CHANGES = 30
_STEP_MS = 5


@dataclass(frozen=True, slots=True)
class Figures:
    """What the changes of one group came to.

    Parameters
    ----------
    ranks, changes, orders : int
        Size, changes in force, and orders that took (given up ones repeated).
    pauses : tuple of int
        Step times for which each held-up step was held up.
    took_ms : float
        Median from the first order of a change to its end, in milliseconds.
    mixed : int
        Steps in which ranks used different maps.
    """

    ranks: int
    changes: int
    orders: int
    pauses: tuple[int, ...]
    took_ms: float
    mixed: int


def measure(ranks: int, folder: Path) -> Figures:
    """Run one group."""
    site = new_site(group_layout(ranks, step_ms=_STEP_MS), folder)
    try:
        group = rank_group(site)
        group.go_on(200)
        before = group.waits()
        took = [_change(group, f"map-{number}") for number in range(_CHANGES)]
        return _figures(group, before, took)
    finally:
        site.processes.kill_all()


def _change(group: RankGroup, map_id: str) -> tuple[int, float]:
    orders = 0

    def in_force() -> bool:
        nonlocal orders
        if group.state(0)["plan"][-1]["map_id"] == map_id and group.is_idle():
            return True
        if group.is_idle():
            orders += group.order(map_id).begun
        return False

    seconds = wait_until(in_force, f"{map_id} is in force")
    return orders, seconds * 1_000


def _figures(
    group: RankGroup, before: dict[int, int], took: list[tuple[int, float]]
) -> Figures:
    steps = group.steps()
    pauses = [n for step, n in group.waits().items() if step not in before]
    return Figures(
        ranks=len(group.endpoints),
        changes=len(took),
        orders=sum(orders for orders, _ in took),
        pauses=tuple(pauses),
        took_ms=round(median(ms for _, ms in took), 1),
        mixed=sum(len(set(maps)) != 1 for _, maps in steps),
    )


if __name__ == "__main__":
    for size in map(int, sys.argv[1:] or ("4",)):
        with tempfile.TemporaryDirectory() as name:
            print(measure(size, Path(name)), flush=True)
