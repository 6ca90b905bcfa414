"""The course of one caller's request over its attempts.

The entry tells the course what happened and does what it answers. All rules on
when a request may be sent again, and what the caller may be told of it, are
here and nowhere else.
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
    "EndpointFailed",
    "Event",
    "Fail",
    "AnswerTextExpired",
    "NotDispatched",
    "ResumeAt",
    "StatusReported",
    "AttemptStatus",
    "NextAction",
]

_MAX_ASKS = 3
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
    """What an agent says of an attempt when asked."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """The attempt was refused, or nothing could be sent: it was not run."""

    reason: str


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection broke or went silent after something was sent."""


@dataclass(frozen=True, slots=True)
class StatusReported:
    """The agent answered, over a new connection, what became of it."""

    state: AttemptStatus


@dataclass(frozen=True, slots=True)
class AgentUnresponsive:
    """The question over a new connection got no answer either."""


@dataclass(frozen=True, slots=True)
class EndpointFailed:
    """The agent says that the answer cannot be finished.

    Parameters
    ----------
    ran : RunStatus
        Whether the endpoint ran the request.
    """

    ran: RunStatus


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline came while the endpoint was still at it."""


@dataclass(frozen=True, slots=True)
class AnswerTextExpired:
    """The agent no longer has the text to go on from."""


Event = (
    NotDispatched
    | ConnectionLost
    | StatusReported
    | AgentUnresponsive
    | EndpointFailed
    | DeadlinePassed
    | AnswerTextExpired
)


@dataclass(frozen=True, slots=True)
class DispatchAgain:
    """Send the request to another endpoint as a new attempt."""


@dataclass(frozen=True, slots=True)
class QueryAttemptStatus:
    """Ask the agent over a new connection what became of the attempt."""


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Fetch the rest of the answer over a new connection."""

    offset: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the caller this final answer, at once."""

    failure: Failure


NextAction = DispatchAgain | QueryAttemptStatus | ResumeAt | Fail


@dataclass(slots=True)
class RequestState:
    """State of one request between its attempts.

    Parameters
    ----------
    is_idempotent : bool
        Whether running the request twice does no harm.
    is_resumable : bool
        Whether another endpoint can go on from any place in the answer. Where
        answers are kept by agents this is not needed: the agent resumes them.
    """

    is_idempotent: bool
    forwarded: int = 0
    is_resumable: bool = False
    _asks: int = 0
    _perhaps_ran: bool = False

    def handle_event(self, event: Event, may_retry: Callable[[], bool]) -> NextAction:
        """Say what to do after ``event``.

        Parameters
        ----------
        event : Event
        may_retry : callable
            Whether deadline, retry budget and other endpoints allow another
            attempt. Called only when one would be made, as it spends budget.

        Returns
        -------
        NextAction
        """
        match event:
            case NotDispatched(reason=reason):
                return self._not_run(reason, may_retry)
            case ConnectionLost():
                return self._ask()
            case StatusReported(state=state):
                return self._settled(state, may_retry)
            case AgentUnresponsive():
                return self._silent(may_retry)
            case EndpointFailed(ran=RunStatus.NOT_RUN):
                return self._not_run("endpoint_unreachable", may_retry)
            case EndpointFailed():
                return self._unknown("endpoint_failed", may_retry)
            case DeadlinePassed():
                return self._unknown("deadline_passed", _never)
            case AnswerTextExpired():
                return self._unknown("answer_not_kept", may_retry)

    def correct_refusal(self, failure: Failure) -> Failure:
        """Return the truth of a refusal that came after earlier attempts.

        A retry that finds no free endpoint was itself not run. But if an
        earlier attempt may have run, "not run" would be untrue of the request.
        """
        if failure.ran is RunStatus.NOT_RUN and self._perhaps_ran:
            return replace(failure, ran=RunStatus.UNKNOWN)
        return failure

    def record_progress(self) -> None:
        """Note that the agent is sending, so that asks are counted anew."""
        self._asks = 0

    def _ask(self) -> NextAction:
        self._asks += 1
        return QueryAttemptStatus()

    def _silent(self, may_retry: Callable[[], bool]) -> NextAction:
        if self._asks < _MAX_ASKS:
            return self._ask()
        return self._unknown("agent_gone", may_retry)

    def _settled(
        self, state: AttemptStatus, may_retry: Callable[[], bool]
    ) -> NextAction:
        match state:
            case AttemptStatus.NOT_RUN:
                return self._not_run("not_seen", may_retry)
            case AttemptStatus.UNKNOWN:
                return self._unknown("agent_restarted", may_retry)
            case _:
                return ResumeAt(self.forwarded)

    def _not_run(self, reason: str, may_retry: Callable[[], bool]) -> NextAction:
        if self.forwarded > 0:
            return self._unknown(reason, may_retry)
        if may_retry():
            return self._again()
        ran = RunStatus.UNKNOWN if self._perhaps_ran else RunStatus.NOT_RUN
        return _fail(ran, reason, _DETAIL[ran])

    def _unknown(self, reason: str, may_retry: Callable[[], bool]) -> NextAction:
        # Text that a caller has read cannot be taken back, and a second run
        # would go on with another text. So from the first character on there
        # is only resuming, by the agent that keeps the text or by an endpoint
        # that can go on from any place, or an explicit end.
        if self.forwarded > 0 and not self.is_resumable:
            return _fail(RunStatus.RAN, reason, _DETAIL[RunStatus.RAN])
        self._perhaps_ran = True
        if self.is_idempotent and may_retry():
            return self._again()
        ran = RunStatus.RAN if self.forwarded > 0 else RunStatus.UNKNOWN
        return _fail(ran, reason, _DETAIL[ran])

    def _again(self) -> NextAction:
        self._asks = 0
        return DispatchAgain()


def _never() -> bool:
    return False


def _fail(ran: RunStatus, reason: str, detail: str) -> Fail:
    return Fail(Failure(ran, reason, detail, _RETRY_AFTER_MS))
