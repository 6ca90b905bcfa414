"""The course of one caller's request over its attempts.

The entry tells the course what happened and does what it answers. All rules on
when a request may be sent again, and what the caller may be told of it, are
here and nowhere else.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from azurefold.core.attempts.outcome import Failure, Ran
from azurefold.core.clock import Millis

__all__ = [
    "AgentSilent",
    "AskAgent",
    "ConnectionLost",
    "Course",
    "DeadlinePassed",
    "DispatchAgain",
    "EndpointFailed",
    "Event",
    "Fail",
    "NoTextLeft",
    "NotDispatched",
    "ResumeAt",
    "SettledAs",
    "Settlement",
    "Step",
]

_MAX_ASKS = 3
_RETRY_AFTER_MS: Millis = 1_000
_DETAIL = {
    Ran.NOT_RUN: "The request was not run; send it again.",
    Ran.RAN: "The answer broke off and cannot be finished.",
    Ran.UNKNOWN: (
        "Whether the request ran cannot be found out. Ask again with the same "
        "Idempotency-Key: it will not be run a second time."
    ),
}


class Settlement(StrEnum):
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
class SettledAs:
    """The agent answered, over a new connection, what became of it."""

    state: Settlement


@dataclass(frozen=True, slots=True)
class AgentSilent:
    """The question over a new connection got no answer either."""


@dataclass(frozen=True, slots=True)
class EndpointFailed:
    """The agent says that the answer cannot be finished.

    Parameters
    ----------
    ran : Ran
        Whether the endpoint ran the request.
    """

    ran: Ran


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline came while the endpoint was still at it."""


@dataclass(frozen=True, slots=True)
class NoTextLeft:
    """The agent no longer has the text to go on from."""


Event = (
    NotDispatched
    | ConnectionLost
    | SettledAs
    | AgentSilent
    | EndpointFailed
    | DeadlinePassed
    | NoTextLeft
)


@dataclass(frozen=True, slots=True)
class DispatchAgain:
    """Send the request to another endpoint as a new attempt."""


@dataclass(frozen=True, slots=True)
class AskAgent:
    """Ask the agent over a new connection what became of the attempt."""


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Fetch the rest of the answer over a new connection."""

    offset: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the caller this final answer, at once."""

    failure: Failure


Step = DispatchAgain | AskAgent | ResumeAt | Fail


@dataclass(slots=True)
class Course:
    """State of one request between its attempts.

    Parameters
    ----------
    idempotent : bool
        Whether running the request twice does no harm.
    resumable : bool
        Whether another endpoint can go on from any place in the answer. Where
        answers are kept by agents this is not needed: the agent resumes them.
    """

    idempotent: bool
    passed: int = 0
    resumable: bool = False
    _asks: int = 0
    _perhaps_ran: bool = False

    def next(self, event: Event, may_retry: Callable[[], bool]) -> Step:
        """Say what to do after ``event``.

        Parameters
        ----------
        event : Event
        may_retry : callable
            Whether deadline, retry budget and other endpoints allow another
            attempt. Called only when one would be made, as it spends budget.

        Returns
        -------
        Step
        """
        match event:
            case NotDispatched(reason=reason):
                return self._not_run(reason, may_retry)
            case ConnectionLost():
                return self._ask()
            case SettledAs(state=state):
                return self._settled(state, may_retry)
            case AgentSilent():
                return self._silent(may_retry)
            case EndpointFailed(ran=Ran.NOT_RUN):
                return self._not_run("endpoint_unreachable", may_retry)
            case EndpointFailed():
                return self._unknown("endpoint_failed", may_retry)
            case DeadlinePassed():
                return self._unknown("deadline_passed", _never)
            case NoTextLeft():
                return self._unknown("answer_not_kept", may_retry)

    def refused(self, failure: Failure) -> Failure:
        """Return the truth of a refusal that came after earlier attempts.

        A retry that finds no free endpoint was itself not run. But if an
        earlier attempt may have run, "not run" would be untrue of the request.
        """
        if failure.ran is Ran.NOT_RUN and self._perhaps_ran:
            return replace(failure, ran=Ran.UNKNOWN)
        return failure

    def heard(self) -> None:
        """Note that the agent is sending, so that asks are counted anew."""
        self._asks = 0

    def _ask(self) -> Step:
        self._asks += 1
        return AskAgent()

    def _silent(self, may_retry: Callable[[], bool]) -> Step:
        if self._asks < _MAX_ASKS:
            return self._ask()
        return self._unknown("agent_gone", may_retry)

    def _settled(self, state: Settlement, may_retry: Callable[[], bool]) -> Step:
        match state:
            case Settlement.NOT_RUN:
                return self._not_run("not_seen", may_retry)
            case Settlement.UNKNOWN:
                return self._unknown("agent_restarted", may_retry)
            case _:
                return ResumeAt(self.passed)

    def _not_run(self, reason: str, may_retry: Callable[[], bool]) -> Step:
        if self.passed > 0:
            return self._unknown(reason, may_retry)
        if may_retry():
            return self._again()
        ran = Ran.UNKNOWN if self._perhaps_ran else Ran.NOT_RUN
        return _fail(ran, reason, _DETAIL[ran])

    def _unknown(self, reason: str, may_retry: Callable[[], bool]) -> Step:
        # Text that a caller has read cannot be taken back, and a second run
        # would go on with another text. So from the first character on there
        # is only resuming, by the agent that keeps the text or by an endpoint
        # that can go on from any place, or an explicit end.
        if self.passed > 0 and not self.resumable:
            return _fail(Ran.RAN, reason, _DETAIL[Ran.RAN])
        self._perhaps_ran = True
        if self.idempotent and may_retry():
            return self._again()
        ran = Ran.RAN if self.passed > 0 else Ran.UNKNOWN
        return _fail(ran, reason, _DETAIL[ran])

    def _again(self) -> Step:
        self._asks = 0
        return DispatchAgain()


def _never() -> bool:
    return False


def _fail(ran: Ran, reason: str, detail: str) -> Fail:
    return Fail(Failure(ran, reason, detail, _RETRY_AFTER_MS))
