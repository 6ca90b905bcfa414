"""Choice of an endpoint by expected wait, among random candidates.

The candidates are two endpoints drawn at random, and one that has probably cached the
prompt's prefix. The one with the shortest expected wait is chosen (Mitzenmacher, "The
power of two choices in randomized load balancing", 2001).
"""

from collections.abc import Iterator
from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.routing.endpoint import Endpoint
from azurefold.core.routing.messages import RouteRequest
from azurefold.core.routing.work_left import EngineSize, can_hold

__all__ = [
    "ChoicePolicy",
    "PoolMeans",
    "draw_weighted_by_room",
    "endpoints_with_room",
    "draw_two",
    "expected_wait",
]


_ANSWER_SMOOTHING = 0.02
"""Weight of the newest answer in the pool's moving averages."""


@dataclass(frozen=True, slots=True)
class ChoicePolicy:
    """Weights of the expected wait.

    Parameters
    ----------
    prefill_ms_per_token : float
        Milliseconds of prefill for one prompt token that is not cached.
    prefill_weight : float
        Factor for the prefill time, because the rest of the batch waits for it too.
    batch_weight : float
        Fraction of an answer's duration by which a full batch delays it, compared with
        an empty one and without any queueing.
    failure_penalty_ms : int
        Milliseconds added for an endpoint whose requests all fail; a lower failure
        rate adds a proportional part.
    suspicion_penalty_ms : int
        Milliseconds added for an endpoint whose group is possibly stalled.
    """

    prefill_ms_per_token: float = 0.1
    prefill_weight: float = 4.0
    batch_weight: float = 0.25
    failure_penalty_ms: Millis = 4_000
    suspicion_penalty_ms: Millis = 1_500


@dataclass(slots=True)
class PoolMeans:
    """Averages over the pool, used for endpoints without observations of their own.

    Parameters
    ----------
    peer_requests : float
        Requests of other nodes at an endpoint.
    token_interval : float
        Milliseconds between tokens.
    answer_tokens : float
        Number of tokens of an answer.
    """

    peer_requests: float = 0.0
    token_interval: float = 20.0
    answer_tokens: float = 100.0

    def observe_answer(self, token_interval: float, answer_tokens: int) -> None:
        """Update the means with one answer."""
        self.token_interval += _ANSWER_SMOOTHING * (
            token_interval - self.token_interval
        )
        self.answer_tokens += _ANSWER_SMOOTHING * (answer_tokens - self.answer_tokens)


def expected_wait(
    endpoint: Endpoint,
    uncached_tokens: int,
    failure_rate: float,
    means: PoolMeans,
    policy: ChoicePolicy,
    now: Millis,
) -> float:
    """Return the expected wait, in milliseconds, of a request at ``endpoint``.

    Parameters
    ----------
    endpoint : Endpoint
        The candidate.
    uncached_tokens : int
        Prompt tokens that the candidate would have to compute.
    failure_rate : float
        Smoothed share of failures, between 0 and 1.
    means : PoolMeans
        Averages that replace values not yet observed at the candidate.
    policy : ChoicePolicy
        The weights.
    now : int
        The present time.
    """
    token_interval = (
        means.token_interval
        if endpoint.token_interval is None
        else endpoint.token_interval
    )
    answer_ms = token_interval * means.answer_tokens
    utilisation = (
        endpoint.expected_load(means.peer_requests, now) + 1.0
    ) / endpoint.slots
    queue_ms = answer_ms * max(0.0, utilisation - 1.0)
    batch_ms = policy.batch_weight * answer_ms * (1.0 + utilisation)
    prefill_ms = (
        policy.prefill_ms_per_token
        * uncached_tokens
        * token_interval
        / means.token_interval
    )
    prefill_ms *= policy.prefill_weight
    # An endpoint that fails at once is always idle. Without the penalty it would
    # attract most of the traffic until it is ejected.
    failure_ms = failure_rate * policy.failure_penalty_ms
    # A stalled group accepts requests and refuses them 1.5 s later.
    stall_ms = policy.suspicion_penalty_ms if endpoint.is_suspected else 0
    return (
        queue_ms + batch_ms + prefill_ms + failure_ms + stall_ms + endpoint.distance_ms
    )


def draw_two(
    eligible: list[Endpoint], request: RouteRequest, draws: tuple[float, float]
) -> Iterator[Endpoint]:
    """Yield up to two endpoints with room, searching from two random positions.

    Full and excluded endpoints are skipped, so that any endpoint with room is found.
    """
    first = _next_with_room(eligible, request, draws[0], None)
    if first is None:
        return
    yield first
    second = _next_with_room(eligible, request, draws[1], first)
    if second is not None:
        yield second


def endpoints_with_room(
    eligible: list[Endpoint], request: RouteRequest, size: EngineSize, draw: float
) -> list[Endpoint]:
    """Return all endpoints with room for ``request``, from a random position on.

    Room is a free place, and for a request with a hint also the memory it needs.

    When all nodes know the present loads, the least loaded endpoint can be found. Two
    random candidates would leave some endpoints idle while others are full, and in a
    group whose ranks work in lock-step the fullest rank determines the speed.
    """
    start = int(draw * len(eligible))
    rotated = eligible[start:] + eligible[:start]
    found = [
        endpoint
        for endpoint in rotated
        if endpoint.has_room and endpoint.name not in request.exclude
    ]
    if not request.has_hint:
        return found
    return [endpoint for endpoint in found if can_hold(endpoint, request, size)]


def draw_weighted_by_room(endpoints: list[Endpoint], draw: float) -> Endpoint:
    """Return one of ``endpoints``, with a probability proportional to its room.

    Nodes that choose at the same moment thus choose different endpoints, and endpoints
    with more room get more of their requests.
    """
    remaining = draw * sum(endpoint.room for endpoint in endpoints)
    for endpoint in endpoints:
        remaining -= endpoint.room
        if remaining < 0:
            return endpoint
    return endpoints[-1]


def _next_with_room(
    eligible: list[Endpoint],
    request: RouteRequest,
    draw: float,
    skipped: Endpoint | None,
) -> Endpoint | None:
    count = len(eligible)
    start = int(draw * count)
    for step in range(count):
        candidate = eligible[(start + step) % count]
        if candidate is skipped or candidate.name in request.exclude:
            continue
        if candidate.has_room:
            return candidate
    return None
