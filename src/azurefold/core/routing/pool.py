"""The endpoints of one service as one node sees them, and the choice among them."""

from azurefold.core.clock import Millis
from azurefold.core.routing.choice import (
    all_with_room,
    draw_by_room,
    draw_two,
    expected_wait,
)
from azurefold.core.routing.ejection_causes import cause_to_eject, median_pace
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

__all__ = ["Pool", "PoolPolicy"]

_SECOND_MS = 1_000
_SHORTEST_RETRY: Millis = 100
_LONGEST_RETRY: Millis = 2_000
_LEAST_PACE = 0.01
_NO_REQUEST = RouteRequest()


class Pool(PoolState):
    """State and decisions of routing for one service on one node.

    Parameters
    ----------
    policy : PoolPolicy, optional
        The policies of its parts.
    """

    def choose(
        self, request: RouteRequest, draws: tuple[float, float], now: Millis
    ) -> Chosen | NoneAvailable:
        """Return the endpoint for ``request``, or why there is none.

        Parameters
        ----------
        request : RouteRequest
            What the choice depends on.
        draws : tuple of float
            Two random numbers in [0, 1).
        now : int
            The present time.
        """
        if self._next_return is not None and now >= self._next_return:
            self._refresh(now)
        best: Chosen | None = None
        least = float("inf")
        for endpoint in self._candidates(request, draws, now):
            cached = self._hints.cached_tokens(endpoint.name, request.prefixes, now)
            wait = expected_wait(
                endpoint,
                max(0, request.prompt_tokens - cached),
                self._ejector.failure_rate(endpoint.name, now),
                self._means,
                self._policy.choice,
                now,
            )
            if wait < least:
                least = wait
                best = Chosen(endpoint.name, cached)
        if best is not None:
            return best
        answer = self._means.pace * self._means.tokens
        retry_after = int(_SHORTEST_RETRY + answer * (0.5 + draws[1]))
        reason = self._members.why_none(request.exclude, self._absences)
        if reason is Unavailable.OVER_QUOTA:
            retry_after = self._quota_return(draws[1])
        if reason is Unavailable.BACKING_OFF:
            retry_after += max(0, self._absences.next_return - now)
        return NoneAvailable(reason, retry_after)

    def can_send(self, endpoint: str, request: RouteRequest) -> bool:
        """Whether ``request`` may go to a certain endpoint now."""
        known = self._members.by_name.get(endpoint)
        if known is None or endpoint in request.exclude:
            return False
        return known.is_counted and known.has_room

    def _quota_return(self, draw: float) -> Millis:
        """Return when a caller may find an endpoint's quota unused, spread out."""
        taken = sum(part.quota for part in self._quotas.parts.values())
        usual = _SECOND_MS / max(taken, _SECOND_MS / _LONGEST_RETRY)
        return int(_SHORTEST_RETRY + usual * (0.5 + draw))

    def record_start(
        self,
        endpoint: str,
        attempt_id: str,
        now: Millis,
        request: RouteRequest = _NO_REQUEST,
    ) -> None:
        """Note that an attempt was sent."""
        known = self._members.by_name.get(endpoint)
        if known is None:
            return
        cached = self._hints.cached_tokens(endpoint, request.prefixes, now)
        uncached = max(0, request.prompt_tokens - cached)
        prefill = uncached * self._policy.choice.prefill
        known.start(attempt_id, Attempt(now, request.prefixes, prefill))
        self._members.recount(known)
        if self._quotas.charge_request(endpoint, now):
            self._refresh(now)

    def record_first_token(self, endpoint: str, attempt_id: str, now: Millis) -> None:
        """Note that an attempt's answer has begun; a repeat changes nothing."""
        known = self._members.with_attempts(endpoint)
        attempt = known.attempts.get(attempt_id) if known else None
        if attempt is None or attempt.first_token is not None:
            return
        attempt.first_token = now
        known.awaiting.pop(attempt_id, None)
        known.last_progress = now
        known.concurrency.observe_first_token(
            now - attempt.started, attempt.prefill, known.in_flight, now
        )
        self._members.recount(known)
        # It has just computed this prompt, which no cache event told yet.
        for prefix in attempt.prefixes:
            self._hints.cached(endpoint, prefix.hash, now)

    def record_end(
        self, endpoint: str, attempt_id: str, outcome: Outcome, now: Millis
    ) -> Ejected | None:
        """Note how an attempt ended; a repeat changes nothing.

        Returns
        -------
        Ejected or None
            The ejection that this outcome led to.
        """
        known = self._members.with_attempts(endpoint)
        attempt = known.end(attempt_id, now) if known else None
        if attempt is None:
            return None
        ejected = None
        if endpoint in self._members.by_name:
            ejected = self._learn_outcome(known, attempt, outcome, now)
        self._members.ended(known)
        return ejected

    def _learn_outcome(
        self, known: Endpoint, attempt: Attempt, outcome: Outcome, now: Millis
    ) -> Ejected | None:
        match outcome:
            case Answered(tokens):
                known.last_progress = now
                self._learn_answer(known, attempt, tokens, now)
                self._ejector.observe_success(known.name)
            case Failed() | TimedOut():
                return self._learn_failure(known, now)
            case Refused():
                known.concurrency.observe_refusal(now)
                known.fill_up()
            case Misdirected():
                # It answers at once, so it is always the emptiest: without this it
                # is chosen for each request, and each is a retry somewhere else.
                return self._eject(known, EjectionCause.MISDIRECTED, now)
            case Cancelled():
                return None
        return None

    def tick(self, now: Millis) -> tuple[Ejected, ...]:
        """Look for slow and stuck endpoints; call it about once a second."""
        self._quotas.prune(self._members.by_name.keys(), now)
        self._prune_announced_leaving(now)
        self._refresh(now)
        usual = median_pace(self._members.eligible, self._means.pace)
        found = [
            self._judge(endpoint, usual, now) for endpoint in self._members.eligible
        ]
        ejected = tuple(one for one in found if one is not None)
        self._refresh(now)
        return ejected

    def _candidates(
        self, request: RouteRequest, draws: tuple[float, float], now: Millis
    ) -> list[Endpoint]:
        match self._policy.sharing:
            case ExchangedLoads():
                return self._with_room(request, draws)
            case DividedSlots():
                drawn = list(draw_two(self._members.eligible, request, draws))
        holders = self._hints.holders(request.prefixes, now)
        if not holders:
            return drawn
        holder = holders[int(draws[1] * len(holders))]
        if self.can_send(holder, request):
            drawn.append(self._members.by_name[holder])
        return drawn

    def _with_room(
        self, request: RouteRequest, draws: tuple[float, float]
    ) -> list[Endpoint]:
        eligible = self._members.eligible
        found = all_with_room(eligible, request, draws[0])
        if found and request.is_contended:
            return [draw_by_room(found, draws[1])]
        if found or not request.may_queue:
            return found
        return [each for each in eligible if each.name not in request.exclude]

    def _learn_answer(
        self, endpoint: Endpoint, attempt: Attempt, tokens: int, now: Millis
    ) -> None:
        if attempt.first_token is None or tokens < 2:
            return
        pace = max(_LEAST_PACE, (now - attempt.first_token) / (tokens - 1))
        endpoint.observe_pace(pace)
        self._means.learn(pace, tokens)

    def _learn_failure(self, endpoint: Endpoint, now: Millis) -> Ejected | None:
        size = len(self._members.by_name)
        ejected = self._ejector.observe_failure(endpoint.name, size, now)
        if ejected is not None:
            self._after_ejection(endpoint)
            self._refresh(now)
        return ejected

    def _judge(self, endpoint: Endpoint, usual: float, now: Millis) -> Ejected | None:
        cause = cause_to_eject(endpoint, usual, self._policy.ejection, now)
        return None if cause is None else self._eject(endpoint, cause, now)

    def _eject(
        self, endpoint: Endpoint, cause: EjectionCause, now: Millis
    ) -> Ejected | None:
        size = len(self._members.by_name)
        ejected = self._ejector.eject(endpoint.name, cause, size, now)
        if ejected is not None:
            self._after_ejection(endpoint)
            self._refresh(now)
        return ejected

    def _after_ejection(self, endpoint: Endpoint) -> None:
        # It comes back with one request at a time, and is judged by what it
        # does then, not by what it did before.
        endpoint.concurrency.restart()
        endpoint.forget_pace()
