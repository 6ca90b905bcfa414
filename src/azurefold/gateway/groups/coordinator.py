"""Coordinates the expert maps of the groups while this gateway holds the row."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import msgspec

from azurefold.border.decoding import Count, UnreadableError, json_decoder
from azurefold.core.clock import Millis
from azurefold.core.groups.leadership import LeaderHeartbeat, Leadership
from azurefold.core.groups.order_numbers import fence_of, order_number
from azurefold.gateway.groups.control import (
    ServiceControl,
    Stall,
    new_service_control,
)
from azurefold.gateway.groups.map_planning import is_worth_balancing
from azurefold.gateway.peers.messages import Coordination, PeerMessage
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
    StoredRow,
    Unavailable,
    Uncertain,
)

__all__ = ["Coordinator", "new_coordinator"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_TICK_MS: Millis = 200
_STALLED_MS: Millis = 1_000
"""Without a turn of the coordinator's loop, after which its lease is not renewed."""

_MOST_UNHEARD_WRITES = 16
"""Of a holder between two beats, at the most. A store that comes back from an older
copy shows none of them, and a successor's term must be above all."""

_ROW = RowKey(names.GROUPS, "coordinator")


class _Holder(msgspec.Struct, frozen=True):
    """The row's content.

    Parameters
    ----------
    node : str
    incarnation : int
    popularity : dict of str to list of list of int
        Of each service's experts, by layer, as last seen. A group that forms
        anew has a map that fits no popularity, and after a power loss no
        process knows better: without this, its first seconds are its slowest.
    term : int
        Above all terms that its writer knew of. Versions of rows are given out again
        when the store comes back from an older copy; terms are not.
    """

    node: str
    incarnation: Count
    popularity: dict[str, list[list[Count]]] = {}
    term: Count = 0

    def is_same_holder(self, other: "_Holder") -> bool:
        """Whether both name the same process."""
        return (self.node, self.incarnation) == (other.node, other.incarnation)


_decode_holder = json_decoder(_Holder)


def _holder_in(value: bytes) -> _Holder:
    """Return the row's content; nobody's where it cannot be read."""
    try:
        return _decode_holder(value)
    except UnreadableError as error:
        log_event(_log, "lease_unreadable", logging.ERROR, why=error)
        return _Holder("", 0)


