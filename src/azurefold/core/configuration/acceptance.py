"""Whether an edit was accepted: one conditional write and its doubtful ends.

Accepted means that the write of the head took effect. The write carries the
edit's id in a row of its own, named after the revision, in the same
transaction. After a lost answer the very same transaction is handed in again:
it takes effect at most once, since its condition holds only as long as nothing
was written upon the base; and a conflict shows whose edit got the revision.
"""

from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.configuration.head import Head, HeadId

__all__ = [
    "Acceptance",
    "AcceptanceUnknown",
    "Accepted",
    "NotAccepted",
    "Outcome",
    "OutcomeUnknown",
    "Submit",
    "WriteConflict",
    "WriteNotApplied",
    "WriteResult",
    "WriteSucceeded",
]

DEFAULT_RETRY_MS: Millis = 200


@dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """The platform said that the write took effect."""


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The platform said that the condition did not hold.

    Parameters
    ----------
    current : HeadId or None
        The head that is in the table now.
    edit_id : str
        Edit that has the revision asked for; empty if none has it.
    """

    current: HeadId | None
    edit_id: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The answer was lost; the write may have taken effect, or yet may."""


@dataclass(frozen=True, slots=True)
class WriteNotApplied:
    """The write certainly did not take effect.

    Parameters
    ----------
    reason : str
        Why not.
    """

    reason: str


WriteResult = WriteSucceeded | WriteConflict | OutcomeUnknown | WriteNotApplied


@dataclass(frozen=True, slots=True)
class Submit:
    """Hand in the transaction after a wait.

    Parameters
    ----------
    head : Head
        The same head each time.
    after_ms : int
        Wait before it, in milliseconds.
    """

    head: Head
    after_ms: Millis


@dataclass(frozen=True, slots=True)
class Accepted:
    """The edit was accepted."""

    head_id: HeadId


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The edit was not accepted and will not be.

    Parameters
    ----------
    reason : str
        Why not.
    current : HeadId or None
        The head that is in the table instead, if it is known.
    """

    reason: str
    current: HeadId | None = None


@dataclass(frozen=True, slots=True)
class AcceptanceUnknown:
    """Nobody can say yet; asking again with the edit's id will tell."""

    head_id: HeadId


Outcome = Accepted | NotAccepted | AcceptanceUnknown


class Acceptance:
    """One edit on its way to being accepted.

    Parameters
    ----------
    head : Head
        What is to become the head.
    deadline : int
        When to stop asking, in milliseconds.
    retry_ms : int, default=200
        Wait between two tries.
    """

    def __init__(
        self, head: Head, deadline: Millis, retry_ms: Millis = DEFAULT_RETRY_MS
    ) -> None:
        self._head = head
        self._deadline = deadline
        self._retry_ms = retry_ms
        self._in_doubt = False

    def start(self) -> Submit:
        """Return the first action."""
        return Submit(self._head, 0)

    def handle(self, event: WriteResult, now: Millis) -> Submit | Outcome:
        """Return what follows from ``event`` at ``now``."""
        match event:
            case WriteSucceeded():
                return Accepted(self._head.head_id)
            case WriteConflict():
                return self._after_conflict(event)
            case OutcomeUnknown():
                self._in_doubt = True
                return self._again_or_give_up("its answer was lost", now)
            case WriteNotApplied(reason=reason):
                return self._again_or_give_up(reason, now)

    def _after_conflict(self, conflict: WriteConflict) -> Outcome:
        # What goes wrong without this: the answer to a write that took effect
        # is lost, the repeat meets its own row, and the operator is told that
        # a rival won. One would notice an edit in force that was "refused".
        if conflict.edit_id == self._head.edit_id:
            return Accepted(self._head.head_id)
        if self._in_doubt and not conflict.edit_id:
            # The table has neither this edit nor another under the revision:
            # its row was pruned or the store was restored. No proof is left.
            return AcceptanceUnknown(self._head.head_id)
        return NotAccepted("the base has changed meanwhile", conflict.current)

    def _again_or_give_up(self, reason: str, now: Millis) -> Submit | Outcome:
        if now + self._retry_ms < self._deadline:
            return Submit(self._head, self._retry_ms)
        if self._in_doubt:
            return AcceptanceUnknown(self._head.head_id)
        return NotAccepted(f"the platform did not take it: {reason}")
