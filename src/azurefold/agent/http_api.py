"""The agent's HTTP interface towards entries.

========================  ===================================================
``POST /attempts/{id}``   Dispatch; streams the answer's lines.
``GET /attempts/{id}``    Resume from ``?from=OFFSET``; streams lines.
``POST /settle/{id}``     Did it run? Final once answered.
``DELETE /attempts/{id}`` Nobody wants the answer any more.
``GET /channels/{id}``    Opens a channel, on which a dispatch that names it
                          has its answer sent beside others.
``DELETE ...``            The same with ``/{attempt}`` behind it: that answer
                          goes there no more.
========================  ===================================================
"""

from collections.abc import Iterator
from dataclasses import dataclass

import falcon
import msgspec

from azurefold.agent.buffer import AnswerBuffer
from azurefold.agent.endpoint import EndpointCall
from azurefold.agent.runner import Attached, NotStarted, Runner
from azurefold.border.decoding import as_whole_number
from azurefold.core.attempts.ledger import AlreadyKnown, NotRun, OutcomeUnknown
from azurefold.wire.attempts import (
    HEADER_DEADLINE,
    HEADER_INCARNATION,
    HEADER_ORGANISATION,
    HEADER_PATH,
    HEADER_PRIORITY,
    HEADER_RUNNING,
    RefusedBody,
    SettledBody,
)
from azurefold.wire.frames import HEADER_CHANNEL

__all__ = ["attempt_routes"]

_MAX_BODY_BYTES = 8 * 1024 * 1024
_LINES = "application/x-ndjson"
_NO_NUMBER = -1


def _refuse(resp: falcon.Response, status: str, reason: str) -> None:
    resp.status = status
    resp.data = msgspec.json.encode(RefusedBody(reason))


def _number(req: falcon.Request, header: str, default: int) -> int:
    return as_whole_number(req.get_header(header) or "", default)


def _early_headers(lines: Iterator[bytes]) -> Iterator[bytes]:
    # The blank line takes the headers with it: the entry then knows that the
    # attempt was taken, long before the endpoint's first token.
    yield b"\n"
    yield from lines


@dataclass(slots=True)
class _Attempt:
    runner: Runner

    def on_post(self, req: falcon.Request, resp: falcon.Response, attempt_id: str):
        call = EndpointCall(
            attempt_id=attempt_id,
            path=req.get_header(HEADER_PATH) or "/",
            body=req.context.body,
            priority=_number(req, HEADER_PRIORITY, 0),
        )
        result = self.runner.dispatch(
            call,
            incarnation=req.get_header(HEADER_INCARNATION) or "",
            organisation=req.get_header(HEADER_ORGANISATION) or "",
            remaining_ms=_number(req, HEADER_DEADLINE, 0),
        )
        match result:
            case NotStarted(reason=reason):
                _refuse(resp, falcon.HTTP_409, reason)
            case Attached(buffer=buffer):
                self._give(req, resp, buffer)

    def on_get(self, req: falcon.Request, resp: falcon.Response, attempt_id: str):
        organisation = req.get_header(HEADER_ORGANISATION) or ""
        buffer = self.runner.find(attempt_id, organisation)
        if buffer is None:
            _refuse(resp, falcon.HTTP_404, "not_seen")
            return
        start = req.get_param_as_int("from", default=0, min_value=0)
        if start > buffer.total:
            _refuse(resp, falcon.HTTP_416, "beyond_the_answer")
            return
        self._stream(resp, buffer, start)

    def on_delete(self, req: falcon.Request, resp: falcon.Response, attempt_id: str):
        organisation = req.get_header(HEADER_ORGANISATION) or ""
        if self.runner.ledger.get_phase(attempt_id, organisation) is not None:
            self.runner.cancel(attempt_id)
        resp.status = falcon.HTTP_204

    def _give(self, req: falcon.Request, resp: falcon.Response, buffer: AnswerBuffer):
        channel_id, _, number = (req.get_header(HEADER_CHANNEL) or "").partition("/")
        channel = self.runner.channels.find(channel_id)
        known = as_whole_number(number, _NO_NUMBER)
        if channel is None or known < 0:
            self._stream(resp, buffer, 0)
            return
        buffer.follow(channel, known)
        resp.status = falcon.HTTP_202
        resp.set_header(HEADER_RUNNING, str(self.runner.ledger.running_count))

    def _stream(self, resp: falcon.Response, buffer: AnswerBuffer, start: int):
        resp.content_type = _LINES
        resp.set_header(HEADER_RUNNING, str(self.runner.ledger.running_count))
        resp.stream = _early_headers(buffer.lines(start))


@dataclass(slots=True)
class _Settle:
    runner: Runner

    def on_post(self, req: falcon.Request, resp: falcon.Response, attempt_id: str):
        organisation = req.get_header(HEADER_ORGANISATION) or ""
        # A model engine may hold a stream that the agent lost in a restart.
        self.runner.find(attempt_id, organisation)
        answer = self.runner.ledger.settle(
            attempt_id,
            req.get_header(HEADER_INCARNATION) or "",
            organisation,
            self.runner.clock.now(),
        )
        match answer:
            case AlreadyKnown(phase=phase):
                body = SettledBody(state=str(phase))
            case NotRun():
                body = SettledBody(state="not_run")
            case OutcomeUnknown():
                body = SettledBody(state="unknown")
        resp.data = msgspec.json.encode(body)


@dataclass(slots=True)
class _Channel:
    runner: Runner

    def on_get(self, req: falcon.Request, resp: falcon.Response, channel_id: str):
        resp.content_type = _LINES
        resp.stream = self.runner.channels.open(channel_id).lines()


@dataclass(slots=True)
class _Followed:
    runner: Runner

    def on_delete(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        channel_id: str,
        attempt_id: str,
    ):
        self.runner.unfollow(attempt_id, channel_id)
        resp.status = falcon.HTTP_204


def attempt_routes(app: falcon.App, runner: Runner) -> None:
    """Add the routes for attempts to an application."""
    app.add_route("/attempts/{attempt_id}", _Attempt(runner))
    app.add_route("/settle/{attempt_id}", _Settle(runner))
    app.add_route("/channels/{channel_id}", _Channel(runner))
    app.add_route("/channels/{channel_id}/{attempt_id}", _Followed(runner))
