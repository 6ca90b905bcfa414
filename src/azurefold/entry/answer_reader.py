"""Reads an attempt's answer from its agent and passes on its parts."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from azurefold.core.attempts.frames import (
    AnswerAssembler,
    AnswerComplete,
    AnswerCorrupted,
    FrameDropped,
    NewText,
    TextMissing,
)
from azurefold.core.attempts.ids import AnswerId
from azurefold.core.attempts.outcome import RunStatus
from azurefold.core.attempts.request_state import (
    ConnectionLost,
    DeadlinePassed,
    EndpointFailed,
    Event,
    RequestState,
)
from azurefold.core.clock import Clock
from azurefold.core.routing.messages import Answered, LoadReport
from azurefold.entry.agent_messages import AgentAddress, Opened
from azurefold.entry.lines import Line
from azurefold.entry.observer import Observer
from azurefold.entry.parts import Announced, AnswerHead, Part, Text, Whole
from azurefold.entry.placement import Placement
from azurefold.internal.logs import log_event
from azurefold.wire.frames import Broken, Head

__all__ = ["AnswerReader", "LostMidwayError"]

_log = logging.getLogger("azurefold.entry")


class LostMidwayError(Exception):
    """The stream has to be taken up again from the next offset."""


@dataclass(slots=True)
class AnswerReader:
    """Reads the answers to one request's attempts.

    Parameters
    ----------
    placement : Placement
        Told of a whole answer; its pool is told of load and first text.
    course : RequestState
        Told of signs of life and of how much text was passed on.
    clock : Clock
        Monotonic.
    observer : Observer
        Told of frames that were not passed on.
    """

    placement: Placement
    course: RequestState
    clock: Clock
    observer: Observer
    _first_text: bool = False

    def read(
        self, opened: Opened, agent: AgentAddress, assembler: AnswerAssembler
    ) -> Iterator[Part]:
        """Yield parts; return the event that ended them, None when whole.

        Raises
        ------
        LostError, LostMidwayError
            If the rest has to be fetched over another connection.
        """
        request = self.placement.request
        self.placement.admission.pool.record_load(
            agent.endpoint, LoadReport(opened.running, 0), self.clock.now()
        )
        yield Announced(_answer_id(agent, assembler))
        for lines in opened.lines:
            # Signs of life come each second, so a request that an
            # endpoint keeps waiting ends here soon after its deadline.
            # Without this its caller would wait for as long as the
            # endpoint does: for ever, where a group's steps stand still.
            if self.clock.now() >= request.deadline:
                return DeadlinePassed()
            self.course.record_progress()
            for line in lines:
                event = yield from self._line(agent, assembler, line)
                if event is not None:
                    return event if isinstance(event, Event) else None
        return ConnectionLost()

    def _line(
        self, agent: AgentAddress, assembler: AnswerAssembler, line: Line
    ) -> Iterator[Part]:
        if isinstance(line, Head):
            yield AnswerHead(line.status, line.content_type)
            return None
        if isinstance(line, Broken):
            ran = (
                RunStatus.NOT_RUN
                if line.reason == RunStatus.NOT_RUN
                else RunStatus.UNKNOWN
            )
            return EndpointFailed(ran)
        match assembler.accept(line):
            case NewText(text=text):
                self._note_text(agent, assembler)
                yield Text(text, assembler.next_offset)
            case FrameDropped(reason=reason):
                self.observer.dropped(reason)
            case TextMissing():
                raise LostMidwayError("a part of the answer is missing")
            case AnswerCorrupted(detail=detail):
                log_event(_log, "spoiled", attempt=assembler.attempt_id, why=detail)
                return EndpointFailed(RunStatus.UNKNOWN)
            case AnswerComplete(total=total):
                self.placement.report(Answered(self.placement.request.tokens))
                yield Whole(total)
                return total
        return None

    def _note_text(self, agent: AgentAddress, assembler: AnswerAssembler) -> None:
        self.course.forwarded = assembler.next_offset
        if not self._first_text:
            self._first_text = True
            self.placement.admission.pool.record_first_token(
                agent.endpoint, assembler.attempt_id, self.clock.now()
            )


def _answer_id(agent: AgentAddress, assembler: AnswerAssembler) -> AnswerId:
    return AnswerId(
        agent.endpoint, agent.incarnation, assembler.attempt_id, assembler.next_offset
    )
