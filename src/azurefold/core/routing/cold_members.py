"""Limits a node's requests to the cold endpoints of a pool to those with a permit.

A cold endpoint has room for as many requests as the node holds valid permits for it.
Without permits it has none, and requests wait as they wait for room.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.routing.cold_endpoints import ColdEndpoints, ColdPolicy
from azurefold.core.routing.cold_permits import HeldPermits, PermitCounts
from azurefold.core.routing.endpoint import Attempt
from azurefold.core.routing.members import Members

__all__ = ["ColdMembers", "PermitsWanted"]

_MOST_CANDIDATES = 8
"""Endpoints that one ask names, which keeps the messages small."""

_MOST_LOOKED_AT = 64
"""Cold endpoints that are checked for room for one ask, so that it takes the same time
for thousands of them."""


@dataclass(frozen=True, slots=True)
class PermitsWanted:
    """Permits that a node asks for.

    Parameters
    ----------
    number : int
    asked_at : int
        The node's own time, which identifies the ask.
    endpoints : tuple of str
        Cold endpoints with room, in random order.
    """

    number: int
    asked_at: Millis
    endpoints: tuple[str, ...]


@dataclass(slots=True)
class ColdMembers:
    """The cold endpoints among the members of a pool, and the permits held for them.

    Parameters
    ----------
    members : Members
    policy : ColdPolicy
    permits_from : int
        The earliest time at which permits can come; requests that expire before do
        not wait for them.
    """

    members: Members
    policy: ColdPolicy = ColdPolicy()
    permits_from: Millis = 0
    _cold: ColdEndpoints = field(default_factory=ColdEndpoints)
    _permits: HeldPermits = field(default_factory=HeldPermits)
    _names: list[str] | None = None
    _warm: list[str] = field(default_factory=list)

    @property
    def counts(self) -> PermitCounts:
        """Numbers of permits since the start."""
        return self._permits.counts

    @property
    def names(self) -> list[str]:
        """Members that are cold."""
        if self._names is None:
            self._names = [name for name in self._cold if name in self.members.by_name]
        return self._names

    def configure(self, policy: ColdPolicy) -> None:
        """Apply a changed policy; without a rate no endpoint is cold."""
        self.policy = policy
        if policy.is_enabled or not len(self._cold):
            return
        names = list(self._cold)
        self._cold.clear()
        self._names = None
        for name in names:
            self._limit(name)

    def mark(self, endpoint: str, until: Millis) -> bool:
        """Treat an endpoint as cold until ``until``; return whether it was warm."""
        if not self.policy.is_enabled:
            return False
        was_warm = self._cold.extend(endpoint, until)
        if was_warm:
            self._names = None
            self._limit(endpoint)
        return was_warm

    def forget(self, endpoint: str) -> None:
        """Discard what is known of an endpoint that has restarted.

        Permits for it stay, because they count by name.
        """
        self._cold.forget(endpoint)
        self._names = None
        self._limit(endpoint)

    def apply(self) -> None:
        """Limit the members after their set has changed."""
        self._names = None
        for name in self._cold:
            self._limit(name)

    def refresh(self, now: Millis) -> None:
        """Apply what time has changed."""
        if not len(self._cold):
            return
        for endpoint in self._permits.expire(now):
            self._limit(endpoint)
        warm = self._cold.end_due(now)
        if warm:
            self._names = None
        for endpoint in warm:
            self._limit(endpoint)
        self._warm += warm

    def take_warm(self) -> list[str]:
        """Return the endpoints that have become warm since the last call."""
        warm, self._warm = self._warm, []
        return warm

    def is_cold(self, endpoint: str, now: Millis) -> bool:
        """Whether an endpoint is treated as cold."""
        return self._cold.is_cold(endpoint, now)

    def consume(self, endpoint: str, attempt: Attempt, now: Millis) -> None:
        """Use a permit for an attempt at an endpoint, if it is cold."""
        if not self._cold.is_cold(endpoint, now):
            return
        attempt.permit_until = self._permits.take(endpoint, now)
        self._limit(endpoint)

    def may_send(self, endpoint: str, attempt_id: str, now: Millis) -> bool:
        """Whether an attempt may be sent now; call it immediately before the send.

        The endpoint may have become cold since it was chosen, and a permit may have
        expired while the connection was made. Another valid permit then takes its
        place.
        """
        if not self._cold.is_cold(endpoint, now):
            return True
        member = self.members.find(endpoint)
        attempt = member.attempts.get(attempt_id) if member else None
        until = attempt.permit_until if attempt else None
        if until is not None and until <= now:
            self._permits.counts.expired += 1
            until = None
        if until is None:
            until = self._permits.take(endpoint, now)
            self._limit(endpoint)
        if attempt is not None:
            attempt.permit_until = until
        if until is None:
            return False
        self._permits.counts.used += 1
        return True

    def ask(self, waiting: int, draw: float, now: Millis) -> PermitsWanted | None:
        """Return the permits to ask for, or None.

        Parameters
        ----------
        waiting : int
            Number of requests that wait for room.
        draw : float
            Random number in [0, 1), so that nodes name different endpoints.
        now : int
        """
        missing = waiting - self._permits.total
        if missing <= 0 or not self._permits.is_ask_due(now):
            return None
        room = self._find_room(draw)
        if not room:
            return None
        number = min(missing, sum(room.values()))
        self._permits.record_ask(number, now)
        return PermitsWanted(number, now, tuple(room))

    def record_grant(
        self,
        asked_at: Millis,
        permits: Sequence[tuple[str, int]],
        wait_ms: Millis,
        now: Millis,
    ) -> list[str]:
        """Record the answer to an ask; return the endpoints with new permits."""
        if not self._permits.record_grant(asked_at, permits, wait_ms, now):
            return []
        endpoints = [endpoint for endpoint, _ in permits]
        for endpoint in endpoints:
            self._limit(endpoint)
        return endpoints

    def available_at(self, now: Millis) -> Millis:
        """Return when a cold member can get requests again, at the earliest."""
        warm_at = self._cold.next_end or now
        return max(now, min(self.permits_from, warm_at))

    def _find_room(self, draw: float) -> dict[str, int]:
        """Return cold endpoints with the numbers of permits that are of use there."""
        names = self.names
        start = int(draw * len(names))
        found: dict[str, int] = {}
        for step in range(min(len(names), _MOST_LOOKED_AT)):
            name = names[(start + step) % len(names)]
            member = self.members.by_name[name]
            if not member.is_eligible:
                continue
            room = member.unpermitted_room - self._permits.count(name)
            if room > 0:
                found[name] = room
                if len(found) == _MOST_CANDIDATES:
                    break
        return found

    def _limit(self, endpoint: str) -> None:
        """Set the number of requests that may be sent to an endpoint."""
        member = self.members.by_name.get(endpoint)
        if member is None:
            return
        is_cold = self._cold.cold_until(endpoint) is not None
        permits = self._permits.count(endpoint) if is_cold else None
        if member.permits != permits:
            member.permits = permits
            self.members.update_totals(member)
