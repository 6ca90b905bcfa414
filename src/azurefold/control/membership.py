"""Keeps the directory of one control process in step with its peers."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from azurefold.core.clock import Clock, Millis
from azurefold.core.membership.directory import Directory
from azurefold.core.membership.endpoints import Role, State
from azurefold.core.membership.messages import Send, Source
from azurefold.core.membership.vm_list import ListedVm
from azurefold.site_store.client import PlatformClient
from azurefold.site_store.messages import Vms
from azurefold.wire.messages import AnyMessage
from azurefold.wire.snapshot import EndpointInfo

__all__ = ["MembershipLoop"]

_SECOND_MS = 1_000
_TICK_MS: Millis = 250
# In the virtual network a control process that starts among 39 others and 390
# endpoints knows all of them after 28.8 s; until then its list may lack some.
_LEARN_MS: Millis = 30_000
_DRAWS = 1 << 30


@dataclass(slots=True)
class MembershipLoop:
    """Feeds the directory with datagrams, the time and the list of VMs."""

    directory: Directory
    clock: Clock
    draw: random.Random
    send: Callable[[list[Send]], None]
    changed: Event = field(default_factory=Event)
    _shown_revision: int = -1
    _started_at: Millis = field(init=False)

    def __post_init__(self) -> None:
        self._started_at = self.clock.now()

    def receive(self, message: AnyMessage, source: Source) -> list[Send]:
        """Take a membership datagram whose seal was good."""
        sends = self.directory.receive(message, source, self.clock.now())
        self._tell()
        return sends

    def run(self) -> None:
        """Tick for ever."""
        while True:
            gevent.sleep(_TICK_MS / _SECOND_MS)
            now = self.clock.now()
            self.send(self.directory.tick(now, self.draw.randrange(_DRAWS)))
            self._tell()

    def endpoints(self) -> list[EndpointInfo]:
        """Return the endpoints that are there, for the entry."""
        return [
            EndpointInfo(
                shown.record.name,
                shown.record.incarnation,
                shown.record.address,
                shown.state is not State.SERVING,
            )
            for shown in self.directory.snapshot()
            if shown.state in (State.SERVING, State.LEAVING)
            and shown.record.incarnation > 0
        ]

    def is_informed(self) -> bool:
        """Whether live endpoints have had time enough to report here."""
        return self.clock.now() - self._started_at >= _LEARN_MS

    def live_controls(self) -> frozenset[str]:
        """Return the names of control processes believed live here."""
        return frozenset(
            record.name
            for record in self.directory.records()
            if record.role is Role.CONTROL and record.state is State.SERVING
        )

    def watch_vms(self, platform: PlatformClient, every_ms: Millis) -> None:
        """Read the platform's list of VMs for ever; it may lag or be away."""
        while True:
            listed = platform.vms()
            if isinstance(listed, Vms):
                self.directory.update_vms(self._known(listed), self.clock.now())
                self._tell()
            gevent.sleep(every_ms * (0.5 + self.draw.random()) / _SECOND_MS)

    def _known(self, listed: Vms) -> list[ListedVm]:
        # The list has no addresses. What has not announced itself yet cannot
        # be reached anyway.
        records = {vm: self.directory.record(vm.name) for vm in listed.vms}
        return [
            ListedVm(vm.name, record.address, record.udp_port, vm.leaving)
            for vm, record in records.items()
            if record is not None
        ]

    def _tell(self) -> None:
        if self.directory.revision != self._shown_revision:
            self._shown_revision = self.directory.revision
            self.changed.set()
            self.changed.clear()
