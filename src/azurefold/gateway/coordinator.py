"""Coordinates the expert maps of the groups while this gateway holds the row."""

import logging
from dataclasses import dataclass, field

import gevent
import msgspec

from azurefold.core.clock import Millis
from azurefold.core.groups.leadership import Beat, Leadership
from azurefold.core.routing.peer_loads import endpoint_mark
from azurefold.gateway.exchange import PeerMessage
from azurefold.gateway.group_control import GroupControl, new_group_control
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform import names
from azurefold.platform.store import StoreClient
from azurefold.platform.store_messages import (
    Applied,
    Conflicted,
    NotApplied,
    RowKey,
    RowWrite,
    Uncertain,
)

__all__ = ["Coordinator", "new_coordinator"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_TICK_MS: Millis = 40
"""The finest step of a change; a group's pass takes some 50 ms."""

_IDLE_TICK_MS: Millis = 200
_ROW = RowKey(names.GROUPS, "coordinator")


class _Holder(msgspec.Struct, frozen=True):
    node: str
    incarnation: int


@dataclass(slots=True)
class Coordinator:
    """Leadership, and a control for each service whose ranks share experts.

    Parameters
    ----------
    state : GatewayState
    store : StoreClient
    incarnation : int
        Of this process.
    leadership : Leadership
    """

    state: GatewayState
    store: StoreClient
    incarnation: int
    leadership: Leadership
    _controls: dict[str, GroupControl] = field(default_factory=dict)
    _row_version: int = 0
    _broken_heard: tuple[int, ...] = ()

    @property
    def term(self) -> int:
        """Of this node's coordination, or 0 if another node coordinates."""
        return self.leadership.term if self.leadership.holds else 0

    @property
    def broken_services(self) -> tuple[int, ...]:
        """Marks of the services whose group is known to be down."""
        if not self.leadership.holds:
            return ()
        return tuple(
            endpoint_mark(name)
            for name, control in self._controls.items()
            if control.is_broken
        )

    def heard(self, message: PeerMessage) -> None:
        """Take in what another gateway tells."""
        if not message.term:
            return
        now = self.state.clock.now()
        if self.leadership.heard(Beat(message.node, message.term), now):
            log_event(_log, "lease_lost", term=message.term, holder=message.node)
            self._drop_controls()

    def run(self) -> None:
        """Coordinate, or wait to, for ever."""
        self.leadership.start(self.state.clock.now())
        while True:
            holds = self.leadership.holds
            gevent.sleep((_TICK_MS if holds else _IDLE_TICK_MS) / _SECOND_MS)
            if self.state.draining:
                self._drop_controls()
                self.leadership.resign(self.state.clock.now())
                continue
            if holds:
                self._coordinate()
            elif self.leadership.should_take(self.state.clock.now()):
                self._take()

    def confirm(self) -> int | None:
        """Have the store confirm that the row is still this node's.

        Returns
        -------
        int or None
            The row's new version, above all before; None if it was not
            confirmed, and no group may be held.
        """
        return self._write("lease_confirmed", logging.DEBUG)

    def _coordinate(self) -> None:
        for service in list(self.state.services.values()):
            if not service.is_group:
                continue
            control = self._controls.get(service.view.name)
            if control is None:
                control = new_group_control(self.state, service, self)
                self._controls[service.view.name] = control
            control.tick()

    def resign(self) -> None:
        """Let another gateway coordinate."""
        log_event(_log, "lease_resigned", term=self.leadership.term)
        self.leadership.resign(self.state.clock.now())
        self._drop_controls()

    def must_confirm(self) -> bool:
        """Whether the row must be confirmed before a group may be held."""
        return self.leadership.must_confirm(self.state.clock.now())

    def _take(self) -> None:
        if not any(service.is_group for service in self.state.services.values()):
            return
        self._write("lease_taken", logging.INFO)

    def _write(self, event: str, level: int) -> int | None:
        asked_at = self.state.clock.now()
        holder = _Holder(self.state.settings.name, self.incarnation)
        outcome = self.store.transact(
            expected=[(_ROW, self._row_version)],
            writes=[RowWrite(_ROW, msgspec.json.encode(holder))],
        )
        now = self.state.clock.now()
        match outcome:
            case Applied(version=version):
                self._row_version = version
                self.leadership.taken(version, asked_at)
                log_event(_log, event, level, term=version, took_ms=now - asked_at)
                return version
            case Conflicted(rows=rows):
                self._refused(rows, holder, now)
            case NotApplied(reason=reason) | Uncertain(reason=reason):
                self.leadership.unanswered(now)
                log_event(_log, "lease_unanswered", logging.WARNING, why=reason)
        return None

    def _refused(self, rows, holder: _Holder, now: Millis) -> None:
        row = rows.get(_ROW.key)
        if row is None:
            self._row_version = 0
            return
        known, self._row_version = self._row_version, row.version
        present = msgspec.json.decode(row.value, type=_Holder)
        if present == holder:
            # A write of ours took effect and its answer was lost.
            self.leadership.taken(row.version, now - self.leadership.policy.silence)
            return
        if known == 0 or not self.leadership.holds:
            # Only now is it known whose the row was. If its holder is alive,
            # its beats will tell before the next try.
            self.leadership.refused(row.version, now)
            log_event(_log, "lease_held_by", holder=present.node, term=row.version)
            return
        self.leadership.refused(row.version, now)
        log_event(_log, "lease_lost", term=row.version, holder=present.node)
        self._drop_controls()

    def _drop_controls(self) -> None:
        for control in self._controls.values():
            control.close()
        self._controls.clear()


def new_coordinator(
    state: GatewayState, store: StoreClient, incarnation: int, position: int
) -> Coordinator:
    """Return a coordinator that does not hold the row yet.

    Parameters
    ----------
    state : GatewayState
    store : StoreClient
    incarnation : int
    position : int
        Of this node among those that may take over.
    """
    leadership = Leadership(state.settings.name, position=position)
    return Coordinator(state, store, incarnation, leadership)
