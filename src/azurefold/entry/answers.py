"""Forms in which callers get their answers."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from azurefold.core.attempts.ids import AnswerId
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.callers.memory import Reservation
from azurefold.entry.parts import Announced, AnswerHead, GivenUp, Part, Text, Whole
from azurefold.entry.requests import CallerRequest

__all__ = [
    "Collected",
    "collect",
    "completion_json",
    "error_json",
    "server_sent_events",
]

_encode = msgspec.json.Encoder().encode
_TEXT = b'"text":'
_NO_TEXT = b'"text":""'
_COPIES = 2
"""Of a text while it is encoded."""

_NOT_KEPT = Failure(
    RunStatus.RAN,
    "answer_not_kept",
    "There is no memory for the whole answer; ask for it as a stream.",
)


class _Choice(msgspec.Struct):
    text: str
    index: int = 0
    finish_reason: str | None = None


class _Completion(msgspec.Struct):
    id: str
    choices: list[_Choice]
    object: str = "text_completion"


class _ErrorBody(msgspec.Struct, omit_defaults=True):
    ran: str
    reason: str
    detail: str
    retry_after_ms: int | None = None
    this_call: str | None = None


class _Error(msgspec.Struct):
    error: _ErrorBody


@dataclass(slots=True)
class Collected:
    """A whole answer, or the failure in its place."""

    text: str = ""
    status: int = 200
    content_type: str = "application/json"
    answer_id: AnswerId | None = None
    failure: Failure | None = None


def collect(parts: Iterator[Part], held: Reservation | None = None) -> Collected:
    """Wait for the end of an answer.

    Nothing of an answer that breaks off is given out: a body cut short would
    look like a whole one.

    Parameters
    ----------
    parts : iterator of Part
    held : Reservation, optional
        Grows by what is collected.
    """
    collected = Collected()
    pieces = []
    for part in parts:
        match part:
            case Announced(answer_id=answer_id):
                collected.answer_id = answer_id
            case AnswerHead(status=status, content_type=content_type):
                collected.status = status
                collected.content_type = content_type
            case Text(text=text):
                if held is not None and not held.grow(_COPIES * len(text)):
                    collected.failure = _NOT_KEPT
                    return collected
                pieces.append(text)
            case GivenUp(failure=failure):
                collected.failure = failure
            case Whole():
                pass
    collected.text = "".join(pieces)
    return collected


def completion_json(request: CallerRequest, collected: Collected) -> bytes:
    """Return the body of a completion that is not streamed."""
    choice = _Choice(collected.text, finish_reason="stop")
    return _encode(_Completion(str(collected.answer_id), [choice]))


def error_json(failure: Failure) -> bytes:
    """Return the machine-readable body of an error."""
    body = _ErrorBody(
        str(failure.ran),
        failure.reason,
        failure.detail,
        failure.retry_after_ms,
        str(failure.this_call) if failure.this_call else None,
    )
    return _encode(_Error(body))


def _around_text(answer: str) -> tuple[bytes, bytes]:
    """Return the JSON of a piece of an answer, without its text.

    Only the text differs between the tokens of an answer; building all the
    rest for each of them cost more than sending it on.
    """
    whole = _encode(_Completion(answer, [_Choice("")]))
    before, _, after = whole.partition(_NO_TEXT)
    return before + _TEXT, after


def server_sent_events(parts: Iterator[Part], source: Iterator) -> Iterator[bytes]:
    """Yield an answer as server-sent events.

    Each event's id names the answer and the offset behind the event's text; a
    caller that sends the last one back gets exactly the rest. An answer that
    cannot be finished ends in an ``error`` event, never in silence.

    Parameters
    ----------
    parts : iterator of Part
    source : iterator
        Closed when the caller goes away.
    """
    prefix = before = after = b""
    try:
        for part in parts:
            match part:
                case Text(text=text, offset=offset):
                    yield b"id: %b~%d\ndata: %b%b%b\n\n" % (
                        prefix,
                        offset,
                        before,
                        _encode(text),
                        after,
                    )
                case Announced(answer_id=answer_id):
                    answer = str(answer_id)
                    before, after = _around_text(answer)
                    prefix = answer.rpartition("~")[0].encode()
                    yield b"id: %s\n\n" % answer.encode()
                case GivenUp(failure=failure):
                    yield b"event: error\ndata: %s\n\n" % error_json(failure)
                case Whole():
                    yield b"data: [DONE]\n\n"
                case AnswerHead():
                    pass
    finally:
        source.close()
