"""Carries one caller's request through its attempts to its final answer."""

import logging
import secrets
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Protocol

import gevent

from azurefold.core.attempts.claims import Claim, Follow, Mine
from azurefold.core.attempts.course import (
    AgentSilent,
    AskAgent,
    ConnectionLost,
    Course,
    DeadlinePassed,
    DispatchAgain,
    EndpointFailed,
    Event,
    Fail,
    NotDispatched,
    NoTextLeft,
    ResumeAt,
    SettledAs,
    Settlement,
)
from azurefold.core.attempts.frames import (
    Assembler,
    Dropped,
    Finished,
    Gap,
    Passed,
    Spoiled,
)
from azurefold.core.attempts.ids import AnswerId
from azurefold.core.attempts.ids import attempt_id as new_attempt_id
from azurefold.core.attempts.ledger import Refusal
from azurefold.core.attempts.outcome import Failure, Ran
from azurefold.core.clock import Clock, Millis
from azurefold.core.routing.messages import (
    Answered,
    Cancelled,
    Chosen,
    Failed,
    LoadReport,
    Outcome,
    Refused,
    RouteRequest,
)
from azurefold.entry.admission import Admission, Ticket
from azurefold.entry.agents import (
    AgentAddress,
    Agents,
    AttemptCall,
    NotTaken,
    Opened,
)
from azurefold.entry.claims import ClaimTaker
from azurefold.entry.lines import LostError
from azurefold.entry.requests import CallerRequest
from azurefold.internal.logs import log_event
from azurefold.wire.frames import Broken, Head

__all__ = [
    "Announced",
    "AnswerHead",
    "GivenUp",
    "Observer",
    "Relay",
    "Text",
    "Whole",
]

_log = logging.getLogger("azurefold.entry")

_MAX_ATTEMPTS = 4
_FOLLOW_TRIES = 5
_FOLLOW_PAUSE_MS: Millis = 60
_RESUME_PAUSE_MS: Millis = 100
_SECOND_MS = 1_000


@dataclass(frozen=True, slots=True)
class Announced:
    """The attempt was taken; the caller can resume by this id from now on."""

    answer_id: AnswerId


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and type of the endpoint's answer."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class Text:
    """Text that the caller has not had yet; ``offset`` is where it ends."""

    text: str
    offset: int


@dataclass(frozen=True, slots=True)
class Whole:
    """The answer is whole."""

    total: int


@dataclass(frozen=True, slots=True)
class GivenUp:
    """The final answer to a request that got no whole answer."""

    failure: Failure


Part = Announced | AnswerHead | Text | Whole | GivenUp


def _sleep(milliseconds: Millis) -> None:
    gevent.sleep(milliseconds / _SECOND_MS)


def _admit_all() -> None:
    """Let a request pass."""


class Observer(Protocol):
    """What counts the turns that requests take."""

    def dropped(self, reason: str) -> None:
        """Count a frame that was not passed on."""

    def lost(self, service: str) -> None:
        """Count a connection that was lost with an attempt on it."""

    def settled(self, service: str, state: str) -> None:
        """Count an agent's answer to what became of an attempt."""


