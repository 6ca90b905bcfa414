"""Distributed rate limits of organisations, without a round trip per request.

Each node grants a share of the limit in proportion to its share of the demand.
The nodes exchange their demand in the background. Every node computes the shares
from the exchanged reports only, its own included, so that the shares add up to one
whenever all nodes have received the same reports.
"""

from dataclasses import dataclass, field
from math import exp

from azurefold.core.admission.drain import jitter_retry_after
from azurefold.core.clock import Millis

__all__ = ["Allowed", "DemandReport", "LimitPolicy", "Limited", "OrganisationLimits"]


@dataclass(frozen=True, slots=True)
class LimitPolicy:
    """Parameters of the rate limits and of their division among the nodes.

    Parameters
    ----------
    burst : int
        Capacity of a node's token bucket, in milliseconds of the node's rate.
    window : int
        Time constant of the demand's moving average, in milliseconds.
    reserved_share : float
        Part of the limit that is divided equally among all nodes, so that a node
        without reported demand can grant requests too.
    stale_after : int
        Milliseconds after which a node's last report is ignored.
    """

    burst: Millis = 1_000
    window: Millis = 2_000
    reserved_share: float = 0.1
    stale_after: Millis = 10_000


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request is within the limit."""


@dataclass(frozen=True, slots=True)
class Limited:
    """The request is over the limit; it was not run."""

    retry_after_ms: Millis


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand that one node observed, sent to the others periodically.

    Parameters
    ----------
    node : str
        The reporting node.
    demand : dict of str to float
        Requested tokens per second, by organisation.
    """

    node: str
    demand: dict[str, float]


@dataclass(slots=True)
class _OrganisationState:
    """Demand and token bucket of one organisation on this node."""

    demand: float = 0.0
    demand_updated_at: Millis = 0
    bucket_tokens: float | None = None
    refilled_at: Millis = 0


@dataclass(slots=True)
class _ReceivedReport:
    """The last report of a node, and the time at which it was received."""

    received_at: Millis
    demand: dict[str, float] = field(default_factory=dict)


class OrganisationLimits:
    """This node's share of the rate limits of all organisations.

    Parameters
    ----------
    node : str
        The node's name.
    limits : dict of str to float
        Tokens per second over all nodes, for each limited organisation.
    policy : LimitPolicy, optional
        Parameters of the limits.
    """

    def __init__(
        self, node: str, limits: dict[str, float], policy: LimitPolicy | None = None
    ) -> None:
        self._node = node
        self._limits = dict(limits)
        self._policy = policy or LimitPolicy()
        self._states: dict[str, _OrganisationState] = {}
        self._reports: dict[str, _ReceivedReport] = {}
        self._peers: frozenset[str] = frozenset()

    def set_limits(self, limits: dict[str, float]) -> None:
        """Replace the limits by those of a newly applied configuration."""
        self._limits = dict(limits)

    def set_nodes(self, nodes: frozenset[str]) -> None:
        """Replace the nodes that share the limits, including this one."""
        self._peers = nodes - {self._node}
        for removed in self._reports.keys() - self._peers - {self._node}:
            del self._reports[removed]

    def try_acquire(
        self, organisation: str, tokens: int, jitter: float, now: Millis
    ) -> Allowed | Limited:
        """Take ``tokens`` from the organisation's bucket if the limit allows it.

        Parameters
        ----------
        organisation : str
            Organisation that sent the request.
        tokens : int
            Cost of the request.
        jitter : float
            Random number in [0, 1) that spreads ``retry_after_ms``.
        now : int
            The current time.
        """
        limit = self._limits.get(organisation)
        if limit is None:
            return Allowed()
        state = self._states.setdefault(
            organisation, _OrganisationState(0.0, now, None, now)
        )
        self._add_demand(state, tokens, now)
        tokens_per_ms = limit * self.compute_share(organisation, now) / 1_000
        self._refill(state, tokens_per_ms, now)
        if state.bucket_tokens <= 0.0:
            wait_ms = (tokens - state.bucket_tokens) / tokens_per_ms
            return Limited(jitter_retry_after(wait_ms, jitter))
        # A request that costs more than the bucket holds is granted and makes the
        # balance negative. If the whole cost had to be available, a node with a
        # small share would always refuse large prompts.
        state.bucket_tokens -= tokens
        return Allowed()

    def build_report(self, now: Millis) -> DemandReport:
        """Return the report for the other nodes, and use it for the shares here."""
        demand = {
            organisation: current_demand
            for organisation, state in self._states.items()
            if (current_demand := self._decayed_demand(state, now)) > 0.01
        }
        self._reports[self._node] = _ReceivedReport(now, demand)
        return DemandReport(self._node, demand)

    def receive_report(self, report: DemandReport, now: Millis) -> None:
        """Store the report of another node."""
        if report.node in self._peers:
            self._reports[report.node] = _ReceivedReport(now, report.demand)

    def compute_share(self, organisation: str, now: Millis) -> float:
        """Return this node's share of the limit, between 0 and 1."""
        oldest_fresh = now - self._policy.stale_after
        node_count = len(self._peers) + 1
        own_demand = 0.0
        total_demand = 0.0
        for node, report in self._reports.items():
            if node != self._node and report.received_at < oldest_fresh:
                continue
            demand = report.demand.get(organisation, 0.0)
            total_demand += demand
            own_demand = demand if node == self._node else own_demand
        if total_demand <= 0.0:
            return 1.0 / node_count
        return (
            self._policy.reserved_share / node_count
            + (1.0 - self._policy.reserved_share) * own_demand / total_demand
        )

    def _add_demand(self, state: _OrganisationState, tokens: int, now: Millis) -> None:
        state.demand = self._decayed_demand(state, now)
        state.demand += tokens * 1_000 / self._policy.window
        state.demand_updated_at = now

    def _decayed_demand(self, state: _OrganisationState, now: Millis) -> float:
        elapsed_ms = max(0, now - state.demand_updated_at)
        return state.demand * exp(-elapsed_ms / self._policy.window)

    def _refill(
        self, state: _OrganisationState, tokens_per_ms: float, now: Millis
    ) -> None:
        capacity = tokens_per_ms * self._policy.burst
        if state.bucket_tokens is None:
            state.bucket_tokens = capacity
        added = tokens_per_ms * (now - state.refilled_at)
        state.bucket_tokens = min(capacity, state.bucket_tokens + added)
        state.refilled_at = now
