"""Finds endpoints of other data centres through the control process."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from azurefold.core.clock import Clock, Millis
from azurefold.entry.services import EndpointView
from azurefold.entry.watcher import endpoint_view
from azurefold.internal.logs import log_event
from azurefold.wire.grpc_caller import Caller, CallError
from azurefold.wire.snapshot import METHOD_LOCATE, LocateReply, LocateRequest

__all__ = ["new_far_lookup"]

_log = logging.getLogger("azurefold.entry")

_KEPT_MS: Millis = 5_000
_TIMEOUT_MS: Millis = 2_000
_MOST_KEPT = 1_024


@dataclass(slots=True)
class _Kept:
    view: EndpointView | None
    until: Millis


@dataclass(slots=True)
class _FarLookup:
    """Answers are kept for a moment, also that nobody knows the endpoint.

    Callers choose the names in what they send back as ``Last-Event-ID``; each
    made-up one would otherwise cost a call to every data centre.
    """

    control: Caller
    clock: Clock
    _kept: dict[str, _Kept] = field(default_factory=dict)

    def __call__(self, endpoint: str) -> EndpointView | None:
        now = self.clock.now()
        kept = self._kept.get(endpoint)
        if kept is not None and now < kept.until:
            return kept.view
        view = self._ask(endpoint)
        if len(self._kept) >= _MOST_KEPT:
            self._kept.clear()
        self._kept[endpoint] = _Kept(view, now + _KEPT_MS)
        return view

    def _ask(self, endpoint: str) -> EndpointView | None:
        request = LocateRequest(endpoint)
        try:
            reply = self.control.call(METHOD_LOCATE, request, LocateReply, _TIMEOUT_MS)
        except CallError as error:
            log_event(_log, "locate_failed", endpoint=endpoint, why=error)
            return None
        return endpoint_view(reply.endpoint) if reply.endpoint else None


def new_far_lookup(
    control: Caller, clock: Clock
) -> Callable[[str], EndpointView | None]:
    """Return a function that finds an endpoint by name."""
    return _FarLookup(control, clock)
