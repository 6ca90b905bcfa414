"""Keeps an entry's view in step with the control process beside it."""

import logging
from dataclasses import dataclass, field

import gevent

from azurefold.border.configuration import configuration_from_raw
from azurefold.core.admission.messages import Priority
from azurefold.core.clock import Millis
from azurefold.core.configuration.model import Configuration, Service, ServiceKind
from azurefold.core.configuration.model import Priority as ServicePriority
from azurefold.core.configuration.sections import assemble_configuration
from azurefold.entry.organisations import Organisations
from azurefold.entry.services import EndpointView, Services, ServiceView
from azurefold.internal.logs import log_event
from azurefold.wire.grpc_caller import Caller, CallError
from azurefold.wire.snapshot import (
    METHOD_WATCH,
    EndpointInfo,
    SnapshotUpdate,
    WatchRequest,
)

__all__ = ["HeldSections", "Watcher", "endpoint_view"]

_log = logging.getLogger("azurefold.entry")

_STREAM_MS: Millis = 60_000
_AGAIN_AFTER_MS: Millis = 200
_SECOND_MS = 1_000
_PRIORITIES = {
    ServicePriority.CONFIRMATION: Priority.CONFIRMATION,
    ServicePriority.DRAFT: Priority.DRAFT,
}
_ORGANISATIONS = "organisations/"


@dataclass(slots=True)
class HeldSections:
    """The sections that an entry has been sent.

    Of organisations only the names are kept once they have been checked: a
    change sends one section of 300, and to check all 8,200 organisations again
    at each change took most of the entry's own work.
    """

    revision: int = 0
    edit_id: str = ""
    _services: dict[str, bytes] = field(default_factory=dict)
    _unchecked: dict[str, bytes] = field(default_factory=dict)
    _organisations: dict[str, frozenset[str]] = field(default_factory=dict)

    @property
    def organisations(self) -> frozenset[str]:
        """Names of all organisations that have been checked."""
        return frozenset().union(*self._organisations.values())

    def take(self, update: SnapshotUpdate) -> None:
        """Take in sections, also of a revision that will not pass the check.

        The control process sends the next change upon this one in any case.
        """
        self.revision, self.edit_id = update.revision, update.edit_id
        if update.is_whole:
            self._services.clear()
            self._unchecked.clear()
            self._organisations.clear()
        for name in update.removed:
            self._services.pop(name, None)
            self._unchecked.pop(name, None)
            self._organisations.pop(name, None)
        for name, data in update.sections.items():
            of_organisations = name.startswith(_ORGANISATIONS)
            (self._unchecked if of_organisations else self._services)[name] = data

    def check(self) -> Configuration:
        """Return all services, and organisations not checked before.

        Raises
        ------
        ValueError
            If this version cannot use what was sent.
        """
        raw = assemble_configuration({**self._services, **self._unchecked})
        checked = configuration_from_raw(raw)
        for name, data in self._unchecked.items():
            chunk = assemble_configuration({name: data})["organisations"]
            self._organisations[name] = frozenset(chunk)
        self._unchecked.clear()
        return checked


@dataclass(slots=True)
class Watcher:
    """Applies what the control process tells, for as long as the entry runs."""

    control: Caller
    services: Services
    organisations: Organisations
    _held: HeldSections = field(default_factory=HeldSections)

    def run(self) -> None:
        """Watch for ever; a lost control process changes nothing."""
        while True:
            try:
                self._watch()
            except CallError as error:
                log_event(_log, "control_lost", level=logging.DEBUG, why=error)
            gevent.sleep(_AGAIN_AFTER_MS / _SECOND_MS)

    def _watch(self) -> None:
        request = WatchRequest(self._held.revision, self._held.edit_id)
        updates = self.control.stream(METHOD_WATCH, request, SnapshotUpdate, _STREAM_MS)
        for update in updates:
            self._apply(update)

    def _apply(self, update: SnapshotUpdate) -> None:
        if update.sections is not None:
            self._apply_sections(update)
        if update.endpoints is not None:
            views = [endpoint_view(e) for e in update.endpoints]
            self.services.apply_endpoints(views, update.is_partial)

    def _apply_sections(self, update: SnapshotUpdate) -> None:
        revision = update.revision
        if revision <= self._held.revision:
            return
        self._held.take(update)
        try:
            checked = self._held.check()
        except ValueError as error:
            log_event(
                _log, "revision_refused", logging.ERROR, revision=revision, why=error
            )
            return
        views = [_view(service) for service in checked.services.values()]
        names = self._held.organisations
        self.services.apply_services(revision, views, names)
        self.organisations.apply(checked.organisations, names)
        for service in checked.services.values():
            admission = self.services.find(service.name).admission
            admission.pool.set_slots(service.limits.concurrency)
            admission.queue.set_weights(self.organisations.shares)
        log_event(_log, "revision_applied", revision=revision)


def endpoint_view(info: EndpointInfo) -> EndpointView:
    """Return what a control process tells of an endpoint, as the entry sees it."""
    return EndpointView(
        info.name, str(info.incarnation), info.address, info.leaving, info.far
    )


def _view(service: Service) -> ServiceView:
    return ServiceView(
        name=service.name,
        is_model=service.kind is ServiceKind.MODEL,
        priority=_PRIORITIES[service.priority],
        idempotent=service.is_idempotent,
        timeout_ms=service.limits.timeout_ms,
        max_queue=service.limits.max_queue,
        endpoints=service.endpoints,
    )
