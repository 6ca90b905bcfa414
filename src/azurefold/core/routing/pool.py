"""Routing of one service's requests on one node: choice of endpoints and ejection."""

from azurefold.core.clock import Millis
from azurefold.core.routing.choice import (
    draw_two,
    draw_weighted_by_room,
    endpoints_with_room,
    expected_wait,
)
from azurefold.core.routing.ejection_causes import (
    find_ejection_cause,
    median_token_interval,
)
from azurefold.core.routing.endpoint import (
    Attempt,
    DividedSlots,
    Endpoint,
    ExchangedLoads,
)
from azurefold.core.routing.messages import (
    Answered,
    Cancelled,
    Chosen,
    Ejected,
    EjectionCause,
    Failed,
    Misdirected,
    NoneAvailable,
    Outcome,
    Refused,
    RouteRequest,
    TimedOut,
    Unavailable,
)
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool_state import PoolState
from azurefold.core.routing.work_left import (
    can_hold,
    select_equally_loaded,
    select_least_work,
)

__all__ = ["Pool", "PoolPolicy"]

_SECOND_MS = 1_000
_MIN_RETRY_AFTER_MS: Millis = 100
_MAX_RETRY_AFTER_MS: Millis = 2_000
_MIN_TOKEN_INTERVAL_MS = 0.01
_EMPTY_REQUEST = RouteRequest()


