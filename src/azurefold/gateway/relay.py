"""One request from its admission to the last byte of its answer."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import gevent

from azurefold.core.admission.messages import Priority
from azurefold.core.attempts.course import (
    Course,
    DispatchAgain,
    EndpointFailed,
    Event,
    Fail,
    NotDispatched,
)
from azurefold.core.attempts.events import EventPace, EventSplitter
from azurefold.core.attempts.outcome import Failure, Ran
from azurefold.core.clock import Millis
from azurefold.core.routes.model import RouteKind
from azurefold.core.routing.messages import (
    Answered,
    Cancelled,
    Failed,
    Outcome,
    Refused,
    RouteRequest,
)
from azurefold.entry.admission import Ticket
from azurefold.gateway.calls import (
    AnswerCutOffError,
    Begun,
    Call,
    CallerGoneError,
    DeadlinePassedError,
    GivenUp,
    Part,
    Piece,
)
from azurefold.gateway.connections import Link
from azurefold.gateway.reply import BrokenReplyError, Reply, read_reply
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform.headers import endpoint_headers

__all__ = ["Relay"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_SERVER_ERROR = 500
_OK = 200
_REDIRECT = 300
_UNAVAILABLE, _BAD_GATEWAY, _GATEWAY_TIMEOUT = 503, 502, 504

_LONGEST_WAIT_MS: Millis = 1_200
"""In the queue: callers leave a stream that shows nothing for two seconds, and
its first event takes some 300 ms from its dispatch."""

_WORTH_A_RETRY_MS: Millis = 30
"""Time left below which another attempt could not be answered."""

_GROUP_RETRY_MS: Millis = 2_600
"""After a refusal because a group is down: it forms anew 0.6 s after its last
rank is back, which takes seconds. Callers wait a third of their time at most."""

_DETAIL_DEADLINE = "No answer came in time."


@dataclass(slots=True)
class Relay:
    """The course of one request; :meth:`run` yields its answer.

    Parameters
    ----------
    call : Call
    state : GatewayState
    service : GatewayService
    """

    call: Call
    state: GatewayState
    service: GatewayService
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    _course: Course = field(init=False)
    _splitter: EventSplitter = field(default_factory=EventSplitter)
    _own_answer: Begun | None = None
    _begun: bool = False
    _dispatched: bool = False
    _group_down: bool = False
    _result: str = "abandoned"
    _pace: EventPace = field(default_factory=EventPace)
    _queued_ms: Millis = 0

    def __post_init__(self) -> None:
        route = self.call.route
        self._course = Course(
            idempotent=route.may_run_twice,
            resumable=route.kind is RouteKind.STREAMING and route.resumable,
        )

    def run(self) -> Iterator[Part]:
        """Yield the parts of the answer.

        Raises
        ------
        AnswerCutOffError
            If the answer has begun and cannot be finished.
        """
        left = self.call.deadline - self.state.clock.now()
        timer = gevent.Timeout(
            max(0, left) / _SECOND_MS, DeadlinePassedError("deadline")
        )
        timer.start()
        try:
            yield from self._run()
        except DeadlinePassedError:
            yield self._too_late()
        except CallerGoneError:
            self._result = "caller_gone"
            raise
        finally:
            timer.close()
            self._log_end()

    def _run(self) -> Iterator[Part]:
        placed = self.service.admission.acquire(self._ticket(1))
        self._queued_ms = self.state.clock.now() - self.call.arrived
        if isinstance(placed, Failure):
            yield self._give_up(placed)
            return
        while True:
            event = yield from self._attempt(placed.endpoint)
            if event is None:
                return
            step = self._course.next(event, self._may_retry)
            match step:
                case DispatchAgain():
                    placed = self.service.admission.retry(self._ticket(None))
                    if isinstance(placed, Failure):
                        yield self._give_up(self._course.refused(placed))
                        return
                case Fail(failure=failure):
                    yield self._give_up(failure)
                    return

    def observe_events(self, now: Millis) -> None:
        """Note that events were passed on."""
        gap = self._pace.passed(now)
        timings = self.state.timings
        service = self.call.service
        if gap is None:
            timings.first_events.of(service).observe(now - self.call.arrived)
        else:
            timings.event_gaps.of(service).observe(gap)

    def _ticket(self, attempt: int | None) -> Ticket:
        call = self.call
        now = self.state.clock.now()
        number = attempt or self.attempts + 1
        urgent = call.priority <= 0
        return Ticket(
            request_id=f"{call.id}#{number}",
            organisation=call.organisation,
            priority=Priority.CONFIRMATION if urgent else Priority.DRAFT,
            tokens=call.tokens,
            deadline=min(call.deadline, now + _LONGEST_WAIT_MS),
            route=RouteRequest(
                prompt_tokens=call.head.prompt_tokens, exclude=frozenset(self.tried)
            ),
        )

    def _may_retry(self) -> bool:
        # All ranks of a group stop together: another one would refuse as well.
        if self._group_down:
            return False
        left = self.call.deadline - self.state.clock.now()
        if self.attempts >= self.call.route.max_attempts or left < _WORTH_A_RETRY_MS:
            return False
        return self.service.admission.try_retry()

    def _attempt(self, endpoint: str) -> Iterator[Part]:
        """Send the request once; return what went wrong, or None.

        The place at the endpoint is given back here, whatever happens.
        """
        self.attempts += 1
        self.tried.add(endpoint)
        attempt = _Attempt(self, endpoint, f"{self.call.id}#{self.attempts}")
        try:
            return (yield from attempt.run())
        finally:
            attempt.end()

    def _give_up(self, failure: Failure) -> Part:
        if self._begun:
            self._result = f"cut_off_{failure.reason}"
            raise AnswerCutOffError(failure.reason)
        if self._own_answer is not None:
            self._result = "endpoint_error"
            return self._own_answer
        self._result = f"refused_{failure.reason}"
        # What comes back to a group that is still down is refused for good, and
        # nearly all callers come back once: those that a longer time brings
        # behind the group's return are served.
        if self.service.group_is_down(self.state.clock.now()):
            failure = replace(failure, retry_after_ms=_GROUP_RETRY_MS)
        not_run = failure.ran is Ran.NOT_RUN
        return GivenUp(failure, _UNAVAILABLE if not_run else _BAD_GATEWAY)

    def _too_late(self) -> Part:
        if self._begun:
            self._result = "cut_off_deadline"
            raise AnswerCutOffError("deadline")
        self._result = "deadline"
        ran = Ran.UNKNOWN if self._dispatched else Ran.NOT_RUN
        failure = Failure(ran, "deadline", _DETAIL_DEADLINE, 0)
        return GivenUp(failure, _GATEWAY_TIMEOUT if self._dispatched else _UNAVAILABLE)

    def _log_end(self) -> None:
        call = self.call
        now = self.state.clock.now()
        self.state.answers[call.service, self._result] += 1
        self.state.timings.requests.of(call.service).observe(now - call.arrived)
        log_event(
            _log,
            "request_end",
            request=call.id,
            result=self._result,
            route=call.route.name,
            service=call.service,
            organisation=call.organisation,
            configuration=call.configuration,
            attempts=self.attempts,
            endpoints=",".join(sorted(self.tried)) or "none",
            took_ms=now - call.arrived,
            left_ms=call.deadline - now,
            queued_ms=self._queued_ms,
            first_ms=self._pace.first_after(call.arrived),
            longest_gap_ms=self._pace.longest_gap,
            events=self._splitter.passed,
        )


@dataclass(slots=True)
class _Attempt:
    """One sending of a request to one endpoint."""

    relay: Relay
    endpoint: str
    id: str
    _link: Link | None = None
    _outcome: Outcome = Cancelled()

    def run(self) -> Iterator[Part]:
        """Yield parts of the answer; return what went wrong, or None."""
        entry = self.relay.service.entries.get(self.endpoint)
        if entry is None:
            return NotDispatched("endpoint_gone")
        fresh = not self.relay.call.route.may_run_twice
        try:
            links = self.relay.state.links
            self._link = links.take(self.endpoint, entry.address, fresh=fresh)
        except (TimeoutError, ConnectionError) as error:
            return self._failed("unreachable", type(error).__name__, sent=False)
        try:
            self._send(entry.address)
            reply = read_reply(self._link, self.relay.call.method)
            return (yield from self._answer(reply))
        except BrokenReplyError as error:
            return self._failed("broken_reply", error.reason, sent=True)

    def end(self) -> None:
        """Close what is open and give the place back."""
        if self._link is not None:
            self._link.close()
        admission = self.relay.service.admission
        admission.finished(self.endpoint, self.id, self._outcome)

    def _send(self, address: str) -> None:
        relay = self.relay
        relay._dispatched = True
        try:
            self._link.sock.sendall(_request_bytes(relay, self.endpoint, address))
        except OSError as error:
            if isinstance(error, CallerGoneError | DeadlinePassedError):
                raise
            raise BrokenReplyError("send_failed", begun=False) from error

    def _answer(self, reply: Reply) -> Iterator[Part]:
        head = reply.head
        if head.attempt_id and head.attempt_id != self.relay.call.id:
            return self._failed("foreign_answer", head.attempt_id, sent=True)
        if head.not_run:
            return self._refused(reply)
        if not head.sealed or head.encoded:
            return self._failed("not_its_answer", str(head.status), sent=True)
        if head.status >= _SERVER_ERROR:
            return self._server_error(reply)
        is_stream = self.relay.call.route.kind is RouteKind.STREAMING
        if is_stream and _OK <= head.status < _REDIRECT:
            return (yield from self._stream(reply))
        return (yield from self._whole(reply))

    def _whole(self, reply: Reply) -> Iterator[Part]:
        body = reply.whole_body()
        self._done(reply, Answered())
        self.relay._result = f"answered_{reply.head.status}"
        yield Begun(reply.head.status, reply.head.forwarded, body)
        return None

    def _stream(self, reply: Reply) -> Iterator[Part]:
        relay = self.relay
        splitter = relay._splitter
        splitter.drop_rest()
        pool = relay.service.admission.pool
        while data := reply.next_bytes():
            events = splitter.feed(data)
            if not events:
                continue
            now = relay.state.clock.now()
            pool.first_token(self.endpoint, self.id, now)
            relay.observe_events(now)
            if not relay._begun:
                relay._begun = True
                yield Begun(reply.head.status, reply.head.forwarded, None)
            relay._course.passed = splitter.passed
            yield Piece(events)
        if splitter.has_rest:
            raise BrokenReplyError("half_an_event", begun=True)
        self._done(reply, Answered(splitter.passed))
        relay._result = f"answered_{reply.head.status}"
        if not relay._begun:
            yield Begun(reply.head.status, reply.head.forwarded, b"")
        return None

    def _server_error(self, reply: Reply) -> Event:
        body = reply.whole_body()
        self._done(reply, Failed())
        self.relay._own_answer = Begun(reply.head.status, reply.head.forwarded, body)
        self._log_failure("endpoint_error", str(reply.head.status))
        return EndpointFailed(Ran.RAN)

    def _refused(self, reply: Reply) -> Event:
        head = reply.head
        reply.whole_body()
        self._done(reply, Refused())
        entry = self.relay.service.entries.get(self.endpoint)
        own_names = ("", self.endpoint, entry.address if entry else "")
        at_fault = head.at_fault or self.endpoint
        if head.at_fault not in own_names and self.relay.service.is_group:
            self.relay._group_down = True
            self.relay.service.group_was_down(self.relay.state.clock.now())
        self._log_failure("refused", f"{head.status} at_fault={at_fault}")
        return NotDispatched("endpoint_refused")

    def _done(self, reply: Reply, outcome: Outcome) -> None:
        """Note an answer that has come whole, and keep its connection."""
        self._outcome = outcome
        if reply.may_reuse:
            links = self.relay.state.links
            links.keep(self.endpoint, self._link, reply.idle_timeout_ms)
            self._link = None

    def _failed(self, event: str, detail: str, *, sent: bool) -> Event:
        self._outcome = Failed()
        self._log_failure(event, detail)
        if sent:
            return EndpointFailed(Ran.UNKNOWN)
        return NotDispatched(event)

    def _log_failure(self, event: str, detail: str) -> None:
        relay = self.relay
        log_event(
            _log,
            "attempt_failed",
            logging.WARNING,
            request=relay.call.id,
            attempt=relay.attempts,
            endpoint=self.endpoint,
            why=event,
            detail=detail,
            passed=relay._splitter.passed,
            new_connection=self._link.is_new if self._link else "none",
        )


def _request_bytes(relay: Relay, endpoint: str, address: str) -> bytes:
    call = relay.call
    resume_at = relay._splitter.last_id or call.head.last_event_id
    headers = endpoint_headers(
        call.head,
        endpoint=endpoint,
        organisation=call.organisation,
        left_ms=max(1, call.deadline - relay.state.clock.now()),
        last_event_id=resume_at,
        priority=max(0, min(9, call.priority)),
        passes_key=call.passes_key,
    )
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers.append(("Content-Length", str(len(call.body))))
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + call.body