def _term_of(row: StoredRow, holder: _Holder) -> int:
    return max(row.version, holder.term)


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
    peers_heard : callable
        Returns how many other gateways are heard, and how many are known.
    ended_term : int
        The last one that this node gave up by itself; 0 for none.
    """

    state: GatewayState
    store: StoreClient
    incarnation: int
    leadership: Leadership
    peers_heard: Callable[[], tuple[int, int]]
    ended_term: int = 0
    _serial: int = 0
    _writing: bool = False
    _resigns: bool = False
    _controls: dict[str, ServiceControl] = field(default_factory=dict)
    _row_version: int = 0
    _row_term: int = 0
    _row_era: int | None = None
    _popularity: dict[str, list[list[int]]] = field(default_factory=dict)
    _stepped_at: Millis | None = None

    @property
    def coordination(self) -> Coordination:
        """What the other gateways are told of it.

        Being told renews the lease, so a node whose loop has stopped tells nothing.
        """
        if not self.leadership.is_leader or not self._is_turning:
            return Coordination(ended_term=self.ended_term)
        controls = self._controls.values()
        return Coordination(
            self.leadership.term,
            self.ended_term,
            tuple(news for each in controls for news in each.news),
            any(each.is_urgent for each in controls),
        )

    @property
    def _is_turning(self) -> bool:
        if self._stepped_at is None:
            return True
        return self.state.clock.now() - self._stepped_at <= _STALLED_MS

    @property
    def _is_changing(self) -> bool:
        return any(control.is_changing for control in self._controls.values())

    def heard(self, message: PeerMessage) -> None:
        """Take in what another gateway tells."""
        now = self.state.clock.now()
        if message.ended_term:
            self.leadership.on_resignation(
                LeaderHeartbeat(message.node, message.ended_term), now
            )
        if not message.term:
            return
        beat = LeaderHeartbeat(message.node, message.term, message.is_changing)
        if self.leadership.on_heartbeat(beat, now):
            log_event(_log, "lease_lost", term=message.term, holder=message.node)
            self._drop_controls()

    def run(self) -> None:
        """Coordinate, or wait to, for ever."""
        self.leadership.start(self.state.clock.now())
        while not self.state.services:
            gevent.sleep(_TICK_MS / _SECOND_MS)
        services = self.state.services.values()
        if any(is_worth_balancing(service.view) for service in services):
            self._read_row()
        while True:
            gevent.sleep(_TICK_MS / _SECOND_MS)
            self._stepped_at = self.state.clock.now()
            self._step()
            self._stepped_at = self.state.clock.now()

    def _step(self) -> None:
        if self.leadership.is_leader and (stall := self._find_stall()):
            self._give_up(stall)
        elif self.leadership.is_leader and self._is_leaving:
            # A change under way is brought to its end: its group may be held, and
            # what ranks have loaded would be loaded once more.
            if not self._is_changing:
                self._hand_over()
        elif self.leadership.is_leader:
            self._coordinate()
        elif self.state.draining:
            return
        elif self.leadership.should_take_over(self.state.clock.now()):
            self._take()

    def _find_stall(self) -> Stall | None:
        stalls = (control.find_stall() for control in self._controls.values())
        return next(filter(None, stalls), None)

    def _give_up(self, stall: Stall) -> None:
        """Let another node go on from the ranks' reports, or this one if it is alone.

        A stalled loop is not resumed: what it knows of the ranks may be what stopped
        it.
        """
        heard, _ = self.peers_heard()
        self.state.coordinator_stalls[stall.reason.value] += 1
        log_event(
            _log,
            "coordinator_stalled",
            logging.ERROR,
            service=stall.service,
            loop=stall.loop,
            why=stall.reason.value,
            term=self.leadership.term,
            peers=heard,
        )
        self._hand_over()

    def _hand_over(self) -> None:
        """Resign, or begin anew where no other gateway could take over."""
        _, known = self.peers_heard()
        if known or self.state.draining:
            self.resign()
            return
        log_event(_log, "coordination_restarted", term=self.leadership.term)
        self._drop_controls()

    def next_version(self, above: int = 0) -> int | None:
        """Return the version of a new map, above all that any rank has had.

        Parameters
        ----------
        above : int, default=0
            The highest version that a rank reports.

        Returns
        -------
        int or None
            None if this node may not change any map; it then resigns. None, too, if a
            rank has had a version of a later term: this node first writes the row anew
            under a higher one.
        """
        if not self.leadership.is_leader or self._is_leaving:
            # Another node holds the row: its term is not ours to give up.
            return None
        heard, peers = self.peers_heard()
        if not self.leadership.can_start_change(heard, peers, self.state.clock.now()):
            self.resign_when_idle()
            return None
        self._serial += 1
        version = order_number(self.leadership.term, self._serial)
        if version <= above:
            self._row_term = max(self._row_term, fence_of(above))
        if not self._writing:
            gevent.spawn(self._confirm)
        return version if version > above else None

    def resign_when_idle(self) -> None:
        """Let another gateway coordinate as soon as no map is being changed.

        What goes wrong if it is done at once: a group is held for a change that has
        nothing to do with the reason, and stands still until a successor has found
        out, for up to 1.5 s.
        """
        self._resigns = True

    @property
    def _is_leaving(self) -> bool:
        return self._resigns or self.state.draining

    def _confirm(self) -> None:
        """Write the row anew, with the present popularity."""
        self._writing = True
        try:
            self._write("lease_confirmed", logging.DEBUG)
        finally:
            self._writing = False

    def _read_row(self) -> bool:
        """Learn who held the row last, and what it knew; return whether it was read."""
        read = self.store.read_table(names.GROUPS)
        if isinstance(read, Unavailable):
            return False
        self._row_era = read.era
        self._row_version = self._row_term = 0
        for row in read.rows:
            if row.key == _ROW.key:
                self._know_row(row, _holder_in(row.value))
        return True

    def _know_row(self, row: StoredRow, holder: _Holder) -> None:
        self._row_version, self._row_term = row.version, _term_of(row, holder)
        self._popularity = dict(holder.popularity)

    def _coordinate(self) -> None:
        for service in list(self.state.services.values()):
            if not is_worth_balancing(service.view):
                continue
            name = service.view.name
            control = self._controls.get(name)
            if control is None:
                known = self._popularity.get(name, [])
                control = new_service_control(self.state, service, self, known)
                self._controls[name] = control
                control.start()
        self._tell_itself()

    def _tell_itself(self) -> None:
        """Take in what this node tells the others, as it does not hear itself."""
        for control in self._controls.values():
            for news in control.news:
                self.state.group_told(news)

    def resign(self) -> None:
        """Let another gateway coordinate."""
        log_event(_log, "lease_resigned", term=self.leadership.term)
        self.ended_term = self.leadership.term
        self.leadership.resign(self.state.clock.now())
        self._drop_controls()

    def _take(self) -> None:
        services = self.state.services.values()
        if not any(is_worth_balancing(service.view) for service in services):
            return
        # The holder wrote the row with each change. Taken at its version of long
        # ago, it would be refused, and only the next try, most of a second later,
        # would succeed: with the group held, its streams stand still so long.
        known = max(self._row_term, self.leadership.term)
        era = self._row_era
        if not self._read_row():
            self.leadership.on_store_unanswered(self.state.clock.now())
            return
        if self._row_term > known:
            self.leadership.on_row_refused(self._row_term, self.state.clock.now())
            return
        if self._row_era != era is not None:
            self._row_term = known + _MOST_UNHEARD_WRITES
        self._write("lease_taken", logging.INFO)

    def _write(self, event: str, level: int) -> None:
        """Write the row, once more if the store has come back from an older copy."""
        if not self._write_once(event, level):
            self._write_once(event, level)

    def _write_once(self, event: str, level: int) -> bool:
        """Write the row; return False if it is of an older copy and still to write."""
        asked_at = self.state.clock.now()
        for name, control in self._controls.items():
            self._popularity[name] = control.popularity
        term = max(self._row_term, self.leadership.term) + 1
        holder = _Holder(
            self.state.settings.name, self.incarnation, self._popularity, term
        )
        outcome = self.store.transact(
            expected=[(_ROW, self._row_version)],
            writes=[RowWrite(_ROW, msgspec.json.encode(holder))],
        )
        now = self.state.clock.now()
        match outcome:
            case Applied(version=version, era=era):
                self._row_version, self._row_era = version, era
                self._row_term = max(version, term)
                self.leadership.on_row_acquired(self._row_term, asked_at)
                log_event(
                    _log, event, level, term=self._row_term, took_ms=now - asked_at
                )
            case Conflicted(rows=rows, era=era):
                self._row_era = era
                return not self._refused(rows, holder, now)
            case NotApplied(reason=reason) | Uncertain(reason=reason):
                self.leadership.on_store_unanswered(now)
                log_event(_log, "lease_unanswered", logging.WARNING, why=reason)
        return True

    def _refused(
        self, rows: dict[str, StoredRow], holder: _Holder, now: Millis
    ) -> bool:
        """Take in the present row; return whether it is to be written over."""
        row = rows.get(_ROW.key)
        known = self._row_version
        if row is None:
            self._row_version = 0
            return self.leadership.is_leader and known > 0
        present = _holder_in(row.value)
        self._know_row(row, present)
        if self.leadership.is_leader and self._row_term < self.leadership.term:
            log_event(
                _log,
                "lease_row_went_back",
                logging.WARNING,
                holder=present.node,
                row_term=self._row_term,
                term=self.leadership.term,
            )
            return True
        if present.is_same_holder(holder):
            # A write of ours took effect and its answer was lost.
            asked_at = now - self.leadership.policy.heartbeat_timeout
            self.leadership.on_row_acquired(self._row_term, asked_at)
            return False
        was_holder = known != 0 and self.leadership.is_leader
        self.leadership.on_row_refused(self._row_term, now)
        if not was_holder:
            # Only now is it known whose the row was. If its holder is alive,
            # its beats will tell before the next try.
            log_event(_log, "lease_held_by", holder=present.node, term=self._row_term)
            return False
        log_event(_log, "lease_lost", term=self._row_term, holder=present.node)
        self._drop_controls()
        return False

    def _drop_controls(self) -> None:
        self._resigns = False
        for control in self._controls.values():
            control.close()
        self._controls.clear()


def new_coordinator(
    state: GatewayState,
    store: StoreClient,
    incarnation: int,
    position: int,
    peers_heard: Callable[[], tuple[int, int]],
) -> Coordinator:
    """Return a coordinator that does not hold the row yet.

    Parameters
    ----------
    state : GatewayState
    store : StoreClient
    incarnation : int
    position : int
        Of this node among those that may take over.
    peers_heard : callable
        Returns how many other gateways are heard, and how many are known.
    """
    leadership = Leadership(state.settings.name, position=position)
    return Coordinator(state, store, incarnation, leadership, peers_heard)
