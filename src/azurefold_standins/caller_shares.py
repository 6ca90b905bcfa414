"""Whether some callers were served worse than others that they should not be."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import combinations

from azurefold_standins.gateway_caller import HONEST_HINT, Call, Result

__all__ = ["hint_failures", "priority_inversions"]

_MARGIN = 0.05
_FEWEST_CALLS = 50
"""Fewer give shares that differ by more than the margin by chance."""

_OTHER_REASONS = (401, 404, 408, 421, 429)
"""Refusals that say nothing of the request's form."""

_CLIENT_ERRORS = range(400, 500)


def priority_inversions(calls: Mapping[int, Sequence[Call]]) -> Iterator[str]:
    """Yield the priorities that were served more often than a more urgent one.

    Parameters
    ----------
    calls : mapping of int to sequence of Call
        By priority, of callers that called the same gateways at the same moments.
    """
    enough = sorted(each for each in calls if len(calls[each]) >= _FEWEST_CALLS)
    for urgent, other in combinations(enough, 2):
        shares = [_served_share(calls[each]) for each in (urgent, other)]
        if shares[1] - shares[0] > _MARGIN:
            yield (
                f"priority {other}: {shares[1]:.3f} of {len(calls[other])} calls, "
                f"priority {urgent}: {shares[0]:.3f} of {len(calls[urgent])}"
            )


def hint_failures(calls: Iterable[Call]) -> Iterator[str]:
    """Yield what shows that calls failed for their hints.

    These are answers that find fault with a call's form, and calls with unusual hints
    that are served less often than those without one or with an honest one. Status 500
    alone shows nothing: endpoints answer with it, too.
    """
    usual, unusual = [], []
    for call in calls:
        is_usual = call.hint in (None, HONEST_HINT)
        (usual if is_usual else unusual).append(call)
    yield from (str(call) for call in unusual if _is_rejected(call))
    if min(len(usual), len(unusual)) >= _FEWEST_CALLS:
        shares = [_served_share(each) for each in (usual, unusual)]
        if shares[0] - shares[1] > _MARGIN:
            yield f"unusual hints: {shares[1]:.3f} served, others: {shares[0]:.3f}"


def _served_share(calls: Sequence[Call]) -> float:
    return sum(call.result is Result.WHOLE for call in calls) / len(calls)


def _is_rejected(call: Call) -> bool:
    return call.status in _CLIENT_ERRORS and call.status not in _OTHER_REASONS
