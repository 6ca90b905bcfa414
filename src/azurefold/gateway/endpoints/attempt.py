"""One sending of a request to a bare endpoint, and the reading of its answer."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent

from azurefold.core.attempts.events import EventSplitter, EventTiming
from azurefold.core.attempts.outcome import RunStatus
from azurefold.core.attempts.request_state import (
    EndpointFailed,
    EndUnconfirmed,
    Event,
    NotDispatched,
)
from azurefold.core.clock import Millis
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import AnswerKind
from azurefold.core.routing.cold_endpoints import ColdSign
from azurefold.core.routing.messages import (
    Answered,
    Cancelled,
    Failed,
    Misdirected,
    Outcome,
    Refused,
    Unavailable,
)
from azurefold.gateway.callers.calls import (
    Begun,
    Call,
    CutOffError,
    DeadlinePassedError,
    Part,
    Piece,
)
from azurefold.gateway.callers.quarantine import restriction_on, take_trial
from azurefold.gateway.endpoints.connections import Link
from azurefold.gateway.endpoints.crash_check import CrashCheck
from azurefold.gateway.endpoints.kept_body import (
    KeptBody,
    check_end,
    keep_body,
    read_to_end,
)
from azurefold.gateway.endpoints.passed_on import PassedOnReader
from azurefold.gateway.endpoints.reply import (
    BrokenReplyError,
    Framing,
    Reply,
    read_reply,
)
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform.headers import endpoint_headers

__all__ = ["ENDPOINTS_OUTDATED", "ENDPOINT_COLD", "Attempt", "Progress"]

_log = logging.getLogger("azurefold.gateway")

ENDPOINT_COLD = "endpoint_cold"
"""Reason of an attempt that was not sent: the endpoint is cold and needs a permit."""

ENDPOINTS_OUTDATED = "endpoints_outdated"
"""Reason of a refusal: this process stood still and has no newer endpoint list yet."""

_WATCH_MS: Millis = 100
"""How long an endpoint is watched after a stream that ended with its connection. The
caller has all events by then and waits only for the end."""

_STOP_MARGIN_MS: Millis = 100
"""By which an endpoint may work on a stream for longer than its caller waits. One that
stops in time ends the stream as if it were whole; it is cut off here before that."""

_SERVER_ERROR = 500
_OK = 200
_REDIRECT = 300
_METHODS_WITH_BODY = ("POST", "PUT", "PATCH")


@dataclass(slots=True)
class Progress:
    """What has come of a request so far, over all its attempts.

    Parameters
    ----------
    splitter : EventSplitter
        Of the stream that is the answer.
    pace : EventTiming
    passed : int
        Whole events that the caller has.
    begun : bool
        Whether the caller has the head of an answer.
    dispatched : bool
        Whether anything was sent to an endpoint.
    free_refusals : int
        Attempts that cost no endpoint anything: no connection could be made, or a
        rank refused because of another one.
    is_list_outdated : bool
        Whether no newer endpoint list came after this process stood still.
    framing : str
        What ends the body of the last answer to a stream; "none" without one.
    own_answer : Begun or None
        An endpoint's own error, for want of a better answer.
    result : str
        A word for logs and metrics.
    """

    splitter: EventSplitter = field(default_factory=EventSplitter)
    pace: EventTiming = field(default_factory=EventTiming)
    passed: int = 0
    begun: bool = False
    dispatched: bool = False
    free_refusals: int = 0
    is_list_outdated: bool = False
    framing: str = "none"
    own_answer: Begun | None = None
    result: str = "abandoned"


@dataclass(slots=True)
class Attempt:
    """One sending of a request to one endpoint.

    Parameters
    ----------
    call : Call
    state : GatewayState
    service : GatewayService
    progress : Progress
        Of the request over all its attempts.
    endpoint : str
    number : int
        From 1.
    """

    call: Call
    state: GatewayState
    service: GatewayService
    progress: Progress
    endpoint: str
    number: int
    _entry: EndpointEntry | None = None
    _link: Link | None = None
    _outcome: Outcome = Cancelled()
    _sent_at: Millis = 0
    _heard_at: Millis = 0
    _has_begun: bool = False

    @property
    def id(self) -> str:
        """Its name at the endpoint's place in the pool."""
        return f"{self.call.id}#{self.number}"

    @property
    def is_run(self) -> bool:
        """Whether the endpoint may have run it: it was sent and not refused."""
        is_refused = isinstance(self._outcome, Refused | Misdirected)
        return self._sent_at > 0 and not is_refused

    def run(self) -> Iterator[Part]:
        """Yield parts of the answer; return what went wrong, or None."""
        entry = self.service.entries.get(self.endpoint)
        if entry is None:
            return NotDispatched("endpoint_gone")
        self._entry = entry
        if restriction := restriction_on(self.call, self.state):
            # Endpoints may have crashed while the request was queued.
            return NotDispatched(restriction)
        fresh = not self.call.route.is_safe_to_rerun
        try:
            links = self.state.links
            self._link = links.take(self.endpoint, entry.address, fresh=fresh)
        except (TimeoutError, ConnectionError) as error:
            self.service.lost_reach(self.endpoint, self.state.clock.now())
            self.progress.free_refusals += 1
            return self._failed("unreachable", type(error).__name__, sent=False)
        if self.state.has_outdated_endpoints:
            if not self.state.await_endpoints():
                self.progress.is_list_outdated = True
                return NotDispatched(ENDPOINTS_OUTDATED)
            if self._has_departed(entry):
                self.progress.free_refusals += 1
                return NotDispatched("endpoint_gone")
        if self.state.evacuations.includes(entry.data_centre):
            # Asked of the data centre: the endpoint may have left the list meanwhile,
            # or its service may have failed to take the evacuation in.
            self.progress.free_refusals += 1
            return NotDispatched(Unavailable.EVACUATED.value)
        if not self.service.admission.pool.accepts_requests(self.endpoint):
            # The endpoint may have refused another request during connection setup.
            self.progress.free_refusals += 1
            return NotDispatched("endpoint_backoff")
        if not self._may_send():
            return NotDispatched(ENDPOINT_COLD)
        if restriction := take_trial(self.call, self.state):
            return NotDispatched(restriction)
        if self.progress.dispatched and not self.service.admission.try_retry():
            return NotDispatched("retry_budget_spent")
        try:
            self._send()
            reply = read_reply(self._link, self.call.method)
            return (yield from self._answer(reply))
        except BrokenReplyError as error:
            event = self._failed("broken_reply", error.reason, sent=True)
            self.state.broken_replies[self.call.service, error.reason] += 1
            now = self.state.clock.now()
            self.service.record_cold_sign(self.endpoint, ColdSign.BROKEN_REPLY, now)
            if not error.is_timeout:
                # A timeout is not evidence of a crash.
                self._crash_check(entry).run()
            return event

    def _may_send(self) -> bool:
        """Whether the endpoint is warm, or a permit for it is still valid.

        Nothing between this and the send waits.
        """
        pool = self.service.admission.pool
        if pool.cold.may_send(self.endpoint, self.id, self.state.clock.now()):
            return True
        self.progress.free_refusals += 1
        return False

    def end(self) -> None:
        """Close what is open and give the place back."""
        if self._link is not None:
            self.state.links.end(self.endpoint, self._link)
        admission = self.service.admission
        admission.finished(self.endpoint, self.id, self._outcome)

    def _has_departed(self, entry: EndpointEntry) -> bool:
        """Whether the endpoint has left, or started again, since ``entry``."""
        latest = self.service.entries.get(self.endpoint)
        if latest is None or latest.leaving:
            return True
        return latest.started_at_ms != entry.started_at_ms

    def _send(self) -> None:
        self.progress.dispatched = True
        self._sent_at = self._heard_at = self.state.clock.now()
        self.service.request_sent(self._sent_at)
        try:
            self._link.sock.sendall(self._request_bytes())
        except OSError as error:
            if isinstance(error, CutOffError):
                raise
            raise BrokenReplyError("send_failed", begun=False) from error

    def _answer(self, reply: Reply) -> Iterator[Part]:
        head = reply.head
        if head.attempt_id and head.attempt_id != self.call.id:
            return self._failed("foreign_answer", head.attempt_id, sent=True)
        if head.sealed or head.not_run:
            now = self.state.clock.now()
            self.service.record_leaving(self.endpoint, self.call.id, head, now)
            self.service.record_backoff(self.endpoint, self.call.id, head, now)
            self.service.quota_answered(self.endpoint, head, self._sent_at, now)
        if head.not_run:
            return self._refused(reply)
        if not head.sealed or head.encoded:
            return self._failed("not_its_answer", str(head.status), sent=True)
        is_success = _OK <= head.status < _REDIRECT
        # Only the rest of a stream can follow on its beginning.
        if head.status >= _SERVER_ERROR or (self.progress.begun and not is_success):
            return self._endpoint_error(reply)
        is_stream = self.call.route.kind is AnswerKind.STREAMING
        if is_stream and is_success:
            return (yield from self._stream(reply))
        return (yield from self._whole(reply))

    def _begin_answer(self) -> None:
        """Note that the caller gets the head of this answer, and of no other."""
        self.progress.begun = True
        self.state.unanswered.discard(gevent.getcurrent())

    def _whole(self, reply: Reply) -> Iterator[Part]:
        kept = keep_body(reply, self.call.held)
        if not kept.is_whole:
            return (yield from self._passed_on(reply, kept))
        if self._has_crashed_at_end(reply):
            return self._failed("crashed_at_end", str(reply.head.status), sent=True)
        if _OK <= reply.head.status < _REDIRECT:
            self._note_begun(self.state.clock.now())
        self._done(reply, Answered())
        self.progress.result = f"answered_{reply.head.status}"
        yield Begun(reply.head.status, reply.head.forwarded, kept.body)
        return None

    def _passed_on(self, reply: Reply, kept: KeptBody) -> Iterator[Part]:
        """Yield an answer as its caller takes it; it can't be asked for again."""
        head = reply.head
        if _OK <= head.status < _REDIRECT:
            self._note_begun(self.state.clock.now())
        self._begin_answer()
        self.progress.passed = 1
        self.state.answers_passed_on[self.call.service] += 1
        log_event(
            _log,
            "answer_passed_on",
            request=self.call.id,
            endpoint=self.endpoint,
            kept=kept.length,
            length=reply.content_length,
            held_for_callers=self.call.held.budget.held,
        )
        yield Begun(head.status, head.forwarded, None, reply.content_length)
        reader = PassedOnReader(self.call.id, self.call.service, gevent.getcurrent())
        self.state.passed_on.add(reader)
        passed = 0
        try:
            for data in kept.take_and_read_on(reply):
                passed += len(data)
                check_end(reply, passed)
                self._heard_at = reader.waits_since = self.state.clock.now()
                yield Piece(data)
                reader.waits_since = None
        finally:
            self.state.passed_on.discard(reader)
        if self._has_crashed_at_end(reply):
            return self._failed("crashed_at_end", str(head.status), sent=True)
        self._done(reply, Answered())
        self.progress.result = f"answered_{head.status}"
        return None

    def _stream(self, reply: Reply) -> Iterator[Part]:
        splitter = self.progress.splitter
        splitter.begin_run(self._resume_at)
        pool = self.service.admission.pool
        self.progress.framing = reply.framing
        self.state.streams[self.call.service, reply.framing] += 1
        resumed_after = self._resume_at
        is_logged = resumed_after is None
        while data := reply.next_bytes():
            events = splitter.feed(data)
            if splitter.first_id is not None and not is_logged:
                is_logged = True
                self._log_resumed(resumed_after)
            if not events:
                self._check_events()
                continue
            now = self._heard_at = self.state.clock.now()
            self._note_begun(now)
            pool.record_first_token(self.endpoint, self.id, now)
            if self.service.is_group:
                self.service.group_served(self.endpoint, self._sent_at, now)
            self._observe_events(now)
            if not self.progress.begun:
                self._begin_answer()
                yield Begun(reply.head.status, reply.head.forwarded, None)
            self.progress.passed = splitter.event_count
            yield Piece(events)
            self._check_events()
        if self.state.clock.now() >= self.call.deadline:
            # The endpoint may have stopped for want of time.
            raise DeadlinePassedError("deadline")
        if splitter.has_partial_event:
            raise BrokenReplyError("half_an_event", begun=True)
        is_unconfirmed = reply.framing is Framing.CONNECTION
        if is_unconfirmed and not self._has_begun:
            raise BrokenReplyError("no_event", begun=True)
        if self._has_crashed_at_end(reply, _WATCH_MS):
            return self._failed("crashed_at_end", str(reply.head.status), sent=True)
        self._done(reply, Answered(splitter.event_count))
        self.progress.result = f"answered_{reply.head.status}"
        if not self.progress.begun:
            yield Begun(reply.head.status, reply.head.forwarded, b"")
        return EndUnconfirmed() if is_unconfirmed else None

    def _has_crashed_at_end(self, reply: Reply, watch_ms: Millis = 0) -> bool:
        """Whether what ended the body was the end of its endpoint.

        Connections of a process that is killed are closed as if it had done so itself.
        While this process stood still, the endpoint may have started again.
        """
        if reply.framing is not Framing.CONNECTION:
            return False
        standstill, now = self.state.standstill, self.state.clock.now()
        if standstill.has_stood_still(self._heard_at, now):
            return True
        return self._crash_check(self._entry).run(watch_ms)

    def _check_events(self) -> None:
        fault = self.progress.splitter.fault
        if fault is not None:
            raise BrokenReplyError(fault, begun=True)

    def _note_begun(self, now: Millis) -> None:
        if not self._has_begun:
            self._has_begun = True
            self.state.crashing_parts.record_begun(self.call.head.shared_parts, now)

    def _endpoint_error(self, reply: Reply) -> Event:
        kept = keep_body(reply, self.call.held)
        if not kept.is_whole:
            raise BrokenReplyError("body_too_long", begun=True)
        self._done(reply, Failed())
        self.progress.own_answer = Begun(
            reply.head.status, reply.head.forwarded, kept.body
        )
        self._log_failure("endpoint_error", str(reply.head.status))
        return EndpointFailed(RunStatus.RAN)

    def _refused(self, reply: Reply) -> Event:
        head = reply.head
        read_to_end(reply)
        at_fault = head.at_fault or self.endpoint
        is_own = at_fault in (self.endpoint, self.service.address_of(self.endpoint))
        if head.misdirected and is_own:
            self._done(reply, Misdirected())
            self.progress.free_refusals += 1
        else:
            self._done(reply, Refused())
            if head.backoff_ms is None or not is_own:
                # A backoff concerns only the endpoint and implies no group failure.
                self._put_down_to_group(at_fault)
        self._log_failure("refused", f"{head.status} at_fault={at_fault}")
        return NotDispatched("endpoint_refused")

    def _put_down_to_group(self, at_fault: str) -> None:
        service = self.service
        now = self.state.clock.now()
        if service.is_group and service.rank_refused(self.endpoint, at_fault, now):
            self.progress.free_refusals += 1

    def _done(self, reply: Reply, outcome: Outcome) -> None:
        """Note an answer that has come whole, and keep its connection."""
        self._outcome = outcome
        if reply.head.sealed and not reply.head.not_run:
            self.state.crashes.record_answer(self.call.identity, self.state.clock.now())
        if reply.may_reuse:
            links = self.state.links
            links.keep(self.endpoint, self._link, reply.idle_timeout_ms)
            self._link = None

    def _crash_check(self, entry: EndpointEntry) -> CrashCheck:
        return CrashCheck(
            self.call,
            self.state,
            self.service,
            entry,
            self._sent_at,
            self._has_begun,
        )

    def _failed(self, event: str, detail: str, *, sent: bool) -> Event:
        self._outcome = Failed()
        self._log_failure(event, detail)
        if sent:
            return EndpointFailed(RunStatus.UNKNOWN)
        return NotDispatched(event)

    def _log_failure(self, event: str, detail: str) -> None:
        log_event(
            _log,
            "attempt_failed",
            logging.WARNING,
            request=self.call.id,
            identity=f"{self.call.identity:016x}",
            attempt=self.number,
            endpoint=self.endpoint,
            why=event,
            detail=detail,
            passed=self.progress.splitter.event_count,
            last_id=self.progress.splitter.last_id or "none",
            framing=self.progress.framing,
            new_connection=self._link.is_new if self._link else "none",
        )

    def _log_resumed(self, after: str) -> None:
        log_event(
            _log,
            "stream_resumed",
            request=self.call.id,
            attempt=self.number,
            endpoint=self.endpoint,
            after=after,
            first_id=self.progress.splitter.first_id,
            passed=self.progress.passed,
            framing=self.progress.framing,
        )

    def _observe_events(self, now: Millis) -> None:
        gap = self.progress.pace.record_events(now)
        timings = self.state.timings
        service = self.call.service
        if gap is None:
            self.service.first_event(now - self._sent_at)
            timings.first_events.of(service).observe(now - self.call.arrived)
        else:
            timings.event_gaps.of(service).observe(gap)
            self.service.event_gap(self.endpoint, gap, now)

    @property
    def _resume_at(self) -> str | None:
        """Id of the event behind which the endpoint is asked to go on."""
        return self.progress.splitter.last_id or self.call.head.last_event_id

    def _time_left(self) -> Millis:
        """Return how long the endpoint is told to work on the request."""
        left = max(1, self.call.deadline - self.state.clock.now())
        if self.call.route.kind is AnswerKind.STREAMING:
            return left + _STOP_MARGIN_MS
        return left

    def _request_bytes(self) -> bytes:
        call = self.call
        headers = endpoint_headers(
            call.head,
            endpoint=self.endpoint,
            organisation=call.organisation,
            left_ms=self._time_left(),
            last_event_id=self._resume_at,
            priority=self.service.engine_priority(call),
            passes_key=call.passes_key,
        )
        if call.body or call.method in _METHODS_WITH_BODY:
            headers.append(("Content-Length", str(len(call.body))))
        lines = [f"{call.method} {call.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + call.body
