"""Whether an endpoint in need got no more than the quota that it named.

The quota binds all nodes together, in any four seconds. A node counts from half a
second after the endpoint told it; one that started anew, stood still or was cut off
lately does not.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

__all__ = ["Need", "QuotaExcess", "quota_excesses", "share_used"]

_WINDOW_MS = 4_000
_TOLD_BEFORE_MS = 500
_FACTOR = 1.5
_SLACK = 5


@dataclass(slots=True)
class Need:
    """A span of time in which an endpoint names quotas.

    Parameters
    ----------
    rates : list of (int, float)
        From when it names which quota, in requests a second.
    end : int or None
        When it names none any more; None while it still does.
    told : dict of str to int
        When each node first got an answer that names one.
    """

    rates: list[tuple[int, float]]
    end: int | None = None
    told: dict[str, int] = field(default_factory=dict)

    @property
    def begin(self) -> int:
        """When it began."""
        return self.rates[0][0]

    def allows(self, begin: int, end: int) -> float:
        """Return how many requests the quotas allow between two times."""
        ends = [at for at, _ in self.rates[1:]] + [end]
        return sum(
            rate * max(0, min(end, until) - max(begin, since)) / 1_000
            for (since, rate), until in zip(self.rates, ends, strict=True)
        )


@dataclass(frozen=True, slots=True)
class QuotaExcess:
    """A window in which an endpoint got more than it may."""

    begin: int
    requests: int
    allowed: float


def quota_excesses(
    need: Need, arrivals: Sequence[tuple[int, str]], since: int
) -> Iterator[QuotaExcess]:
    """Yield the windows in which more arrived than allowed.

    Parameters
    ----------
    need : Need
    arrivals : sequence of (int, str)
        Times in order, and the nodes that sent; without those that are excused.
    since : int
        From when on windows are looked at.
    """
    counted = [
        at
        for at, node in arrivals
        if need.told.get(node, at) + _TOLD_BEFORE_MS <= at
        and at >= max(need.begin, since)
        and (need.end is None or at < need.end)
    ]
    for place, begin in enumerate(counted):
        requests = bisect_left(counted, begin + _WINDOW_MS) - place
        allowed = _FACTOR * need.allows(begin, begin + _WINDOW_MS) + _SLACK
        if requests > allowed:
            yield QuotaExcess(begin, requests, allowed)


def share_used(
    need: Need, arrivals: Sequence[tuple[int, str]], begin: int, end: int
) -> float:
    """Return the share of the quota that was used between two times."""
    got = sum(begin <= at < end for at, _ in arrivals)
    return got / need.allows(begin, end)
