"""Handling of backoff requests and departures announced in endpoint answers."""

import logging
from collections.abc import Collection
from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.routing.pool import Pool
from azurefold.internal.logs import log_event
from azurefold.platform.headers import AnswerHead

__all__ = ["EndpointNotices"]

_log = logging.getLogger("azurefold.gateway")


@dataclass(slots=True)
class EndpointNotices:
    """Applies what endpoints announce in answers to a pool of endpoints, and logs it.

    Parameters
    ----------
    service : str
    pool : Pool
    """

    service: str
    pool: Pool
    _unreadable_logged: set[str] = field(default_factory=set)

    def record_backoff(
        self, endpoint: str, request: str, head: AnswerHead, now: Millis
    ) -> bool:
        """Apply the backoff of an answer; return whether it extends the current one."""
        if head.bad_backoff and endpoint not in self._unreadable_logged:
            # Once per endpoint, so that repeated answers do not flood the log.
            self._unreadable_logged.add(endpoint)
            self._log("backoff_unreadable", endpoint, request, text=head.bad_backoff)
        if head.backoff_ms is None:
            return False
        if not self.pool.back_off(endpoint, now + head.backoff_ms, now):
            return False
        self._log("endpoint_backoff", endpoint, request, for_ms=head.backoff_ms)
        return True

    def record_leaving(
        self, endpoint: str, request: str, head: AnswerHead, now: Millis
    ) -> None:
        """Exclude the endpoint if its answer announces that it is leaving."""
        if head.leaving and self.pool.record_leaving(endpoint, now):
            self._log("endpoint_leaving", endpoint, request)

    def forget_all_but(self, endpoints: Collection[str]) -> None:
        """Discard the state of endpoints that are not listed."""
        self._unreadable_logged.intersection_update(endpoints)

    def _log(self, event: str, endpoint: str, request: str, **extra: object) -> None:
        fields = {"service": self.service, "endpoint": endpoint, "request": request}
        log_event(_log, event, logging.WARNING, **fields, **extra)
