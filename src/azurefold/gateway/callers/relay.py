"""One request from its admission to the last byte of its answer."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

import gevent

from azurefold.core.admission.outage import (
    OutageRequest,
    RefuseRequest,
    WaitForGroup,
    decide_during_outage,
    max_retry_after,
)
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.attempts.request_state import (
    DispatchAgain,
    EndUnconfirmed,
    Event,
    Fail,
    Finish,
    NextAction,
    NotDispatched,
    RequestState,
)
from azurefold.core.clock import Millis
from azurefold.core.routes.model import AnswerKind
from azurefold.core.routing.messages import Chosen, RouteRequest, Unavailable
from azurefold.entry.admission import Ticket
from azurefold.gateway.callers.calls import (
    AnswerCutOffError,
    Call,
    CallerGoneError,
    DeadlinePassedError,
    GivenUp,
    Part,
    StoppedError,
)
from azurefold.gateway.callers.quarantine import (
    Restriction,
    admit,
    refusal,
    restriction_on,
)
from azurefold.gateway.callers.work import CallWork
from azurefold.gateway.endpoints.attempt import (
    ENDPOINT_COLD,
    ENDPOINTS_OUTDATED,
    Attempt,
    Progress,
)
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event

__all__ = ["Relay"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_UNAVAILABLE, _BAD_GATEWAY, _GATEWAY_TIMEOUT = 503, 502, 504

_LONGEST_WAIT_MS: Millis = 1_200
"""In the queue: callers leave a stream that shows nothing for two seconds, and
its first event takes some 300 ms from its dispatch."""

_RENEWAL_MS: Millis = 300
"""Mean time after which callers return while the endpoint list is renewed. Calls of a
slow store take some 300 ms."""

_WORTH_A_RETRY_MS: Millis = 30
"""Time left below which another attempt could not be answered."""

_MOST_FREE_REFUSALS = 2
"""Attempts beyond those that a route allows, for as many that cost no endpoint
anything: those to an endpoint out of reach, or to a rank whose group is down."""

_OUTAGES = (Unavailable.GROUPS_DOWN.value, Unavailable.OUT_OF_REACH.value)
_DETAIL_DEADLINE = "No answer came in time."
_DETAIL_STOPPING = "The gateway is shutting down; retry at another one."


class _RetryDenial(StrEnum):
    """Why a request is not sent to another endpoint."""

    ENDPOINTS_OUTDATED = "endpoints_outdated"
    ALL_GROUPS_DOWN = "all_groups_down"
    ATTEMPTS_USED = "attempts_used"
    NO_TIME_LEFT = "no_time_left"
    BUDGET_SPENT = "budget_spent"


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
    _course: RequestState = field(init=False)
    _work: CallWork = field(init=False)
    _progress: Progress = field(default_factory=Progress)
    _queued_ms: Millis = 0
    _data_centre: str = "none"
    _retry_after: Millis | None = None
    _more_urgent: tuple[int, ...] = ()

    def __post_init__(self) -> None:
        route = self.call.route
        self._work = CallWork(self.call, self.service)
        self._work.count_ignored_hint(self.state.clock.now())
        self._course = RequestState(
            is_idempotent=route.is_safe_to_rerun,
            is_resumable=route.kind is AnswerKind.STREAMING and route.is_resumable,
        )
        # Without an id of each event no place is known at which to resume.
        self._progress.splitter.needs_ids = route.is_resumable

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
        worker = gevent.getcurrent()
        self.state.unanswered.add(worker)
        try:
            yield from self._run()
        except StoppedError:
            self._course.forwarded = self._progress.passed
            if not self._course.is_confirming:
                yield self._give_up(self._course.correct_refusal(self._stop_failure()))
        except DeadlinePassedError:
            self._course.forwarded = self._progress.passed
            if not self._course.is_confirming:
                yield self._too_late()
        except CallerGoneError:
            self._progress.result = "caller_gone"
            raise
        finally:
            self.state.unanswered.discard(worker)
            timer.close()
            self._log_end()

    def _run(self) -> Iterator[Part]:
        if restriction := admit(self.call, self.state):
            yield self._give_up(refusal(restriction))
            return
        placed = self._place()
        self._queued_ms = self.state.clock.now() - self.call.arrived
        if isinstance(placed, Failure):
            yield self._give_up(placed)
            return
        while True:
            event = yield from self._attempt(placed.endpoint)
            if event is None:
                self._record_whole()
                return
            step = self._next_step(event)
            match step:
                case Finish():
                    self._record_whole()
                    return
                case DispatchAgain():
                    placed = self._place_again()
                    if isinstance(placed, Failure) and self._course.is_confirming:
                        self._record_whole()
                        return
                    if isinstance(placed, Failure):
                        yield self._give_up(self._course.correct_refusal(placed))
                        return
                case Fail(failure=failure):
                    yield self._give_up(failure)
                    return

    def _next_step(self, event: Event) -> NextAction:
        self._course.forwarded = self._progress.passed
        if not isinstance(event, EndUnconfirmed):
            return self._course.handle_event(event, self._may_retry)
        step = self._course.handle_event(event, self._may_confirm)
        log_event(
            _log,
            "stream_end_unconfirmed",
            request=self.call.id,
            passed=self._progress.passed,
            outcome="taken" if isinstance(step, Finish) else "asked",
        )
        return step

    def _record_whole(self) -> None:
        events = self._progress.splitter.event_count
        self._work.record_whole(events, self.state.timings)

    def _place(self) -> Chosen | Failure:
        """Wait for an endpoint for the first attempt."""
        admission = self.service.admission
        if admission.is_classed:
            priority = self.service.class_of(self.call)
            self._more_urgent = admission.more_urgent_than(priority)
        self.service.check_stall(self.state.clock.now())
        if admission.pool.paused:
            now = self.state.clock.now()
            pool = admission.pool
            excluded = pool.over_quota.union(pool.cold.names)
            candidates = filter(pool.accepts_requests, pool.paused - excluded)
            trial = self.service.groups.take_probe(candidates, now)
            if trial is not None:
                return admission.try_out(self._ticket(), trial)
        placed = admission.acquire(self._ticket())
        if not _is_outage(placed):
            return placed
        match self._in_outage():
            case WaitForGroup(max_wait=max_wait):
                return admission.acquire(self._ticket(awaits_group_ms=max_wait))
            case RefuseRequest(retry_after=retry_after):
                return replace(placed, retry_after_ms=retry_after)

    def _place_again(self) -> Chosen | Failure:
        """Return an endpoint for another attempt."""
        admission = self.service.admission
        placed = admission.retry(self._ticket())
        if self._progress.begun or not _is_outage(placed):
            return placed
        match self._in_outage():
            case WaitForGroup(max_wait=max_wait):
                return admission.acquire(self._ticket(awaits_group_ms=max_wait))
        return placed

    def _in_outage(self) -> WaitForGroup | RefuseRequest:
        now = self.state.clock.now()
        request = OutageRequest(self.call.deadline - now, self.call.route.timeout_ms)
        return decide_during_outage(request, self.service.forms_in(now))

    def _ticket(self, awaits_group_ms: Millis = 0) -> Ticket:
        call = self.call
        now = self.state.clock.now()
        number = self.attempts + 1
        return Ticket(
            request_id=f"{call.id}#{number}",
            organisation=call.organisation,
            priority=self.service.class_of(call),
            tokens=self._work.estimated_tokens,
            deadline=min(call.deadline, now + (awaits_group_ms or _LONGEST_WAIT_MS)),
            route=RouteRequest(
                prompt_tokens=call.head.prompt_tokens,
                exclude=frozenset(self.tried),
                # What broke off would be lost for want of a free place, though
                # endpoints queue a few requests themselves.
                may_queue=self._progress.dispatched,
                answer_tokens=self._work.estimated_answer_tokens,
                has_hint=self._work.hint is not None,
            ),
            awaits_group=awaits_group_ms > 0,
            latest_on_time_start=self._on_time_by(),
        )

    def _on_time_by(self) -> Millis:
        """Return when the request has to be sent for its answer to be on time.

        The objective counts from the caller's first attempt. What it has used of the
        route's time before shows in what is left of it.
        """
        route = self.call.route
        began = self.call.deadline - route.timeout_ms
        return began + route.objective_ms - round(self.service.usual_first_ms)

    def _may_confirm(self) -> bool:
        """Whether to ask another endpoint for what may follow the end of a stream.

        At most half of the retries go to such questions: others are needed more.
        """
        retries = self.service.admission.retries
        return retries.is_half_left(self.state.clock.now()) and self._may_retry()

    def _may_retry(self) -> bool:
        now = self.state.clock.now()
        budget_left = self.service.admission.retries.retries_left(now)
        denial = self._retry_denial(budget_left)
        if denial is _RetryDenial.BUDGET_SPENT:
            self.service.admission.deny_retry()
        log_event(
            _log,
            "retry_decided",
            request=self.call.id,
            service=self.call.service,
            outcome=denial or "allowed",
            attempts=self.attempts,
            left_ms=self.call.deadline - now,
            budget_left=f"{budget_left:.1f}",
            nodes=self.state.nodes,
        )
        return denial is None

    def _retry_denial(self, budget_left: float) -> _RetryDenial | Restriction | None:
        """Return what forbids another attempt; None if nothing does.

        The budget is asked here and charged when the attempt is sent. Between the two
        a request may wait for seconds until its group forms anew: charged before, all
        who wait would be sent within a window that their charges had left. An
        endpoint that was out of reach got nothing, so the next one is not a repeat.
        """
        if restriction := restriction_on(self.call, self.state):
            return restriction
        if self._progress.is_list_outdated:
            return _RetryDenial.ENDPOINTS_OUTDATED
        # All ranks of a group stop together: another one would refuse as well.
        is_unavailable = self.service.admission.pool.is_unavailable
        if is_unavailable and isinstance(self._in_outage(), RefuseRequest):
            return _RetryDenial.ALL_GROUPS_DOWN
        refusals = min(self._progress.free_refusals, _MOST_FREE_REFUSALS)
        if self.attempts >= self.call.route.max_attempts + refusals:
            return _RetryDenial.ATTEMPTS_USED
        if self.call.deadline - self.state.clock.now() < _WORTH_A_RETRY_MS:
            return _RetryDenial.NO_TIME_LEFT
        if self._progress.dispatched and budget_left < 1.0:
            return _RetryDenial.BUDGET_SPENT
        return None

    def _attempt(self, endpoint: str) -> Iterator[Part]:
        """Send the request once; return what went wrong, or None.

        The place at the endpoint is given back here, whatever happens.
        """
        self.attempts += 1
        self.tried.add(endpoint)
        if entry := self.service.entries.get(endpoint):
            self._data_centre = entry.data_centre
        attempt = Attempt(
            self.call,
            self.state,
            self.service,
            self._progress,
            endpoint,
            self.attempts,
        )
        before = self._progress.splitter.event_count
        try:
            event = yield from attempt.run()
            if event == NotDispatched(ENDPOINT_COLD):
                # Not a fault of the endpoint, which may be the only one with room.
                self.tried.discard(endpoint)
            return event
        finally:
            events = self._progress.splitter.event_count - before
            taken = self._work.attempt_ended(events, is_run=attempt.is_run)
            # Before the place is handed on to whoever is next by shares.
            self.service.admission.settle(attempt.id, taken)
            attempt.end()

    def _give_up(self, failure: Failure) -> Part:
        if self._progress.begun:
            self._progress.result = f"cut_off_{failure.reason}"
            raise AnswerCutOffError(failure.reason)
        if self._progress.own_answer is not None:
            self._progress.result = "endpoint_error"
            return self._progress.own_answer
        self._progress.result = f"refused_{failure.reason}"
        if failure.reason == Restriction.QUARANTINED:
            # A retry would crash another endpoint, so no Retry-After is sent.
            failure = replace(failure, retry_after_ms=None)
        elif failure.reason == ENDPOINTS_OUTDATED:
            retry_after = round(_RENEWAL_MS * (0.5 + self.state.draw.random()))
            failure = replace(failure, retry_after_ms=retry_after)
        elif self._is_outage_long:
            left = self.call.deadline - self.state.clock.now()
            failure = replace(failure, retry_after_ms=max_retry_after(left))
        not_run = failure.ran is RunStatus.NOT_RUN
        if not_run:
            self._retry_after = failure.retry_after_ms
        return GivenUp(failure, _UNAVAILABLE if not_run else _BAD_GATEWAY)

    @property
    def _is_outage_long(self) -> bool:
        """Whether a caller that returns soon would be refused again."""
        pool = self.service.admission.pool
        return pool.is_unavailable or pool.is_evacuated or self.state.is_cut_off

    def _stop_failure(self) -> Failure:
        """Return the failure of a request that is unanswered as the process ends."""
        is_sent = self._progress.dispatched
        ran = RunStatus.UNKNOWN if is_sent else RunStatus.NOT_RUN
        return Failure(ran, "stopping", _DETAIL_STOPPING, 0)

    def _too_late(self) -> Part:
        if self._progress.begun:
            self._progress.result = "cut_off_deadline"
            raise AnswerCutOffError("deadline")
        self._progress.result = "deadline"
        if self._progress.dispatched:
            failure = Failure(RunStatus.UNKNOWN, "deadline", _DETAIL_DEADLINE)
            return GivenUp(failure, _GATEWAY_TIMEOUT)
        failure = Failure(RunStatus.NOT_RUN, "deadline", _DETAIL_DEADLINE, 0)
        return GivenUp(failure, _UNAVAILABLE)

    def _log_end(self) -> None:
        call = self.call
        now = self.state.clock.now()
        events = self._progress.splitter.event_count
        self.state.answers[call.service, self._progress.result] += 1
        self.state.timings.requests.of(call.service).observe(now - call.arrived)
        log_event(
            _log,
            "request_end",
            request=call.id,
            result=self._progress.result,
            route=call.route.name,
            service=call.service,
            organisation=call.organisation,
            configuration=call.configuration,
            priority=call.priority,
            attempts=self.attempts,
            endpoints=",".join(sorted(self.tried)) or "none",
            data_centre=self._data_centre,
            took_ms=now - call.arrived,
            left_ms=call.deadline - now,
            queued_ms=self._queued_ms,
            first_ms=self._progress.pace.time_to_first_event(call.arrived),
            longest_gap_ms=self._progress.pace.longest_gap,
            events=events,
            framing=self._progress.framing,
            **self._admission_fields(),
            **self._work.fields(events),
        )

    def _admission_fields(self) -> dict[str, object]:
        """Return what the log says of the request's class, wait and refusal."""
        fields: dict[str, object] = {"class": self.service.class_of(self.call)}
        if self._retry_after is not None:
            fields["retry_after_ms"] = self._retry_after
        if self.service.admission.is_classed:
            ahead = self._more_urgent if self._queued_ms else ()
            counts = [f"{index}:{count}" for index, count in enumerate(ahead) if count]
            fields["waited_for"] = ",".join(counts) or "none"
        return fields


def _is_outage(placed: Chosen | Failure) -> bool:
    is_failure = isinstance(placed, Failure)
    return is_failure and placed.reason in _OUTAGES
