"""What a rank's agent knows, and how it gives its engine an order."""

from azurefold.core.groups import messages as msg
from azurefold.core.groups.actions import Action, GroupTiming, SendToEngine
from azurefold.core.groups.closed_change import ClosedChange
from azurefold.core.groups.engine import EngineOrder, EngineState, PlanEntry, UseFrom
from azurefold.core.groups.messages import Message

__all__ = ["AgentState"]


class AgentState:
    """The state that both sides of an agent share."""

    def __init__(self, rank: int, size: int, timing: GroupTiming) -> None:
        self._rank = rank
        self._size = size
        self._timing = timing
        self._fence = 0
        self._engine: EngineState | None = None
        self._closed: ClosedChange | None = None
        self._pending: tuple[EngineOrder, Message | None] | None = None

    @property
    def fence(self) -> int:
        """The highest fence of a coordinator that this agent has obeyed."""
        return self._fence

    @property
    def closed_change(self) -> ClosedChange | None:
        """The undecided change that holds this rank, if any."""
        return self._closed

    @property
    def engine(self) -> EngineState | None:
        """The engine's state as last reported; None before the first report."""
        return self._engine

    def _reopen(self, closed: ClosedChange, cause: Message) -> list[Action]:
        """Put the old map in force again, as an entry with the change's number.

        A mere release would leave no trace, and a restarted agent could then
        agree to a late copy of the close and obey a late *open*.
        """
        old = self._engine.tail.map_id
        return self._order(UseFrom(closed.step, old, closed.number), cause)

    def _is_stale(self, fence: int) -> bool:
        return fence < self._fence

    def _is_overtaken(self, number: int) -> bool:
        return number <= self._engine.highest_number

    def _order(self, order: EngineOrder, cause: Message | None) -> list[Action]:
        self._pending = (order, cause)
        return [SendToEngine(order)]

    def _decided(self, entry: PlanEntry) -> msg.Decided:
        return msg.Decided(entry.number, self._rank, entry.from_step, entry.map_id)