class Pool(PoolState):
    """Chooses endpoints for the requests of one service on one node.

    Parameters
    ----------
    policy : PoolPolicy, optional
        Policies for choice, concurrency, ejection and slot sharing.
    """

    def choose(
        self, request: RouteRequest, draws: tuple[float, float], now: Millis
    ) -> Chosen | NoneAvailable:
        """Return the endpoint for ``request``, or the reason why there is none.

        Parameters
        ----------
        request : RouteRequest
            Properties of the request.
        draws : tuple of float
            Two random numbers in [0, 1).
        now : int
            The present time.
        """
        if self._next_check_at is not None and now >= self._next_check_at:
            self._refresh(now)
        self.cold.refresh(now)
        best: Chosen | None = None
        shortest_wait = float("inf")
        candidates = self._candidates(request, draws, now)
        for endpoint in candidates:
            cached = self._hints.cached_tokens(endpoint.name, request.prefixes, now)
            wait = expected_wait(
                endpoint,
                max(0, request.prompt_tokens - cached),
                self._ejector.failure_rate(endpoint.name, now),
                self._means,
                self._policy.choice,
                now,
            )
            if wait < shortest_wait:
                shortest_wait = wait
                best = Chosen(endpoint.name, cached)
        if best is not None:
            return self._prefer_least_work(best, candidates, request, now)
        answer_ms = self._means.token_interval * self._means.answer_tokens
        retry_after = int(_MIN_RETRY_AFTER_MS + answer_ms * (0.5 + draws[1]))
        reason = self._members.unavailable_reason(request.exclude, self._exclusions)
        if self.is_evacuated:
            reason = Unavailable.EVACUATED
        if reason is Unavailable.OVER_QUOTA:
            retry_after = self._quota_retry_after(draws[1])
        if reason is Unavailable.BACKING_OFF:
            retry_after += max(0, self._exclusions.next_end - now)
        if reason is Unavailable.ALL_FULL and self._awaits_permits(request):
            reason = Unavailable.COLD
            retry_after += self._permits_retry_after(now)
        return NoneAvailable(reason, retry_after)

    def _prefer_least_work(
        self,
        best: Chosen,
        candidates: list[Endpoint],
        request: RouteRequest,
        now: Millis,
    ) -> Chosen:
        """Return the best of the endpoints with as many requests as ``best`` has.

        Numbers of requests say little where answers differ in length by a factor of
        ten. Requests without a hint keep ``best``.
        """
        if not request.has_hint:
            return best
        chosen = self._members.by_name[best.endpoint]
        equal = [chosen, *select_equally_loaded(candidates, chosen)]
        interval, size = self._means.token_interval, self._engine_size
        least = select_least_work(equal, request, interval, size, now)
        rates = self._ejector.failure_rate
        failure_rate = rates(best.endpoint, now)
        if rates(least.name, now) > failure_rate:
            equal = [each for each in equal if rates(each.name, now) <= failure_rate]
            least = select_least_work(equal, request, interval, size, now)
        cached = self._hints.cached_tokens(least.name, request.prefixes, now)
        return Chosen(least.name, cached)

    def can_send(self, endpoint: str, request: RouteRequest) -> bool:
        """Whether ``request`` may be sent to ``endpoint`` now."""
        member = self._members.by_name.get(endpoint)
        if member is None or endpoint in request.exclude:
            return False
        has_room = member.is_eligible and member.has_room
        return has_room and can_hold(member, request, self._engine_size)

    def _awaits_permits(self, request: RouteRequest) -> bool:
        """Whether an endpoint has room for ``request`` and only lacks a permit."""
        members = (self._members.by_name[name] for name in self.cold.names)
        return any(
            member.is_eligible
            and member.permits == 0
            and member.unpermitted_room > 0
            and member.name not in request.exclude
            for member in members
        )

    def _permits_retry_after(self, now: Millis) -> Millis:
        wait = self.cold.available_at(now) - now
        return min(max(0, wait), _MAX_RETRY_AFTER_MS)

    def _quota_retry_after(self, draw: float) -> Millis:
        """Return a randomised delay after which a quota may allow a request."""
        total_rate = sum(share.quota for share in self._quotas.shares.values())
        interval_ms = _SECOND_MS / max(total_rate, _SECOND_MS / _MAX_RETRY_AFTER_MS)
        return int(_MIN_RETRY_AFTER_MS + interval_ms * (0.5 + draw))

    def record_start(
        self,
        endpoint: str,
        attempt_id: str,
        now: Millis,
        request: RouteRequest = _EMPTY_REQUEST,
    ) -> None:
        """Record that an attempt was sent, and charge it to the endpoint's quota."""
        member = self._members.by_name.get(endpoint)
        if member is None:
            return
        cached = self._hints.cached_tokens(endpoint, request.prefixes, now)
        uncached = max(0, request.prompt_tokens - cached)
        prefill_ms = uncached * self._policy.choice.prefill_ms_per_token
        attempt = Attempt(
            now,
            request.prefixes,
            prefill_ms,
            prompt_tokens=request.prompt_tokens,
            answer_tokens=request.answer_tokens,
        )
        member.add_attempt(attempt_id, attempt)
        self.cold.consume(endpoint, attempt, now)
        self._members.update_totals(member)
        if self._quotas.charge_request(endpoint, now):
            self._refresh(now)

    def record_first_token(self, endpoint: str, attempt_id: str, now: Millis) -> None:
        """Record the first token of an attempt; a repeated call changes nothing."""
        member = self._members.find(endpoint)
        attempt = member.attempts.get(attempt_id) if member else None
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        member.awaiting_first_token.pop(attempt_id, None)
        member.last_progress_at = now
        member.concurrency.observe_first_token(
            now - attempt.started_at, attempt.prefill_ms, member.in_flight, now
        )
        self._members.update_totals(member)
        # The endpoint has just computed this prompt; its cache event arrives later.
        for prefix in attempt.prefixes:
            self._hints.add(endpoint, prefix.hash, now)

    def record_end(
        self, endpoint: str, attempt_id: str, outcome: Outcome, now: Millis
    ) -> Ejected | None:
        """Record the outcome of an attempt; a repeated call changes nothing.

        Returns
        -------
        Ejected or None
            The ejection caused by this outcome.
        """
        member = self._members.find(endpoint)
        attempt = member.remove_attempt(attempt_id, now) if member else None
        if attempt is None:
            return None
        ejected = None
        if endpoint in self._members.by_name:
            ejected = self._record_outcome(member, attempt, outcome, now)
        self._members.record_end(member)
        return ejected

    def _record_outcome(
        self, member: Endpoint, attempt: Attempt, outcome: Outcome, now: Millis
    ) -> Ejected | None:
        match outcome:
            case Answered(tokens):
                member.last_progress_at = now
                self._record_answer(member, attempt, tokens, now)
                self._ejector.record_success(member.name)
            case Failed() | TimedOut():
                return self._record_failure(member, now)
            case Refused():
                member.concurrency.observe_refusal(now)
                member.mark_full()
            case Misdirected():
                # The endpoint rejects requests at once, so it always has the least
                # load. Without the ejection it would be chosen for each request, and
                # each request would need a retry.
                return self._eject(member, EjectionCause.MISDIRECTED, now)
            case Cancelled():
                return None
        return None

    def tick(self, now: Millis) -> tuple[Ejected, ...]:
        """Eject slow and stuck endpoints; must be called about once per second."""
        self._quotas.prune(self._members.by_name.keys(), now)
        self._prune_announced_leaving(now)
        self._refresh(now)
        median_interval = median_token_interval(
            self._members.eligible, self._means.token_interval
        )
        results = [
            self._eject_if_needed(endpoint, median_interval, now)
            for endpoint in self._members.eligible
        ]
        ejections = tuple(result for result in results if result is not None)
        self._refresh(now)
        return ejections

    def _candidates(
        self, request: RouteRequest, draws: tuple[float, float], now: Millis
    ) -> list[Endpoint]:
        match self._policy.sharing:
            case ExchangedLoads():
                return self._find_candidates_with_room(request, draws)
            case DividedSlots():
                candidates = list(draw_two(self._members.eligible, request, draws))
        holders = self._hints.find_endpoints(request.prefixes, now)
        if not holders:
            return candidates
        holder = holders[int(draws[1] * len(holders))]
        if self.can_send(holder, request):
            candidates.append(self._members.by_name[holder])
        return candidates

    def _find_candidates_with_room(
        self, request: RouteRequest, draws: tuple[float, float]
    ) -> list[Endpoint]:
        eligible = self._members.eligible
        candidates = endpoints_with_room(eligible, request, self._engine_size, draws[0])
        if candidates and request.is_contended:
            return [draw_weighted_by_room(candidates, draws[1])]
        if candidates or not request.may_queue:
            return candidates
        return [
            endpoint
            for endpoint in eligible
            if endpoint.name not in request.exclude and endpoint.permits != 0
        ]

    def _record_answer(
        self, endpoint: Endpoint, attempt: Attempt, tokens: int, now: Millis
    ) -> None:
        if attempt.first_token_at is None or tokens < 2:
            return
        token_interval = max(
            _MIN_TOKEN_INTERVAL_MS, (now - attempt.first_token_at) / (tokens - 1)
        )
        endpoint.observe_token_interval(token_interval)
        self._means.observe_answer(token_interval, tokens)

    def _record_failure(self, endpoint: Endpoint, now: Millis) -> Ejected | None:
        pool_size = len(self._members.by_name)
        ejected = self._ejector.record_failure(endpoint.name, pool_size, now)
        if ejected is not None:
            self._reset_after_ejection(endpoint)
            self._refresh(now)
        return ejected

    def _eject_if_needed(
        self, endpoint: Endpoint, median_interval: float, now: Millis
    ) -> Ejected | None:
        cause = find_ejection_cause(
            endpoint, median_interval, self._policy.ejection, now
        )
        return None if cause is None else self._eject(endpoint, cause, now)

    def _eject(
        self, endpoint: Endpoint, cause: EjectionCause, now: Millis
    ) -> Ejected | None:
        pool_size = len(self._members.by_name)
        ejected = self._ejector.eject(endpoint.name, cause, pool_size, now)
        if ejected is not None:
            self._reset_after_ejection(endpoint)
            self._refresh(now)
        return ejected

    def _reset_after_ejection(self, endpoint: Endpoint) -> None:
        # After its return, the endpoint starts with one request at a time, and only its
        # new responses count.
        endpoint.concurrency.reset()
        endpoint.reset_token_interval()
