"""Coordination of the groups whose ranks are in this data centre."""

import logging
from dataclasses import dataclass, field

import gevent
import msgspec

from azurefold.border.configuration import configuration_from_raw
from azurefold.control.configuration import ConfigurationLoop
from azurefold.control.groups_lead import GroupLead
from azurefold.control.membership import MembershipLoop
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.model import Configuration, Group
from azurefold.core.groups.lease import Lease, LeaseTiming
from azurefold.internal.identity import Identity
from azurefold.internal.logs import log_event
from azurefold.platform.client import PlatformClient
from azurefold.platform.lease_table import LeaseTable
from azurefold.wire.group_messages import ChangeMap, ChangeMapReply
from azurefold.wire.grpc_caller import Caller, caller
from azurefold.wire.seal import Opened

__all__ = ["Groups", "new_groups"]

_log = logging.getLogger("azurefold.control")

_SECOND_MS = 1_000
_LOOK_MS: Millis = 250


@dataclass(slots=True)
class Groups:
    """One :class:`GroupLead` for each group of this data centre."""

    identity: Identity
    membership: MembershipLoop
    configuration: ConfigurationLoop
    table: LeaseTable
    clock: Clock
    leads: dict[str, GroupLead] = field(default_factory=dict)
    _callers: dict[tuple[str, str], Caller] = field(default_factory=dict)
    _revision: int = 0
    _configured: tuple[Group, ...] = ()

    def run(self) -> None:
        """Follow the configuration and the directory for ever."""
        while True:
            self.look()
            gevent.sleep(_LOOK_MS / _SECOND_MS)

    def look(self) -> None:
        """Take up groups that are new here and give up those that are not there."""
        self._read_configuration()
        wanted = {
            group.name: group for group in self._configured if self._is_near(group)
        }
        for name, lead in list(self.leads.items()):
            if wanted.get(name) != lead.group:
                del self.leads[name]
                lead.stop()
        for name, group in wanted.items():
            if name not in self.leads:
                self.leads[name] = self._start(group)

    def change_map(self, request: ChangeMap, sender: Opened) -> ChangeMapReply:
        """Begin a change that an operator orders."""
        lead = self.leads.get(request.group)
        if lead is None:
            return ChangeMapReply(False, detail="no such group in this data centre")
        return lead.change(request.map_id)

    def status(self) -> dict:
        """Return the state of all groups here, by name."""
        return {name: lead.status() for name, lead in self.leads.items()}

    def stop(self) -> None:
        """Give all leases up."""
        gevent.joinall([gevent.spawn(lead.stop) for lead in self.leads.values()])

    def _start(self, group: Group) -> GroupLead:
        holder = f"{self.identity.name}/{self.identity.incarnation}"
        lease = Lease(holder, LeaseTiming())
        lead = GroupLead(group, lease, self.table, self.clock, self._caller_of)
        gevent.spawn(lead.run_lease)
        gevent.spawn(lead.run_coordinator)
        return lead

    def _is_near(self, group: Group) -> bool:
        # The directory holds this data centre only. A control process elsewhere
        # would reach the ranks more slowly, and not at all during a cut.
        return any(
            self.membership.directory.record(endpoint) is not None
            for endpoint in group.endpoints
        )

    def _read_configuration(self) -> None:
        if self.configuration.revision == self._revision:
            return
        self._revision = self.configuration.revision
        raw = msgspec.json.decode(self.configuration.raw)
        try:
            self._configured = _groups_of(configuration_from_raw(raw))
        except ValueError as error:
            log_event(_log, "configuration_not_used", logging.ERROR, why=error)

    def _caller_of(self, endpoint: str) -> Caller | None:
        record = self.membership.directory.record(endpoint)
        address = record.orders_address if record else None
        if address is None:
            return None
        key = (endpoint, address)
        if key not in self._callers:
            ring, sealer = self.identity.ring, self.identity.sealer
            self._callers[key] = caller(address, ring, sealer, recipient=endpoint)
        return self._callers[key]


def _groups_of(configuration: Configuration) -> tuple[Group, ...]:
    return tuple(
        group for service in configuration.services.values() for group in service.groups
    )


def new_groups(
    identity: Identity,
    membership: MembershipLoop,
    configuration: ConfigurationLoop,
    platform: PlatformClient,
) -> Groups:
    """Return the coordination of groups of one control process."""
    table = LeaseTable(platform)
    return Groups(identity, membership, configuration, table, membership.clock)
