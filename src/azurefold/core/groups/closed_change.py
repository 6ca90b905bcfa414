"""A change that is closed but not decided at a rank, and what it allows."""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.groups.engine import EngineState, PlanEntry
from azurefold.core.groups.messages import Close, Open

__all__ = ["ClosedChange", "close_refusal_reason"]


@dataclass(frozen=True, slots=True)
class ClosedChange:
    """An undecided change that holds a rank.

    Parameters
    ----------
    number, step : int
        The change and the step that the rank does not begin.
    may_open : bool
        Whether the coordinator's *open* is still obeyed: the close was agreed in
        this agent's life and nothing has been promised since.
    ask_peers_at : int
        When to ask the peers (again), in milliseconds.
    promises : dict of int to PlanEntry
        The tails of the peers that have promised, by rank.
    """

    number: int
    step: int
    may_open: bool
    ask_peers_at: Millis
    promises: dict[int, PlanEntry] = field(default_factory=dict)

    def accepts_open(self, order: Open, incarnation: int) -> bool:
        """Return whether the coordinator's ``order`` may be carried out.

        What would go wrong without the incarnation: the coordinator counts the
        agreement of a rank that has been replaced since, and a late copy of the
        close makes the replacement look as if it had agreed.
        """
        return (
            self.may_open
            and self.number == order.number
            and self.step == order.step
            and incarnation == order.incarnation
        )

    def can_reopen(self, tail: PlanEntry) -> bool:
        """Return whether the plans of all ranks give one map from the step on.

        After a recovery was cut short the plans may still differ. Reopening
        would then put two maps in force, so the ranks wait for a coordinator.
        """
        tails = [tail, *self.promises.values()]
        return all(
            each.map_id == tail.map_id and each.from_step <= self.step for each in tails
        )


def close_refusal_reason(
    close: Close, overtaken: bool, closed: ClosedChange | None, engine: EngineState
) -> str:
    """Return why ``close`` cannot be agreed to, empty if it can."""
    if overtaken:
        return "an equal or later change has been seen"
    if close.map_id not in engine.staged:
        return "its map is not staged"
    if close.step is None:
        return ""
    if engine.tail is None:
        return "the rank was replaced"
    if closed is not None:
        # A second hold would take the place of the first, and the rank would run
        # past a step that its peers may already have opened.
        return "another change is undecided"
    if close.step <= engine.tail.from_step:
        return "the step lies before the last planned change"
    return ""
