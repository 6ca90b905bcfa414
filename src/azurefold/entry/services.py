"""What an entry knows: the configuration in force and the agents' addresses."""

from collections.abc import Callable
from dataclasses import dataclass, field

from azurefold.core.admission.messages import Priority
from azurefold.core.clock import Clock, Millis
from azurefold.entry.admission import Admission, new_admission
from azurefold.entry.agent_messages import AgentAddress

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
    """An endpoint as the control process knows it.

    Parameters
    ----------
    name, incarnation, address : str
    leaving : bool
    far : bool
        Whether it is in another data centre.
    """

    name: str
    incarnation: str
    address: str
    leaving: bool
    far: bool = False


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
    ask_far: Callable[[str], EndpointView | None] = lambda endpoint: None
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
        """Return where an endpoint's agent listens.

        One that this entry does not know is asked for: an answer may be kept
        in another data centre, and its caller comes back through any entry.
        """
        view = self._endpoints.get(endpoint) or self.ask_far(endpoint)
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

    def apply_endpoints(
        self, views: list[EndpointView], is_partial: bool = False
    ) -> None:
        """Take in the endpoints that are there now.

        Parameters
        ----------
        views : list of EndpointView
        is_partial : bool, default=False
            Whether ``views`` may lack some; those known before are kept.
        """
        before = self._endpoints
        kept = before if is_partial else {}
        self._endpoints = {**kept, **{view.name: view for view in views}}
        self._set_members()
        for view in views:
            old = before.get(view.name)
            if old is not None and _came_back(old, view):
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
            present = self._usable(service.view.endpoints)
            leaving = [e for e in present if self._endpoints[e].leaving]
            service.admission.pool.set_endpoints(present, now, leaving)
            service.admission.pump()

    def _usable(self, names: tuple[str, ...]) -> list[str]:
        """Return the endpoints near this entry, or far ones if there is none.

        Far ones stay out otherwise: a data centre that is cut off must not be
        what requests here wait for while endpoints near by are free.
        """
        known = [name for name in names if name in self._endpoints]
        near = [name for name in known if not self._endpoints[name].far]
        if any(not self._endpoints[name].leaving for name in near):
            return near
        return known

    def _readmit(self, view: EndpointView) -> None:
        if view.leaving:
            return
        for service in self._services.values():
            if view.name in service.view.endpoints:
                service.admission.pool.readmit(view.name, self.clock.now())


def _came_back(old: EndpointView, view: EndpointView) -> bool:
    # Within one incarnation only the list of VMs takes back that an endpoint
    # leaves; what the endpoint says of itself it cannot. Without this, one
    # that the list had named by mistake would get no work until its restart.
    return old.incarnation != view.incarnation or (old.leaving and not view.leaving)


def new_services(clock: Clock, seed: int) -> Services:
    """Return the view of an entry that has heard nothing yet."""
    return Services(clock, seed)
