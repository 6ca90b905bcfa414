"""Permits for cold endpoints: the grantor's lease, asks and grants.

All of this rests while no service of the configuration has endpoints that can be cold.
"""

import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from zlib import crc32

import gevent
import msgspec

from azurefold.border.decoding import Count, UnreadableError, json_decoder
from azurefold.core.clock import Millis
from azurefold.core.routing.cold_permits import PermitGrantor, permit_limit
from azurefold.core.routing.grantor_lease import GrantorLease, LeaseRow, LeaseStep
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.gateway.peers.exchange import Exchange, Peer
from azurefold.gateway.peers.messages import PermitAsk, PermitGrant, PermitMessage
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform import names
from azurefold.platform.store import StoreClient
from azurefold.platform.store_messages import (
    Applied,
    Conflicted,
    RowKey,
    RowWrite,
    StoredRow,
    Unavailable,
)

__all__ = ["Permits", "new_permits"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_STEP_MS: Millis = 100

_ASK_EVERY_MS: Millis = 10
"""Between two looks at whether more permits are needed, while requests wait."""

_IDLE_EVERY_MS: Millis = 50
"""The same while requests wait but no endpoint is cold."""

_STAGGER_MS = 500
"""Within which gateways try to take the lease one after the other."""

_HEARD_MS: Millis = 2_500
"""Since the grantor was heard, after which it is taken for lost. It tells of each
renewal, one per second."""

_MOST_ENDPOINTS = 8
"""Endpoints of one ask that are looked at."""

_ROW = RowKey(names.COLD_PERMITS, "grantor")


class _Holder(msgspec.Struct, frozen=True):
    """The row's content; the serial number makes each renewal a change."""

    node: str
    incarnation: Count
    serial: Count


_decode_holder = json_decoder(_Holder)


@dataclass(slots=True)
class Permits:
    """This gateway's part in issuing and using permits.

    Parameters
    ----------
    state : GatewayState
    store : StoreClient
    exchange : Exchange
    incarnation : int
        Of this process.
    lease : GrantorLease
    """

    state: GatewayState
    store: StoreClient
    exchange: Exchange
    incarnation: int
    lease: GrantorLease
    _grantors: dict[int, PermitGrantor] = field(default_factory=dict)
    _grantor: Peer | None = None
    _heard_at: Millis = 0
    _serial: int = 0

    def hold_for_ever(self) -> None:
        """Renew the lease, or wait to take it."""
        while True:
            is_needed = bool(self.state.services_with_cold)
            gevent.sleep((_STEP_MS if is_needed else _SECOND_MS) / _SECOND_MS)
            self.step()

    def ask_for_ever(self) -> None:
        """Ask for permits while requests wait."""
        while True:
            self.state.permits_wanted.wait()
            self.state.permits_wanted.clear()
            while wait := self.ask():
                gevent.sleep(wait / _SECOND_MS)

    def step(self) -> None:
        """Do what is due about the lease."""
        services = self.state.services_with_cold
        if not services:
            self.lease.reset()
            self._log_change()
            return
        if not self.state.draining:
            # A gateway that stops leaves the lease to the others early.
            self._advance_lease()
        self._log_change()
        permits_from = self._permits_from(self.state.clock.now())
        for service in services:
            service.admission.pool.cold.permits_from = permits_from

    def _advance_lease(self) -> None:
        match self.lease.next_step(self.state.clock.now()):
            case LeaseStep.READ:
                self._read_row()
            case LeaseStep.WRITE:
                self._write_row()

    def ask(self) -> Millis:
        """Ask for the permits that are needed now; return when to look again.

        Returns
        -------
        int
            0 if no request waits.
        """
        wait = 0
        asks = []
        for service in self.state.services_with_cold:
            if not service.admission.waiting:
                continue
            wait = (
                _ASK_EVERY_MS if service.admission.pool.cold.names else _IDLE_EVERY_MS
            )
            if ask := self._next_ask(service):
                asks.append(ask)
        if asks:
            self._send_asks(tuple(asks))
        return wait

    def receive(self, message: PermitMessage, ip: str) -> None:
        """Take in what another gateway sent."""
        settings = self.state.settings
        if message.node == settings.name or not self.state.services_with_cold:
            return
        now = self.state.clock.now()
        sender = Peer(message.node, ip, message.port)
        if message.lease is not None:
            self._hear_grantor(sender, LeaseRow(*message.lease), now)
        if message.asks and self.lease.is_valid(now):
            grants = self._answer(message.node, message.asks, now)
            answer = PermitMessage(settings.name, settings.peers_port, grants=grants)
            self.exchange.send_permits(answer, [sender])
        self._record_grants(message.grants, now)

    def _next_ask(self, service: GatewayService) -> PermitAsk | None:
        now = self.state.clock.now()
        admission = service.admission
        admission.pool.cold.refresh(now)
        wanted = admission.pool.cold.ask(
            admission.waiting, self.state.draw.random(), now
        )
        if wanted is None:
            return None
        return PermitAsk(
            endpoint_hash(service.view.name),
            wanted.asked_at,
            wanted.number,
            admission.urgency,
            tuple(map(endpoint_hash, wanted.endpoints)),
        )

    def _send_asks(self, asks: tuple[PermitAsk, ...]) -> None:
        settings = self.state.settings
        now = self.state.clock.now()
        if self.lease.is_valid(now):
            self._record_grants(self._answer(settings.name, asks, now), now)
        elif self._is_grantor_heard(now):
            message = PermitMessage(settings.name, settings.peers_port, asks=asks)
            self.exchange.send_permits(message, [self._grantor])

    def _answer(
        self, node: str, asks: Sequence[PermitAsk], now: Millis
    ) -> tuple[PermitGrant, ...]:
        """Return the grants for a gateway; this one must hold the lease."""
        by_mark = {endpoint_hash(s.view.name): s for s in self.state.services_with_cold}
        grants = []
        for ask in asks:
            service = by_mark.get(ask.service)
            if service is None or ask.number <= 0:
                continue
            limit = permit_limit(service.cold_policy.requests_per_s)
            grantor = self._grantors.setdefault(ask.service, PermitGrantor())
            limits = dict.fromkeys(ask.endpoints[:_MOST_ENDPOINTS], limit)
            granted = grantor.answer(node, ask.number, ask.urgency, limits, now)
            counts = service.admission.pool.cold.counts
            counts.issued += sum(granted.permits.values())
            grants.append(
                PermitGrant(ask.service, ask.asked_at, granted.wait_ms, granted.permits)
            )
        return tuple(grants)

    def _record_grants(self, grants: Sequence[PermitGrant], now: Millis) -> None:
        by_mark = {endpoint_hash(s.view.name): s for s in self.state.services_with_cold}
        for grant in grants:
            if service := by_mark.get(grant.service):
                service.record_permits(
                    grant.asked_at, grant.permits, grant.wait_ms, now
                )

    def _hear_grantor(self, sender: Peer, row: LeaseRow, now: Millis) -> None:
        self.lease.observe(row, now)
        if self.lease.row == row:
            self._grantor, self._heard_at = sender, now

    def _permits_from(self, now: Millis) -> Millis:
        """Return when permits can come, at the earliest."""
        if self._is_grantor_heard(now) or self.lease.is_valid(now):
            return now
        return max(now, self.lease.takeable_at(now))

    def _is_grantor_heard(self, now: Millis) -> bool:
        return self._grantor is not None and now - self._heard_at < _HEARD_MS

    def _read_row(self) -> None:
        read = self.store.read_table(names.COLD_PERMITS)
        now = self.state.clock.now()
        if isinstance(read, Unavailable):
            self.lease.on_unanswered(now)
            return
        row = next((row for row in read.rows if row.key == _ROW.key), None)
        self.lease.observe(LeaseRow(row.version if row else 0, read.era), now)

    def _write_row(self) -> None:
        """Renew the lease, or try to take it."""
        asked_at = self.state.clock.now()
        known = self.lease.row
        self._serial += 1
        holder = _Holder(self.state.settings.name, self.incarnation, self._serial)
        outcome = self.store.transact(
            expected=[(_ROW, known.version)],
            writes=[RowWrite(_ROW, msgspec.json.encode(holder))],
        )
        now = self.state.clock.now()
        if self.lease.row != known:
            # Another gateway's renewal was heard meanwhile.
            return
        match outcome:
            case Applied(version=version, era=era):
                self.lease.on_written(LeaseRow(version, era), asked_at, now)
                self._announce(now)
            case Conflicted(rows=rows, era=era):
                row = rows.get(_ROW.key)
                present = LeaseRow(row.version if row else 0, era)
                is_own = row is not None and self._is_own(row)
                self.lease.on_conflict(present, now, is_own=is_own)
            case _:
                self.lease.on_unanswered(now)

    def _announce(self, now: Millis) -> None:
        """Tell all gateways whom to ask, and which version of the row is in force."""
        if not self.lease.is_valid(now):
            return
        for grantor in self._grantors.values():
            grantor.prune(now)
        row, settings = self.lease.row, self.state.settings
        lease = (row.version, row.era)
        message = PermitMessage(settings.name, settings.peers_port, lease)
        self.exchange.send_permits(message, tuple(self.exchange.peers.values()))

    def _is_own(self, row: StoredRow) -> bool:
        try:
            holder = _decode_holder(row.value)
        except UnreadableError as error:
            log_event(_log, "lease_unreadable", logging.ERROR, why=error)
            return False
        own = (self.state.settings.name, self.incarnation)
        return (holder.node, holder.incarnation) == own

    def _log_change(self) -> None:
        """Log when this gateway has become the grantor, or is it no longer."""
        now = self.state.clock.now()
        is_grantor = self.lease.is_valid(now)
        if is_grantor == self.state.is_grantor:
            return
        self.state.is_grantor = is_grantor
        row = self.lease.row
        log_event(
            _log,
            "cold_grantor_taken" if is_grantor else "cold_grantor_lost",
            logging.WARNING,
            row=row.version if row else None,
            era=row.era if row else None,
            row_is_own=self.lease.is_holder,
        )


def new_permits(
    state: GatewayState, store: StoreClient, exchange: Exchange, incarnation: int
) -> Permits:
    """Return this gateway's part in permits, which takes the exchange's messages."""
    stagger = crc32(state.settings.name.encode()) % _STAGGER_MS
    lease = GrantorLease(stagger_ms=stagger)
    permits = Permits(state, store, exchange, incarnation, lease)
    exchange.on_permits = permits.receive
    return permits
