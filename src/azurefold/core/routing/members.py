"""The endpoints of a pool, those that may be chosen, and sums over them."""

from collections.abc import Set

from azurefold.core.clock import Millis
from azurefold.core.routing.concurrency import ConcurrencyLimit, ConcurrencyPolicy
from azurefold.core.routing.endpoint import DividedSlots, Endpoint, Sharing
from azurefold.core.routing.exclusions import Exclusions
from azurefold.core.routing.messages import LoadReport, Unavailable

__all__ = ["Members"]

_DIVIDED = DividedSlots()


class Members:
    """Endpoints by name, with sums that are kept up at each change.

    An endpoint that other nodes send to from now on is kept in ``former`` until this
    node's attempts there have ended. It still runs them, and goes on with them if it
    is dealt to this node again.

    Parameters
    ----------
    policy : ConcurrencyPolicy
        For the limit of each new endpoint.
    sharing : Sharing
        How nodes share the slots of each endpoint.
    """

    def __init__(self, policy: ConcurrencyPolicy, sharing: Sharing = _DIVIDED) -> None:
        self._policy = policy
        self._sharing = sharing
        self._others = 0.0
        self._nodes = 1
        self._position = 0
        self._slots: int | None = None
        self.by_name: dict[str, Endpoint] = {}
        self.former: dict[str, Endpoint] = {}
        self.eligible: list[Endpoint] = []
        self.room = 0
        self.capacity = 0

    @property
    def mean_others(self) -> float:
        """Requests of other nodes at an endpoint, on average."""
        return self._others / max(1, len(self.by_name))

    def replace(self, names: frozenset[str], now: Millis) -> list[str]:
        """Take in the present names; return those that are gone."""
        gone = sorted(self.by_name.keys() - names)
        for name in gone:
            endpoint = self.by_name.pop(name)
            endpoint.is_counted = False
            if endpoint.attempts:
                self.former[name] = endpoint
        for name in sorted(names - self.by_name.keys()):
            limit = ConcurrencyLimit(self._policy)
            endpoint = Endpoint(name, limit, self._sharing, last_progress=now)
            if name in self.former:
                endpoint.take_over(self.former.pop(name))
            endpoint.share_slots(self._nodes, self._position)
            self._bound(endpoint)
            self.by_name[name] = endpoint
        self._others = sum(one.others for one in self.by_name.values())
        return gone

    def with_attempts(self, name: str) -> Endpoint | None:
        """Return an endpoint that this node may have attempts at; None if unknown."""
        return self.by_name.get(name) or self.former.get(name)

    def ended(self, endpoint: Endpoint) -> None:
        """Note that an attempt has ended, and forget a former endpoint without any."""
        if self.by_name.get(endpoint.name) is endpoint:
            self.recount(endpoint)
        elif not endpoint.attempts:
            self.former.pop(endpoint.name, None)

    def share_slots(self, nodes: int, position: int) -> None:
        """Divide the slots of all endpoints between ``nodes`` nodes."""
        self._nodes = max(1, nodes)
        self._position = position
        for endpoint in self.by_name.values():
            endpoint.share_slots(self._nodes, position)
            self.recount(endpoint)

    def set_slots(self, slots: int) -> None:
        """Take in the operators' bound on the requests at each endpoint."""
        self._slots = slots
        for endpoint in self.by_name.values():
            self._bound(endpoint)
            self.recount(endpoint)

    def report(self, endpoint: Endpoint, report: LoadReport, now: Millis) -> None:
        """Take in a load report."""
        before = endpoint.others
        endpoint.report(report, now)
        self._others += endpoint.others - before
        self.recount(endpoint)

    def select(self, ejected: Set[str]) -> None:
        """Work out anew which endpoints may be chosen."""
        self.room = self.capacity = 0
        for endpoint in self.by_name.values():
            endpoint.is_counted = False
        self.eligible = [
            endpoint
            for endpoint in self.by_name.values()
            if not endpoint.leaving and endpoint.name not in ejected
        ]
        for endpoint in self.eligible:
            endpoint.is_counted = True
            endpoint.counted_room = endpoint.counted_capacity = 0
            self.recount(endpoint)

    def why_none(self, exclude: Set[str], absences: Exclusions) -> Unavailable:
        """Return why no endpoint outside ``exclude`` can be chosen."""
        if not self.by_name:
            return Unavailable.NO_ENDPOINTS
        if self.by_name.keys() <= absences.paused:
            return Unavailable.GROUPS_DOWN
        if self.by_name.keys() <= absences.paused | absences.unreachable:
            return Unavailable.OUT_OF_REACH
        if all(endpoint.leaving for endpoint in self.by_name.values()):
            return Unavailable.ALL_LEAVING
        if not self.eligible and absences.over_quota:
            return Unavailable.OVER_QUOTA
        if not self.eligible and absences.backing_off:
            return Unavailable.BACKING_OFF
        if all(endpoint.name in exclude for endpoint in self.eligible):
            return Unavailable.ALL_EXCLUDED
        return Unavailable.ALL_FULL

    def recount(self, endpoint: Endpoint) -> None:
        """Bring the sums up to date after a change of ``endpoint``."""
        # The sums are kept up, not worked out for each request: with 390
        # endpoints that would take longer than all the rest of the decision.
        if not endpoint.is_counted:
            return
        room = endpoint.room
        capacity = endpoint.capacity
        self.room += room - endpoint.counted_room
        self.capacity += capacity - endpoint.counted_capacity
        endpoint.counted_room = room
        endpoint.counted_capacity = capacity

    def _bound(self, endpoint: Endpoint) -> None:
        if self._slots is not None:
            endpoint.set_slots(self._slots)
            endpoint.concurrency.set_largest(self._slots)
