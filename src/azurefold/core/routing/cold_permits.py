"""Permits to send requests to cold endpoints.

One node, the grantor, issues permits to all others. At hundreds of nodes a node's equal
share of what a cold endpoint takes is less than one request per second, and most shares
would find no request. Permits therefore go to the nodes whose requests wait.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil

from azurefold.core.clock import Millis

__all__ = [
    "PERMIT_MS",
    "Granted",
    "HeldPermits",
    "PermitCounts",
    "PermitGrantor",
    "PermitLimit",
    "permit_limit",
]

_SECOND_MS = 1_000

PERMIT_MS: Millis = 200
"""How long a permit allows a request to be sent after it was issued."""

_WINDOW_MS: Millis = _SECOND_MS + PERMIT_MS
"""Permits that are used in the same second were issued within this time."""

_LONGEST_INTERVAL_MS: Millis = 30_000
"""Between two permits at rates near 0."""

_PACE_PARTS = 4
"""Parts of a window among which its permits are spread. Issued all at once, they would
be a burst at an endpoint that is cold, and the next ones would come a window later."""

_REPEAT_MS: Millis = 50
"""After which an unanswered ask is repeated."""

_ANSWER_MARGIN_MS: Millis = 10
"""By how much an answer may take longer than the one before it."""

_SHORTEST_WAIT_MS: Millis = 10
"""An asker that cannot have what is free now comes back no sooner than this."""

_LONGEST_WAIT_MS: Millis = 400
"""Longest time until an asker is told to come back, so that it notices new permits."""

_ASKERS_PER_PERMIT = 2
"""Askers that are told to come back for the same permit, because some have meanwhile
sent their requests elsewhere."""

_LATE_MS: Millis = 30
"""How long after its time an asker is still waited for. Its ask is some milliseconds on
its way, and may be lost."""

_RETENTION_MS: Millis = 60_000
"""How long times of issue are kept; longer than any window."""

_FORGET_MS: Millis = 1_000
"""How long after its time an asker keeps its place among those that come back."""


@dataclass(frozen=True, slots=True)
class PermitLimit:
    """How many permits may be issued for one endpoint in a sliding window."""

    number: int
    window_ms: Millis

    def count_free(self, issued: deque[Millis], now: Millis) -> int:
        """Return how many permits may be issued now, after those at ``issued``."""
        pace = ceil(self.number / _PACE_PARTS)
        pace_since = now - self.window_ms // _PACE_PARTS
        of_window = sum(at > now - self.window_ms for at in issued)
        of_pace = sum(at > pace_since for at in issued)
        return max(0, min(self.number - of_window, pace - of_pace))

    def openings(
        self, issued: deque[Millis], now: Millis, until: Millis
    ) -> list[Millis]:
        """Return the times before ``until`` at which permits can be issued next."""
        pace = ceil(self.number / _PACE_PARTS)
        times, found = list(issued), []
        while True:
            opening = now
            if len(times) >= self.number:
                opening = max(opening, times[-self.number] + self.window_ms)
            if len(times) >= pace:
                opening = max(opening, times[-pace] + self.window_ms // _PACE_PARTS)
            if opening >= until:
                return found
            times.append(opening)
            found.append(opening)


def permit_limit(requests_per_s: float) -> PermitLimit:
    """Return the limit with which at most ``requests_per_s`` are sent in any second.

    A rate below one request per second gives one permit in a longer window.

    Examples
    --------
    >>> permit_limit(14.0)
    PermitLimit(number=14, window_ms=1200)
    >>> permit_limit(0.5)
    PermitLimit(number=1, window_ms=2200)
    """
    if requests_per_s >= 1.0:
        return PermitLimit(int(requests_per_s), _WINDOW_MS)
    interval = min(ceil(_SECOND_MS / requests_per_s), _LONGEST_INTERVAL_MS)
    return PermitLimit(1, interval + PERMIT_MS)


@dataclass(frozen=True, slots=True)
class Granted:
    """The answer to an ask.

    Parameters
    ----------
    permits : dict of int to int
        Number of permits by endpoint.
    wait_ms : int
        After which to ask for those that are missing; 0 if none are.
    """

    permits: dict[int, int]
    wait_ms: Millis


@dataclass(frozen=True, slots=True)
class _Asker:
    urgency: int
    granted_at: Millis
    due_at: Millis

    @property
    def rank(self) -> tuple[int, Millis]:
        """Order of askers: urgent classes first, then who has waited longest."""
        return self.urgency, self.granted_at


@dataclass(slots=True)
class PermitGrantor:
    """Issues permits while this node is the grantor.

    The caller checks that this node's lease is valid. A node that becomes the grantor
    must have waited for a window after the lease of the former one expired.
    """

    _issued_at: dict[int, deque[Millis]] = field(default_factory=dict)
    _askers: dict[str, _Asker] = field(default_factory=dict)

    def answer(
        self,
        node: str,
        number: int,
        urgency: int,
        limits: Mapping[int, PermitLimit],
        now: Millis,
    ) -> Granted:
        """Issue up to ``number`` permits to a node, or tell it when to ask again.

        Parameters
        ----------
        node : str
        number : int
        urgency : int
            Class of the most urgent request that waits; 0 is the most urgent.
        limits : mapping of int to PermitLimit
            The endpoints that the node can use, and their limits.
        now : int
        """
        free = {
            endpoint: limit.count_free(self._recent(endpoint, limit, now), now)
            for endpoint, limit in limits.items()
        }
        total = sum(free.values())
        asker = self._take_asker(node, urgency, now)
        waiting = [
            other.rank
            for other in self._askers.values()
            if other.due_at > now - _LATE_MS
        ]
        ahead = sum(rank < asker.rank for rank in waiting)
        allowed = 0
        if ahead < total:
            allowed = min(number, total, max(1, total - len(waiting)))
        permits = self._issue(allowed, free, now)
        if allowed:
            asker = _Asker(urgency, now, now)
        if allowed >= number or not limits:
            return Granted(permits, 0 if limits else _LONGEST_WAIT_MS)
        if allowed:
            ahead = sum(rank <= asker.rank for rank in waiting)
        wait = self._wait_ms(limits, ahead, now)
        self._askers[node] = _Asker(urgency, asker.granted_at, now + wait)
        return Granted(permits, wait)

    def prune(self, now: Millis) -> None:
        """Discard what was issued for endpoints that nobody asks for any more."""
        self._issued_at = {
            endpoint: times
            for endpoint, times in self._issued_at.items()
            if times[-1] > now - _RETENTION_MS
        }

    def _take_asker(self, node: str, urgency: int, now: Millis) -> _Asker:
        """Return a node that asks, which no longer waits."""
        known = self._askers.pop(node, None)
        self._askers = {
            name: other
            for name, other in self._askers.items()
            if other.due_at + _FORGET_MS > now
        }
        return _Asker(urgency, known.granted_at if known else now, now)

    def _issue(self, number: int, free: dict[int, int], now: Millis) -> dict[int, int]:
        """Issue permits for the endpoints that have most of them left."""
        permits: dict[int, int] = {}
        for _ in range(number):
            endpoint = max(free, key=free.get)
            free[endpoint] -= 1
            permits[endpoint] = permits.get(endpoint, 0) + 1
            self._issued_at.setdefault(endpoint, deque()).append(now)
        return permits

    def _recent(self, endpoint: int, limit: PermitLimit, now: Millis) -> deque[Millis]:
        """Return when the permits of the present window were issued."""
        times = self._issued_at.get(endpoint)
        if times is None:
            return deque()
        while times and times[0] <= now - limit.window_ms:
            times.popleft()
        if not times:
            del self._issued_at[endpoint]
        return times

    def _wait_ms(
        self, limits: Mapping[int, PermitLimit], ahead: int, now: Millis
    ) -> Millis:
        """Return when permits can be issued for a node and those ahead of it."""
        openings = sorted(
            opening
            for endpoint, limit in limits.items()
            for opening in limit.openings(
                self._issued_at.get(endpoint, deque()), now, now + _LONGEST_WAIT_MS
            )
        )
        index = ahead // _ASKERS_PER_PERMIT
        if index >= len(openings):
            return _LONGEST_WAIT_MS
        return max(_SHORTEST_WAIT_MS, openings[index] - now)


@dataclass(slots=True)
class PermitCounts:
    """Permits of one service at one node, counted since its start.

    Parameters
    ----------
    asked, granted, used, expired : int
        Of this node's own requests.
    issued : int
        To all nodes, while this one was the grantor.
    """

    asked: int = 0
    granted: int = 0
    used: int = 0
    expired: int = 0
    issued: int = 0


@dataclass(slots=True)
class HeldPermits:
    """Permits for the endpoints of one service that one node holds.

    A permit is valid from when it arrives until ``PERMIT_MS`` after it was asked for.
    The grantor issued it later than that, so it is never used too late, however long
    the messages took.
    """

    counts: PermitCounts = field(default_factory=PermitCounts)
    _valid_until: dict[str, list[Millis]] = field(default_factory=dict)
    _asked: dict[Millis, int] = field(default_factory=dict)
    _next_ask_at: Millis = 0
    _round_trip_ms: Millis = 0

    @property
    def total(self) -> int:
        """Number of permits for all endpoints, as of the last :meth:`expire`."""
        return sum(map(len, self._valid_until.values()))

    def count(self, endpoint: str) -> int:
        """Return the number of permits, as of the last call of :meth:`expire`."""
        return len(self._valid_until.get(endpoint, ()))

    def expire(self, now: Millis) -> list[str]:
        """Drop permits that are no longer valid; return the endpoints concerned."""
        changed = []
        for endpoint, times in list(self._valid_until.items()):
            valid = [until for until in times if until > now]
            if len(valid) == len(times):
                continue
            self.counts.expired += len(times) - len(valid)
            changed.append(endpoint)
            if valid:
                self._valid_until[endpoint] = valid
            else:
                del self._valid_until[endpoint]
        return changed

    def take(self, endpoint: str, now: Millis) -> Millis | None:
        """Use the permit that expires first; return until when it is valid, if any."""
        times = self._valid_until.pop(endpoint, [])
        valid = [until for until in times if until > now]
        self.counts.expired += len(times) - len(valid)
        if len(valid) > 1:
            self._valid_until[endpoint] = valid[1:]
        return valid[0] if valid else None

    def is_ask_due(self, now: Millis) -> bool:
        """Whether this node may ask for more permits."""
        return now >= self._next_ask_at

    def record_ask(self, number: int, now: Millis) -> None:
        """Record that ``number`` permits are asked for."""
        self._asked = {
            asked_at: asked
            for asked_at, asked in self._asked.items()
            if now - asked_at < PERMIT_MS
        }
        self._asked[now] = number
        # An ask that is repeated before its answer can be here is granted twice.
        self._next_ask_at = now + max(
            _REPEAT_MS, self._round_trip_ms + _ANSWER_MARGIN_MS
        )
        self.counts.asked += number

    def record_grant(
        self,
        asked_at: Millis,
        permits: Sequence[tuple[str, int]],
        wait_ms: Millis,
        now: Millis,
    ) -> bool:
        """Record the answer to an ask; return whether it is the first one to it.

        A datagram may come twice, and its permits must not be used twice.
        """
        if self._asked.pop(asked_at, None) is None:
            return False
        # An answer that waited for a paused process says nothing of the next one.
        self._round_trip_ms = min(now - asked_at, PERMIT_MS)
        # The next ask has to be at the grantor when the permit can be issued.
        self._next_ask_at = now + max(0, wait_ms - self._round_trip_ms)
        for endpoint, number in permits:
            self.counts.granted += number
            if asked_at + PERMIT_MS <= now:
                self.counts.expired += number
                continue
            times = self._valid_until.setdefault(endpoint, [])
            times.extend([asked_at + PERMIT_MS] * number)
            times.sort()
        return True
