"""A group of ranks in lock-step: the engine's side of an expert-map change.

The group executes a step only when every rank permits it, so a step begins on
all ranks or on none. A rank keeps its plan of maps, its hold and its staged
maps while the process that gives it orders restarts; a replaced rank has lost
them all and permits nothing until told which map to use.

Each order carries a fencing number. A group made with ``honours_fence`` refuses
an order whose number is below one that the rank has obeyed; other groups ignore
the number and merely store it beside what was ordered.
"""

from dataclasses import dataclass, field, replace

__all__ = [
    "Agreed",
    "LockstepGroup",
    "Outcome",
    "PlanEntry",
    "RankState",
    "Refused",
    "StepRecord",
    "lockstep_group",
]


@dataclass(frozen=True, slots=True)
class PlanEntry:
    """The map to use from a step on, and the number of the order that said so."""

    from_step: int
    map_id: str
    fence: int


@dataclass(frozen=True, slots=True)
class Agreed:
    """The order was obeyed; ``next_step`` is the first step not begun."""

    next_step: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The order was not obeyed; ``next_step`` is the first step not begun."""

    next_step: int
    reason: str


Outcome = Agreed | Refused


@dataclass(frozen=True, slots=True)
class RankState:
    """What one rank stores.

    Parameters
    ----------
    incarnation : int
        Differs between a rank and its replacement.
    next_step : int
        The first step not begun.
    plan : tuple of PlanEntry
        Ascending by step; empty on a replaced rank.
    hold : int or None
        The step that the rank does not begin until released.
    hold_fence : int
        The number of the order that placed the hold, or of the last one.
    staged : tuple of str
        Maps whose weights are loaded, sorted.
    fence : int
        The highest number obeyed.
    """

    incarnation: int
    next_step: int
    plan: tuple[PlanEntry, ...] = ()
    hold: int | None = None
    hold_fence: int = 0
    staged: tuple[str, ...] = ()
    fence: int = 0

    def map_at(self, step: int) -> str | None:
        """Return the map planned for ``step``, None if there is none."""
        begun = [entry for entry in self.plan if entry.from_step <= step]
        return begun[-1].map_id if begun else None

    def permits(self, step: int) -> bool:
        """Return whether the rank would begin ``step``."""
        if self.hold is not None and step >= self.hold:
            return False
        return self.map_at(step) in self.staged


@dataclass(frozen=True, slots=True)
class StepRecord:
    """The map that each rank used in one executed step, by rank."""

    step: int
    maps: tuple[str, ...]

    def agrees(self) -> bool:
        """Return whether all ranks used the same map."""
        return len(set(self.maps)) == 1


@dataclass(slots=True)
class LockstepGroup:
    """Ranks that advance together; see :func:`lockstep_group`."""

    honours_fence: bool
    _ranks: list[RankState]
    _next_step: int = 0
    _history: list[StepRecord] = field(default_factory=list)

    @property
    def size(self) -> int:
        """The number of ranks."""
        return len(self._ranks)

    @property
    def next_step(self) -> int:
        """The first step that the group has not begun."""
        return self._next_step

    @property
    def history(self) -> tuple[StepRecord, ...]:
        """The executed steps, oldest first."""
        return tuple(self._history)

    def state(self, rank: int) -> RankState:
        """Return what ``rank`` stores, with the group's present step."""
        return replace(self._ranks[rank], next_step=self._next_step)

    def stage(self, rank: int, map_id: str) -> Outcome:
        """Load the weights of ``map_id``; repeats do no harm."""
        staged = tuple(sorted({*self._ranks[rank].staged, map_id}))
        self._ranks[rank] = replace(self._ranks[rank], staged=staged)
        return Agreed(self._next_step)

    def hold_before(self, rank: int, step: int, fence: int) -> Outcome:
        """Let ``rank`` stop before ``step``, unless it has begun that step.

        The hold takes the place of an earlier one.
        """
        if self._is_stale(rank, fence):
            return Refused(self._next_step, "stale fence")
        if step < self._next_step:
            return Refused(self._next_step, "step begun")
        self._obey(rank, fence, hold=step, hold_fence=fence)
        return Agreed(self._next_step)

    def use_from(self, rank: int, step: int, map_id: str, fence: int) -> Outcome:
        """Let ``rank`` use ``map_id`` from ``step`` on, and end its hold.

        The entry takes the place of all planned for ``step`` and later. Entries
        that no step to come can use are dropped.
        """
        if self._is_stale(rank, fence):
            return Refused(self._next_step, "stale fence")
        if step < self._next_step:
            return Refused(self._next_step, "step begun")
        if map_id not in self._ranks[rank].staged:
            return Refused(self._next_step, "map not staged")
        kept = [e for e in self._ranks[rank].plan if e.from_step < step]
        plan = (*kept, PlanEntry(step, map_id, fence))
        self._obey(rank, fence, plan=self._without_past(plan), hold=None)
        return Agreed(self._next_step)

    def release(self, rank: int, fence: int) -> Outcome:
        """End the hold of ``rank``; its plan stays as it is."""
        if self._is_stale(rank, fence):
            return Refused(self._next_step, "stale fence")
        self._obey(rank, fence, hold=None)
        return Agreed(self._next_step)

    def advance(self, max_steps: int) -> int:
        """Execute up to ``max_steps`` steps; return how many were executed."""
        executed = 0
        while executed < max_steps and self._is_permitted():
            step = self._next_step
            maps = tuple(str(rank.map_at(step)) for rank in self._ranks)
            self._history.append(StepRecord(step, maps))
            self._next_step += 1
            executed += 1
        return executed

    def replace(self, rank: int) -> None:
        """Put a fresh rank in the place of ``rank``: no plan, nothing staged."""
        incarnation = self._ranks[rank].incarnation + 1
        self._ranks[rank] = RankState(incarnation, self._next_step)

    def _is_permitted(self) -> bool:
        return all(rank.permits(self._next_step) for rank in self._ranks)

    def _is_stale(self, rank: int, fence: int) -> bool:
        return self.honours_fence and fence < self._ranks[rank].fence

    def _obey(self, rank: int, fence: int, **changes: object) -> None:
        highest = max(fence, self._ranks[rank].fence)
        self._ranks[rank] = replace(self._ranks[rank], fence=highest, **changes)

    def _without_past(self, plan: tuple[PlanEntry, ...]) -> tuple[PlanEntry, ...]:
        past = sum(entry.from_step <= self._next_step for entry in plan)
        return plan[max(0, past - 1) :]


def lockstep_group(
    size: int, map_id: str = "m0", *, honours_fence: bool = True
) -> LockstepGroup:
    """Return a group of ``size`` ranks that use ``map_id`` from step 0 on.

    Examples
    --------
    >>> group = lockstep_group(2)
    >>> group.hold_before(0, 3, fence=1)
    Agreed(next_step=0)
    >>> group.advance(10)
    3
    >>> group.hold_before(1, 2, fence=1)
    Refused(next_step=3, reason='step begun')
    >>> group.release(0, fence=1)
    Agreed(next_step=3)
    >>> group.advance(1), group.history[-1]
    (1, StepRecord(step=3, maps=('m0', 'm0')))
    """
    first = PlanEntry(0, map_id, 0)
    rank = RankState(1, 0, plan=(first,), staged=(map_id,))
    return LockstepGroup(honours_fence, [rank] * size)