class _LostMidwayError(Exception):
    """The stream has to be taken up again from the next offset."""


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
    _course: Course = field(init=False)
    _agent: AgentAddress | None = None
    _assembler: Assembler | None = None
    _tried: set[str] = field(default_factory=set)
    _attempts: int = 0
    _resumed_at: int = -1
    _sent: bool = False
    _admitted: bool = False
    _open: bool = False
    _first_text: bool = False

    def __post_init__(self) -> None:
        self._course = Course(self.request.idempotent)

    @property
    def attempt_id(self) -> str:
        """The present attempt, or an empty string."""
        return self._assembler.attempt_id if self._assembler else ""

    def run(self) -> Iterator[Part]:
        """Dispatch the request and yield its answer's parts."""
        try:
            yield from self._follow(DispatchAgain())
        finally:
            self._report(Cancelled())

    def attach(self, answer: AnswerId) -> Iterator[Part]:
        """Yield the rest of an answer that some attempt already gives."""
        whole = answer.offset == 0
        located = self.locate(answer.endpoint)
        address = located.address if located else ""
        self._agent = AgentAddress(answer.endpoint, answer.incarnation, address)
        self._assembler = Assembler(answer.attempt_id, answer.offset, whole)
        self._course.passed = answer.offset
        yield from self._follow(ResumeAt(answer.offset))

    def _follow(self, step: object) -> Iterator[Part]:
        while True:
            match step:
                case DispatchAgain():
                    opened = self._dispatch()
                case ResumeAt(offset=offset):
                    opened = self._resume(offset)
                case AskAgent():
                    opened = self._ask()
                case Fail(failure=failure):
                    self._report(Failed())
                    yield GivenUp(failure)
                    return
            if isinstance(opened, Failure):
                opened = self._truthful(opened)
            if isinstance(opened, Failure):
                yield GivenUp(opened)
                return
            if isinstance(opened, Follow):
                opened = self._attach_to(opened.claim)
            if isinstance(opened, Opened):
                event = yield from self._read(opened)
                if event is None:
                    return
            else:
                event = opened
            if _certainly_not_run(event):
                self._report(Refused())
            step = self._course.next(event, lambda event=event: self._may_retry(event))

    def _dispatch(self) -> Opened | Follow | Failure | Event:
        self._report(Failed())
        attempt_id = new_attempt_id(self.wall.now(), secrets.token_hex(10))
        ticket = self._ticket(attempt_id)
        chosen = self._acquire(ticket)
        if isinstance(chosen, Failure):
            return chosen
        self._attempts += 1
        self._open = True
        self._assembler = Assembler(attempt_id)
        self._agent = self.locate(chosen.endpoint)
        if self._agent is None:
            self._tried.add(chosen.endpoint)
            self._agent = AgentAddress(chosen.endpoint, "", "")
            return NotDispatched("endpoint_unknown")
        claimed = self._take_claim(self._agent, attempt_id)
        if not isinstance(claimed, Mine):
            self._report(Cancelled())
            return claimed
        return self._send(self._agent, attempt_id)

    def _acquire(self, ticket: Ticket) -> Chosen | Failure:
        if self._sent:
            return self.admission.retry(ticket)
        refused = None if self._admitted else self.admit()
        if refused is not None:
            return refused
        self._admitted = True
        return self.admission.acquire(ticket)

    def _take_claim(
        self, agent: AgentAddress, attempt_id: str
    ) -> Mine | Follow | Failure:
        if self.claim is None:
            return Mine()
        return self.claim.take(attempt_id, agent.endpoint, agent.incarnation)

    def _attach_to(self, claim: Claim) -> Opened | Event:
        """Go over to the attempt that holds the caller's key."""
        located = self.locate(claim.endpoint)
        address = located.address if located else ""
        self._agent = AgentAddress(claim.endpoint, claim.incarnation, address)
        self._assembler = Assembler(claim.attempt_id)
        log_event(_log, "follow", attempt=claim.attempt_id, endpoint=claim.endpoint)
        # Its entry may have claimed the key and not dispatched yet. Asking at
        # once would settle the attempt as not run and undo that entry's work.
        for _ in range(_FOLLOW_TRIES):
            opened = self._try_resume(0)
            if not isinstance(opened, NotTaken):
                return opened
            self.pause(_FOLLOW_PAUSE_MS)
        return self._no_text()

    def _truthful(self, failure: Failure) -> Follow | Failure:
        """Make a refusal true for the caller's key, not only for this call."""
        failure = self._course.refused(failure)
        if self.claim is None or failure.ran is not Ran.NOT_RUN:
            return failure
        return self.claim.check_refusal(failure)

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
        self._sent = True
        self._tried.add(agent.endpoint)
        log_event(_log, "dispatch", attempt=attempt_id, endpoint=agent.endpoint)
        try:
            opened = self.agents.dispatch(agent, call)
        except LostError as error:
            self._note_loss(attempt_id, error)
            return ConnectionLost()
        if isinstance(opened, NotTaken):
            log_event(_log, "not_taken", attempt=attempt_id, reason=opened.reason)
            self._learn_from(opened.reason)
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
            return AgentSilent()
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
        if isinstance(asked, SettledAs) and asked.state in ("running", "done"):
            return NoTextLeft()
        return asked

    def _ask(self) -> Event:
        if not self._agent.address:
            return AgentSilent()
        try:
            state = self.agents.settle(
                self._agent, self.attempt_id, self.request.organisation
            )
        except LostError:
            return AgentSilent()
        self.observer.settled(self.request.service, state)
        log_event(_log, "settled", attempt=self.attempt_id, state=state)
        return SettledAs(state)

    def _read(self, opened: Opened) -> Iterator[Part]:
        """Yield parts; return the event that ended them, None when whole."""
        self.admission.pool.load_reported(
            self._agent.endpoint, LoadReport(opened.running, 0), self.clock.now()
        )
        assembler = self._assembler
        try:
            yield Announced(self._answer_id(assembler.next_offset))
            for lines in opened.lines:
                # Signs of life come each second, so a request that an
                # endpoint keeps waiting ends here soon after its deadline.
                # Without this its caller would wait for as long as the
                # endpoint does: for ever, where a group's steps stand still.
                if self.clock.now() >= self.request.deadline:
                    return DeadlinePassed()
                self._course.heard()
                for line in lines:
                    event = yield from self._line(assembler, line)
                    if event is not None:
                        return event if isinstance(event, Event) else None
        except (LostError, _LostMidwayError) as error:
            self._note_loss(assembler.attempt_id, error)
        finally:
            opened.close()
        return ConnectionLost()

    def _line(self, assembler: Assembler, line: object) -> Iterator[Part]:
        if isinstance(line, Head):
            yield AnswerHead(line.status, line.content_type)
            return None
        if isinstance(line, Broken):
            ran = Ran.NOT_RUN if line.reason == Ran.NOT_RUN else Ran.UNKNOWN
            return EndpointFailed(ran)
        match assembler.accept(line):
            case Passed(text=text):
                self._note_text(assembler)
                yield Text(text, assembler.next_offset)
            case Dropped(reason=reason):
                self.observer.dropped(reason)
            case Gap():
                raise _LostMidwayError("a part of the answer is missing")
            case Spoiled(detail=detail):
                log_event(_log, "spoiled", attempt=assembler.attempt_id, why=detail)
                return EndpointFailed(Ran.UNKNOWN)
            case Finished(total=total):
                self._report(Answered(self.request.tokens))
                yield Whole(total)
                return total
        return None

    def _note_text(self, assembler: Assembler) -> None:
        self._course.passed = assembler.next_offset
        if not self._first_text:
            self._first_text = True
            self.admission.pool.first_token(
                self._agent.endpoint, assembler.attempt_id, self.clock.now()
            )

    def _note_loss(self, attempt_id: str, error: Exception) -> None:
        self.observer.lost(self.request.service)
        log_event(_log, "connection_lost", attempt=attempt_id, why=error)

    def _learn_from(self, reason: str) -> None:
        # The agent knows first that its endpoint leaves. An entry that no
        # control process tells would else send it every other request and
        # spend its retry budget on the refusals.
        if reason == Refusal.LEAVING:
            now = self.clock.now()
            self.admission.pool.mark_leaving(self._agent.endpoint, now)

    def _may_retry(self, event: Event) -> bool:
        if self._attempts >= _MAX_ATTEMPTS or self._course.passed > 0:
            return False
        if self.clock.now() >= self.request.deadline or self._attempts == 0:
            return False
        # Taking over a key whose claim was never dispatched is no retry: this
        # call has sent nothing yet. Charged to the budget, the repeats that
        # come after an outage would be refused although all is well again.
        # A refusal for old news costs the endpoint next to nothing, and what
        # never reached it nothing at all. The budget protects endpoints from
        # added load; charged for these, it would refuse the requests that met
        # connections gone silent, all at the same moment.
        if not self._sent or _cost_nothing(event):
            return True
        return self.admission.try_retry()

    def _ticket(self, attempt_id: str) -> Ticket:
        request = self.request
        ticket = Ticket(
            attempt_id,
            request.organisation,
            request.priority,
            request.tokens,
            request.deadline,
            RouteRequest(request.prefixes, request.prompt_tokens),
        )
        if not self._tried:
            return ticket
        route = replace(ticket.route, exclude=frozenset(self._tried))
        return replace(ticket, route=route)

    def _report(self, outcome: Outcome) -> None:
        if not self._open:
            return
        self._open = False
        self.admission.finished(self._agent.endpoint, self.attempt_id, outcome)

    def _answer_id(self, offset: int) -> AnswerId:
        agent = self._agent
        return AnswerId(agent.endpoint, agent.incarnation, self.attempt_id, offset)


def _cost_nothing(event: Event) -> bool:
    match event:
        case SettledAs(state=Settlement.NOT_RUN):
            return True
        case NotDispatched(reason=reason):
            return reason in (Refusal.LEAVING, Refusal.WRONG_INCARNATION)
        case _:
            return False


def _certainly_not_run(event: Event) -> bool:
    match event:
        case NotDispatched() | SettledAs(state=Settlement.NOT_RUN):
            return True
        case _:
            return False
