"""State and orders of a rank's engine, as seen by its agent.

The engine keeps the plan, the hold and the staged maps while its agent restarts, so it
is the only durable state of the agent. The stored order numbers show which changes the
previous agent process had agreed to or had seen decided.
"""

from dataclasses import dataclass

__all__ = [
    "EngineOrder",
    "EngineReply",
    "EngineState",
    "HoldBefore",
    "PlanEntry",
    "ReadState",
    "StageMap",
    "UseFrom",
    "schedule_from",
]


@dataclass(frozen=True, slots=True)
class PlanEntry:
    """Plan to use ``map_id`` from ``from_step`` on, created by order ``number``."""

    from_step: int
    map_id: str
    number: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """Stored state of one rank's engine.

    Parameters
    ----------
    incarnation : int
        Differs between a rank and its replacement.
    next_step : int
        The first step that has not started.
    plan : tuple of PlanEntry
        Plan entries in ascending order of step; empty on a replaced rank.
    hold : int or None
        The step that does not start until the hold ends; None without a hold.
    hold_number : int
        Number of the order that placed the current or, if there is none, last hold.
    staged : tuple of str
        Maps whose weights are loaded.
    """

    incarnation: int
    next_step: int
    plan: tuple[PlanEntry, ...]
    hold: int | None
    hold_number: int
    staged: tuple[str, ...]

    @property
    def tail(self) -> PlanEntry | None:
        """The last entry of the plan; None on a replaced rank."""
        return self.plan[-1] if self.plan else None

    @property
    def highest_number(self) -> int:
        """The highest order number in the plan and the hold."""
        active_hold_number = self.hold_number if self.hold is not None else 0
        return max([active_hold_number, *(entry.number for entry in self.plan)])

    def entry_of(self, number: int) -> PlanEntry | None:
        """Return the entry created by order ``number``, None if there is none."""
        matching_entries = [entry for entry in self.plan if entry.number == number]
        return matching_entries[0] if matching_entries else None


@dataclass(frozen=True, slots=True)
class ReadState:
    """Report the state without changing it."""


@dataclass(frozen=True, slots=True)
class StageMap:
    """Load the weights of ``map_id``."""

    map_id: str


@dataclass(frozen=True, slots=True)
class HoldBefore:
    """Do not start ``step``; refused if it has started."""

    step: int
    number: int


@dataclass(frozen=True, slots=True)
class UseFrom:
    """Use ``map_id`` from ``step`` on, remove later entries and end the hold."""

    step: int
    map_id: str
    number: int


EngineOrder = ReadState | StageMap | HoldBefore | UseFrom


@dataclass(frozen=True, slots=True)
class EngineReply:
    """Whether the order was accepted, and the state after it."""

    accepted: bool
    state: EngineState


def schedule_from(state: EngineState, step: int) -> tuple[tuple[int, str], ...]:
    """Return the maps planned for ``step`` and later, without order numbers.

    Two ranks with equal schedules use the same map in each of these steps.

    Examples
    --------
    >>> plan = (PlanEntry(0, "a", 1), PlanEntry(4, "a", 2), PlanEntry(9, "b", 3))
    >>> schedule_from(EngineState(1, 6, plan, None, 0, ()), 6)
    ((6, 'a'), (9, 'b'))
    """
    schedule: list[tuple[int, str]] = []
    for entry in state.plan:
        start = max(step, entry.from_step)
        if schedule and schedule[-1][0] == start:
            schedule.pop()
        if not schedule or schedule[-1][1] != entry.map_id:
            schedule.append((start, entry.map_id))
    return tuple(schedule)
