"""What a gateway hears of endpoints' quotas, and what it logs of it."""

import logging
from collections.abc import Collection
from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.routing.pool import Pool
from azurefold.core.routing.quotas import QuotaReport, QuotaShare
from azurefold.internal.logs import log_event
from azurefold.platform.headers import AnswerHead

__all__ = ["QuotaNews"]

_log = logging.getLogger("azurefold.gateway")


@dataclass(slots=True)
class QuotaNews:
    """Hands words of quotas to a service's pool, and logs those that are news.

    Parameters
    ----------
    service : str
    pool : Pool
    """

    service: str
    pool: Pool
    _unreadable: set[str] = field(default_factory=set)
    _logged: dict[str, QuotaShare] = field(default_factory=dict)

    def answered(
        self, endpoint: str, head: AnswerHead, sent_at: Millis, now: Millis
    ) -> None:
        """Take in an endpoint's own answer to a request sent at ``sent_at``."""
        if head.bad_quota:
            self._log_unreadable(endpoint, head.bad_quota)
            return
        if head.quota is None and not head.sealed:
            # A refusal is made before the endpoint looks at its need.
            return
        if self.pool.record_quota_answer(endpoint, head.quota, sent_at, now):
            self._log(endpoint, QuotaReport(head.quota, now), "answer", now)

    def told(self, endpoint: str, word: QuotaReport, by: str, now: Millis) -> None:
        """Take in what another gateway, ``by``, was told."""
        if self.pool.record_quota_report(endpoint, word, now):
            self._log(endpoint, word, by, now)

    def log_parts(self) -> None:
        """Log which quotas this gateway holds, where that has changed."""
        parts = self.pool.quota_shares
        for endpoint, part in parts.items():
            known = self._logged.get(endpoint)
            if (part.rate > 0) != (known is not None and known.rate > 0):
                log_event(
                    _log,
                    "quota_dealt",
                    service=self.service,
                    endpoint=endpoint,
                    here_per_second=f"{part.rate:.2f}",
                    all_per_second=part.quota,
                )
        self._logged = parts

    def forget_all_but(self, endpoints: Collection[str]) -> None:
        """Forget of which endpoints that are gone an answer could not be read."""
        self._unreadable.intersection_update(endpoints)

    def _log_unreadable(self, endpoint: str, text: str) -> None:
        # Once for each endpoint: each of its answers would say the same.
        if endpoint in self._unreadable:
            return
        self._unreadable.add(endpoint)
        log_event(_log, "quota_unreadable", logging.ERROR, endpoint=endpoint, text=text)

    def _log(self, endpoint: str, word: QuotaReport, by: str, now: Millis) -> None:
        ended = word.rate is None
        log_event(
            _log,
            "quota_ended" if ended else "quota_named",
            service=self.service,
            endpoint=endpoint,
            per_second="none" if ended else word.rate,
            by=by,
            age_ms=now - word.reported_at,
        )
