"""Quotas that endpoints in need name, kept by all nodes together.

An endpoint in need says in its answers how many requests a second it takes from
all nodes. Counting at each node does not keep to that: each would send as much as
all together may. Equal parts do, but of three requests a second a hundred nodes have
one in half a minute each, and most of the quota is lost. So a quota is dealt to a
few nodes, its holders, and the other nodes leave the endpoint out.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.routing.quota_sharers import QuotaSharers

__all__ = ["EndpointQuotas", "QuotaShare", "QuotaReport"]

_SECOND_MS = 1_000

_SETTLING_MS: Millis = 4_000
"""Quotas hold in any span of this length. What a former holder has sent within it
counts as well, so a new holder sends nothing for as long."""

_LEAST_RATE = 0.2
"""Requests a second that an endpoint gets even if it names less: without an answer
nobody learns that its need is over."""

_UNUSED_MS: Millis = 8_000
"""Without an answer for this long other holders are tried: twice the settling time,
so that a holder has had its chance."""

_LOOK_AGAIN_MS: Millis = 500
"""Until a node that is no holder looks whether it has become one."""

_REMEMBERED_MS: Millis = 60_000
"""After the last word of an endpoint that is not among the present ones. Cells that
are dealt anew take endpoints away for some seconds and bring them back."""

_TOLD_MS: Millis = 10_000
"""After an endpoint's need is over, for messages that are lost."""


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What an endpoint said of its quota.

    Parameters
    ----------
    rate : float or None
        Requests a second from all nodes; None if it named no quota.
    reported_at : int
        When it said so, on this node's clock.
    """

    rate: float | None
    reported_at: Millis


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """What this node may send to an endpoint in need.

    Parameters
    ----------
    quota : float
        Requests a second that the endpoint takes from all nodes.
    rate : float
        Requests a second from this node; 0 if it is no holder.
    """

    quota: float
    rate: float


@dataclass(slots=True)
class _Quota:
    """One endpoint's quota, and what this node holds of it."""

    word: QuotaReport
    is_own: bool
    rate_here: float = 0.0
    held_since: Millis | None = None
    credit: float = 0.0
    credit_at: Millis = 0

    def earn(self, now: Millis) -> None:
        """Add what the time since the last look has earned."""
        earned = self.rate_here * (now - self.credit_at) / _SECOND_MS
        self.credit = min(1.0, self.credit + earned)
        self.credit_at = now

    def hold(self, rate: float, now: Millis) -> None:
        """Take in this node's part, which may be none."""
        self.earn(now)
        self.rate_here = rate
        if not rate:
            self.held_since = None
        elif self.held_since is None:
            self.held_since = now
            self.credit = 0.0

    def open_at(self, now: Millis) -> Millis:
        """Return when the next request may go, as far as can be told now."""
        if self.held_since is None:
            return now + _LOOK_AGAIN_MS
        self.earn(now)
        missing = max(0.0, 1.0 - self.credit)
        # Rounded up: a moment too early, the credit would still lack a part.
        earned_at = now + -int(-missing * _SECOND_MS // self.rate_here)
        return max(earned_at, self.held_since + _SETTLING_MS)


@dataclass(slots=True)
class EndpointQuotas:
    """The quotas of one service's endpoints, as one node knows them."""

    _sharers: QuotaSharers = field(default_factory=QuotaSharers)
    _quotas: dict[str, _Quota] = field(default_factory=dict)

    def set_sharers(self, sharers: QuotaSharers, now: Millis) -> bool:
        """Take in the nodes that share quotas; return whether they are others."""
        if sharers == self._sharers:
            return False
        self._sharers = sharers
        self._deal(now)
        return bool(self._quotas)

    def answered(
        self, endpoint: str, rate: float | None, sent_at: Millis, now: Millis
    ) -> bool:
        """Take in what an answer says; return whether that is news.

        Parameters
        ----------
        endpoint : str
        rate : float or None
            None if the answer names no quota.
        sent_at : int
            When its request was sent. An answer to a request from before the last
            word may have been made before the endpoint came in need.
        now : int
        """
        known = self._quotas.get(endpoint)
        if rate is None and not _may_end(known, sent_at):
            return False
        return self._take(endpoint, QuotaReport(rate, now), now, is_own=True)

    def told(self, endpoint: str, word: QuotaReport, now: Millis) -> bool:
        """Take in what another node was told; return whether that is news."""
        known = self._quotas.get(endpoint)
        if known is not None and word.reported_at <= known.word.reported_at:
            return False
        if known is None and word.rate is None:
            return False
        return self._take(endpoint, word, now, is_own=False)

    def charge_request(self, endpoint: str, now: Millis) -> bool:
        """Charge a request that goes to an endpoint; return whether it has a quota."""
        known = self._quotas.get(endpoint)
        if known is None or known.word.rate is None:
            return False
        known.earn(now)
        known.credit -= 1.0
        return True

    def closed(self, now: Millis) -> dict[str, Millis]:
        """Return the endpoints that may get nothing now, with when to look again."""
        self._deal(now)
        until = {
            endpoint: quota.open_at(now)
            for endpoint, quota in self._quotas.items()
            if quota.word.rate is not None
        }
        return {endpoint: at for endpoint, at in until.items() if at > now}

    def words(self, now: Millis) -> dict[str, QuotaReport]:
        """Return what the other nodes should be told."""
        return {
            endpoint: quota.word
            for endpoint, quota in self._quotas.items()
            if quota.word.rate is not None or now - quota.word.reported_at < _TOLD_MS
        }

    def heard_since(self, then: Millis) -> bool:
        """Whether an endpoint told this node itself of its quota after ``then``."""
        return any(
            quota.is_own and quota.word.reported_at > then
            for quota in self._quotas.values()
        )

    @property
    def parts(self) -> dict[str, QuotaShare]:
        """This node's parts, by endpoint in need."""
        return {
            endpoint: QuotaShare(quota.word.rate, quota.rate_here)
            for endpoint, quota in self._quotas.items()
            if quota.word.rate is not None
        }

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that has started anew."""
        self._quotas.pop(endpoint, None)

    def prune(self, present: Collection[str], now: Millis) -> None:
        """Forget words of endpoints that have been gone for long."""
        old = now - _REMEMBERED_MS
        for endpoint in self._long_gone(present, old):
            del self._quotas[endpoint]

    def _long_gone(self, present: Collection[str], old: Millis) -> Iterable[str]:
        return [
            endpoint
            for endpoint, quota in self._quotas.items()
            if quota.word.reported_at < old
            and (endpoint not in present or quota.word.rate is None)
        ]

    def _take(
        self, endpoint: str, word: QuotaReport, now: Millis, *, is_own: bool
    ) -> bool:
        known = self._quotas.get(endpoint)
        if known is None:
            known = self._quotas[endpoint] = _Quota(word, is_own, credit_at=now)
            self._deal_one(endpoint, known, now)
            return True
        is_news = word.rate != known.word.rate
        known.word, known.is_own = word, is_own
        self._deal_one(endpoint, known, now)
        return is_news

    def _deal(self, now: Millis) -> None:
        for endpoint, quota in self._quotas.items():
            self._deal_one(endpoint, quota, now)

    def _deal_one(self, endpoint: str, quota: _Quota, now: Millis) -> None:
        if quota.word.rate is None:
            quota.hold(0.0, now)
            return
        rate = max(_LEAST_RATE, quota.word.rate)
        turn = max(0, now - quota.word.reported_at) // _UNUSED_MS
        holders = self._sharers.holders(endpoint, rate, turn)
        is_holder = self._sharers.node in holders
        quota.hold(rate / len(holders) if is_holder else 0.0, now)


def _may_end(known: _Quota | None, sent_at: Millis) -> bool:
    """Whether an answer without a quota to a request sent then ends a need."""
    if known is None or known.word.rate is None:
        return False
    return sent_at >= known.word.reported_at
