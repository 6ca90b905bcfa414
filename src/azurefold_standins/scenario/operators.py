"""Operators of a scenario, each a process of the ``azurefold`` command."""

import json
from dataclasses import dataclass

from azurefold.commands.reports import Exit
from azurefold_standins.operator import accepted_head
from azurefold_standins.processes import Process
from azurefold_standins.scenario.world import World

__all__ = ["EndedOperator", "check_truth", "race", "start_drain"]

_MODULE = "azurefold.commands.operator"
_FIRST_TIMEOUT_MS = 20_000
_PATIENCE_MS = 30_000
_PROCESS_TIMEOUT_S = 120.0


@dataclass(frozen=True, slots=True)
class EndedOperator:
    """How an operator's command ended.

    Parameters
    ----------
    exit : Exit
    edit_id : str
        Of the edit that the operator was told of as accepted or unknown.
    revision : int
    """

    exit: Exit
    edit_id: str = ""
    revision: int = 0

    @property
    def told_accepted(self) -> bool:
        """Whether the operator was told that the edit was accepted."""
        return self.exit in (Exit.OK, Exit.NOT_REACHED)


def race(world: World, operators: int, base: int) -> list[EndedOperator]:
    """Let operators apply different texts over one base, all at once."""
    started = [_start_apply(world, number, base) for number in range(operators)]
    return [_ended(each) for each in started]


def start_drain(world: World, endpoint: str) -> Process:
    """Start the command that drains an endpoint."""
    name = f"drain-{endpoint}-{world.runs}"
    arguments = _arguments(world, "drain", endpoint, "--timeout_ms", str(_PATIENCE_MS))
    process = Process(name, arguments, world.site.folder / f"{name}.log")
    process.start()
    return process


def check_truth(world: World, ended: list[EndedOperator], base: int) -> int:
    """Compare what operators were told with what is in force.

    Returns
    -------
    int
        1 if one of their edits is in force, otherwise 0.

    Raises
    ------
    AssertionError
        If somebody was told what is not so.
    """
    accepted = [each for each in ended if each.told_accepted]
    assert len(accepted) <= 1, f"several edits of one base were accepted: {ended}"
    head = accepted_head(world.site)
    if head is None or head.revision <= base:
        assert not accepted, f"accepted, and the platform has nothing new: {ended}"
        return 0
    named = [each for each in ended if each.edit_id == head.edit_id]
    assert len(named) == 1, f"nobody was told of the accepted edit: {ended} {head}"
    assert not accepted or accepted == named, f"another edit is accepted: {ended}"
    return 1


def _start_apply(world: World, number: int, base: int) -> Process:
    timeout_ms = _FIRST_TIMEOUT_MS + 1_000 * world.runs + number
    text = world.site.write(f"edit-{number}", world.configuration(timeout_ms))
    arguments = _arguments(
        world, "apply", text, "--base", str(base), "--wait_timeout_ms", "30000"
    )
    log = world.site.folder / f"edit-{number}.log"
    process = Process(f"edit-{number}", arguments, log)
    log.write_bytes(b"")
    process.start()
    return process


def _arguments(world: World, *command: str) -> tuple[str, ...]:
    settings = str(world.site.folder / "operator.jsonc")
    return ("-m", _MODULE, *command, "--settings", settings, "--json")


def _ended(process: Process) -> EndedOperator:
    code = Exit(process.popen.wait(_PROCESS_TIMEOUT_S))
    lines = [line for line in process.output().splitlines() if line.startswith("{")]
    result = json.loads(lines[-1])["result"] if lines else {}
    if code in (Exit.OK, Exit.NOT_REACHED):
        result = result["mark"]
    if code in (Exit.OK, Exit.NOT_REACHED, Exit.UNKNOWN):
        return EndedOperator(code, result["edit_id"], result["revision"])
    return EndedOperator(code)
