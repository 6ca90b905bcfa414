"""Runs attempts at the endpoint and keeps their answers."""

import logging
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from azurefold.agent.buffer import AnswerBuffer
from azurefold.agent.channels import Channels
from azurefold.agent.endpoint import (
    EndpointCall,
    EndpointEnd,
    EndpointHead,
    EndpointText,
    ModelEngine,
    NeverSentError,
    NoSuchStreamError,
    PlainService,
    StreamBrokeError,
    call_endpoint,
    cancel_stream,
    resume_stream,
)
from azurefold.core.attempts.ledger import (
    Accepted,
    AlreadyKnown,
    AttemptPhase,
    Ledger,
    Refused,
)
from azurefold.core.callers.memory import MemoryBudget
from azurefold.core.clock import Clock, Millis
from azurefold.internal.logs import log_event

__all__ = ["Attached", "NotStarted", "Runner", "Seen", "new_runner"]

_log = logging.getLogger("azurefold.agent")

_RESUMES = 3
_RESUME_PAUSE_MS: Millis = 100
# A caller that lost its connection comes back within seconds, or not at all.
_UNREAD_MS: Millis = 30_000
_CANCELLED = "cancelled"
_SECOND_MS = 1_000


@dataclass(frozen=True, slots=True)
class Attached:
    """The attempt's answer can be read from here."""

    buffer: AnswerBuffer
    new: bool


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The attempt was refused and not run."""

    reason: str


@dataclass(slots=True)
class Seen:
    """What has happened at one agent, for its metrics.

    Parameters
    ----------
    attempts : Counter of str
        Dispatches by what became of them.
    ended : Counter of str
        Attempts by the phase they ended in.
    resumes, cancelled : int
        Streams taken up again at the engine, and streams stopped.
    freed : int
        Answers given up before their time for want of memory.
    """

    attempts: Counter[str] = field(default_factory=Counter)
    ended: Counter[str] = field(default_factory=Counter)
    resumes: int = 0
    cancelled: int = 0
    freed: int = 0


@dataclass(slots=True)
class Runner:
    """Attempts of one agent, from dispatch to the end of their answers."""

    ledger: Ledger
    target: ModelEngine | PlainService
    clock: Clock
    budget: MemoryBudget
    channels: Channels = field(default_factory=Channels)
    seen: Seen = field(default_factory=Seen)
    _buffers: dict[str, AnswerBuffer] = field(default_factory=dict)
    _unread_since: dict[str, Millis] = field(default_factory=dict)
    _cancelled: set[str] = field(default_factory=set)

    @property
    def readers(self) -> int:
        """Entries that are reading an answer just now."""
        readers = sum(buffer.readers for buffer in self._buffers.values())
        return readers + self.channels.pending

    def dispatch(
        self,
        call: EndpointCall,
        incarnation: str,
        organisation: str,
        remaining_ms: Millis,
    ) -> Attached | NotStarted:
        """Run an attempt, or attach to it if it already runs."""
        attempt_id = call.attempt_id
        decision = self.ledger.dispatch(
            attempt_id, incarnation, organisation, remaining_ms, self.clock.now()
        )
        match decision:
            case Refused(reason=reason):
                log_event(_log, "attempt_refused", attempt=attempt_id, reason=reason)
                self.seen.attempts[str(reason)] += 1
                return NotStarted(str(reason))
            case AlreadyKnown():
                buffer = self._buffers.get(attempt_id) or _freed(attempt_id)
                self.seen.attempts["attached"] += 1
                return Attached(buffer, new=False)
            case Accepted():
                buffer = AnswerBuffer(attempt_id, held=self.budget.reservation())
                self._buffers[attempt_id] = buffer
                gevent.spawn(self._to_an_end, buffer, self._run, call)
                log_event(_log, "attempt_started", attempt=attempt_id)
                self.seen.attempts["started"] += 1
                return Attached(buffer, new=True)

    def find(self, attempt_id: str, organisation: str) -> AnswerBuffer | None:
        """Return an attempt's answer, also one that only the engine has.

        After the agent's own death its ledger is empty while the engine may
        still be generating. Asking the engine lets the caller's answer go on.
        """
        if self.ledger.get_phase(attempt_id, organisation) is not None:
            return self._buffers.get(attempt_id)
        if not isinstance(self.target, ModelEngine):
            return None
        return self._adopt(self.target, attempt_id, organisation)

    def unfollow(self, attempt_id: str, channel_id: str) -> None:
        """Send an attempt's answer no more on a channel."""
        buffer = self._buffers.get(attempt_id)
        channel = self.channels.find(channel_id)
        if buffer is not None and channel is not None:
            buffer.leave(channel)

    def tick(self) -> None:
        """Look after answers and those who read them; call it each second."""
        self.channels.keep_alive()
        for attempt_id, buffer in list(self._buffers.items()):
            if not buffer.ended:
                buffer.keep_alive()
                self._cancel_if_unread(attempt_id, buffer)
        self.forget_old()

    def forget_old(self) -> None:
        """Free answers that nobody may ask for any more."""
        now = self.clock.now()
        for attempt_id in self.ledger.find_expired_texts(now):
            self._free(attempt_id)
        self.ledger.evict_expired(now)

    def cancel(self, attempt_id: str) -> None:
        """Stop a running attempt whose answer nobody wants any more."""
        buffer = self._buffers.get(attempt_id)
        if buffer is None or buffer.ended or attempt_id in self._cancelled:
            return
        # A plain service's call may have taken effect, and its answer is the
        # only word of it; a key that comes again still has to find it.
        if isinstance(self.target, ModelEngine):
            self._cancelled.add(attempt_id)
            self.seen.cancelled += 1
            log_event(_log, "attempt_cancelled", attempt=attempt_id)
            gevent.spawn(cancel_stream, self.target, attempt_id)

    def _cancel_if_unread(self, attempt_id: str, buffer: AnswerBuffer) -> None:
        if buffer.readers:
            self._unread_since.pop(attempt_id, None)
            return
        now = self.clock.now()
        since = self._unread_since.setdefault(attempt_id, now)
        if now - since >= _UNREAD_MS:
            self.cancel(attempt_id)

    def _adopt(
        self, engine: ModelEngine, attempt_id: str, organisation: str
    ) -> AnswerBuffer | None:
        stream = resume_stream(engine, attempt_id, 0)
        try:
            head = next(stream)
        except (NoSuchStreamError, StreamBrokeError):
            return None
        if self.ledger.get_phase(attempt_id, organisation) is not None:
            return self._buffers.get(attempt_id)
        self.ledger.adopt(attempt_id, organisation)
        held = self.budget.reservation()
        buffer = AnswerBuffer(attempt_id, head.status, head.content_type, held)
        self._buffers[attempt_id] = buffer
        gevent.spawn(
            self._to_an_end, buffer, self._follow_adopted, engine, attempt_id, stream
        )
        log_event(_log, "attempt_adopted", attempt=attempt_id)
        return buffer

    def _to_an_end(
        self, buffer: AnswerBuffer, task: Callable[..., None], *arguments: object
    ) -> None:
        # An endpoint's answer of a form that nobody thought of ends this
        # greenlet. Left as running, the attempt would keep its readers until
        # their deadlines and a drain for ever.
        try:
            task(*arguments, buffer)
        finally:
            if not buffer.ended:
                self._fail(buffer, "unknown")

    def _follow_adopted(
        self, engine: ModelEngine, attempt_id: str, stream: object, buffer: AnswerBuffer
    ) -> None:
        try:
            self._copy(stream, buffer)
        except StreamBrokeError:
            self._resume(engine, attempt_id, buffer)
        else:
            self._ended(buffer, AttemptPhase.DONE)

    def _run(self, call: EndpointCall, buffer: AnswerBuffer) -> None:
        try:
            self._copy(call_endpoint(self.target, call), buffer)
        except NeverSentError as error:
            log_event(_log, "endpoint_unreachable", attempt=call.attempt_id, why=error)
            self._fail(buffer, "not_run")
        except StreamBrokeError as error:
            log_event(_log, "endpoint_broke", attempt=call.attempt_id, why=error)
            self._after_break(call, buffer)
        else:
            self._ended(buffer, AttemptPhase.DONE)

    def _after_break(self, call: EndpointCall, buffer: AnswerBuffer) -> None:
        match self.target:
            case ModelEngine():
                self._resume(self.target, call.attempt_id, buffer)
            case PlainService():
                self._fail(buffer, "unknown")

    def _resume(
        self, engine: ModelEngine, attempt_id: str, buffer: AnswerBuffer
    ) -> None:
        for _ in range(_RESUMES):
            gevent.sleep(_RESUME_PAUSE_MS / _SECOND_MS)
            self.seen.resumes += 1
            try:
                self._copy(resume_stream(engine, attempt_id, buffer.total), buffer)
            except StreamBrokeError:
                continue
            except NoSuchStreamError:
                break
            self._ended(buffer, AttemptPhase.DONE)
            return
        self._fail(buffer, "unknown")

    def _copy(self, events: object, buffer: AnswerBuffer) -> None:
        for event in events:
            match event:
                case EndpointText(offset=offset, text=text):
                    total = buffer.total
                    new = text if offset == total else text[max(0, total - offset) :]
                    if offset > total:
                        raise StreamBrokeError(
                            "the endpoint skipped part of its answer"
                        )
                    if new:
                        self._reserve(buffer, new)
                        buffer.append(new)
                case EndpointHead(status=status, content_type=content_type):
                    buffer.status = status
                    buffer.content_type = content_type
                case EndpointEnd(total=total):
                    if total != buffer.total:
                        raise StreamBrokeError("the endpoint's answer is not whole")
                    return

    def _reserve(self, buffer: AnswerBuffer, text: str) -> None:
        """Reserve the memory of a text; the oldest answers give way to it."""
        size = sys.getsizeof(text)
        while not buffer.held.grow(size):
            if not self._free_oldest():
                raise StreamBrokeError("there is no memory for more of the answer")

    def _free_oldest(self) -> bool:
        """Free the oldest answer that nobody reads; return whether there was one."""
        for attempt_id, buffer in self._buffers.items():
            if buffer.ended and not buffer.readers:
                log_event(_log, "answer_freed", attempt=attempt_id, why="memory")
                self.seen.freed += 1
                self._free(attempt_id)
                return True
        return False

    def _free(self, attempt_id: str) -> None:
        buffer = self._buffers.pop(attempt_id, None)
        if buffer is not None:
            buffer.held.release()

    def _ended(self, buffer: AnswerBuffer, phase: AttemptPhase) -> None:
        # An engine ends a cancelled stream like a whole one. Passed on as
        # such, somebody who resumes it would take a part for the whole.
        if buffer.attempt_id in self._cancelled:
            self._fail(buffer, _CANCELLED)
            return
        self._unread_since.pop(buffer.attempt_id, None)
        self.seen.ended[str(phase)] += 1
        self.ledger.record_end(buffer.attempt_id, phase, self.clock.now())
        buffer.finish()
        log_event(
            _log, "attempt_ended", attempt=buffer.attempt_id, characters=buffer.total
        )

    def _fail(self, buffer: AnswerBuffer, reason: str) -> None:
        self._unread_since.pop(buffer.attempt_id, None)
        self._cancelled.discard(buffer.attempt_id)
        self.seen.ended[str(AttemptPhase.FAILED)] += 1
        self.ledger.record_end(buffer.attempt_id, AttemptPhase.FAILED, self.clock.now())
        buffer.spoil(reason)
        log_event(_log, "attempt_failed", attempt=buffer.attempt_id, ran=reason)


def _freed(attempt_id: str) -> AnswerBuffer:
    buffer = AnswerBuffer(attempt_id)
    buffer.spoil("answer_not_kept")
    return buffer


def new_runner(
    ledger: Ledger,
    target: ModelEngine | PlainService,
    clock: Clock,
    budget: MemoryBudget | None = None,
) -> Runner:
    """Return a runner that has run nothing yet.

    Parameters
    ----------
    ledger : Ledger
    target : ModelEngine or PlainService
    clock : Clock
    budget : MemoryBudget, optional
        Of the answers that are kept; by default without a bound.
    """
    return Runner(ledger, target, clock, budget or MemoryBudget(sys.maxsize))
