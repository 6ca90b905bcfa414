"""Estimated work that a node's own requests have left at endpoints.

Used for requests with a hint only: to choose among endpoints with equal numbers of
requests, and to leave out endpoints whose memory is taken.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from azurefold.core.clock import Millis
from azurefold.core.routing.endpoint import Endpoint
from azurefold.core.routing.messages import RouteRequest

__all__ = ["EngineSize", "can_hold", "select_equally_loaded", "select_least_work"]

_LEAST_LEFT = 0.25
"""Fraction of its estimate that a stream has left at least. Answers are spread widely,
so one that outlasts its estimate is not about to end."""

_EQUAL_LOADS = 0.5
"""Requests by which the loads of two endpoints differ less: loads of other nodes need
not be whole numbers."""


_MAX_COMPARED = 48
"""Keeps a choice short where a service is not dealt to cells: comparing 90 endpoints
took up to 0.11 ms on a busy machine. They are listed from a random position on."""


@dataclass(frozen=True, slots=True)
class EngineSize:
    """What one engine of a service holds and sends.

    Parameters
    ----------
    memory_tokens : int
        Tokens of prompts and answers that it holds at once; 0 if not known.
    tokens_per_event : float
        Tokens in one event of a stream.
    """

    memory_tokens: int = 0
    tokens_per_event: float = 1.0


def can_hold(endpoint: Endpoint, request: RouteRequest, size: EngineSize) -> bool:
    """Whether the endpoint's memory holds the request beside this node's own ones.

    An endpoint without any of them gets every request: the estimate may be too high,
    and no other endpoint would hold more.
    """
    if not request.has_hint or not size.memory_tokens or not endpoint.attempts:
        return True
    needed = request.prompt_tokens + request.answer_tokens
    return endpoint.held_tokens + needed <= size.memory_tokens


def select_equally_loaded(
    endpoints: Iterable[Endpoint], chosen: Endpoint
) -> list[Endpoint]:
    """Return the endpoints that do not differ from ``chosen`` but in work and pace.

    They have as many requests of all nodes, are as near and are as little doubted.
    Only the first 48 are returned.
    """
    load = len(chosen.attempts) + chosen.peer_requests
    equal = (
        endpoint
        for endpoint in endpoints
        if abs(len(endpoint.attempts) + endpoint.peer_requests - load) < _EQUAL_LOADS
        and endpoint.distance_ms == chosen.distance_ms
        and endpoint.is_suspected == chosen.is_suspected
    )
    return list(islice(equal, _MAX_COMPARED))


def select_least_work(
    endpoints: Iterable[Endpoint],
    request: RouteRequest,
    mean_interval: float,
    size: EngineSize,
    now: Millis,
) -> Endpoint:
    """Return the endpoint that ends its own work and the request's first.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        At least one. The first of several with equal work is returned.
    request : RouteRequest
    mean_interval : float
        Milliseconds between events, for endpoints without observations of their own.
    size : EngineSize
    now : int
    """

    def work_ms(endpoint: Endpoint) -> float:
        interval = endpoint.token_interval or mean_interval
        token_ms = interval / size.tokens_per_event
        left_ms = request.answer_tokens * token_ms
        # In one loop without further calls: it runs for each endpoint of a cell.
        for attempt in endpoint.attempts.values():
            answer_ms = attempt.answer_tokens * token_ms
            if attempt.first_token_at is None:
                left_ms += attempt.prefill_ms + answer_ms
                continue
            rest_ms = answer_ms - (now - attempt.first_token_at)
            least_ms = _LEAST_LEFT * answer_ms
            left_ms += rest_ms if rest_ms > least_ms else least_ms
        return left_ms

    return min(endpoints, key=work_ms)
