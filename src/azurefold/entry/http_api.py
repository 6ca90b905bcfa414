"""The callers' HTTP interface.

==========================  ================================================
``POST /v1/completions``    Completions of model services; ``stream`` gives
                            server-sent events.
``POST /services/{name}``   Calls of plain services, also with a path below.
``GET /v1/answers``         The rest of an answer, by ``Last-Event-ID``.
==========================  ================================================
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import chain

import falcon
import gevent

from azurefold.core.admission.messages import Priority
from azurefold.core.attempts.claims import claim_key, request_digest
from azurefold.core.attempts.ids import AnswerId, BadAnswerIdError, parse_answer_id
from azurefold.core.attempts.outcome import Failure, Ran
from azurefold.core.clock import Clock, Millis
from azurefold.core.routing.prompt import prompt_prefixes
from azurefold.entry.agents import Agents
from azurefold.entry.answers import (
    collect,
    completion_json,
    error_json,
    server_sent_events,
)
from azurefold.entry.claims import ClaimTaker, ClaimWriter
from azurefold.entry.metrics import EntryMetrics
from azurefold.entry.organisations import LIMITED, Organisations
from azurefold.entry.relay import GivenUp, Part, Relay
from azurefold.entry.requests import (
    BadRequestError,
    CallerRequest,
    estimated_tokens,
    parse_completion,
)
from azurefold.entry.services import Service, Services

__all__ = ["EntryLimits", "EntryState", "entry_app"]

_SECOND_MS = 1_000
_MAX_KEY_LENGTH = 255
_MAX_DEADLINE_MS: Millis = 3_600_000
_EVENTS = "text/event-stream"
_TRUTHS = {"true": True, "false": False}
_PRIORITIES = {"confirmation": Priority.CONFIRMATION, "draft": Priority.DRAFT}


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """What a caller may send.

    Parameters
    ----------
    max_body_bytes : int
    body_timeout_ms : int
        A body that takes longer is refused, however slowly it drips.
    """

    max_body_bytes: int
    body_timeout_ms: Millis


@dataclass(slots=True)
class EntryState:
    """What the callers' interface works with."""

    services: Services
    organisations: Organisations
    agents: Agents
    claims: ClaimWriter
    metrics: EntryMetrics
    clock: Clock
    wall: Clock
    limits: EntryLimits
    draining: bool = False
    in_flight: int = 0


@dataclass(slots=True)
class _Completions:
    state: EntryState

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        body = _read_body(req, self.state.limits)
        completion = parse_completion(body)
        service = _service(self.state, completion.model, is_model=True)
        tokens = estimated_tokens(body, completion.max_tokens)
        request = _caller_request(
            self.state, req, service, "/v1/completions", body, tokens, completion.stream
        )
        request = replace(
            request,
            prefixes=prompt_prefixes(completion.prompt),
            prompt_tokens=estimated_tokens(completion.prompt.encode()),
        )
        _answer(self.state, service, request, resp)


@dataclass(slots=True)
class _PlainCalls:
    state: EntryState

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, name: str, path: str = ""
    ) -> None:
        body = _read_body(req, self.state.limits)
        service = _service(self.state, name, is_model=False)
        tokens = estimated_tokens(body)
        request = _caller_request(
            self.state, req, service, "/" + path, body, tokens, stream=False
        )
        _answer(self.state, service, request, resp)


@dataclass(slots=True)
class _Answers:
    state: EntryState

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        answer = _last_event_id(req)
        if answer is None:
            raise BadRequestError(
                400, "no_last_event_id", "Send the last event's id as Last-Event-ID."
            )
        service = _service_of_endpoint(self.state, answer.endpoint)
        request = _caller_request(
            self.state, req, service, "/", b"", 1, stream=service.view.is_model
        )
        _answer(self.state, service, request, resp)


def entry_app(state: EntryState) -> falcon.App:
    """Return the WSGI application for callers."""
    app = falcon.App()
    app.add_route("/v1/completions", _Completions(state))
    app.add_route("/v1/answers", _Answers(state))
    plain = _PlainCalls(state)
    app.add_route("/services/{name}", plain)
    app.add_route("/services/{name}/{path:path}", plain)

    def on_bad_request(
        req: falcon.Request, resp: falcon.Response, error: BadRequestError, params: dict
    ) -> None:
        state.metrics.bad_requests.labels(reason=error.reason).inc()
        failure = Failure(Ran.NOT_RUN, error.reason, error.detail)
        _give_failure(resp, failure, error.status)

    app.add_error_handler(BadRequestError, on_bad_request)
    return app


