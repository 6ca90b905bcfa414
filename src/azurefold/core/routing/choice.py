"""Two random choices by expected wait.

Of two endpoints drawn at random, and one that is hinted to hold the prompt's
prefix, the one with the least expected wait is taken (Mitzenmacher, "The
power of two choices in randomized load balancing", 2001).
"""

from collections.abc import Iterator
from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.routing.endpoint import Endpoint
from azurefold.core.routing.messages import RouteRequest

__all__ = [
    "ChoicePolicy",
    "PoolMeans",
    "all_with_room",
    "draw_by_room",
    "draw_two",
    "expected_wait",
]


_ANSWER_SMOOTHING = 0.02


@dataclass(frozen=True, slots=True)
class ChoicePolicy:
    """Weights of the expected wait.

    Parameters
    ----------
    prefill : float
        Milliseconds of prefill for one prompt token that is not cached.
    prefill_weight : float
        How often a prefill counts, since the rest of the batch waits for it too.
    sharing : float
        Part of an answer's time that a full batch adds before any queue.
    failure_penalty : int
        Milliseconds added for an endpoint that fails always.
    doubt_penalty : int
        Milliseconds added for an endpoint whose group seems to stand still.
    """

    prefill: float = 0.1
    prefill_weight: float = 4.0
    sharing: float = 0.25
    failure_penalty: Millis = 4_000
    doubt_penalty: Millis = 1_500


@dataclass(slots=True)
class PoolMeans:
    """Means over the pool that stand in for what one endpoint has not shown.

    Parameters
    ----------
    others : float
        Requests of other nodes at an endpoint.
    pace : float
        Milliseconds between tokens.
    tokens : float
        Tokens of an answer.
    """

    others: float = 0.0
    pace: float = 20.0
    tokens: float = 100.0

    def learn(self, pace: float, tokens: int) -> None:
        """Learn from one answer."""
        self.pace += _ANSWER_SMOOTHING * (pace - self.pace)
        self.tokens += _ANSWER_SMOOTHING * (tokens - self.tokens)


def expected_wait(
    endpoint: Endpoint,
    uncached_tokens: int,
    failure_rate: float,
    means: PoolMeans,
    policy: ChoicePolicy,
    now: Millis,
) -> float:
    """Return the milliseconds a request is expected to lose at ``endpoint``.

    Parameters
    ----------
    endpoint : Endpoint
        The candidate.
    uncached_tokens : int
        Prompt tokens that it would have to compute.
    failure_rate : float
        Smoothed share of failures, between 0 and 1.
    means : PoolMeans
        What to assume where the candidate has shown nothing yet.
    policy : ChoicePolicy
        The weights.
    now : int
        The present time.
    """
    pace = means.pace if endpoint.pace is None else endpoint.pace
    answer = pace * means.tokens
    fill = (endpoint.load(means.others, now) + 1.0) / endpoint.slots
    queue = answer * max(0.0, fill - 1.0)
    sharing = policy.sharing * answer * (1.0 + fill)
    prefill = policy.prefill * uncached_tokens * pace / means.pace
    prefill *= policy.prefill_weight
    # An endpoint that fails at once is always idle. Without the penalty it
    # would draw in most of the traffic until it is ejected.
    penalty = failure_rate * policy.failure_penalty
    # A group that stands still takes requests and refuses them 1.5 s later.
    suspicion_penalty = policy.doubt_penalty if endpoint.is_suspected else 0
    return queue + sharing + prefill + penalty + suspicion_penalty + endpoint.distance


def draw_two(
    eligible: list[Endpoint], request: RouteRequest, draws: tuple[float, float]
) -> Iterator[Endpoint]:
    """Yield up to two endpoints with room, from two random places on.

    Full or excluded ones are passed over to the next in line, so that room
    anywhere is found.
    """
    first = _next_with_room(eligible, request, draws[0], None)
    if first is None:
        return
    yield first
    second = _next_with_room(eligible, request, draws[1], first)
    if second is not None:
        yield second


def all_with_room(
    eligible: list[Endpoint], request: RouteRequest, draw: float
) -> list[Endpoint]:
    """Return all that may take ``request``, from a random place on.

    With loads that are fresh on every node the least loaded endpoint can be
    found; two random ones leave some full beside others that idle, and in a
    group whose ranks work in lock-step the fullest sets the pace.
    """
    start = int(draw * len(eligible))
    turned = eligible[start:] + eligible[:start]
    return [
        endpoint
        for endpoint in turned
        if endpoint.has_room and endpoint.name not in request.exclude
    ]


def draw_by_room(endpoints: list[Endpoint], draw: float) -> Endpoint:
    """Return one of ``endpoints``, each as likely as it has room.

    Nodes that choose at the same moment take different ones, and those with most
    room get most of their requests.
    """
    left = draw * sum(endpoint.room for endpoint in endpoints)
    for endpoint in endpoints:
        left -= endpoint.room
        if left < 0:
            return endpoint
    return endpoints[-1]


def _next_with_room(
    eligible: list[Endpoint], request: RouteRequest, draw: float, taken: Endpoint | None
) -> Endpoint | None:
    count = len(eligible)
    start = int(draw * count)
    for step in range(count):
        candidate = eligible[(start + step) % count]
        if candidate is taken or candidate.name in request.exclude:
            continue
        if candidate.has_room:
            return candidate
    return None
