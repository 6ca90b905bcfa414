"""Enforces the request quotas of overloaded endpoints across all nodes.

An overloaded endpoint states in its responses how many requests per second it accepts
from all nodes together. If each node enforced this rate on its own, each would send as
much as all nodes together are allowed. Equal shares would respect the quota, but waste
most of it: with three requests per second and a hundred nodes, each node could send one
request in half a minute. A quota is therefore assigned to a few nodes, its holders, and
the other nodes exclude the endpoint.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.routing.quota_sharers import QuotaSharers

__all__ = ["EndpointQuotas", "QuotaShare", "QuotaReport"]

_SECOND_MS = 1_000

_SETTLING_MS: Millis = 4_000
"""Length of the time windows in which a quota holds.

Requests of former holders count within the window, so a new holder sends nothing for
this long."""

_MIN_RATE = 0.2
"""Smallest rate, in requests per second, that is sent to an endpoint with a quota.

Without any responses, no node would learn that the quota has ended."""

_REASSIGN_AFTER_MS: Millis = 8_000
"""Time without a quota report after which other nodes become holders.

Twice the settling time, so that each holder has been able to send."""

_RECHECK_MS: Millis = 500
"""Interval at which a node that is not a holder checks whether it has become one."""

_RETENTION_MS: Millis = 60_000
"""Time after its last report for which the quota of an unlisted endpoint is kept.

