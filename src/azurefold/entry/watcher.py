"""Keeps an entry's view in step with the control process beside it."""

import logging
from dataclasses import dataclass

import gevent
import msgspec

from azurefold.border.configuration import configuration_from_raw
from azurefold.core.admission.messages import Priority
from azurefold.core.clock import Millis
from azurefold.core.configuration.model import Kind, Service
from azurefold.core.configuration.model import Priority as ServicePriority
from azurefold.entry.services import EndpointView, Services, ServiceView
from azurefold.internal.logs import log_event
from azurefold.wire.grpc_caller import Caller, CallError
from azurefold.wire.snapshot import (
    METHOD_WATCH,
    EndpointInfo,
    SnapshotUpdate,
    WatchRequest,
)

__all__ = ["Watcher", "endpoint_view"]

_log = logging.getLogger("azurefold.entry")

_STREAM_MS: Millis = 60_000
_AGAIN_AFTER_MS: Millis = 200
_SECOND_MS = 1_000
_PRIORITIES = {
    ServicePriority.CONFIRMATION: Priority.CONFIRMATION,
    ServicePriority.DRAFT: Priority.DRAFT,
}


@dataclass(slots=True)
class Watcher:
    """Applies what the control process tells, for as long as the entry runs."""

    control: Caller
    services: Services

    def run(self) -> None:
        """Watch for ever; a lost control process changes nothing."""
        while True:
            try:
                self._watch()
            except CallError as error:
                log_event(_log, "control_lost", level=logging.DEBUG, why=error)
            gevent.sleep(_AGAIN_AFTER_MS / _SECOND_MS)

    def _watch(self) -> None:
        request = WatchRequest(self.services.revision)
        updates = self.control.stream(METHOD_WATCH, request, SnapshotUpdate, _STREAM_MS)
        for update in updates:
            self._apply(update)

    def _apply(self, update: SnapshotUpdate) -> None:
        if update.configuration is not None:
            self._apply_configuration(update.revision, update.configuration)
        if update.endpoints is not None:
            self.services.apply_endpoints([endpoint_view(e) for e in update.endpoints])

    def _apply_configuration(self, revision: int, data: bytes) -> None:
        if revision <= self.services.revision:
            return
        try:
            configuration = configuration_from_raw(msgspec.json.decode(data))
        except ValueError as error:
            log_event(
                _log, "revision_refused", logging.ERROR, revision=revision, why=error
            )
            return
        views = [_view(service) for service in configuration.services.values()]
        organisations = frozenset(configuration.organisations)
        self.services.apply_services(revision, views, organisations)
        for service in configuration.services.values():
            pool = self.services.find(service.name).admission.pool
            pool.set_slots(service.limits.concurrency)
        log_event(_log, "revision_applied", revision=revision)


def endpoint_view(info: EndpointInfo) -> EndpointView:
    """Return what a control process tells of an endpoint, as the entry sees it."""
    return EndpointView(
        info.name, str(info.incarnation), info.address, info.leaving, info.far
    )


def _view(service: Service) -> ServiceView:
    return ServiceView(
        name=service.name,
        is_model=service.kind is Kind.MODEL,
        priority=_PRIORITIES[service.priority],
        idempotent=service.idempotent,
        timeout_ms=service.limits.timeout_ms,
        max_queue=service.limits.max_queue,
        endpoints=service.endpoints,
    )
