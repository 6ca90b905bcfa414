"""State machine of one caller's request over its attempts.

The entry or gateway passes in each event and carries out the action returned.
This module alone decides when a request may be sent again and which outcome is
reported to the caller.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.clock import Millis

__all__ = [
    "AgentUnresponsive",
    "QueryAttemptStatus",
    "ConnectionLost",
    "RequestState",
    "DeadlinePassed",
    "DispatchAgain",
    "EndUnconfirmed",
    "EndpointFailed",
    "Event",
    "Fail",
    "Finish",
    "AnswerTextExpired",
    "NotDispatched",
    "ResumeAt",
    "StatusReported",
    "AttemptStatus",
    "NextAction",
]

_MAX_STATUS_QUERIES = 3
_RETRY_AFTER_MS: Millis = 1_000
_DETAIL = {
    RunStatus.NOT_RUN: "The request was not run; send it again.",
    RunStatus.RAN: "The answer broke off and cannot be finished.",
    RunStatus.UNKNOWN: (
        "Whether the request ran cannot be found out. Ask again with the same "
        "Idempotency-Key: it will not be run a second time."
    ),
}


class AttemptStatus(StrEnum):
    """Status of an attempt, as its agent reports it."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """The attempt was not run: it was refused, or nothing could be sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection broke or timed out after something was sent."""


@dataclass(frozen=True, slots=True)
class StatusReported:
    """The agent reported the attempt's status over a new connection."""

    status: AttemptStatus


@dataclass(frozen=True, slots=True)
class AgentUnresponsive:
    """The status query over a new connection was not answered either."""


