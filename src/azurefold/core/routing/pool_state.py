"""State of a service's endpoints on one node, on which routing decisions are based."""

from collections.abc import Collection, Iterable
from math import ceil

from azurefold.core.clock import Millis
from azurefold.core.routing.backoffs import Backoffs
from azurefold.core.routing.choice import PoolMeans
from azurefold.core.routing.cold_members import ColdMembers
from azurefold.core.routing.ejection import Ejector
from azurefold.core.routing.exclusions import Exclusions
from azurefold.core.routing.members import Members
from azurefold.core.routing.messages import LoadReport
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.prefixes import PrefixHints
from azurefold.core.routing.quota_sharers import QuotaSharers
from azurefold.core.routing.quotas import EndpointQuotas, QuotaReport, QuotaShare
from azurefold.core.routing.work_left import EngineSize

__all__ = ["PoolState"]


_LEAVING_RETENTION_MS: Millis = 600_000
"""Time after its last announcement for which an unlisted endpoint is remembered.

Longer than a leaving endpoint can be temporarily missing from the list."""

_HASH_RANGE = 2**32


class PoolState:
    """Members of a pool, their loads, and which of them are excluded.

    Parameters
    ----------
    policy : PoolPolicy, optional
        Policies for choice, concurrency, ejection and slot sharing.

    Attributes
    ----------
    cold : ColdMembers
        Which members are cold, and the permits to send to them.
    """

    def __init__(self, policy: PoolPolicy | None = None) -> None:
        self._policy = policy or PoolPolicy()
        self._members = Members(self._policy.concurrency, self._policy.sharing)
        self._ejector = Ejector(self._policy.ejection)
        self._next_check_at: Millis | None = None
        self._hints = PrefixHints()
        self._exclusions = Exclusions(self._ejector)
        self._quotas = EndpointQuotas()
        self.cold = ColdMembers(self._members)
        self._backoffs = Backoffs()
        self._announced_leaving: dict[str, Millis] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._means = PoolMeans()
        self._engine_size = EngineSize()

    @property
    def endpoints(self) -> tuple[str, ...]:
        """All endpoints, including those that are leaving or ejected."""
        return tuple(self._members.by_name)

    @property
    def ejected(self) -> frozenset[str]:
        """Endpoints that are ejected at present."""
        return self._ejector.ejected

    @property
    def paused(self) -> frozenset[str]:
        """Endpoints whose group is down."""
        return self._exclusions.paused

    @property
    def is_unavailable(self) -> bool:
        """Whether every endpoint is unreachable, or its group is down."""
        names = self._members.by_name.keys()
        return bool(names) and names <= self._exclusions.paused | self.unreachable

    @property
    def unreachable(self) -> frozenset[str]:
        """Endpoints to which a connection attempt has recently timed out."""
        return self._exclusions.unreachable

    @property
    def over_quota(self) -> frozenset[str]:
        """Endpoints whose quota allows no request of this node at present."""
        return frozenset(self._exclusions.over_quota)

    @property
    def backing_off(self) -> frozenset[str]:
        """Endpoints whose requested backoff has not ended."""
        return frozenset(self._exclusions.backing_off)

    @property
    def evacuated(self) -> frozenset[str]:
        """Endpoints of the service whose data centre is evacuated."""
        return self._evacuated

    @property
    def is_evacuated(self) -> bool:
        """Whether evacuations leave no endpoint of the service."""
        return bool(self._evacuated) and not self._members.by_name

    @property
    def next_available_at(self) -> Millis | None:
        """When the next backoff ends, if no endpoint is eligible and some back off.

        None if an endpoint is eligible now, if none is backing off, or if a group is
        down, because the time of its recovery is unknown.
        """
        exclusions = self._exclusions
        if self._members.eligible or exclusions.paused or not exclusions.backing_off:
            return None
        return exclusions.next_end

    @property
    def quota_shares(self) -> dict[str, QuotaShare]:
        """This node's shares of quotas, by endpoint."""
        return self._quotas.shares

    @property
    def in_flight(self) -> int:
        """Number of this node's attempts that have not ended."""
        return sum(self.loads.values())

    @property
    def room(self) -> int:
        """Number of further requests that all eligible endpoints have room for."""
        return self._members.room

    @property
    def draft_room(self) -> int:
        """Number of further drafts; excludes the room reserved for confirmations."""
        capacity = self._members.capacity
        reserved = min(ceil(self._policy.reserved_share * capacity), capacity - 1)
        # With a capacity of one nothing is reserved, or drafts would wait for ever.
        return self._members.room - max(0, reserved)

    def room_for(self, more_urgent_classes: int) -> int:
        """Return the room that is left to a class by the more urgent ones.

        For each of them a part of the places of all nodes is reserved. It follows
        :meth:`limit_requests`: while passes are long, less urgent classes give way
        first. One place is never reserved, or the class would wait for ever.
        """
        places = self._members.places
        reserved = ceil(self._policy.class_reserve * more_urgent_classes * places)
        return self._members.room - max(0, min(reserved, places - 1))

    @property
    def busy_places(self) -> int:
        """Places at the eligible endpoints that requests of any node take."""
        return max(0, self._members.places - self._members.room)

    def set_nodes(self, count: int, position: int = 0) -> None:
        """Set how many nodes send to these endpoints.

        Parameters
        ----------
        count : int
            Number of live nodes, this one included.
        position : int, default=0
            Index of this node in their sorted list, from 0.
        """
        self._members.share_slots(count, position)

    def set_slots(self, slots: int) -> None:
        """Set how many slots each endpoint has for all nodes together."""
        self._members.set_slots(slots)

    def set_engine_size(self, size: EngineSize) -> None:
        """Set what one engine holds and sends."""
        self._engine_size = size

    def set_distance(self, endpoint: str, distance_ms: Millis) -> None:
        """Set the milliseconds that are added to the expected wait at ``endpoint``."""
        self._members.by_name[endpoint].distance_ms = distance_ms

    def load_of(self, endpoint: str) -> int:
        """Return the number of this node's attempts in flight at ``endpoint``."""
        return self._members.by_name[endpoint].in_flight

    @property
    def loads(self) -> dict[str, int]:
        """Numbers of this node's attempts in flight, by endpoint; zeros are omitted.

        Includes former endpoints, to which this node no longer sends requests.
        """
        present_and_former = (self._members.by_name, self._members.former)
        return {
            name: endpoint.in_flight
            for endpoints in present_and_former
            for name, endpoint in endpoints.items()
            if endpoint.in_flight
        }

    def concurrency_limit(self, endpoint: str) -> int:
        """Return this node's concurrency limit at ``endpoint``."""
        return self._members.by_name[endpoint].concurrency.limit

    def set_endpoints(
        self, names: Iterable[str], now: Millis, leaving: Iterable[str] = ()
    ) -> None:
        """Replace the members of the pool.

        An endpoint that was marked as leaving keeps this mark until it is missing from
        ``names`` or is readmitted, because the list of VMs is out of date for a while.
        """
        for removed in self._members.set_names(frozenset(names), now):
            self._exclusions.forget(removed)
        self._means.peer_requests = self._members.mean_peer_requests
        for name in (*leaving, *self._announced_leaving):
            if name in self._members.by_name:
                self._members.by_name[name].is_leaving = True
        self.cold.apply()
        self._refresh(now)

    def set_evacuated(self, names: frozenset[str]) -> None:
        """Set the endpoints that are no members because of an evacuation.

        A request that has chosen one of them and is not sent yet must not be sent.
        They include leaving ones, which may have been chosen before they left.
        """
        self._evacuated = names

    def set_paused(self, names: frozenset[str]) -> None:
        """Set the endpoints that are excluded because their group is down.

        Otherwise each request would detect the outage only by a refusal, and a group
        that is down would receive, and refuse, half of all requests until it recovers.
        """
        self._exclusions.paused = names
        self._members.update_eligible(self._exclusions.names)

    def set_suspected(self, names: frozenset[str]) -> None:
        """Mark the endpoints whose group is possibly stalled; others are preferred."""
        for name, endpoint in self._members.by_name.items():
            endpoint.is_suspected = name in names

    def is_within_slots(self, endpoint: str) -> bool:
        """Whether an endpoint has at most as many requests from all nodes as slots."""
        member = self._members.by_name.get(endpoint)
        return (
            member is not None
            and member.in_flight + member.peer_requests <= member.slots
        )

    def mean_running(self, names: Collection[str]) -> float:
        """Return the mean number of requests, from all nodes, that ``names`` run.

        Requests beyond an endpoint's slots wait there and do not make a pass longer.
        """
        members = [self._members.by_name[name] for name in names]
        running = [
            min(endpoint.in_flight + endpoint.peer_requests, endpoint.slots)
            for endpoint in members
        ]
        return sum(running) / len(running) if running else 0.0

    def limit_requests(self, names: Collection[str], mean: float | None) -> None:
        """Limit the mean number of requests at ``names``; None removes the limit.

        The whole numbers add up to less than one above or below ``mean`` times their
        count. Where the rounding falls depends on the names, which are the same on all
        nodes of a cell and others in each cell. The limits of a group that many cells
        share then have this mean too, even if each cell has only one of its ranks.
        """
        ordered = sorted(names)
        offset = endpoint_hash(ordered[0]) / _HASH_RANGE if ordered else 0.0
        for index, name in enumerate(ordered):
            endpoint = self._members.by_name[name]
            endpoint.max_requests = None
            if mean is not None:
                before, after = mean * index + offset, mean * (index + 1) + offset
                endpoint.max_requests = int(after) - int(before)
            self._members.update_totals(endpoint)

    def mark_unreachable(self, endpoint: str, now: Millis) -> None:
        """Exclude an endpoint for a while after a connection attempt timed out."""
        if endpoint in self._members.by_name:
            self._exclusions.mark_unreachable(endpoint, now)
            self._refresh(now)

    def share_quotas(self, sharers: QuotaSharers, now: Millis) -> None:
        """Set the nodes that share the quotas of endpoints."""
        if self._quotas.set_sharers(sharers, now):
            self._refresh(now)

    def record_quota_answer(
        self, endpoint: str, rate: float | None, sent_at: Millis, now: Millis
    ) -> bool:
        """Record the quota named in a response; return whether it has changed.

        Parameters
        ----------
        endpoint : str
        rate : float or None
            Requests per second from all nodes; None if the response names no quota.
        sent_at : int
            When the request was sent.
        now : int
        """
        if not self._quotas.record_answer(endpoint, rate, sent_at, now):
            return False
        self._refresh(now)
        return True

    def record_quota_report(
        self, endpoint: str, report: QuotaReport, now: Millis
    ) -> bool:
        """Record a report from another node; return whether the quota has changed."""
        if not self._quotas.record_report(endpoint, report, now):
            return False
        self._refresh(now)
        return True

    def quota_reports(self, now: Millis) -> dict[str, QuotaReport]:
        """Return the quota reports to send to other nodes, by endpoint."""
        return self._quotas.reports(now)

    def has_own_quota_report_since(self, since: Millis) -> bool:
        """Whether an endpoint reported its quota to this node after ``since``."""
        return self._quotas.has_own_report_since(since)

    def forget(self, name: str, now: Millis) -> None:
        """Discard all state of an endpoint, which may be added again as a new one."""
        self._quotas.forget(name)
        self._backoffs.forget(name)
        self.cold.forget(name)
        self._announced_leaving.pop(name, None)
        self.set_endpoints(self._members.by_name.keys() - {name}, now)
        self._members.former.pop(name, None)

    def accepts_requests(self, endpoint: str) -> bool:
        """Whether an endpoint is not backing off, announced as leaving or evacuated."""
        is_backing_off = endpoint in self._exclusions.backing_off
        is_excluded = is_backing_off or endpoint in self._evacuated
        return not is_excluded and not self.has_announced_leaving(endpoint)

    def has_announced_leaving(self, endpoint: str) -> bool:
        """Whether an endpoint has announced that it is leaving."""
        return endpoint in self._announced_leaving

    def back_off(self, endpoint: str, until: Millis, now: Millis) -> bool:
        """Exclude an endpoint until ``until``.

        Returns
        -------
        bool
            Whether this extended its backoff.
        """
        if not self._backoffs.extend(endpoint, until):
            return False
        self._refresh(now)
        return True

    def record_leaving(self, endpoint: str, now: Millis) -> bool:
        """Exclude an endpoint that has announced that it is leaving.

        The announcement overrides outdated entries of the endpoint list until the
        endpoint restarts.

        Returns
        -------
        bool
            Whether this is its first announcement.
        """
        was_announced = endpoint in self._announced_leaving
        self._announced_leaving[endpoint] = now
        if not was_announced:
            self.mark_leaving(endpoint, now)
        return not was_announced

    def mark_leaving(self, endpoint: str, now: Millis) -> None:
        """Exclude an endpoint that is leaving; its attempts in flight continue."""
        member = self._members.by_name.get(endpoint)
        if member is not None:
            member.is_leaving = True
            self._refresh(now)

    def readmit(self, endpoint: str, now: Millis) -> None:
        """Make an endpoint eligible again after a new incarnation of it has joined."""
        member = self._members.by_name.get(endpoint)
        if member is not None:
            member.is_leaving = False
            self._refresh(now)

    def record_load(self, endpoint: str, report: LoadReport, now: Millis) -> None:
        """Apply a load report."""
        member = self._members.by_name.get(endpoint)
        if member is None:
            return
        self._members.record_load(member, report, now)
        self._means.peer_requests = self._members.mean_peer_requests

    def record_cached_prefix(
        self, endpoint: str, prefix_hash: int, now: Millis
    ) -> None:
        """Record that an endpoint has cached a prefix."""
        if endpoint in self._members.by_name:
            self._hints.add(endpoint, prefix_hash, now)

    def record_evicted_prefix(self, endpoint: str, prefix_hash: int) -> None:
        """Record that an endpoint has evicted a prefix."""
        self._hints.remove(endpoint, prefix_hash)

    def _prune_announced_leaving(self, now: Millis) -> None:
        cutoff = now - _LEAVING_RETENTION_MS
        self._announced_leaving = {
            name: announced_at
            for name, announced_at in self._announced_leaving.items()
            if name in self._members.by_name or announced_at > cutoff
        }

    def _refresh(self, now: Millis) -> None:
        self.cold.refresh(now)
        for name in self._exclusions.readmit_due(now):
            self._members.by_name[name].last_progress_at = now
        self._exclusions.over_quota = self._quotas.recheck_times(now)
        self._exclusions.backing_off = {
            name: until
            for name, until in self._backoffs.active(now).items()
            if name in self._members.by_name
        }
        self._members.update_eligible(self._exclusions.names)
        self._next_check_at = self._exclusions.next_end
