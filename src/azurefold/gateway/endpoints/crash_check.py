"""Detection of endpoints that crash while they run a request."""

import logging
from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.membership.registry import EndpointEntry
from azurefold.gateway.callers.calls import Call
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event

__all__ = ["CrashCheck"]

_log = logging.getLogger("azurefold.gateway")


@dataclass(frozen=True, slots=True)
class CrashCheck:
    """Check whether an endpoint crashed while it was running a request.

    An endpoint that refuses a new connection has crashed; a healthy one may close a
    connection, but accepts a new one. The exit of an endpoint that was leaving, or is
    no longer listed, is planned; it is logged but not counted as a crash.

    Parameters
    ----------
    call : Call
        The call whose answer was interrupted.
    state : GatewayState
    service : GatewayService
    entry : EndpointEntry
        Entry of the endpoint at the time the request was sent.
    sent_at : int
        Time at which the request was sent.
    has_begun : bool
        Whether events of the answer had arrived from this endpoint.
    """

    call: Call
    state: GatewayState
    service: GatewayService
    entry: EndpointEntry
    sent_at: Millis
    has_begun: bool

    def run(self, watch_ms: Millis = 0) -> bool:
        """Log and count a crash if the endpoint refuses a new connection.

        Parameters
        ----------
        watch_ms : int, default=0
            For how long a new connection has to stay open.

        Returns
        -------
        bool
            Whether the endpoint crashed; not if its exit was planned.
        """
        links = self.state.links
        name, address = self.entry.name, self.entry.address
        if not links.refuses_connections(name, address, watch_ms):
            return False
        is_planned = self._is_planned
        self._report_crash(is_planned)
        return not is_planned

    @property
    def _is_planned(self) -> bool:
        listed = self.service.entries.get(self.entry.name)
        if listed is None or listed.leaving:
            return True
        return self.service.admission.pool.has_announced_leaving(self.entry.name)

    def _report_crash(self, is_planned: bool) -> None:
        if not is_planned:
            # Nothing in a prompt whose answer has begun crashes at its begin.
            parts = () if self.has_begun else self.call.head.shared_parts
            self.state.note_crash(self.call.identity, parts, self.entry)
        log_event(
            _log,
            "endpoint_crashed",
            logging.WARNING,
            endpoint=self.entry.name,
            address=self.entry.address,
            request=self.call.id,
            identity=f"{self.call.identity:016x}",
            parts=self.call.head.parts_text,
            begun=self.has_begun,
            after_ms=self.state.clock.now() - self.sent_at,
            planned=is_planned,
        )
