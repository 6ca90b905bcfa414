"""Logging of the backoff that endpoints request in their answers."""

import logging
from collections.abc import Collection
from dataclasses import dataclass, field

from azurefold.internal.logs import log_event
from azurefold.platform.headers import AnswerHead

__all__ = ["EndpointNotices"]

_log = logging.getLogger("azurefold.gateway")


@dataclass(slots=True)
class EndpointNotices:
    """Logs the backoff that endpoints of a service request with Retry-After.

    Parameters
    ----------
    service : str
    """

    service: str
    _unreadable_logged: set[str] = field(default_factory=set)

    def log_backoff(self, endpoint: str, request: str, head: AnswerHead) -> None:
        """Log the backoff that an answer requests, or that it cannot be parsed."""
        if head.bad_backoff and endpoint not in self._unreadable_logged:
            # Once per endpoint, so that repeated answers do not flood the log.
            self._unreadable_logged.add(endpoint)
            self._log("backoff_unreadable", endpoint, request, text=head.bad_backoff)
        if head.backoff_ms is not None:
            self._log("endpoint_backoff", endpoint, request, for_ms=head.backoff_ms)

    def forget_all_but(self, endpoints: Collection[str]) -> None:
        """Discard the state of endpoints that are not listed."""
        self._unreadable_logged.intersection_update(endpoints)

    def _log(self, event: str, endpoint: str, request: str, **extra: object) -> None:
        fields = {"service": self.service, "endpoint": endpoint, "request": request}
        log_event(_log, event, logging.WARNING, **fields, **extra)
