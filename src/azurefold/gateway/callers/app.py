"""From a caller's HTTP request to a call, and from its parts to an answer.

A plain WSGI application: the body, status and headers of an endpoint go to the
caller as they are, which leaves a web framework nothing to do.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.clock import Millis
from azurefold.core.routes.model import KeyHolder, Route, RoutingConfiguration
from azurefold.core.routes.table import choose_service
from azurefold.gateway.callers.calls import Begun, Call, GivenUp, Part, Piece
from azurefold.gateway.callers.front import CONNECTION, CallerConnection
from azurefold.gateway.callers.relay import Relay
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.internal.request_reader import BodyRefusedError, RequestBody
from azurefold.platform.headers import (
    ATTEMPT_ID,
    RETRY_AFTER,
    RequestHead,
    read_request,
)

__all__ = ["GatewayApp"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_NO_ROUTE_TIMEOUT_MS: Millis = 30_000

_STARTING_RETRY_MS: Millis = 500
_MEMORY_RETRY_MS: Millis = 1_000
_STALE_RETRY_MS: Millis = 1_000
_DRAINING_RETRY_MS: Millis = 50

Environ = dict[str, object]
StartResponse = Callable[..., object]


@dataclass(frozen=True, slots=True)
class _RefusalError(Exception):
    """A request that is not admitted; it has not run."""

    status: int
    reason: str
    retry_after_ms: Millis | None = None


@dataclass(slots=True)
class GatewayApp:
    """The WSGI application for callers.

    Parameters
    ----------
    state : GatewayState
    """

    state: GatewayState

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        connection: CallerConnection = environ[CONNECTION]
        arrived = self.state.clock.now()
        head = read_request(connection.headers)
        self.state.in_flight += 1
        self.state.note_request()
        ended = False
        try:
            call = self._call(environ, connection, head, arrived)
            answer = _Answer(self, call, connection, start)
            ended = True
            return answer.begin()
        except _RefusalError as refusal:
            return self._refuse(head, refusal, start)
        finally:
            if not ended:
                self.state.in_flight -= 1

    def _call(
        self,
        environ: Environ,
        connection: CallerConnection,
        head: RequestHead,
        arrived: Millis,
    ) -> Call:
        configuration = self.state.configuration
        if configuration is None:
            raise _RefusalError(503, "no_configuration_yet", _STARTING_RETRY_MS)
        body = self._body(environ, configuration.limits.max_body_bytes)
        path = connection.target.partition("?")[0]
        route = self.state.routes.find(head.host, path)
        if route is None:
            raise self._unknown(404, "no_route")
        holder = self._holder(configuration, route, head)
        wait = min(route.timeout_ms, head.deadline_ms or _NO_ROUTE_TIMEOUT_MS)
        deadline = arrived + wait
        is_safe = route.is_safe_to_rerun
        if not self.state.accepts_request(deadline, is_safe_to_rerun=is_safe):
            raise _RefusalError(503, "draining", _DRAINING_RETRY_MS)
        return Call(
            method=str(environ["REQUEST_METHOD"]),
            target=connection.target,
            body=body,
            head=head,
            route=route,
            service=choose_service(route, self.state.draw.random()),
            organisation=holder.organisation,
            priority=route.priority if holder.priority is None else holder.priority,
            arrived=arrived,
            deadline=deadline,
            configuration=configuration.version,
            passes_key=not configuration.is_key_required,
            held=connection.held,
        )

    def _body(self, environ: Environ, most: int) -> bytes:
        body: RequestBody = environ["wsgi.input"]
        if (body.content_length or 0) > most:
            raise _RefusalError(413, "body_too_large")
        try:
            data = body.read(most + 1)
        except BodyRefusedError as error:
            is_brief = error.status is HTTPStatus.SERVICE_UNAVAILABLE
            retry_after = _MEMORY_RETRY_MS if is_brief else None
            raise _RefusalError(error.status, error.reason, retry_after) from error
        if len(data) > most:
            raise _RefusalError(413, "body_too_large")
        return data

    def _holder(
        self, configuration: RoutingConfiguration, route: Route, head: RequestHead
    ) -> KeyHolder:
        holder = configuration.key_holders.get(head.key)
        if holder is not None:
            return holder
        if route.is_public or not configuration.is_key_required:
            return KeyHolder("")
        raise self._unknown(401, "unknown_key")

    def _unknown(self, status: int, reason: str) -> _RefusalError:
        # A route or key that is not known here may be in force since a moment
        # ago. Without fresh news "it does not exist" could be untrue, and
        # callers do not come back after it.
        if self.state.is_current:
            return _RefusalError(status, reason)
        return _RefusalError(503, f"{reason}_and_stale", _STALE_RETRY_MS)

    def _refuse(
        self, head: RequestHead, refusal: _RefusalError, start: StartResponse
    ) -> list[bytes]:
        state = self.state
        state.answers["none", refusal.reason] += 1
        log_event(
            _log,
            "request_refused",
            request=head.attempt_id or "none",
            result=refusal.reason,
            status=refusal.status,
            host=head.host,
            configuration=state.version,
            configuration_age_ms=state.configuration_age_ms,
        )
        headers = _own_headers(head.attempt_id, refusal.retry_after_ms)
        body = _error_body(refusal.reason, RunStatus.NOT_RUN)
        self.start_answer(refusal.status, headers, len(body), start)
        return [body]

    def start_answer(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        length: int | None,
        start: StartResponse,
    ) -> None:
        """Begin an answer with a body of a length, or one in chunks."""
        out = list(headers)
        if length is not None:
            out.append(("Content-Length", str(length)))
        if self.state.draining:
            out.append(("Connection", "close"))
        start(_status_line(status), out)


class _Answer:
    """The answer to one call, from its first part on.

    The server asks for one chunk after the other and calls :meth:`close` when
    it is done, also when the caller has gone.
    """

    def __init__(
        self,
        app: GatewayApp,
        call: Call,
        connection: CallerConnection,
        start: StartResponse,
    ) -> None:
        self._app = app
        self._call = call
        self._start = start
        self._watch = connection.watch()
        self._parts = self._relay_parts()
        self._pieces: Iterable[bytes] = ()
        self._is_written_only = False

    def begin(self) -> Iterable[bytes]:
        """Wait for the first part and begin the answer with it."""
        try:
            self._begin()
        except BaseException:
            self.close()
            raise
        return self

    def _begin(self) -> None:
        self._watch.__enter__()
        first = next(self._parts)
        match first:
            case Begun(status=status, headers=headers, body=None, length=length):
                self._pieces = self._following_pieces()
            case Begun(status=status, headers=headers, body=body):
                self._pieces = body if isinstance(body, tuple) else (body,)
                length = sum(len(piece) for piece in self._pieces)
                self._end_work()
            case GivenUp(failure=failure, status=status):
                headers, body = self._give_up(failure)
                self._pieces, length = (body,), len(body)
                self._end_work()
            case _:
                raise AssertionError(f"an answer cannot begin with {first}")
        self._app.start_answer(status, headers, length, self._start)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._pieces)

    def close(self) -> None:
        """End the request's work, whether or not it is done."""
        self._end_work()
        self._app.state.unwritten -= 1

    def _end_work(self) -> None:
        """Give the endpoint's place back; the answer may still be written."""
        if self._is_written_only:
            return
        self._is_written_only = True
        self._app.state.in_flight -= 1
        self._app.state.unwritten += 1
        self._watch.close()
        self._parts.close()

    def _following_pieces(self) -> Iterator[bytes]:
        for part in self._parts:
            if isinstance(part, Piece):
                yield part.data

    def _relay_parts(self) -> Iterator[Part]:
        service = self._app.state.services.get(self._call.service)
        if service is None:
            failure = Failure(RunStatus.NOT_RUN, "unknown_service", "", _STALE_RETRY_MS)
            yield GivenUp(failure, 503)
            return
        yield from Relay(self._call, self._app.state, service).run()

    def _give_up(self, failure: Failure) -> tuple[list[tuple[str, str]], bytes]:
        retry_after = (
            failure.retry_after_ms if failure.ran is RunStatus.NOT_RUN else None
        )
        headers = _own_headers(self._call.id, retry_after)
        return headers, _error_body(failure.reason, failure.ran)


def _own_headers(
    attempt_id: str, retry_after_ms: Millis | None
) -> list[tuple[str, str]]:
    headers = [("Content-Type", "application/json")]
    if attempt_id:
        headers.append((ATTEMPT_ID, attempt_id))
    if retry_after_ms is not None:
        headers.append((RETRY_AFTER, f"{retry_after_ms / _SECOND_MS:.3f}"))
    return headers


def _error_body(reason: str, ran: RunStatus) -> bytes:
    return msgspec.json.encode({"error": {"ran": str(ran), "reason": reason}})


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
