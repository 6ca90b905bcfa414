"""Admission of requests to one service: a fair queue before a pool of endpoints."""

import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from gevent.event import AsyncResult

from azurefold.core.admission.messages import Priority, QueueItem, Refused, RefusedItem
from azurefold.core.admission.queue import FairQueue, QueuePolicy
from azurefold.core.admission.recent_count import RecentCount
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.clock import Clock, Millis
from azurefold.core.routing.messages import (
    Answered,
    Cancelled,
    Chosen,
    Ejected,
    Failed,
    NoneAvailable,
    Outcome,
    RouteRequest,
    TimedOut,
    Unavailable,
)
from azurefold.core.routing.pool import Pool
from azurefold.core.routing.retries import RetryBudget
from azurefold.entry.histogram import Counts
from azurefold.internal.logs import log_event

__all__ = [
    "CONTENDED_SHARE",
    "PART_EVERY_MS",
    "Admission",
    "EndpointAnswer",
    "Seen",
    "Ticket",
    "new_admission",
    "new_wait_counts",
]

_log = logging.getLogger("azurefold.admission")

_WAITS_MS = (0, 5, 20, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)

CONTENDED_SHARE = 0.5
"""Of the room that nodes take together in one such span: some of it is taken by
requests that come meanwhile and find nobody waiting at their node."""

PART_EVERY_MS: Millis = 20
"""Between two parts of the room that a node takes while others want it, too: some
times as long as it takes until all have heard of a dispatch."""