@dataclass(frozen=True, slots=True)
class EndpointFailed:
    """The agent reported that the answer cannot be finished.

    Parameters
    ----------
    ran : RunStatus
        Whether the endpoint ran the request.
    """

    ran: RunStatus


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline passed while the endpoint was still running it."""


@dataclass(frozen=True, slots=True)
class AnswerTextExpired:
    """The agent no longer keeps the text from which to resume."""


@dataclass(frozen=True, slots=True)
class EndUnconfirmed:
    """The answer ended with its connection, which says nothing of its length.

    The endpoint is still there, so it has probably closed the connection itself.
    """


Event = (
    NotDispatched
    | ConnectionLost
    | StatusReported
    | AgentUnresponsive
    | EndpointFailed
    | DeadlinePassed
    | AnswerTextExpired
    | EndUnconfirmed
)


@dataclass(frozen=True, slots=True)
class DispatchAgain:
    """Send the request to another endpoint as a new attempt."""


@dataclass(frozen=True, slots=True)
class QueryAttemptStatus:
    """Query the attempt's status from its agent over a new connection."""


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Fetch the answer from ``offset`` on over a new connection."""

    offset: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the caller with this failure, without another attempt."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class Finish:
    """End the answer as complete with what was forwarded."""


NextAction = DispatchAgain | QueryAttemptStatus | ResumeAt | Fail | Finish


@dataclass(slots=True)
class RequestState:
    """State of one request across its attempts.

    Parameters
    ----------
    is_idempotent : bool
        Whether the request is safe to run twice.
    forwarded : int, default=0
        Characters or events of the answer already forwarded to the caller.
    is_resumable : bool
        Whether another endpoint can resume the answer at any position. Not
        needed where agents keep the answers, because the agent resumes them.
    """

    is_idempotent: bool
    forwarded: int = 0
    is_resumable: bool = False
    _status_queries: int = 0
    _may_have_run: bool = False
    _unconfirmed_end: int | None = None

    @property
    def is_confirming(self) -> bool:
        """Whether only the end of the answer is still to be confirmed."""
        return self._unconfirmed_end == self.forwarded

    def handle_event(self, event: Event, may_retry: Callable[[], bool]) -> NextAction:
        """Return the action to take after ``event``.

        Parameters
        ----------
        event : Event
        may_retry : callable
            Whether deadline, retry budget and other endpoints allow another
            attempt. Called only if one would be made, because it spends budget.

        Returns
        -------
        NextAction
        """
        if self.is_confirming:
            return Finish()
        match event:
            case EndUnconfirmed():
                return self._on_unconfirmed_end(may_retry)
            case NotDispatched(reason=reason):
                return self._on_not_run(reason, may_retry)
            case ConnectionLost():
                return self._query_status()
            case StatusReported(status=status):
                return self._on_status(status, may_retry)
            case AgentUnresponsive():
                return self._on_unresponsive_agent(may_retry)
            case EndpointFailed(ran=RunStatus.NOT_RUN):
                return self._on_not_run("endpoint_unreachable", may_retry)
            case EndpointFailed():
                return self._on_outcome_unknown("endpoint_failed", may_retry)
            case DeadlinePassed():
                return self._on_outcome_unknown("deadline_passed", _never)
            case AnswerTextExpired():
                return self._on_outcome_unknown("answer_not_kept", may_retry)

    def correct_refusal(self, failure: Failure) -> Failure:
        """Return a retry's refusal with the run status of the whole request.

        A retry that finds no free endpoint was not run itself. If an earlier
        attempt may have run, "not run" would be wrong for the request.
        """
        if failure.ran is RunStatus.NOT_RUN and self._may_have_run:
            return replace(failure, ran=RunStatus.UNKNOWN)
        return failure

    def record_progress(self) -> None:
        """Reset the count of status queries, because the agent is sending."""
        self._status_queries = 0

    def _query_status(self) -> NextAction:
        self._status_queries += 1
        return QueryAttemptStatus()

    def _on_unresponsive_agent(self, may_retry: Callable[[], bool]) -> NextAction:
        if self._status_queries < _MAX_STATUS_QUERIES:
            return self._query_status()
        return self._on_outcome_unknown("agent_gone", may_retry)

    def _on_status(
        self, status: AttemptStatus, may_retry: Callable[[], bool]
    ) -> NextAction:
        match status:
            case AttemptStatus.NOT_RUN:
                return self._on_not_run("not_seen", may_retry)
            case AttemptStatus.UNKNOWN:
                return self._on_outcome_unknown("agent_restarted", may_retry)
            case _:
                return ResumeAt(self.forwarded)

    def _on_not_run(self, reason: str, may_retry: Callable[[], bool]) -> NextAction:
        if self.forwarded > 0:
            return self._on_outcome_unknown(reason, may_retry)
        if may_retry():
            return self._dispatch_again()
        ran = RunStatus.UNKNOWN if self._may_have_run else RunStatus.NOT_RUN
        return _fail(ran, reason, _DETAIL[ran])

    def _on_outcome_unknown(
        self, reason: str, may_retry: Callable[[], bool]
    ) -> NextAction:
        # Text that was forwarded cannot be withdrawn, and a second run would
        # produce a different text. After the first character the answer can
        # only be resumed, by the agent that keeps the text or by an endpoint
        # that can resume at any position, or ended with an explicit error.
        if self.forwarded > 0 and not self.is_resumable:
            return _fail(RunStatus.RAN, reason, _DETAIL[RunStatus.RAN])
        self._may_have_run = True
        if self.is_idempotent and may_retry():
            return self._dispatch_again()
        ran = RunStatus.RAN if self.forwarded > 0 else RunStatus.UNKNOWN
        return _fail(ran, reason, _DETAIL[ran])

    def _on_unconfirmed_end(self, may_retry: Callable[[], bool]) -> NextAction:
        self._unconfirmed_end = self.forwarded
        if self.is_resumable and may_retry():
            # Another endpoint sends what is missing, or nothing.
            return self._dispatch_again()
        return Finish()

    def _dispatch_again(self) -> NextAction:
        self._status_queries = 0
        return DispatchAgain()


def _never() -> bool:
    return False


def _fail(ran: RunStatus, reason: str, detail: str) -> Fail:
    return Fail(Failure(ran, reason, detail, _RETRY_AFTER_MS))
