"""Submitting an edit by a conditional write and determining its outcome.

An edit is accepted when the write of its head takes effect. The same
transaction also writes the edit's id to a row named after the revision. If the
answer is lost, the identical transaction is submitted again. It takes effect at
most once, because its condition holds only while the base is unchanged. On a
conflict, the row shows which edit got the revision.
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
    """The platform confirmed that the write took effect."""


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The platform rejected the write because its condition did not hold.

    Parameters
    ----------
    current : HeadId or None
        Id of the head that is in the table now.
    edit_id : str
        Id of the edit that got the requested revision; empty if none did.
    """

    current: HeadId | None
    edit_id: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The answer was lost; the write may have taken effect or may do so later."""


@dataclass(frozen=True, slots=True)
class WriteNotApplied:
    """The write is known not to have taken effect.

    Parameters
    ----------
    reason : str
        Reason for the failure.
    """

    reason: str


WriteResult = WriteSucceeded | WriteConflict | OutcomeUnknown | WriteNotApplied


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit the transaction after a delay.

    Parameters
    ----------
    head : Head
        The head to write; the same in every attempt.
    after_ms : int
        Delay before the attempt, in milliseconds.
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
        Reason for the rejection or failure.
    current : HeadId or None
        Id of the head that is in the table instead, if known.
    """

    reason: str
    current: HeadId | None = None


@dataclass(frozen=True, slots=True)
class AcceptanceUnknown:
    """The outcome could not be determined; it can be queried by the edit's id."""

    head_id: HeadId


Outcome = Accepted | NotAccepted | AcceptanceUnknown


class Acceptance:
    """Submits one edit and retries until its outcome is known or time runs out.

    Parameters
    ----------
    head : Head
        The head that the edit proposes.
    deadline : int
        Time after which no attempt is made, in milliseconds.
    retry_ms : int, default=200
        Delay between two attempts, in milliseconds.
    """

    def __init__(
        self, head: Head, deadline: Millis, retry_ms: Millis = DEFAULT_RETRY_MS
    ) -> None:
        self._head = head
        self._deadline = deadline
        self._retry_ms = retry_ms
        self._has_lost_answer = False

    def start(self) -> Submit:
        """Return the first action."""
        return Submit(self._head, 0)

    def handle(self, result: WriteResult, now: Millis) -> Submit | Outcome:
        """Return the next attempt or the outcome after ``result`` at ``now``."""
        match result:
            case WriteSucceeded():
                return Accepted(self._head.head_id)
            case WriteConflict():
                return self._resolve_conflict(result)
            case OutcomeUnknown():
                self._has_lost_answer = True
                return self._retry_or_give_up("its answer was lost", now)
            case WriteNotApplied(reason=reason):
                return self._retry_or_give_up(reason, now)

    def _resolve_conflict(self, conflict: WriteConflict) -> Outcome:
        # A retry conflicts with the edit's own row if an earlier attempt took
        # effect and its answer was lost. Without this check the operator would
        # see "refused" for an edit that is in effect.
        if conflict.edit_id == self._head.edit_id:
            return Accepted(self._head.head_id)
        if self._has_lost_answer and not conflict.edit_id:
            # The table has no edit under the revision, neither this one nor
            # another. The row was pruned or the store was restored, so the
            # outcome can no longer be proved.
            return AcceptanceUnknown(self._head.head_id)
        return NotAccepted("the base has changed meanwhile", conflict.current)

    def _retry_or_give_up(self, reason: str, now: Millis) -> Submit | Outcome:
        if now + self._retry_ms < self._deadline:
            return Submit(self._head, self._retry_ms)
        if self._has_lost_answer:
            return AcceptanceUnknown(self._head.head_id)
        return NotAccepted(f"the platform did not take it: {reason}")
