"""Carries one caller's request through its attempts to its final answer."""

import logging
import secrets
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent

from azurefold.core.attempts.claims import Claim, ClaimAcquired, FollowAttempt
from azurefold.core.attempts.frames import AnswerAssembler
from azurefold.core.attempts.ids import AnswerId, new_attempt_id
from azurefold.core.attempts.outcome import Failure
from azurefold.core.attempts.request_state import (
    AgentUnresponsive,
    AnswerTextExpired,
    AttemptStatus,
    ConnectionLost,
    DeadlinePassed,
    DispatchAgain,
    Event,
    Fail,
    NotDispatched,
    QueryAttemptStatus,
    RequestState,
    ResumeAt,
    StatusReported,
)
from azurefold.core.clock import Clock, Millis
from azurefold.core.routing.messages import Cancelled, Failed, Refused
from azurefold.entry.admission import Admission
from azurefold.entry.agent_messages import AgentAddress, AttemptCall, NotTaken, Opened
from azurefold.entry.agents import Agents
from azurefold.entry.answer_reader import AnswerReader, LostMidwayError
from azurefold.entry.claims import ClaimTaker
from azurefold.entry.lines import LostError
from azurefold.entry.observer import Observer
from azurefold.entry.parts import GivenUp, Part
from azurefold.entry.placement import Placement
from azurefold.entry.requests import CallerRequest
from azurefold.internal.logs import log_event

__all__ = ["Relay"]

_log = logging.getLogger("azurefold.entry")

# States of an attempt whose text the agent had, and no longer has where it gives
# none: nothing is gained by asking for it again.
_KNOWN_THERE = frozenset(
    {AttemptStatus.RUNNING, AttemptStatus.DONE, AttemptStatus.FAILED}
)
_FOLLOW_TRIES = 5
_FOLLOW_PAUSE_MS: Millis = 60
_RESUME_PAUSE_MS: Millis = 100
_SECOND_MS = 1_000


def _sleep(milliseconds: Millis) -> None:
    gevent.sleep(milliseconds / _SECOND_MS)


def _admit_all() -> None:
    """Let a request pass."""