A new partition into cells can remove endpoints for some seconds and add them again."""

_REPORT_ENDED_MS: Millis = 10_000
"""Time for which the end of a quota is reported, as messages may be lost."""


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """Quota that an endpoint stated in a response.

    Parameters
    ----------
    rate : float or None
        Requests per second from all nodes; None if the response named no quota.
    reported_at : int
        Time of the response, on this node's clock.
    """

    rate: float | None
    reported_at: Millis


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """This node's share of an endpoint's quota.

    Parameters
    ----------
    quota : float
        Requests per second that the endpoint accepts from all nodes.
    rate : float
        Requests per second that this node may send; 0 if it is not a holder.
    """

    quota: float
    rate: float


@dataclass(slots=True)
class _Quota:
    """Quota of one endpoint, and this node's share of it.

    Parameters
    ----------
    report : QuotaReport
        The newest report of the quota.
    is_own : bool
        Whether the endpoint sent this report to this node.
    local_rate : float
        Requests per second that this node may send.
    holder_since : int or None
        When this node became a holder; None if it is not one.
    credit : float
        Requests that have accrued, at most one; each request sent costs one.
    credit_at : int
        When ``credit`` was last updated.
    """

    report: QuotaReport
    is_own: bool
    local_rate: float = 0.0
    holder_since: Millis | None = None
    credit: float = 0.0
    credit_at: Millis = 0

    def add_credit(self, now: Millis) -> None:
        """Add the credit that has accrued since the last call, up to one request."""
        earned = self.local_rate * (now - self.credit_at) / _SECOND_MS
        self.credit = min(1.0, self.credit + earned)
        self.credit_at = now

    def set_local_rate(self, rate: float, now: Millis) -> None:
        """Set the rate of this node's share; 0 if it has none."""
        self.add_credit(now)
        self.local_rate = rate
        if not rate:
            self.holder_since = None
        elif self.holder_since is None:
            self.holder_since = now
            self.credit = 0.0

    def next_send_at(self, now: Millis) -> Millis:
        """Return when this node may send a request, or has to check again."""
        if self.holder_since is None:
            return now + _RECHECK_MS
        self.add_credit(now)
        missing = max(0.0, 1.0 - self.credit)
        # Rounded up, because the credit would not yet be complete at an earlier time.
        earned_at = now + -int(-missing * _SECOND_MS // self.local_rate)
        return max(earned_at, self.holder_since + _SETTLING_MS)


@dataclass(slots=True)
class EndpointQuotas:
    """Quotas of the endpoints of one service, as one node knows them."""

    _sharers: QuotaSharers = field(default_factory=QuotaSharers)
    _quotas: dict[str, _Quota] = field(default_factory=dict)

    def set_sharers(self, sharers: QuotaSharers, now: Millis) -> bool:
        """Set the nodes that share quotas; return whether any quota is affected."""
        if sharers == self._sharers:
            return False
        self._sharers = sharers
        self._assign_shares(now)
        return bool(self._quotas)

    def record_answer(
        self, endpoint: str, rate: float | None, sent_at: Millis, now: Millis
    ) -> bool:
        """Record the quota named in a response; return whether it has changed.

        Parameters
        ----------
        endpoint : str
        rate : float or None
            Requests per second; None if the response names no quota.
        sent_at : int
            When the request was sent. The response to a request sent before the last
            quota report may date from before the endpoint was overloaded.
        now : int
        """
        quota = self._quotas.get(endpoint)
        if rate is None and not _can_end_quota(quota, sent_at):
            return False
        return self._record(endpoint, QuotaReport(rate, now), now, is_own=True)

    def record_report(self, endpoint: str, report: QuotaReport, now: Millis) -> bool:
        """Record a report from another node; return whether the quota has changed."""
        quota = self._quotas.get(endpoint)
        if quota is not None and report.reported_at <= quota.report.reported_at:
            return False
        if quota is None and report.rate is None:
            return False
        return self._record(endpoint, report, now, is_own=False)

    def charge_request(self, endpoint: str, now: Millis) -> bool:
        """Charge a request to an endpoint's quota; return whether it has a quota."""
        quota = self._quotas.get(endpoint)
        if quota is None or quota.report.rate is None:
            return False
        quota.add_credit(now)
        quota.credit -= 1.0
        return True

    def recheck_times(self, now: Millis) -> dict[str, Millis]:
        """Return when to check each endpoint again that may get no request now."""
        self._assign_shares(now)
        next_send_times = {
            endpoint: quota.next_send_at(now)
            for endpoint, quota in self._quotas.items()
            if quota.report.rate is not None
        }
        return {
            endpoint: next_send_at
            for endpoint, next_send_at in next_send_times.items()
            if next_send_at > now
        }

    def reports(self, now: Millis) -> dict[str, QuotaReport]:
        """Return the quota reports to send to other nodes, by endpoint."""
        return {
            endpoint: quota.report
            for endpoint, quota in self._quotas.items()
            if quota.report.rate is not None
            or now - quota.report.reported_at < _REPORT_ENDED_MS
        }

    def has_own_report_since(self, since: Millis) -> bool:
        """Whether an endpoint reported its quota to this node after ``since``."""
        return any(
            quota.is_own and quota.report.reported_at > since
            for quota in self._quotas.values()
        )

    @property
    def shares(self) -> dict[str, QuotaShare]:
        """This node's shares, by endpoint with a quota."""
        return {
            endpoint: QuotaShare(quota.report.rate, quota.local_rate)
            for endpoint, quota in self._quotas.items()
            if quota.report.rate is not None
        }

    def forget(self, endpoint: str) -> None:
        """Discard the quota of an endpoint that has restarted."""
        self._quotas.pop(endpoint, None)

    def prune(self, present: Collection[str], now: Millis) -> None:
        """Discard old quotas that have ended or whose endpoint is not present."""
        cutoff = now - _RETENTION_MS
        for endpoint in self._find_expired(present, cutoff):
            del self._quotas[endpoint]

    def _find_expired(self, present: Collection[str], cutoff: Millis) -> Iterable[str]:
        return [
            endpoint
            for endpoint, quota in self._quotas.items()
            if quota.report.reported_at < cutoff
            and (endpoint not in present or quota.report.rate is None)
        ]

    def _record(
        self, endpoint: str, report: QuotaReport, now: Millis, *, is_own: bool
    ) -> bool:
        quota = self._quotas.get(endpoint)
        if quota is None:
            quota = self._quotas[endpoint] = _Quota(report, is_own, credit_at=now)
            self._assign_share(endpoint, quota, now)
            return True
        has_changed = report.rate != quota.report.rate
        quota.report, quota.is_own = report, is_own
        self._assign_share(endpoint, quota, now)
        return has_changed

    def _assign_shares(self, now: Millis) -> None:
        for endpoint, quota in self._quotas.items():
            self._assign_share(endpoint, quota, now)

    def _assign_share(self, endpoint: str, quota: _Quota, now: Millis) -> None:
        if quota.report.rate is None:
            quota.set_local_rate(0.0, now)
            return
        rate = max(_MIN_RATE, quota.report.rate)
        rotation = max(0, now - quota.report.reported_at) // _REASSIGN_AFTER_MS
        holders = self._sharers.holders(endpoint, rate, rotation)
        is_holder = self._sharers.node in holders
        quota.set_local_rate(rate / len(holders) if is_holder else 0.0, now)


def _can_end_quota(quota: _Quota | None, sent_at: Millis) -> bool:
    """Whether a response that names no quota ends the quota.

    It does unless its request was sent before the last report of the quota.
    """
    if quota is None or quota.report.rate is None:
        return False
    return sent_at >= quota.report.reported_at
