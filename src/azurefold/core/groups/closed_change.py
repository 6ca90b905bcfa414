"""A change that is closed but undecided at a rank, and the orders it accepts."""

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
        Number of the change, and the step that the rank does not start.
    can_open : bool
        Whether the coordinator's *open* is still accepted: this agent process agreed
        to the close and has not promised its peers to refuse the *open*.
    ask_peers_at : int
        Time of the next query to the peers, in milliseconds.
    promises : dict of int to PlanEntry
        Last plan entries of the peers that have promised, by rank.
    """

    number: int
    step: int
    can_open: bool
    ask_peers_at: Millis
    promises: dict[int, PlanEntry] = field(default_factory=dict)

    def accepts_open(self, order: Open, incarnation: int) -> bool:
        """Return whether the coordinator's ``order`` may be carried out.

        The incarnation must match. Otherwise the coordinator could count the agreement
        of a rank that has been replaced since, while a late copy of the close makes
        the replacement look as if it had agreed.
        """
        return (
            self.can_open
            and self.number == order.number
            and self.step == order.step
            and incarnation == order.incarnation
        )

    def can_reopen(self, tail: PlanEntry) -> bool:
        """Return whether the plans of all ranks use one map from the step on.

        After an interrupted recovery the plans may still differ. Reopening would then
        activate two maps, so the ranks wait for a coordinator instead.
        """
        tails = [tail, *self.promises.values()]
        return all(
            entry.map_id == tail.map_id and entry.from_step <= self.step
            for entry in tails
        )


def close_refusal_reason(
    close: Close, is_superseded: bool, closed: ClosedChange | None, engine: EngineState
) -> str:
    """Return the reason to refuse ``close``, an empty string if there is none."""
    if is_superseded:
        return "an equal or later change has been seen"
    if close.map_id not in engine.staged:
        return "its map is not staged"
    if close.step is None:
        return ""
    if engine.tail is None:
        return "the rank was replaced"
    if closed is not None:
        # A second hold would replace the first one, and the rank would run past a step
        # for which its peers may already have opened the change.
        return "another change is undecided"
    if close.step <= engine.tail.from_step:
        return "the step lies before the last planned change"
    return ""
