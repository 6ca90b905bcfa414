"""Endpoints of a pool, which of them are eligible, and totals over those."""

from collections.abc import Set

from azurefold.core.clock import Millis
from azurefold.core.routing.concurrency import ConcurrencyLimit, ConcurrencyPolicy
from azurefold.core.routing.endpoint import DividedSlots, Endpoint, SlotSharing
from azurefold.core.routing.exclusions import Exclusions
from azurefold.core.routing.messages import LoadReport, Unavailable

__all__ = ["Members"]

_DIVIDED_SLOTS = DividedSlots()


class Members:
    """Endpoints by name, with totals that are updated at each change.

    An endpoint that is removed, because it is now assigned to other nodes, is kept in
    ``former`` until this node's attempts there have ended. If the endpoint is added
    again, it keeps these attempts.

    Parameters
    ----------
    policy : ConcurrencyPolicy
        Policy for the concurrency limit of each new endpoint.
    sharing : SlotSharing
        How nodes share the slots of each endpoint.
    """

    def __init__(
        self, policy: ConcurrencyPolicy, sharing: SlotSharing = _DIVIDED_SLOTS
    ) -> None:
        self._policy = policy
        self._sharing = sharing
        self._peer_requests = 0.0
        self._node_count = 1
        self._node_position = 0
        self._slots: int | None = None
        self.by_name: dict[str, Endpoint] = {}
        self.former: dict[str, Endpoint] = {}
        self.eligible: list[Endpoint] = []
        self.room = 0
        self.capacity = 0
        self.places = 0

    @property
    def mean_peer_requests(self) -> float:
        """Mean number of requests of other nodes at an endpoint."""
        return self._peer_requests / max(1, len(self.by_name))

    def set_names(self, names: frozenset[str], now: Millis) -> list[str]:
        """Replace the set of endpoints; return the names of those removed."""
        removed = sorted(self.by_name.keys() - names)
        for name in removed:
            endpoint = self.by_name.pop(name)
            endpoint.is_eligible = False
            if endpoint.attempts:
                self.former[name] = endpoint
        for name in sorted(names - self.by_name.keys()):
            limit = ConcurrencyLimit(self._policy)
            endpoint = Endpoint(name, limit, self._sharing, last_progress_at=now)
            if name in self.former:
                endpoint.adopt_attempts(self.former.pop(name))
            endpoint.share_slots(self._node_count, self._node_position)
            self._apply_slots(endpoint)
            self.by_name[name] = endpoint
        self._peer_requests = sum(
            endpoint.peer_requests for endpoint in self.by_name.values()
        )
        return removed

    def find(self, name: str) -> Endpoint | None:
        """Return a present or former endpoint; None if it is unknown."""
        return self.by_name.get(name) or self.former.get(name)

    def record_end(self, endpoint: Endpoint) -> None:
        """Update the state after the end of an attempt at ``endpoint``.

        A former endpoint without attempts is discarded.
        """
        if self.by_name.get(endpoint.name) is endpoint:
            self.update_totals(endpoint)
        elif not endpoint.attempts:
            self.former.pop(endpoint.name, None)

    def share_slots(self, node_count: int, position: int) -> None:
        """Divide the slots of all endpoints between ``node_count`` nodes."""
        self._node_count = max(1, node_count)
        self._node_position = position
        for endpoint in self.by_name.values():
            endpoint.share_slots(self._node_count, position)
            self.update_totals(endpoint)

    def set_slots(self, slots: int) -> None:
        """Set the configured number of slots of each endpoint."""
        self._slots = slots
        for endpoint in self.by_name.values():
            self._apply_slots(endpoint)
            self.update_totals(endpoint)

    def record_load(self, endpoint: Endpoint, report: LoadReport, now: Millis) -> None:
        """Apply a load report."""
        previous = endpoint.peer_requests
        endpoint.record_load(report, now)
        self._peer_requests += endpoint.peer_requests - previous
        self.update_totals(endpoint)

    def update_eligible(self, excluded: Set[str]) -> None:
        """Recompute which endpoints may be chosen, and the totals over them."""
        self.room = self.capacity = self.places = 0
        for endpoint in self.by_name.values():
            endpoint.is_eligible = False
        self.eligible = [
            endpoint
            for endpoint in self.by_name.values()
            if not endpoint.is_leaving and endpoint.name not in excluded
        ]
        for endpoint in self.eligible:
            endpoint.is_eligible = True
            endpoint.counted_room = endpoint.counted_capacity = 0
            endpoint.counted_places = 0
            self.update_totals(endpoint)

    def unavailable_reason(
        self, exclude: Set[str], exclusions: Exclusions
    ) -> Unavailable:
        """Return the reason why no endpoint outside ``exclude`` can be chosen."""
        if not self.by_name:
            return Unavailable.NO_ENDPOINTS
        if self.by_name.keys() <= exclusions.paused:
            return Unavailable.GROUPS_DOWN
        if self.by_name.keys() <= exclusions.paused | exclusions.unreachable:
            return Unavailable.OUT_OF_REACH
        if all(endpoint.is_leaving for endpoint in self.by_name.values()):
            return Unavailable.ALL_LEAVING
        if not self.eligible and exclusions.over_quota:
            return Unavailable.OVER_QUOTA
        if not self.eligible and exclusions.backing_off:
            return Unavailable.BACKING_OFF
        if all(endpoint.name in exclude for endpoint in self.eligible):
            return Unavailable.ALL_EXCLUDED
        return Unavailable.ALL_FULL

    def update_totals(self, endpoint: Endpoint) -> None:
        """Update the totals after a change of ``endpoint``."""
        # Updated incrementally: with 390 endpoints, computing the totals for each
        # request would take longer than the rest of the routing decision.
        if not endpoint.is_eligible:
            return
        room = endpoint.room
        capacity = endpoint.capacity
        self.room += room - endpoint.counted_room
        self.capacity += capacity - endpoint.counted_capacity
        places = endpoint.places
        self.places += places - endpoint.counted_places
        endpoint.counted_room = room
        endpoint.counted_capacity = capacity
        endpoint.counted_places = places

    def _apply_slots(self, endpoint: Endpoint) -> None:
        if self._slots is not None:
            endpoint.set_slots(self._slots)
            endpoint.concurrency.set_max_limit(self._slots)
