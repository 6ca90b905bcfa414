"""The rank's engine as its agent sees it: state, orders and actions.

The engine keeps plan, hold and staged maps while its agent restarts, so it is
the agent's only durable memory; the order numbers stored there say which changes
a predecessor had agreed to or seen decided.
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
    """``map_id`` is used from ``from_step`` on, by the order ``number``."""

    from_step: int
    map_id: str
    number: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """What the engine of one rank stores.

    Parameters
    ----------
    incarnation : int
        Differs between a rank and its replacement.
    next_step : int
        The first step not begun.
    plan : tuple of PlanEntry
        Ascending by step; empty on a replaced rank.
    hold : int or None
        The step not begun until the hold ends.
    hold_number : int
        The order that placed the hold or, if there is none now, the last one.
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
        """The last entry of the plan, None on a replaced rank."""
        return self.plan[-1] if self.plan else None

    @property
    def highest_number(self) -> int:
        """The highest order number that left a trace."""
        held = self.hold_number if self.hold is not None else 0
        return max([held, *(entry.number for entry in self.plan)])

    def entry_of(self, number: int) -> PlanEntry | None:
        """Return the entry that order ``number`` made, None if there is none."""
        found = [entry for entry in self.plan if entry.number == number]
        return found[0] if found else None


@dataclass(frozen=True, slots=True)
class ReadState:
    """Report the state, change nothing."""


@dataclass(frozen=True, slots=True)
class StageMap:
    """Load the weights of ``map_id``."""

    map_id: str


@dataclass(frozen=True, slots=True)
class HoldBefore:
    """Do not begin ``step``; refused if it has begun."""

    step: int
    number: int


@dataclass(frozen=True, slots=True)
class UseFrom:
    """Use ``map_id`` from ``step`` on, drop later entries, end the hold."""

    step: int
    map_id: str
    number: int


EngineOrder = ReadState | StageMap | HoldBefore | UseFrom


@dataclass(frozen=True, slots=True)
class EngineReply:
    """Whether the order was obeyed, and the state after it."""

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
        begins = max(step, entry.from_step)
        if schedule and schedule[-1][0] == begins:
            schedule.pop()
        if not schedule or schedule[-1][1] != entry.map_id:
            schedule.append((begins, entry.map_id))
    return tuple(schedule)
