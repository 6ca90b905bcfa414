"""What a gateway learns of cold endpoints of one service."""

import logging
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from azurefold.core.clock import Millis
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routing.cold_endpoints import ColdSign
from azurefold.core.routing.cold_permits import PermitCounts
from azurefold.core.routing.pool import Pool
from azurefold.internal.logs import log_event

__all__ = ["ColdNews"]

_log = logging.getLogger("azurefold.gateway")

_LOG_EVERY_MS: Millis = 1_000
_MOST_NAMED = 10


@dataclass(slots=True)
class ColdNews:
    """Marks cold endpoints in a pool and logs it.

    Parameters
    ----------
    service : str
    pool : Pool
    """

    service: str
    pool: Pool
    _logged: PermitCounts | None = None
    _logged_at: Millis = 0

    @property
    def is_enabled(self) -> bool:
        """Whether endpoints of the service can be cold."""
        return self.pool.cold.policy.is_enabled

    def read_entries(
        self,
        before: Mapping[str, EndpointEntry],
        entries: Iterable[EndpointEntry],
        now: Millis,
    ) -> None:
        """Mark the endpoints whose entries, read since ``before``, say that."""
        if not self.is_enabled:
            return
        # An entry that was not read again must not be counted from now.
        read = {
            entry.name: now + entry.cold_left_ms
            for entry in entries
            if entry.cold_left_ms and entry is not before.get(entry.name)
        }
        self._mark(read, ColdSign.ENTRY, now)

    def end_evacuation(
        self,
        entries: Iterable[EndpointEntry],
        data_centres: Collection[str],
        now: Millis,
    ) -> None:
        """Mark the endpoints of data centres that are no longer evacuated."""
        names = [e.name for e in entries if e.data_centre in data_centres]
        self._record_signs(names, ColdSign.EVACUATION_ENDED, now)

    def record_sign(self, endpoint: str, sign: ColdSign, now: Millis) -> None:
        """Mark an endpoint after a sign that its process may be a new one."""
        self._record_signs([endpoint], sign, now)

    def _record_signs(
        self, endpoints: Collection[str], sign: ColdSign, now: Millis
    ) -> None:
        if self.is_enabled:
            until = now + self.pool.cold.policy.sign_ms
            self._mark(dict.fromkeys(endpoints, until), sign, now)

    def tick(self, now: Millis) -> None:
        """Log which endpoints are warm, and once per second the permits."""
        if not self.is_enabled:
            return
        if warm := self.pool.cold.take_warm():
            log_event(_log, "endpoint_warm", service=self.service, **_listed(warm))
        if now - self._logged_at < _LOG_EVERY_MS:
            return
        self._logged_at = now
        self._log_permits()

    def _mark(self, until: Mapping[str, Millis], sign: ColdSign, now: Millis) -> None:
        """Mark endpoints until their times; log those that were warm in one line."""
        marked = [name for name in until if self.pool.cold.mark(name, until[name])]
        if not marked:
            return
        log_event(
            _log,
            "endpoint_cold",
            service=self.service,
            **_listed(marked),
            why=sign,
            for_ms=max(until[name] for name in marked) - now,
        )

    def _log_permits(self) -> None:
        counts = self.pool.cold.counts
        before = self._logged or PermitCounts()
        if counts == before:
            return
        self._logged = replace(counts)
        log_event(
            _log,
            "cold_permits",
            service=self.service,
            asked=counts.asked - before.asked,
            granted=counts.granted - before.granted,
            used=counts.used - before.used,
            expired=counts.expired - before.expired,
            issued=counts.issued - before.issued,
            cold=len(self.pool.cold.names),
        )


def _listed(endpoints: list[str]) -> dict[str, object]:
    """Return some names and their number, as a whole data centre may be concerned."""
    named = ",".join(endpoints[:_MOST_NAMED])
    return {"endpoint": named, "endpoints": len(endpoints)}
