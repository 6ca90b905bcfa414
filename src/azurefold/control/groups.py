"""Coordination of the groups whose ranks are in this data centre."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

import gevent
from prometheus_client import CollectorRegistry, Counter, Gauge

from azurefold.control.configuration import ConfigurationLoop
from azurefold.control.groups_balance import GroupBalance, policy_from
from azurefold.control.groups_lead import GroupLead
from azurefold.control.membership import MembershipLoop
from azurefold.control.services import configured_services
from azurefold.core.balance.policy import BalancePolicy
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.model import Group, Service
from azurefold.core.groups.lease import Lease, LeaseTiming
from azurefold.internal.identity import Identity
from azurefold.internal.logs import log_event
from azurefold.site_store.client import PlatformClient
from azurefold.site_store.lease_table import LeaseTable
from azurefold.wire.group_maps import Rebalance, RebalanceReply
from azurefold.wire.group_messages import ChangeMap, ChangeMapReply
from azurefold.wire.grpc_caller import Caller, caller
from azurefold.wire.seal import Opened

__all__ = ["Groups", "new_groups"]

_log = logging.getLogger("azurefold.control")

_SECOND_MS = 1_000
_LOOK_MS: Millis = 250


@dataclass(frozen=True, slots=True)
class _Configured:
    group: Group
    policy: BalancePolicy


@dataclass(slots=True)
class Groups:
    """One :class:`GroupLead` for each group of this data centre."""

    identity: Identity
    membership: MembershipLoop
    configuration: ConfigurationLoop
    table: LeaseTable
    clock: Clock
    ended: Counter
    leads: dict[str, GroupLead] = field(default_factory=dict)
    balances: dict[str, GroupBalance] = field(default_factory=dict)
    _callers: dict[tuple[str, str], Caller] = field(default_factory=dict)
    _revision: int = 0
    _configured: tuple[_Configured, ...] = ()

    @property
    def held(self) -> int:
        """How many leases this process holds."""
        return sum(lead.fence is not None for lead in self.leads.values())

    def run(self) -> None:
        """Follow the configuration and the directory for ever."""
        while True:
            self.look()
            gevent.sleep(_LOOK_MS / _SECOND_MS)

    def look(self) -> None:
        """Take up groups that are new here and give up those that are not there."""
        self._read_configuration()
        wanted = {one.group.name: one for one in self._configured if self._is_near(one)}
        for name in [name for name in self.leads if not self._is_kept(wanted, name)]:
            self.balances.pop(name)
            self.leads.pop(name).stop()
        for name, one in wanted.items():
            if name not in self.leads:
                self._start(one)

    def _is_kept(self, wanted: dict[str, _Configured], name: str) -> bool:
        one = wanted.get(name)
        if one is None:
            return False
        balance = self.balances[name]
        return (balance.lead.group, balance.policy) == (one.group, one.policy)

    def change_map(self, request: ChangeMap, sender: Opened) -> ChangeMapReply:
        """Begin a change that an operator orders."""
        lead = self.leads.get(request.group)
        if lead is None:
            return ChangeMapReply(False, detail="no such group in this data centre")
        return lead.change(request.map_id)

    def rebalance(self, request: Rebalance, sender: Opened) -> RebalanceReply:
        """Decide on a group's map as an operator asks."""
        balance = self.balances.get(request.group)
        if balance is None:
            return RebalanceReply(False, detail="no such group in this data centre")
        return balance.rebalance(request.explain_only)

    def status(self) -> dict:
        """Return the state of all groups here, by name."""
        return {name: lead.status() for name, lead in self.leads.items()}

    def stop(self) -> None:
        """Give all leases up."""
        gevent.joinall([gevent.spawn(lead.stop) for lead in self.leads.values()])

    def _start(self, one: _Configured) -> None:
        holder = f"{self.identity.name}/{self.identity.incarnation}"
        lease = Lease(holder, LeaseTiming())
        lead = GroupLead(
            one.group, lease, self.table, self.clock, self._caller_of, self.ended
        )
        balance = GroupBalance(lead, one.policy, self.identity.wall)
        self.leads[one.group.name] = lead
        self.balances[one.group.name] = balance
        for run in (lead.run_lease, lead.run_coordinator, balance.run):
            gevent.spawn(run)

    def _is_near(self, one: _Configured) -> bool:
        # The directory holds this data centre only. A control process elsewhere
        # would reach the ranks more slowly, and not at all during a cut.
        return any(
            self.membership.directory.record(endpoint) is not None
            for endpoint in one.group.endpoints
        )

    def _read_configuration(self) -> None:
        if self.configuration.revision == self._revision:
            return
        self._revision = self.configuration.revision
        try:
            services = configured_services(self.configuration.follower.sections)
            self._configured = _groups_of(services.values())
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


def _groups_of(services: Iterable[Service]) -> tuple[_Configured, ...]:
    return tuple(
        _Configured(group, policy_from(service.balance))
        for service in services
        for group in service.groups
    )


def new_groups(
    identity: Identity,
    membership: MembershipLoop,
    configuration: ConfigurationLoop,
    platform: PlatformClient,
    registry: CollectorRegistry,
) -> Groups:
    """Return the coordination of groups of one control process."""
    table = LeaseTable(platform)
    ended = Counter(
        "azurefold_control_map_changes",
        "Changes of expert maps that ended here",
        ["group", "outcome"],
        registry=registry,
    )
    groups = Groups(identity, membership, configuration, table, membership.clock, ended)
    leases = Gauge(
        "azurefold_control_group_leases", "Leases on groups held", registry=registry
    )
    leases.set_function(lambda: groups.held)
    return groups
