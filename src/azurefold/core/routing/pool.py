"""The endpoints of one service as one node sees them, and the choice among them."""

from collections.abc import Collection, Iterable
from math import ceil

from azurefold.core.clock import Millis
from azurefold.core.routing.absences import Absences
from azurefold.core.routing.choice import (
    PoolMeans,
    all_with_room,
    draw_two,
    expected_wait,
)
from azurefold.core.routing.ejection import Ejector
from azurefold.core.routing.endpoint import (
    Attempt,
    DividedSlots,
    Endpoint,
    ExchangedLoads,
)
from azurefold.core.routing.judging import cause_to_eject, median_pace
from azurefold.core.routing.members import Members
from azurefold.core.routing.messages import (
    Answered,
    Cancelled,
    Chosen,
    Ejected,
    Failed,
    LoadReport,
    NoneAvailable,
    Outcome,
    Refused,
    RouteRequest,
    TimedOut,
)
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.prefixes import PrefixHints

__all__ = ["Pool", "PoolPolicy"]

_SHORTEST_RETRY: Millis = 100
_LEAST_PACE = 0.01
_NO_REQUEST = RouteRequest()


class Pool:
    """State and decisions of routing for one service on one node.

    Parameters
    ----------
    policy : PoolPolicy, optional
        The policies of its parts.
    """

    def __init__(self, policy: PoolPolicy | None = None) -> None:
        self._policy = policy or PoolPolicy()
        self._members = Members(self._policy.concurrency, self._policy.sharing)
        self._ejector = Ejector(self._policy.ejection)
        self._next_return: Millis | None = None
        self._hints = PrefixHints()
        self._absences = Absences(self._ejector)
        self._means = PoolMeans()

    @property
    def endpoints(self) -> tuple[str, ...]:
        """All endpoints, also those leaving or ejected."""
        return tuple(self._members.by_name)

    @property
    def ejected(self) -> frozenset[str]:
        """Endpoints left out for a while."""
        return self._ejector.ejected

    @property
    def paused(self) -> frozenset[str]:
        """Endpoints whose group is down."""
        return self._absences.paused

    @property
    def is_out(self) -> bool:
        """Whether each endpoint's group is down, or the endpoint out of reach."""
        names = self._members.by_name.keys()
        return bool(names) and names <= self._absences.paused | self.out_of_reach

    @property
    def out_of_reach(self) -> frozenset[str]:
        """Endpoints to which no connection could be made a moment ago."""
        return self._absences.out_of_reach

    @property
    def in_flight(self) -> int:
        """Attempts of this node that have not ended."""
        return sum(endpoint.in_flight for endpoint in self._members.by_name.values())

    @property
    def room(self) -> int:
        """Requests that the endpoints that may be chosen have room for."""
        return self._members.room

    @property
    def draft_room(self) -> int:
        """The room left when a part is kept free for confirmations."""
        capacity = self._members.capacity
        kept = min(ceil(self._policy.reserve * capacity), capacity - 1)
        # Of a single place none is kept, or drafts would wait there for ever.
        return self._members.room - max(0, kept)

    def set_nodes(self, count: int, position: int = 0) -> None:
        """Take in how many nodes send to these endpoints.

        Parameters
        ----------
        count : int
            Live nodes, this one included.
        position : int, default=0
            This node's place in their sorted list, from 0.
        """
        self._members.share_slots(count, position)

    def set_slots(self, slots: int) -> None:
        """Take in how many requests each endpoint may have from all nodes."""
        self._members.set_slots(slots)

    def set_distance(self, endpoint: str, distance: Millis) -> None:
        """Take in the milliseconds that a nearer endpoint is worth waiting for."""
        self._members.by_name[endpoint].distance = distance

    def load_of(self, endpoint: str) -> int:
        """Return how many attempts of this node are at ``endpoint``."""
        return self._members.by_name[endpoint].in_flight

    @property
    def loads(self) -> dict[str, int]:
        """Attempts of this node by endpoint, those without any left out."""
        return {
            name: endpoint.in_flight
            for name, endpoint in self._members.by_name.items()
            if endpoint.in_flight
        }

    def limit(self, endpoint: str) -> int:
        """Return how many requests this node keeps at ``endpoint``."""
        return self._members.by_name[endpoint].concurrency.limit

    def set_endpoints(
        self, names: Iterable[str], now: Millis, leaving: Iterable[str] = ()
    ) -> None:
        """Take in the present members.

        An endpoint that was marked as leaving stays so until it has dropped
        out of ``names`` or was readmitted, since the list of VMs lags.
        """
        for gone in self._members.replace(frozenset(names), now):
            self._absences.forget(gone)
        self._means.others = self._members.mean_others
        for name in leaving:
            if name in self._members.by_name:
                self._members.by_name[name].leaving = True
        self._refresh(now)

    def set_paused(self, names: frozenset[str]) -> None:
        """Choose none of ``names`` until told otherwise: their group is down.

        What goes wrong if each request finds out by itself: a group that is down
        takes half of all requests for as long as it is, and refuses them.
        """
        self._absences.paused = names
        self._members.select(self._absences.names)

    def set_doubted(self, names: frozenset[str]) -> None:
        """Prefer others to ``names``: their group seems to stand still."""
        for name, endpoint in self._members.by_name.items():
            endpoint.doubted = name in names

    def mean_load(self, names: Collection[str]) -> float:
        """Return the requests of all nodes that ``names`` have, on average."""
        members = self._members.by_name
        loads = [members[name].in_flight + members[name].others for name in names]
        return sum(loads) / len(loads) if loads else 0.0

    def limit_requests(self, names: Collection[str], mean: float | None) -> None:
        """Let ``names`` have at most so many requests, on average; None for any.

        A part of a request goes to the first of them in the order of names, which is
        the same on all nodes.
        """
        most, rest = divmod(round((mean or 0.0) * len(names)), max(1, len(names)))
        for place, name in enumerate(sorted(names)):
            endpoint = self._members.by_name[name]
            endpoint.most = None if mean is None else most + (place < rest)
            self._members.recount(endpoint)

    def lost_reach(self, endpoint: str, now: Millis) -> None:
        """Note that no connection to an endpoint could be made in time."""
        if endpoint in self._members.by_name:
            self._absences.lost_reach(endpoint, now)
            self._refresh(now)

    def forget(self, name: str, now: Millis) -> None:
        """Forget all of an endpoint, which may be added again as a new one."""
        self.set_endpoints(self._members.by_name.keys() - {name}, now)

    def mark_leaving(self, endpoint: str, now: Millis) -> None:
        """Choose ``endpoint`` no more; its attempts in flight go on."""
        known = self._members.by_name.get(endpoint)
        if known is not None:
            known.leaving = True
            self._refresh(now)

    def readmit(self, endpoint: str, now: Millis) -> None:
        """Choose ``endpoint`` again: a new incarnation of it has joined."""
        known = self._members.by_name.get(endpoint)
        if known is not None:
            known.leaving = False
            self._refresh(now)

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
        return NoneAvailable(reason, retry_after)

    def started(
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

    def first_token(self, endpoint: str, attempt_id: str, now: Millis) -> None:
        """Note that an attempt's answer has begun; a repeat changes nothing."""
        known = self._members.by_name.get(endpoint)
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

    def finished(
        self, endpoint: str, attempt_id: str, outcome: Outcome, now: Millis
    ) -> Ejected | None:
        """Note how an attempt ended; a repeat changes nothing.

        Returns
        -------
        Ejected or None
            The ejection that this outcome led to.
        """
        known = self._members.by_name.get(endpoint)
        attempt = known.end(attempt_id, now) if known else None
        if attempt is None:
            return None
        ejected = self._learn_outcome(known, attempt, outcome, now)
        self._members.recount(known)
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
            case Cancelled():
                return None
        return None

    def load_reported(self, endpoint: str, report: LoadReport, now: Millis) -> None:
        """Take in a load report."""
        known = self._members.by_name.get(endpoint)
        if known is None:
            return
        self._members.report(known, report, now)
        self._means.others = self._members.mean_others

    def prefix_cached(self, endpoint: str, prefix_hash: int, now: Millis) -> None:
        """Take in a cache event."""
        if endpoint in self._members.by_name:
            self._hints.cached(endpoint, prefix_hash, now)

    def prefix_evicted(self, endpoint: str, prefix_hash: int) -> None:
        """Take in the event of an eviction."""
        self._hints.evicted(endpoint, prefix_hash)

    def tick(self, now: Millis) -> tuple[Ejected, ...]:
        """Look for slow and stuck endpoints; call it about once a second."""
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
                return self._with_room(request, draws[0])
            case DividedSlots():
                drawn = list(draw_two(self._members.eligible, request, draws))
        holders = self._hints.holders(request.prefixes, now)
        if not holders:
            return drawn
        holder = self._members.by_name.get(holders[int(draws[1] * len(holders))])
        if holder is not None and self._may_take(holder, request):
            drawn.append(holder)
        return drawn

    def _with_room(self, request: RouteRequest, draw: float) -> list[Endpoint]:
        eligible = self._members.eligible
        found = all_with_room(eligible, request, draw)
        if found or not request.may_queue:
            return found
        return [each for each in eligible if each.name not in request.exclude]

    def _may_take(self, endpoint: Endpoint, request: RouteRequest) -> bool:
        if endpoint.leaving or endpoint.name in request.exclude:
            return False
        return endpoint.has_room and not self._ejector.is_ejected(endpoint.name)

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
        if cause is None:
            return None
        size = len(self._members.by_name)
        ejected = self._ejector.eject(endpoint.name, cause, size, now)
        if ejected is not None:
            self._after_ejection(endpoint)
        return ejected

    def _after_ejection(self, endpoint: Endpoint) -> None:
        # It comes back with one request at a time, and is judged by what it
        # does then, not by what it did before.
        endpoint.concurrency.restart()
        endpoint.forget_pace()

    def _refresh(self, now: Millis) -> None:
        for name in self._absences.returned(now):
            self._members.by_name[name].last_progress = now
        self._members.select(self._absences.names)
        self._next_return = self._absences.next_return