def _read_body(req: falcon.Request, limits: EntryLimits) -> bytes:
    largest = limits.max_body_bytes
    if req.content_length is not None and req.content_length > largest:
        raise _too_large(largest)
    body = None
    with gevent.Timeout(limits.body_timeout_ms / _SECOND_MS, False):
        body = _read_up_to(req, largest + 1)
    if body is None:
        raise BadRequestError(408, "slow_body", "The body did not come in time.")
    if len(body) > largest:
        raise _too_large(largest)
    return body


def _read_up_to(req: falcon.Request, most: int) -> bytes:
    # A chunked body has no length in front, so it is read up to the limit
    # and never further, whatever the sender goes on sending.
    wanted = most if req.content_length is None else req.content_length
    pieces = []
    while wanted > 0:
        try:
            piece = req.env["wsgi.input"].read(wanted)
        except OSError as error:
            raise BadRequestError(400, "bad_body", "The body broke off.") from error
        if not piece:
            break
        pieces.append(piece)
        wanted -= len(piece)
    return b"".join(pieces)


def _too_large(largest: int) -> BadRequestError:
    return BadRequestError(
        413, "body_too_large", f"Send a body of at most {largest} bytes."
    )


def _service(state: EntryState, name: str, is_model: bool) -> Service:
    service = state.services.find(name)
    if service is None or service.view.is_model is not is_model:
        kind = "model service" if is_model else "plain service"
        raise BadRequestError(
            404, "unknown_service", f"There is no {kind} of this name."
        )
    return service


def _service_of_endpoint(state: EntryState, endpoint: str) -> Service:
    for service in state.services.all():
        if endpoint in service.view.endpoints:
            return service
    raise BadRequestError(
        404, "unknown_answer", "No service has this answer's endpoint."
    )


def _caller_request(
    state: EntryState,
    req: falcon.Request,
    service: Service,
    path: str,
    body: bytes,
    tokens: int,
    stream: bool,
) -> CallerRequest:
    key = req.get_header("Idempotency-Key")
    if key is not None and not 0 < len(key) <= _MAX_KEY_LENGTH:
        raise BadRequestError(
            400, "bad_idempotency_key", f"Send a key of 1 to {_MAX_KEY_LENGTH} letters."
        )
    return CallerRequest(
        organisation=_organisation(state, req),
        service=service.view.name,
        path=path,
        body=body,
        stream=stream,
        priority=_priority(req, service.view.priority),
        deadline=state.clock.now() + _timeout(req, service.view.timeout_ms),
        tokens=tokens,
        idempotent=_idempotent(req, service.view.idempotent),
        idempotency_key=key,
        resume_from=_last_event_id(req),
    )


def _organisation(state: EntryState, req: falcon.Request) -> str:
    organisation = req.get_header("Azurefold-Organisation")
    if organisation is None:
        raise BadRequestError(
            401, "no_organisation", "Name your organisation in Azurefold-Organisation."
        )
    if organisation not in state.services.organisations:
        raise BadRequestError(
            403, "unknown_organisation", "This organisation is not known."
        )
    state.organisations.check_key(organisation, req.get_header("Authorization"))
    return organisation


def _priority(req: falcon.Request, default: Priority) -> Priority:
    """Return the priority asked for, never above the service's own."""
    text = req.get_header("Azurefold-Priority")
    if text is None:
        return default
    if text not in _PRIORITIES:
        raise BadRequestError(
            400, "bad_priority", f"Send one of {', '.join(_PRIORITIES)} as priority."
        )
    return max(default, _PRIORITIES[text])


def _timeout(req: falcon.Request, default: Millis) -> Millis:
    text = req.get_header("Azurefold-Timeout-Ms")
    if text is None:
        return default
    if not text.isdecimal() or not 0 < int(text[:12]) <= _MAX_DEADLINE_MS:
        raise BadRequestError(
            400,
            "bad_timeout",
            f"Send a whole number from 1 to {_MAX_DEADLINE_MS} milliseconds.",
        )
    return int(text)


