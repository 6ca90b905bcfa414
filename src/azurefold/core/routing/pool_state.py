"""What one node knows of a service's endpoints, as input to the choice among them."""

from collections.abc import Collection, Iterable
from math import ceil

from azurefold.core.clock import Millis
from azurefold.core.routing.backoffs import Backoffs
from azurefold.core.routing.choice import PoolMeans
from azurefold.core.routing.ejection import Ejector
from azurefold.core.routing.exclusions import Exclusions
from azurefold.core.routing.members import Members
from azurefold.core.routing.messages import LoadReport
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.prefixes import PrefixHints
from azurefold.core.routing.quota_sharers import QuotaSharers
from azurefold.core.routing.quotas import EndpointQuotas, QuotaReport, QuotaShare

__all__ = ["PoolState"]


_LEAVING_RETENTION_MS: Millis = 600_000
"""Time since its last announcement after which an unlisted endpoint is forgotten.

Longer than an endpoint that is leaving may be temporarily missing from the list."""


class PoolState:
    """Members of a pool, their loads, and which of them are left out.

    Parameters
    ----------
    policy : PoolPolicy, optional
        The policies of its parts.
    """

    def __init__(self, policy: PoolPolicy | None = None) -> None:
        self._policy = policy or PoolPolicy()
        self._members = Members(self._policy.concurrency, self._policy.sharing)
        self._ejector = Ejector(self._policy.ejection)
        self._next_return: Millis | None = None
        self._hints = PrefixHints()
        self._absences = Exclusions(self._ejector)
        self._quotas = EndpointQuotas()
        self._backoffs = Backoffs()
        self._announced_leaving: dict[str, Millis] = {}
        self._means = PoolMeans()

    @property
    def endpoints(self) -> tuple[str, ...]:
        """All endpoints, also those leaving or ejected."""
        return tuple(self._members.by_name)

    @property
    def ejected(self) -> frozenset[str]:
        """Endpoints left out for a while."""
        return self._ejector.ejected

    @property
    def paused(self) -> frozenset[str]:
        """Endpoints whose group is down."""
        return self._absences.paused

    @property
    def is_unavailable(self) -> bool:
        """Whether each endpoint's group is down, or the endpoint out of reach."""
        names = self._members.by_name.keys()
        return bool(names) and names <= self._absences.paused | self.unreachable

    @property
    def unreachable(self) -> frozenset[str]:
        """Endpoints to which no connection could be made a moment ago."""
        return self._absences.unreachable

    @property
    def over_quota(self) -> frozenset[str]:
        """Endpoints in need that this node may send nothing for now."""
        return frozenset(self._absences.over_quota)

    @property
    def backing_off(self) -> frozenset[str]:
        """Endpoints whose requested backoff has not ended."""
        return frozenset(self._absences.backing_off)

    @property
    def next_available_at(self) -> Millis | None:
        """When an endpoint becomes eligible again, if none is and some back off.

        None if an endpoint is eligible now, if none is backing off, or if a group is
        down, as the time of its recovery is unknown.
        """
        absences = self._absences
        if self._members.eligible or absences.paused or not absences.backing_off:
            return None
        return absences.next_return

    @property
    def quota_shares(self) -> dict[str, QuotaShare]:
        """What this node may send to endpoints in need."""
        return self._quotas.parts

    @property
    def in_flight(self) -> int:
        """Attempts of this node that have not ended."""
        return sum(self.loads.values())

    @property
    def room(self) -> int:
        """Requests that the endpoints that may be chosen have room for."""
        return self._members.room

    @property
    def draft_room(self) -> int:
        """The room left when a part is kept free for confirmations."""
        capacity = self._members.capacity
        kept = min(ceil(self._policy.reserve * capacity), capacity - 1)
        # Of a single place none is kept, or drafts would wait there for ever.
        return self._members.room - max(0, kept)

    def set_nodes(self, count: int, position: int = 0) -> None:
        """Take in how many nodes send to these endpoints.

        Parameters
        ----------
        count : int
            Live nodes, this one included.
        position : int, default=0
            This node's place in their sorted list, from 0.
        """
        self._members.share_slots(count, position)

    def set_slots(self, slots: int) -> None:
        """Take in how many requests each endpoint may have from all nodes."""
        self._members.set_slots(slots)

    def set_distance(self, endpoint: str, distance: Millis) -> None:
        """Take in the milliseconds that a nearer endpoint is worth waiting for."""
        self._members.by_name[endpoint].distance = distance

    def load_of(self, endpoint: str) -> int:
        """Return how many attempts of this node are at ``endpoint``."""
        return self._members.by_name[endpoint].in_flight

    @property
    def loads(self) -> dict[str, int]:
        """Attempts of this node by endpoint, those without any left out.

        Also at endpoints that this node sends nothing to any more.
        """
        known = (self._members.by_name, self._members.former)
        return {
            name: endpoint.in_flight
            for endpoints in known
            for name, endpoint in endpoints.items()
            if endpoint.in_flight
        }

    def limit(self, endpoint: str) -> int:
        """Return how many requests this node keeps at ``endpoint``."""
        return self._members.by_name[endpoint].concurrency.limit

    def set_endpoints(
        self, names: Iterable[str], now: Millis, leaving: Iterable[str] = ()
    ) -> None:
        """Take in the present members.

        An endpoint that was marked as leaving stays so until it has dropped
        out of ``names`` or was readmitted, since the list of VMs lags.
        """
        for gone in self._members.replace(frozenset(names), now):
            self._absences.forget(gone)
        self._means.others = self._members.mean_others
        for name in (*leaving, *self._announced_leaving):
            if name in self._members.by_name:
                self._members.by_name[name].leaving = True
        self._refresh(now)

    def set_paused(self, names: frozenset[str]) -> None:
        """Choose none of ``names`` until told otherwise: their group is down.

        What goes wrong if each request finds out by itself: a group that is down
        takes half of all requests for as long as it is, and refuses them.
        """
        self._absences.paused = names
        self._members.select(self._absences.names)

    def set_suspected(self, names: frozenset[str]) -> None:
        """Prefer others to ``names``: their group seems to stand still."""
        for name, endpoint in self._members.by_name.items():
            endpoint.is_suspected = name in names

    def is_within_slots(self, endpoint: str) -> bool:
        """Whether an endpoint has no more requests than slots, from all nodes."""
        known = self._members.by_name.get(endpoint)
        return known is not None and known.in_flight + known.others <= known.slots

    def mean_running(self, names: Collection[str]) -> float:
        """Return the requests of all nodes that ``names`` run, on average.

        What an endpoint has beyond its slots waits there and makes no pass longer.
        """
        members = [self._members.by_name[name] for name in names]
        running = [min(each.in_flight + each.others, each.slots) for each in members]
        return sum(running) / len(running) if running else 0.0

    def limit_requests(self, names: Collection[str], mean: float | None) -> None:
        """Let ``names`` have at most so many requests, on average; None for any.

        A part of a request goes to the first of them in the order of names, which is
        the same on all nodes.
        """
        most, rest = divmod(round((mean or 0.0) * len(names)), max(1, len(names)))
        for place, name in enumerate(sorted(names)):
            endpoint = self._members.by_name[name]
            endpoint.most = None if mean is None else most + (place < rest)
            self._members.recount(endpoint)

    def mark_unreachable(self, endpoint: str, now: Millis) -> None:
        """Note that no connection to an endpoint could be made in time."""
        if endpoint in self._members.by_name:
            self._absences.mark_unreachable(endpoint, now)
            self._refresh(now)

    def share_quotas(self, sharers: QuotaSharers, now: Millis) -> None:
        """Take in the nodes among which the quotas of endpoints are dealt out."""
        if self._quotas.set_sharers(sharers, now):
            self._refresh(now)

    def record_quota_answer(
        self, endpoint: str, rate: float | None, sent_at: Millis, now: Millis
    ) -> bool:
        """Take in the quota that an answer names; return whether that is news.

        Parameters
        ----------
        endpoint : str
        rate : float or None
            Requests a second from all nodes; None if the answer names none.
        sent_at : int
            When the request was sent.
        now : int
        """
        if not self._quotas.answered(endpoint, rate, sent_at, now):
            return False
        self._refresh(now)
        return True

    def record_quota_report(
        self, endpoint: str, word: QuotaReport, now: Millis
    ) -> bool:
        """Take in the quota that another node was told; return whether it is news."""
        if not self._quotas.told(endpoint, word, now):
            return False
        self._refresh(now)
        return True

    def quota_reports(self, now: Millis) -> dict[str, QuotaReport]:
        """Return what other nodes should be told of quotas."""
        return self._quotas.words(now)

    def has_own_quota_report_since(self, then: Millis) -> bool:
        """Whether an endpoint told this node itself of its quota after ``then``."""
        return self._quotas.heard_since(then)

    def forget(self, name: str, now: Millis) -> None:
        """Forget all of an endpoint, which may be added again as a new one."""
        self._quotas.forget(name)
        self._backoffs.forget(name)
        self._announced_leaving.pop(name, None)
        self.set_endpoints(self._members.by_name.keys() - {name}, now)
        self._members.former.pop(name, None)

    def accepts_requests(self, endpoint: str) -> bool:
        """Whether an endpoint is not backing off and has not announced leaving."""
        is_backing_off = endpoint in self._absences.backing_off
        return not is_backing_off and not self.has_announced_leaving(endpoint)

    def has_announced_leaving(self, endpoint: str) -> bool:
        """Whether an endpoint has announced that it is leaving."""
        return endpoint in self._announced_leaving

    def back_off(self, endpoint: str, until: Millis, now: Millis) -> bool:
        """Exclude an endpoint until a time; return whether its backoff got longer."""
        if not self._backoffs.extend(endpoint, until):
            return False
        self._refresh(now)
        return True

    def record_leaving(self, endpoint: str, now: Millis) -> bool:
        """Exclude an endpoint that has announced that it is leaving.

        The announcement overrides outdated list entries until the endpoint restarts.

        Returns
        -------
        bool
            Whether this is its first announcement.
        """
        is_known = endpoint in self._announced_leaving
        self._announced_leaving[endpoint] = now
        if not is_known:
            self.mark_leaving(endpoint, now)
        return not is_known

    def mark_leaving(self, endpoint: str, now: Millis) -> None:
        """Choose ``endpoint`` no more; its attempts in flight go on."""
        known = self._members.by_name.get(endpoint)
        if known is not None:
            known.leaving = True
            self._refresh(now)

    def readmit(self, endpoint: str, now: Millis) -> None:
        """Choose ``endpoint`` again: a new incarnation of it has joined."""
        known = self._members.by_name.get(endpoint)
        if known is not None:
            known.leaving = False
            self._refresh(now)

    def record_load(self, endpoint: str, report: LoadReport, now: Millis) -> None:
        """Take in a load report."""
        known = self._members.by_name.get(endpoint)
        if known is None:
            return
        self._members.report(known, report, now)
        self._means.others = self._members.mean_others

    def prefix_cached(self, endpoint: str, prefix_hash: int, now: Millis) -> None:
        """Take in a cache event."""
        if endpoint in self._members.by_name:
            self._hints.cached(endpoint, prefix_hash, now)

    def prefix_evicted(self, endpoint: str, prefix_hash: int) -> None:
        """Take in the event of an eviction."""
        self._hints.evicted(endpoint, prefix_hash)

    def _prune_announced_leaving(self, now: Millis) -> None:
        oldest = now - _LEAVING_RETENTION_MS
        self._announced_leaving = {
            name: announced_at
            for name, announced_at in self._announced_leaving.items()
            if name in self._members.by_name or announced_at > oldest
        }

    def _refresh(self, now: Millis) -> None:
        for name in self._absences.returned(now):
            self._members.by_name[name].last_progress = now
        self._absences.over_quota = self._quotas.closed(now)
        self._absences.backing_off = {
            name: until
            for name, until in self._backoffs.active(now).items()
            if name in self._members.by_name
        }
        self._members.select(self._absences.names)
        self._next_return = self._absences.next_return
