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
from http import HTTPStatus
from itertools import chain

import falcon

from azurefold.core.attempts.claims import claim_key, request_digest
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.routing.prompt import prompt_prefixes
from azurefold.entry.answers import server_sent_events
from azurefold.entry.bodies import read_body
from azurefold.entry.caller_headers import (
    read_idempotency_key,
    read_idempotent,
    read_last_event_id,
    read_priority,
    read_timeout,
)
from azurefold.entry.claims import ClaimTaker
from azurefold.entry.in_flight import InFlight
from azurefold.entry.parts import GivenUp, Part
from azurefold.entry.relay import Relay
from azurefold.entry.requests import (
    BadRequestError,
    CallerRequest,
    estimated_tokens,
    parse_completion,
)
from azurefold.entry.responses import give_failure, give_whole
from azurefold.entry.services import Service
from azurefold.entry.state import EntryState
from azurefold.internal.http_server import HELD

__all__ = ["entry_app"]

_EVENTS = "text/event-stream"
_MEMORY_RETRY_MS = 1_000


@dataclass(slots=True)
class _Completions:
    state: EntryState

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        body = read_body(req, self.state.limits)
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
        body = read_body(req, self.state.limits)
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
        answer = read_last_event_id(req)
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
        is_brief = error.status == HTTPStatus.SERVICE_UNAVAILABLE
        retry_after = _MEMORY_RETRY_MS if is_brief else None
        failure = Failure(RunStatus.NOT_RUN, error.reason, error.detail, retry_after)
        give_failure(resp, failure, error.status)

    app.add_error_handler(BadRequestError, on_bad_request)
    return app


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
    key = read_idempotency_key(req)
    return CallerRequest(
        organisation=_organisation(state, req),
        service=service.view.name,
        path=path,
        body=body,
        stream=stream,
        priority=read_priority(req, service.view.priority),
        deadline=state.clock.now() + read_timeout(req, service.view.timeout_ms),
        tokens=tokens,
        idempotent=read_idempotent(req, service.view.idempotent),
        idempotency_key=key,
        resume_from=read_last_event_id(req),
        held=req.env[HELD],
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


def _answer(
    state: EntryState, service: Service, request: CallerRequest, resp: falcon.Response
) -> None:
    parts = state.metrics.observed(request, _parts(state, service, request))
    # Counted from before the first part: a request that still waits for an
    # endpoint is in flight too, and a stop must not cut it off.
    in_flight = InFlight(state)
    try:
        first = next(parts)
        if request.stream and not isinstance(first, GivenUp):
            resp.content_type = _EVENTS
            resp.set_header("Cache-Control", "no-store")
            events = server_sent_events(chain([first], parts), parts)
            resp.stream = in_flight.until_end_of(events)
        elif isinstance(first, GivenUp):
            give_failure(resp, first.failure)
        else:
            give_whole(request, resp, chain([first], parts))
    finally:
        in_flight.end_unless_streaming()


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


def _draining() -> Failure:
    return Failure(
        RunStatus.NOT_RUN,
        "draining",
        "This entry is stopping; send it to another.",
        1_000,
    )