def _idempotent(req: falcon.Request, default: bool) -> bool:
    text = req.get_header("Azurefold-Idempotent")
    if text is None:
        return default
    if text not in _TRUTHS:
        raise BadRequestError(
            400, "bad_idempotent", "Send true or false as Azurefold-Idempotent."
        )
    return _TRUTHS[text]


def _last_event_id(req: falcon.Request) -> AnswerId | None:
    text = req.get_header("Last-Event-ID")
    if not text:
        return None
    try:
        return parse_answer_id(text)
    except BadAnswerIdError as error:
        raise BadRequestError(400, "bad_last_event_id", str(error)) from error


def _answer(
    state: EntryState, service: Service, request: CallerRequest, resp: falcon.Response
) -> None:
    parts = state.metrics.observed(request, _parts(state, service, request))
    # Counted from before the first part: a request that still waits for an
    # endpoint is in flight too, and a stop must not cut it off.
    in_flight = _InFlight(state)
    try:
        first = next(parts)
        if request.stream and not isinstance(first, GivenUp):
            resp.content_type = _EVENTS
            resp.set_header("Cache-Control", "no-store")
            events = server_sent_events(chain([first], parts), parts)
            resp.stream = in_flight.until_end_of(events)
        elif isinstance(first, GivenUp):
            _give_failure(resp, first.failure)
        else:
            _give_whole(request, resp, chain([first], parts))
    finally:
        in_flight.end_unless_streaming()


class _InFlight:
    """One request in the entry's count of those in flight."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._events: Iterator[bytes] | None = None
        state.in_flight += 1

    def until_end_of(self, events: Iterator[bytes]) -> "_InFlight":
        """Count the request until the server has closed this stream."""
        self._events = events
        return self

    def end_unless_streaming(self) -> None:
        """Count the request no more if its answer is complete."""
        if self._events is None:
            self._state.in_flight -= 1

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        """Count the request no more; the server calls it once for each answer."""
        # A generator that was never begun runs no cleanup of its own when it
        # is closed, so that the count would stay up for good.
        self._state.in_flight -= 1
        self._events.close()


def _parts(
    state: EntryState, service: Service, request: CallerRequest
) -> Iterator[Part]:
    relay = Relay(
        request,
        service.admission,
        state.agents,
        state.services.locate,
        state.clock,
        state.wall,
        state.metrics,
        _claim_taker(state, request),
        lambda: _refusal(state, request),
    )
    answer = request.resume_from
    if answer is None:
        return relay.run()
    return relay.attach(answer)


def _refusal(state: EntryState, request: CallerRequest) -> Failure | None:
    if state.draining:
        return _draining()
    return state.organisations.admit(request.organisation, request.tokens)


def _claim_taker(state: EntryState, request: CallerRequest) -> ClaimTaker | None:
    if request.idempotent or request.idempotency_key is None:
        return None
    key = claim_key(request.organisation, request.service, request.idempotency_key)
    return ClaimTaker(state.claims, key, request_digest(request.path, request.body))


def _give_whole(
    request: CallerRequest, resp: falcon.Response, parts: Iterator[Part]
) -> None:
    collected = collect(parts)
    if collected.failure is not None:
        _give_failure(resp, collected.failure)
        return
    if collected.answer_id is not None:
        resp.set_header("Azurefold-Answer-Id", str(collected.answer_id))
    if request.path == "/v1/completions" and collected.status == 200:
        resp.data = completion_json(request, collected)
        return
    resp.status = str(collected.status)
    resp.content_type = collected.content_type
    resp.data = collected.text.encode()


def _give_failure(
    resp: falcon.Response, failure: Failure, status: int | None = None
) -> None:
    resp.status = str(status or _status_of(failure))
    resp.data = error_json(failure)
    resp.content_type = falcon.MEDIA_JSON
    if failure.retry_after_ms is not None:
        seconds = -(-failure.retry_after_ms // _SECOND_MS)
        resp.set_header("Retry-After", str(max(1, seconds)))


def _status_of(failure: Failure) -> int:
    if failure.reason == "key_reused":
        return 422
    if failure.reason == LIMITED:
        return 429
    return 503 if failure.ran is Ran.NOT_RUN else 502


def _draining() -> Failure:
    return Failure(
        Ran.NOT_RUN, "draining", "This entry is stopping; send it to another.", 1_000
    )
