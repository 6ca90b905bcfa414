"""Base class of a rank's agent: its state and its requests to the engine."""

from azurefold.core.groups import messages as msg
from azurefold.core.groups.actions import Action, GroupTiming, SendToEngine
from azurefold.core.groups.closed_change import ClosedChange
from azurefold.core.groups.engine import EngineOrder, EngineState, PlanEntry, UseFrom
from azurefold.core.groups.messages import Message

__all__ = ["AgentState"]


class AgentState:
    """State of an agent, used in its exchanges with the coordinator and with peers."""

    def __init__(self, rank: int, size: int, timing: GroupTiming) -> None:
        self._rank = rank
        self._size = size
        self._timing = timing
        self._fence = 0
        self._engine: EngineState | None = None
        self._closed_change: ClosedChange | None = None
        self._pending: tuple[EngineOrder, Message | None] | None = None

    @property
    def fence(self) -> int:
        """The highest fence of a coordinator that this agent has accepted."""
        return self._fence

    @property
    def closed_change(self) -> ClosedChange | None:
        """The undecided change that holds this rank, if any."""
        return self._closed_change

    @property
    def engine(self) -> EngineState | None:
        """The engine's state as last reported; None before the first report."""
        return self._engine

    def _reopen(self, closed: ClosedChange, cause: Message) -> list[Action]:
        """Reactivate the old map with a plan entry that has the change's number.

        Only releasing the hold would leave no record. A restarted agent could then
        agree to a late copy of the close and accept a late *open*.
        """
        old_map_id = self._engine.tail.map_id
        return self._order_engine(
            UseFrom(closed.step, old_map_id, closed.number), cause
        )

    def _is_stale(self, fence: int) -> bool:
        return fence < self._fence

    def _is_superseded(self, number: int) -> bool:
        return number <= self._engine.highest_number

    def _order_engine(self, order: EngineOrder, cause: Message | None) -> list[Action]:
        self._pending = (order, cause)
        return [SendToEngine(order)]

    def _decided_message(self, entry: PlanEntry) -> msg.Decided:
        return msg.Decided(entry.number, self._rank, entry.from_step, entry.map_id)
