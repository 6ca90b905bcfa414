"""What an entry knows: the configuration in force and the agents' addresses."""

from dataclasses import dataclass, field

from azurefold.core.admission.messages import Priority
from azurefold.core.clock import Clock, Millis
from azurefold.entry.admission import Admission, new_admission
from azurefold.entry.agents import AgentAddress

__all__ = ["EndpointView", "Service", "ServiceView", "Services", "new_services"]


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A service as callers' requests see it.

    Parameters
    ----------
    name : str
    is_model : bool
        Whether it streams completions; otherwise it is a plain service.
    priority : Priority
    idempotent : bool
        Whether its requests may be run twice unless they say otherwise.
    timeout_ms : int
        Deadline of requests that bring none.
    max_queue : int
    endpoints : tuple of str
    """

    name: str
    is_model: bool
    priority: Priority
    idempotent: bool
    timeout_ms: Millis
    max_queue: int
    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint as the control process knows it."""

    name: str
    incarnation: str
    address: str
    leaving: bool


@dataclass(slots=True)
class Service:
    """A service with the state that this entry keeps for it."""

    view: ServiceView
    admission: Admission


@dataclass(slots=True)
class Services:
    """All services and endpoints that this entry knows.

    Kept when the control process is gone: an entry goes on serving with what
    it heard last.
    """

    clock: Clock
    seed: int
    revision: int = 0
    organisations: frozenset[str] = frozenset()
    _services: dict[str, Service] = field(default_factory=dict)
    _endpoints: dict[str, EndpointView] = field(default_factory=dict)

    @property
    def ready(self) -> bool:
        """Whether a configuration has arrived."""
        return self.revision > 0

    def find(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)

    def all(self) -> list[Service]:
        """Return all services."""
        return list(self._services.values())

    def locate(self, endpoint: str) -> AgentAddress | None:
        """Return where an endpoint's agent listens."""
        view = self._endpoints.get(endpoint)
        if view is None:
            return None
        return AgentAddress(view.name, view.incarnation, view.address)

    def apply_services(
        self,
        revision: int,
        views: list[ServiceView],
        organisations: frozenset[str],
    ) -> None:
        """Take in a configuration; lower revisions are ignored."""
        if revision < self.revision:
            return
        self.revision = revision
        self.organisations = organisations
        known = self._services
        self._services = {view.name: self._updated(known, view) for view in views}
        self._set_members()

    def apply_endpoints(self, views: list[EndpointView]) -> None:
        """Take in the endpoints that are there now."""
        before = self._endpoints
        self._endpoints = {view.name: view for view in views}
        self._set_members()
        for view in views:
            old = before.get(view.name)
            if old is not None and old.incarnation != view.incarnation:
                self._readmit(view)

    def tick(self) -> None:
        """Let every service look after its pool; call it each second."""
        for service in self._services.values():
            service.admission.tick()

    def _updated(self, known: dict[str, Service], view: ServiceView) -> Service:
        service = known.get(view.name)
        if service is None:
            admission = new_admission(self.clock, self.seed, view.max_queue)
            return Service(view, admission)
        service.view = view
        return service

    def _set_members(self) -> None:
        now = self.clock.now()
        for service in self._services.values():
            present = [e for e in service.view.endpoints if e in self._endpoints]
            leaving = [e for e in present if self._endpoints[e].leaving]
            service.admission.pool.set_endpoints(present, now, leaving)
            service.admission.pump()

    def _readmit(self, view: EndpointView) -> None:
        if view.leaving:
            return
        for service in self._services.values():
            if view.name in service.view.endpoints:
                service.admission.pool.readmit(view.name, self.clock.now())


def new_services(clock: Clock, seed: int) -> Services:
    """Return the view of an entry that has heard nothing yet."""
    return Services(clock, seed)