_NO_REQUEST = RouteRequest()
_OUTAGES = (Unavailable.GROUPS_DOWN, Unavailable.OUT_OF_REACH)
_REFUSED_DETAIL = "The request was not run; come back after the time in Retry-After."


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for an endpoint.

    Parameters
    ----------
    request_id : str
    organisation : str
    priority : int
        Class in the queue; a :class:`Priority` where there are only two.
    tokens : int
        Estimate of the work.
    deadline : int
        On the entry's monotonic clock.
    route : RouteRequest
    awaits_group : bool
        Whether it waits where all groups are down; others are refused at once.
    latest_on_time_start : int or None
        The last moment at which it can get an endpoint and be answered on time.
    """

    request_id: str
    organisation: str
    priority: int
    tokens: int
    deadline: Millis
    route: RouteRequest = _NO_REQUEST
    awaits_group: bool = False
    latest_on_time_start: Millis | None = None


def new_wait_counts() -> Counts:
    """Return the counts of waits of one class."""
    return Counts(_WAITS_MS)


def _waits() -> dict[int, Counts]:
    return {priority: new_wait_counts() for priority in Priority}


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """How an attempt at an endpoint ended: ``answered`` or ``other``."""

    endpoint: str
    result: str


@dataclass(slots=True)
class Seen:
    """What has happened to one service's requests, for its metrics.

    Parameters
    ----------
    waits : dict of int to Counts
        By class, times in the queue of those that got an endpoint.
    refusals, ejections : Counter of str
        By reason and by cause.
    retries : Counter of str
        Further attempts that were made, or denied for want of budget.
    endpoint_answers : Counter of EndpointAnswer
    """

    waits: dict[int, Counts] = field(default_factory=_waits)
    refusals: Counter[str] = field(default_factory=Counter)
    ejections: Counter[str] = field(default_factory=Counter)
    retries: Counter[str] = field(default_factory=Counter)
    endpoint_answers: Counter[EndpointAnswer] = field(default_factory=Counter)


@dataclass(slots=True)
class Admission:
    """The queue, the pool and the retry budget of one service.

    Parameters
    ----------
    on_demand : callable
        Called whenever a request has got an endpoint, or begins to wait for one.
    contenders : int
        Nodes that have requests waiting for these endpoints, this one included.
    turned_away : RecentCount
        Requests refused because this node's parts of the endpoints' quotas are used up.
    """

    clock: Clock
    draw: random.Random
    seen: Seen = field(default_factory=Seen)
    pool: Pool = field(default_factory=Pool)
    queue: FairQueue = field(default_factory=FairQueue)
    retries: RetryBudget = field(default_factory=RetryBudget)
    on_demand: Callable[[], None] = lambda: None
    contenders: int = 1
    turned_away: RecentCount = field(default_factory=RecentCount)
    _next_part_at: Millis = 0
    _waiting: dict[str, tuple[Ticket, AsyncResult]] = field(default_factory=dict)
    _charged: dict[str, QueueItem] = field(default_factory=dict)

    @property
    def waiting(self) -> int:
        """Requests that wait for an endpoint."""
        return len(self._waiting)

    @property
    def urgency(self) -> int:
        """Class of the most urgent request that waits; 0 is the most urgent."""
        return min((t.priority for t, _ in self._waiting.values()), default=0)

    def acquire(self, ticket: Ticket) -> Chosen | Failure:
        """Wait for an endpoint; the caller must report the attempt's end.

        Requests go straight through while nobody waits. One that is given up
        on gets its answer here and now, never held back until its deadline.
        """
        now = self.clock.now()
        if not ticket.awaits_group:
            self.retries.record_request(now)
        answer = self._pass_through(ticket, now)
        if answer is None:
            answer = self._wait(ticket, now)
        if isinstance(answer, Failure):
            self.seen.refusals[answer.reason] += 1
        else:
            self.seen.waits[ticket.priority].observe(self.clock.now() - now)
        return answer

    def try_out(self, ticket: Ticket, endpoint: str) -> Chosen:
        """Send a request to an endpoint that others are kept from."""
        self.retries.record_request(self.clock.now())
        return self._granted(ticket, Chosen(endpoint))

    def pause(self) -> None:
        """Refuse those who wait, and do not wait for groups: all are down."""
        now = self.clock.now()
        self.queue.pause(now)
        for ticket, result in list(self._waiting.values()):
            if not ticket.awaits_group:
                self._waiting.pop(ticket.request_id)
                self.queue.withdraw(ticket.request_id, now)
                result.set(_failure(Unavailable.GROUPS_DOWN.value, 0))

    def refuse_unservable(self) -> None:
        """Refuse waiting requests that expire before any endpoint is available."""
        available_at = self.pool.next_available_at
        if available_at is None:
            return
        now = self.clock.now()
        for ticket, result in list(self._waiting.values()):
            if ticket.deadline >= available_at:
                continue
            chosen = self._choose(ticket.route, now)
            if isinstance(chosen, NoneAvailable):
                self._waiting.pop(ticket.request_id)
                self.queue.withdraw(ticket.request_id, now)
                result.set(_failure(chosen.reason.value, chosen.retry_after_ms))

    def refuse_without_permits(self) -> None:
        """Refuse waiting requests that expire before any permit can come.

        They wait because all endpoints with room are cold.
        """
        now = self.clock.now()
        for ticket, result in list(self._waiting.values()):
            if self._can_wait_for_permit(ticket, now):
                continue
            chosen = self._choose(ticket.route, now)
            if isinstance(chosen, Chosen) or chosen.reason is not Unavailable.COLD:
                continue
            self._waiting.pop(ticket.request_id)
            self.queue.withdraw(ticket.request_id, now)
            result.set(_failure(chosen.reason.value, chosen.retry_after_ms))

    def use_permits(self, endpoint: str) -> None:
        """Send waiting requests to a cold endpoint for which permits have come.

        No other node uses these permits, so they are used at once, whoever else waits.
        """
        now = self.clock.now()
        self.pool.cold.refresh(now)
        for refusal in self.queue.expire(now):
            self._answer_refusal(refusal)
        unplaced = []
        while self._waiting and self.pool.can_send(endpoint, _NO_REQUEST):
            # Without the room that less urgent requests leave: a permit that is kept
            # for more urgent ones expires.
            item = self.queue.take_owed(now) or self.queue.take(now)
            if item is None:
                break
            if not self._grant_waiting(item, now, endpoint):
                unplaced.append(item)
        for item in unplaced:
            self._queue_again(item, now)

    def refuse_evacuated(self) -> None:
        """Refuse all waiting requests if evacuations leave no endpoint."""
        if not self.pool.is_evacuated:
            return
        now = self.clock.now()
        for ticket, result in list(self._waiting.values()):
            chosen = self._choose(ticket.route, now)
            self._waiting.pop(ticket.request_id)
            self.queue.withdraw(ticket.request_id, now)
            result.set(_failure(chosen.reason.value, chosen.retry_after_ms))

    def resume(self) -> None:
        """Serve those who wait: a group runs."""
        self.queue.resume(self.clock.now())
        self.pump()

    def retry(self, ticket: Ticket) -> Chosen | Failure:
        """Choose an endpoint for another attempt at once, past the queue."""
        chosen = self._choose(ticket.route, self.clock.now())
        if isinstance(chosen, Chosen):
            return self._granted(ticket, chosen)
        if chosen.reason is Unavailable.COLD:
            return self._wait_for_permit(ticket, chosen)
        self.seen.refusals[chosen.reason.value] += 1
        return _failure(chosen.reason.value, chosen.retry_after_ms)

    def try_retry(self) -> bool:
        """Take one retry out of the budget, if it has one left."""
        allowed = self.retries.try_acquire(self.clock.now())
        if allowed:
            self.seen.retries["made"] += 1
        else:
            self.deny_retry()
        return allowed

    def deny_retry(self) -> None:
        """Count a retry that was not made for want of budget."""
        self.seen.retries["denied"] += 1

    def finished(self, endpoint: str, attempt_id: str, outcome: Outcome) -> None:
        """Note how an attempt ended, and hand on its place."""
        now = self.clock.now()
        self._count_answer(endpoint, outcome)
        ejected = self.pool.record_end(endpoint, attempt_id, outcome, now)
        if ejected is not None:
            self._count_ejection(ejected)
        self._refill(endpoint)
        self.pump()

    def settle(self, attempt_id: str, tokens: int | None) -> None:
        """Correct what the queue charged for an attempt by an estimate from a hint.

        Call it once for each attempt that got an endpoint, before :meth:`finished`.

        Parameters
        ----------
        attempt_id : str
        tokens : int or None
            What the attempt took; None if that is not known.
        """
        item = self._charged.pop(attempt_id, None)
        if item is not None and tokens is not None:
            self._correct(item, tokens - item.tokens)

    def _correct(self, item: QueueItem, tokens: int) -> None:
        now = self.clock.now()
        self.queue.correct(item.organisation, item.priority, tokens, now)

    def pump(self) -> None:
        """Hand free endpoints to those who wait, and answer who waited in vain."""
        now = self.clock.now()
        self.pool.cold.refresh(now)
        for refusal in self.queue.expire(now):
            self._answer_refusal(refusal)
        unplaced = []
        for _ in range(self._part_of_room(now)):
            if not self._waiting or self.pool.room <= 0:
                break
            item = self._take(now)
            if item is None:
                break
            if not self._grant_waiting(item, now):
                unplaced.append(item)
        for item in unplaced:
            self._queue_again(item, now)

    def _queue_again(self, item: QueueItem, now: Millis) -> None:
        """Let a request wait on that no endpoint with a free place can take.

        None has memory for it, or those with permits are excluded for it.
        """
        self._correct(item, -item.tokens)
        offered = self.queue.offer(item, now)
        if isinstance(offered, Refused):
            self._answer_refusal(RefusedItem(item, offered))
            return
        for refusal in offered.displaced:
            self._answer_refusal(refusal)

    def _take(self, now: Millis) -> QueueItem | None:
        # The last room is left to confirmations: a draft that took it would
        # make the next one wait for as long as the draft runs.
        has_draft_room = self.pool.draft_room > 0
        least_urgent = None if has_draft_room else Priority.CONFIRMATION
        return self.queue.take(now, least_urgent=least_urgent)

    def _part_of_room(self, now: Millis) -> int:
        """Return how many requests may go now to places that all nodes see.

        What goes wrong if each node takes all the room: a place that falls free is
        taken by every node that has a request waiting, before any hears of the
        others. Ten requests then share an endpoint's slots, and wait there for each
        other while other endpoints have room.
        """
        room = self.pool.room
        if self.contenders <= 1:
            return room
        if now < self._next_part_at:
            return 0
        self._next_part_at = now + PART_EVERY_MS
        part = CONTENDED_SHARE * room / self.contenders
        return int(part + self.draw.random())

    def _refill(self, endpoint: str) -> None:
        """Give a place that this node has freed to the next who waits here.

        The other nodes do not know of it yet, so none of them takes it, too.
        """
        if not self._waiting or self.contenders <= 1 or self.pool.room <= 0:
            return
        now = self.clock.now()
        self.pool.cold.refresh(now)
        if self.pool.can_send(endpoint, _NO_REQUEST):
            item = self._take(now)
            if item is not None and not self._grant_waiting(item, now, endpoint):
                self._queue_again(item, now)

    def tick(self) -> None:
        """Look for slow and stuck endpoints; call it about once a second."""
        for ejected in self.pool.tick(self.clock.now()):
            self._count_ejection(ejected)
        self.pump()

    def _count_answer(self, endpoint: str, outcome: Outcome) -> None:
        match outcome:
            case Answered():
                self.seen.endpoint_answers[EndpointAnswer(endpoint, "answered")] += 1
            case Failed() | TimedOut():
                self.seen.endpoint_answers[EndpointAnswer(endpoint, "other")] += 1

    def _count_ejection(self, ejected: Ejected) -> None:
        self.seen.ejections[ejected.cause.value] += 1
        log_event(
            _log,
            "endpoint_ejected",
            endpoint=ejected.endpoint,
            why=ejected.cause.value,
            for_ms=ejected.until - self.clock.now(),
        )

    def _pass_through(self, ticket: Ticket, now: Millis) -> Chosen | Failure | None:
        """Return an endpoint, or a refusal; None if the ticket has to wait."""
        return None if self._waiting else self._straight_through(ticket, now)

    def _straight_through(self, ticket: Ticket, now: Millis) -> Chosen | Failure | None:
        """Return an endpoint while nobody waits; None if the ticket has to."""
        if ticket.priority == Priority.DRAFT and self._kept_free():
            return None
        chosen = self._choose(ticket.route, now)
        if isinstance(chosen, Chosen):
            return self._granted(ticket, chosen)
        if chosen.reason in _OUTAGES and ticket.awaits_group:
            return None
        if chosen.reason is Unavailable.OVER_QUOTA:
            self.turned_away.add(now)
        if chosen.reason is Unavailable.COLD:
            is_worth_waiting = self._can_wait_for_permit(ticket, now)
            return None if is_worth_waiting else _failed(chosen)
        if chosen.reason is not Unavailable.ALL_FULL:
            return _failure(chosen.reason.value, chosen.retry_after_ms)
        return None

    def _can_wait_for_permit(self, ticket: Ticket, now: Millis) -> bool:
        return self.pool.cold.available_at(now) < ticket.deadline

    def _wait_for_permit(
        self, ticket: Ticket, unavailable: NoneAvailable
    ) -> Chosen | Failure:
        """Queue a further attempt for which all endpoints with room are cold."""
        now = self.clock.now()
        answer = _failed(unavailable)
        if self._can_wait_for_permit(ticket, now):
            answer = self._wait(ticket, now)
        if isinstance(answer, Failure):
            self.seen.refusals[answer.reason] += 1
        return answer

    def _kept_free(self) -> bool:
        return self.pool.room > 0 and self.pool.draft_room <= 0

    def _wait(self, ticket: Ticket, now: Millis) -> Chosen | Failure:
        item = QueueItem(
            ticket.request_id,
            ticket.organisation,
            ticket.priority,
            ticket.tokens,
            ticket.deadline,
            jitter=self.draw.random(),
            queued_at=now,
            latest_on_time_start=ticket.latest_on_time_start,
            has_hint=ticket.route.has_hint,
        )
        offered = self.queue.offer(item, now)
        if isinstance(offered, Refused):
            return _failure(offered.reason.value, offered.retry_after_ms)
        for refusal in offered.displaced:
            self._answer_refusal(refusal)
        result = AsyncResult()
        self._waiting[ticket.request_id] = (ticket, result)
        self.on_demand()
        # Room that drafts must leave is free for a confirmation at once.
        self.pump()
        try:
            return result.get()
        except BaseException:
            # The caller may leave in the moment after the request got its endpoint.
            self.settle(ticket.request_id, 0)
            if result.ready() and isinstance(result.value, Chosen):
                granted = result.value
                self.finished(granted.endpoint, ticket.request_id, Cancelled())
            raise
        finally:
            self._waiting.pop(ticket.request_id, None)
            self.queue.withdraw(ticket.request_id, self.clock.now())

    def _grant_waiting(
        self, item: QueueItem, now: Millis, preferred: str | None = None
    ) -> bool:
        """Answer a request that was taken; return False if it has to wait on."""
        ticket, result = self._waiting[item.request_id]
        route = replace(ticket.route, is_contended=self.contenders > 1)
        if preferred is not None and self.pool.can_send(preferred, route):
            chosen = Chosen(preferred)
        else:
            chosen = self._choose(route, now)
        match chosen:
            case Chosen():
                if item.has_hint:
                    self._charged[item.request_id] = item
                result.set(self._granted(ticket, chosen))
            case NoneAvailable(reason=Unavailable.COLD):
                return False
            case NoneAvailable(reason=Unavailable.ALL_FULL) if item.has_hint:
                return False
            case NoneAvailable(reason=reason, retry_after_ms=retry_after):
                if item.has_hint:
                    self._correct(item, -item.tokens)
                result.set(_failure(reason.value, retry_after))
        del self._waiting[item.request_id]
        return True

    def _answer_refusal(self, refusal: RefusedItem) -> None:
        waiting = self._waiting.pop(refusal.item.request_id, None)
        if waiting is None:
            # Its caller has left, or it was answered for another reason.
            return
        _, result = waiting
        refused = refusal.refused
        result.set(_failure(refused.reason.value, refused.retry_after_ms))

    def _choose(self, route: RouteRequest, now: Millis) -> Chosen | NoneAvailable:
        draws = (self.draw.random(), self.draw.random())
        return self.pool.choose(route, draws, now)

    def _granted(self, ticket: Ticket, chosen: Chosen) -> Chosen:
        # Counted from here, not from the dispatch: between the two this
        # greenlet may yield, and others would choose the same free place.
        now = self.clock.now()
        self.pool.record_start(chosen.endpoint, ticket.request_id, now, ticket.route)
        self.on_demand()
        return chosen


def _failed(unavailable: NoneAvailable) -> Failure:
    return _failure(unavailable.reason.value, unavailable.retry_after_ms)


def _failure(reason: str, retry_after_ms: Millis) -> Failure:
    return Failure(RunStatus.NOT_RUN, reason, _REFUSED_DETAIL, retry_after_ms)


def new_admission(
    clock: Clock, seed: int, max_length: int = 512, max_per_organisation: int = 128
) -> Admission:
    """Return the admission of a service that has no endpoints yet."""
    policy = QueuePolicy(
        max_length=max_length, max_per_organisation=max_per_organisation
    )
    return Admission(clock, random.Random(seed), queue=FairQueue(policy))