@dataclass(slots=True)
class Relay:
    """One request on its way.

    Parameters
    ----------
    request : CallerRequest
    admission : Admission
        Of the request's service.
    agents : Agents
    locate : callable
        Returns an endpoint's :class:`AgentAddress`, or None.
    clock : Clock
        Monotonic.
    wall : Clock
        Since the Unix epoch.
    claim : ClaimTaker or None
        For non-idempotent requests with a key.
    admit : callable
        Returns why the request may not be run now, or None.
    pause : callable
        Waits for some milliseconds.
    observer : Observer
        Told of what is worth counting.
    """

    request: CallerRequest
    admission: Admission
    agents: Agents
    locate: Callable[[str], AgentAddress | None]
    clock: Clock
    wall: Clock
    observer: Observer
    claim: ClaimTaker | None = None
    admit: Callable[[], Failure | None] = _admit_all
    pause: Callable[[Millis], None] = _sleep
    _course: RequestState = field(init=False)
    _placement: Placement = field(init=False)
    _reader: AnswerReader = field(init=False)
    _agent: AgentAddress | None = None
    _assembler: AnswerAssembler | None = None
    _resumed_at: int = -1

    def __post_init__(self) -> None:
        self._course = RequestState(self.request.idempotent)
        self._placement = Placement(
            self.request, self.admission, self.clock, self.claim, self.admit
        )
        self._reader = AnswerReader(
            self._placement, self._course, self.clock, self.observer
        )

    @property
    def attempt_id(self) -> str:
        """The present attempt, or an empty string."""
        return self._assembler.attempt_id if self._assembler else ""

    def run(self) -> Iterator[Part]:
        """Dispatch the request and yield its answer's parts."""
        try:
            yield from self._follow(DispatchAgain())
        finally:
            self._placement.report(Cancelled())

    def attach(self, answer: AnswerId) -> Iterator[Part]:
        """Yield the rest of an answer that some attempt already gives."""
        whole = answer.offset == 0
        located = self.locate(answer.endpoint)
        address = located.address if located else ""
        self._agent = AgentAddress(answer.endpoint, answer.incarnation, address)
        self._assembler = AnswerAssembler(answer.attempt_id, answer.offset, whole)
        self._course.forwarded = answer.offset
        yield from self._follow(ResumeAt(answer.offset))

    def _follow(self, step: object) -> Iterator[Part]:
        while True:
            match step:
                case DispatchAgain():
                    opened = self._dispatch()
                case ResumeAt(offset=offset):
                    opened = self._resume(offset)
                case QueryAttemptStatus():
                    opened = self._ask()
                case Fail(failure=failure):
                    self._placement.report(Failed())
                    yield GivenUp(failure)
                    return
            if isinstance(opened, Failure):
                opened = self._placement.check_refusal(
                    self._course.correct_refusal(opened)
                )
            if isinstance(opened, Failure):
                yield GivenUp(opened)
                return
            if isinstance(opened, FollowAttempt):
                opened = self._attach_to(opened.claim)
            if isinstance(opened, Opened):
                event = yield from self._read(opened)
                if event is None:
                    return
            else:
                event = opened
            if _certainly_not_run(event):
                self._placement.report(Refused())
            step = self._course.handle_event(
                event, lambda event=event: self._may_retry(event)
            )

    def _dispatch(self) -> Opened | FollowAttempt | Failure | Event:
        self._placement.report(Failed())
        attempt_id = new_attempt_id(self.wall.now(), secrets.token_hex(10))
        chosen = self._placement.acquire(attempt_id)
        if isinstance(chosen, Failure):
            return chosen
        self._assembler = AnswerAssembler(attempt_id)
        self._agent = self.locate(chosen.endpoint)
        if self._agent is None:
            self._placement.unknown(chosen.endpoint)
            self._agent = AgentAddress(chosen.endpoint, "", "")
            return NotDispatched("endpoint_unknown")
        claimed = self._placement.take_claim(self._agent, attempt_id)
        if not isinstance(claimed, ClaimAcquired):
            self._placement.report(Cancelled())
            return claimed
        return self._send(self._agent, attempt_id)

    def _attach_to(self, claim: Claim) -> Opened | Event:
        """Go over to the attempt that holds the caller's key."""
        located = self.locate(claim.endpoint)
        address = located.address if located else ""
        self._agent = AgentAddress(claim.endpoint, claim.incarnation, address)
        self._assembler = AnswerAssembler(claim.attempt_id)
        log_event(_log, "follow", attempt=claim.attempt_id, endpoint=claim.endpoint)
        # Its entry may have claimed the key and not dispatched yet. Asking at
        # once would settle the attempt as not run and undo that entry's work.
        for _ in range(_FOLLOW_TRIES):
            opened = self._try_resume(0)
            if not isinstance(opened, NotTaken):
                return opened
            self.pause(_FOLLOW_PAUSE_MS)
        return self._no_text()

    def _send(self, agent: AgentAddress, attempt_id: str) -> Opened | Event:
        request = self.request
        call = AttemptCall(
            attempt_id,
            request.organisation,
            request.path,
            request.body,
            request.deadline - self.clock.now(),
            int(request.priority),
        )
        self._placement.sent(agent.endpoint)
        log_event(_log, "dispatch", attempt=attempt_id, endpoint=agent.endpoint)
        try:
            opened = self.agents.dispatch(agent, call)
        except LostError as error:
            self._note_loss(attempt_id, error)
            return ConnectionLost()
        if isinstance(opened, NotTaken):
            log_event(_log, "not_taken", attempt=attempt_id, reason=opened.reason)
            self._placement.not_taken(agent.endpoint, opened.reason)
            return NotDispatched(opened.reason)
        return opened

    def _resume(self, offset: int) -> Opened | Event:
        # Where an agent answers questions while its streams always break,
        # asking and resuming would go round without end; seen as an entry
        # that uses a whole core for a request long past its deadline.
        if self.clock.now() >= self.request.deadline:
            return DeadlinePassed()
        if offset == self._resumed_at:
            self.pause(_RESUME_PAUSE_MS)
        self._resumed_at = offset
        opened = self._try_resume(offset)
        if isinstance(opened, NotTaken):
            return self._no_text()
        return opened

    def _try_resume(self, offset: int) -> Opened | NotTaken | Event:
        if not self._agent.address:
            return AgentUnresponsive()
        try:
            return self.agents.resume(
                self._agent, self.attempt_id, self.request.organisation, offset
            )
        except LostError:
            return ConnectionLost()

    def _no_text(self) -> Event:
        # The agent does not have it. If it is still in the incarnation that
        # was given the attempt, asking settles it for good as not run.
        asked = self._ask()
        if isinstance(asked, StatusReported) and asked.status in _KNOWN_THERE:
            return AnswerTextExpired()
        return asked

    def _ask(self) -> Event:
        if not self._agent.address:
            return AgentUnresponsive()
        try:
            state = self.agents.settle(
                self._agent, self.attempt_id, self.request.organisation
            )
        except LostError:
            return AgentUnresponsive()
        self.observer.settled(self.request.service, state)
        log_event(_log, "settled", attempt=self.attempt_id, state=state)
        return StatusReported(state)

    def _read(self, opened: Opened) -> Iterator[Part]:
        """Yield parts; return the event that ended them, None when whole."""
        try:
            event = yield from self._reader.read(opened, self._agent, self._assembler)
        except (LostError, LostMidwayError) as error:
            self._note_loss(self.attempt_id, error)
            return ConnectionLost()
        finally:
            opened.close()
        return event

    def _may_retry(self, event: Event) -> bool:
        return self._placement.may_retry(event, self._course.forwarded)

    def _note_loss(self, attempt_id: str, error: Exception) -> None:
        self.observer.lost(self.request.service)
        log_event(_log, "connection_lost", attempt=attempt_id, why=error)


def _certainly_not_run(event: Event) -> bool:
    match event:
        case NotDispatched() | StatusReported(status=AttemptStatus.NOT_RUN):
            return True
        case _:
            return False
