"""Limits of an organisation's rate, shared by all nodes without a round trip.

Each node grants a share of the limit that follows its share of the demand.
The demands are exchanged lazily. Every node computes the shares from the same
exchanged figures, its own included, so that the shares add up to one whenever
all have heard the same.
"""

from dataclasses import dataclass, field
from math import exp

from azurefold.core.admission.drain import jitter_retry_after
from azurefold.core.clock import Millis

__all__ = ["Allowed", "DemandReport", "LimitPolicy", "Limited", "OrganisationLimits"]


@dataclass(frozen=True, slots=True)
class LimitPolicy:
    """How a limit is shared.

    Parameters
    ----------
    burst : int
        Milliseconds of its rate that a node may grant at once.
    window : int
        Time constant of the observed demand in milliseconds.
    floor : float
        Part of the limit kept apart in equal shares for nodes without demand.
    stale_after : int
        Milliseconds after which a silent node no longer counts.
    """

    burst: Millis = 1_000
    window: Millis = 2_000
    floor: float = 0.1
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
    """What one node saw of demand, sent to the others now and then.

    Parameters
    ----------
    node : str
        The node that saw it.
    demand : dict of str to float
        Tokens a second asked for, by organisation.
    """

    node: str
    demand: dict[str, float]


@dataclass(slots=True)
class _Account:
    """Demand and bucket of one organisation on this node."""

    demand: float = 0.0
    counted: Millis = 0
    bucket: float | None = None
    filled: Millis = 0


@dataclass(slots=True)
class _Heard:
    """The last report of a node, and when it came."""

    at: Millis
    demand: dict[str, float] = field(default_factory=dict)


class OrganisationLimits:
    """This node's part in the limits of all organisations.

    Parameters
    ----------
    node : str
        The node's name.
    limits : dict of str to float
        Tokens a second for each limited organisation, over all nodes.
    policy : LimitPolicy, optional
        How a limit is shared.
    """

    def __init__(
        self, node: str, limits: dict[str, float], policy: LimitPolicy | None = None
    ) -> None:
        self._node = node
        self._limits = dict(limits)
        self._policy = policy or LimitPolicy()
        self._accounts: dict[str, _Account] = {}
        self._heard: dict[str, _Heard] = {}
        self._peers: frozenset[str] = frozenset()

    def set_limits(self, limits: dict[str, float]) -> None:
        """Take in the limits of a newly applied configuration."""
        self._limits = dict(limits)

    def set_nodes(self, nodes: frozenset[str]) -> None:
        """Take in the nodes that share the limits, this one among them."""
        self._peers = nodes - {self._node}
        for gone in self._heard.keys() - self._peers - {self._node}:
            del self._heard[gone]

    def try_acquire(
        self, organisation: str, tokens: int, draw: float, now: Millis
    ) -> Allowed | Limited:
        """Grant or refuse a request of ``tokens`` tokens.

        Parameters
        ----------
        organisation : str
            Whose request it is.
        tokens : int
            Its work.
        draw : float
            Random number in [0, 1) that spreads the time to come back.
        now : int
            The present time.
        """
        limit = self._limits.get(organisation)
        if limit is None:
            return Allowed()
        account = self._accounts.setdefault(organisation, _Account(0.0, now, None, now))
        self._count(account, tokens, now)
        rate = limit * self.share(organisation, now) / 1_000
        self._fill(account, rate, now)
        if account.bucket <= 0.0:
            missing = (tokens - account.bucket) / rate
            return Limited(jitter_retry_after(missing, draw))
        # A request larger than what is left goes through and leaves a debt.
        # Asking for its whole size would refuse large prompts for ever on a
        # node whose share is small.
        account.bucket -= tokens
        return Allowed()

    def build_report(self, now: Millis) -> DemandReport:
        """Return the report to send to the other nodes, and count by it here."""
        demand = {
            organisation: rate
            for organisation, account in self._accounts.items()
            if (rate := self._present_demand(account, now)) > 0.01
        }
        self._heard[self._node] = _Heard(now, demand)
        return DemandReport(self._node, demand)

    def receive_report(self, report: DemandReport, now: Millis) -> None:
        """Take in another node's report."""
        if report.node in self._peers:
            self._heard[report.node] = _Heard(now, report.demand)

    def share(self, organisation: str, now: Millis) -> float:
        """Return this node's part of the limit, between 0 and 1."""
        fresh = now - self._policy.stale_after
        nodes = len(self._peers) + 1
        own = 0.0
        total = 0.0
        for node, heard in self._heard.items():
            if node != self._node and heard.at < fresh:
                continue
            rate = heard.demand.get(organisation, 0.0)
            total += rate
            own = rate if node == self._node else own
        if total <= 0.0:
            return 1.0 / nodes
        return self._policy.floor / nodes + (1.0 - self._policy.floor) * own / total

    def _count(self, account: _Account, tokens: int, now: Millis) -> None:
        account.demand = self._present_demand(account, now)
        account.demand += tokens * 1_000 / self._policy.window
        account.counted = now

    def _present_demand(self, account: _Account, now: Millis) -> float:
        elapsed = max(0, now - account.counted)
        return account.demand * exp(-elapsed / self._policy.window)

    def _fill(self, account: _Account, rate: float, now: Millis) -> None:
        most = rate * self._policy.burst
        if account.bucket is None:
            account.bucket = most
        gained = rate * (now - account.filled)
        account.bucket = min(most, account.bucket + gained)
        account.filled = now
