"""Gateways tell each other their loads, versions and who coordinates.

One small datagram to each other gateway of the cell, when something has changed
and at least twice a second; from the coordinator twice a second to all. A lost one
is made up for by the next.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import zip_longest

import gevent
import msgspec
from gevent import socket as gevent_socket

from azurefold.border.decoding import UnreadableError, msgpack_decoder
from azurefold.core.clock import Millis
from azurefold.core.membership.table_refresh import PollSlot
from azurefold.core.routing.cells import Cell, cell_of
from azurefold.core.routing.messages import LoadReport
from azurefold.core.routing.peer_loads import LoadDigest, PeerLoads, endpoint_hash
from azurefold.gateway.peers.messages import (
    Coordination,
    ExtendedPeerMessage,
    PeerMessage,
    PermitMessage,
    WaitingBeat,
)
from azurefold.gateway.peers.portions import (
    MOST_BYTES,
    CrashPortions,
    GroupPortions,
    PartPortions,
    QuotaPortions,
    departed_marks,
    heaviest,
    table_beat,
    trial_ages,
    waiting_beats,
)
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event

__all__ = ["Exchange", "Peer", "new_exchange"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_LOOK_MS: Millis = 60
"""Between two looks at whether loads have fallen, or anything else has changed."""

_TOLD_WITHIN_MS: Millis = 2 * _LOOK_MS
"""After cells were dealt anew, until gateways of other cells have told their loads."""

_SPACING_MS: Millis = 5
"""Between two messages at once: some dispatches at the same moment are told in one."""

_QUIET_MS: Millis = 500
"""At the latest a message is sent although nothing has changed."""

_CRASH_REPEAT_MS: Millis = 2_000
"""How long a crash or an answer observed here is repeated to other cells."""

_CHANGING_MS: Millis = 150
"""The same while this node changes a group's map: others take over after 450 ms then,
so three messages have to be lost in a row."""

_READ_BYTES = 2_048
"""More than any message has, so that none is cut off on its way in."""

_MESSAGES_A_TURN = 16

_encode = msgspec.msgpack.Encoder().encode
_decode = msgpack_decoder(ExtendedPeerMessage)
_decode_permits = msgpack_decoder(PermitMessage)
_PERMITS_BEGIN = _encode(PermitMessage("", 0))[:2]
"""The array's length and its first field, which no other message has."""


@dataclass(frozen=True, slots=True)
class Peer:
    """Where another gateway is reached."""

    node: str
    ip: str
    port: int


@dataclass(slots=True)
class Exchange:
    """The socket, the peers and what they told.

    Parameters
    ----------
    state : GatewayState
    incarnation : int
        Of this process.
    on_message : callable
        Takes each message that is newer than the last of its sender.
    coordination : callable
        Returns what is to be told of this node's coordination.
    on_permits : callable
        Takes each message on permits for cold endpoints, and its sender's address.
    cell : Cell
        The gateways that this one tells its loads.
    loads : PeerLoads
        Of the gateways of the cell.
    visitors : PeerLoads
        Of gateways of other cells that still have requests at endpoints which were
        dealt to this one.
    """

    state: GatewayState
    incarnation: int
    on_message: Callable[[PeerMessage], None]
    coordination: Callable[[], Coordination]
    on_permits: Callable[[PermitMessage, str], None] = lambda message, ip: None
    loads: PeerLoads = field(default_factory=PeerLoads)
    visitors: PeerLoads = field(default_factory=PeerLoads)
    cell: Cell = field(default_factory=Cell)
    _peers: dict[str, Peer] = field(default_factory=dict)
    _newest: dict[str, tuple[int, int]] = field(default_factory=dict)
    _sock: gevent_socket.socket | None = None
    _sequence: int = 0
    _sent_at: Millis = 0
    _sent: tuple = ()
    _sent_to_all: Coordination | None = None
    _sent_to_all_at: Millis = 0
    _sent_quotas_at: Millis = 0
    _sent_crashes_at: Millis = 0
    _visited: frozenset[str] = frozenset()
    _groups: GroupPortions = field(default_factory=GroupPortions)
    _quotas: QuotaPortions = field(default_factory=QuotaPortions)
    _crashes: CrashPortions = field(default_factory=CrashPortions)
    _parts: PartPortions = field(default_factory=PartPortions)
    _part_reports: int = 0

    @property
    def peers(self) -> dict[str, Peer]:
        """Other gateways by name."""
        return self._peers

    def open(self) -> None:
        """Bind the port.

        Raises
        ------
        OSError
            If it is taken.
        """
        settings = self.state.settings
        sock = gevent_socket.socket(gevent_socket.AF_INET, gevent_socket.SOCK_DGRAM)
        try:
            sock.bind((settings.ip, settings.peers_port))
        except OSError:
            sock.close()
            raise
        self._sock = sock

    def set_peers(self, peers: list[Peer]) -> None:
        """Take in the gateways that the store lists, beside those that are heard."""
        own = self.state.settings.name
        heard = self.loads.nodes | self.visitors.nodes
        kept = {node: peer for node, peer in self._peers.items() if node in heard}
        self._peers = kept | {peer.node: peer for peer in peers if peer.node != own}
        self._deal_cells()

    def _deal_cells(self) -> None:
        self.cell = cell_of(self.state.settings.name, self._peers)
        for node in self.loads.nodes - self.cell.nodes:
            self.loads.move_to(node, self.visitors)
        for node in self.visitors.nodes & self.cell.nodes:
            self.visitors.move_to(node, self.loads)
        self.state.set_nodes(len(self._peers) + 1)
        self.state.set_cell(self.cell)
        self._take_turn()

    def _take_turn(self) -> None:
        own = self.state.settings.name
        heard = sorted({own, *self.loads.nodes})
        slot_ms = self.state.renewal_times.slot_ms
        self.state.turn = PollSlot(heard.index(own), len(heard), slot_ms)

    def receive_for_ever(self) -> None:
        """Take in messages."""
        while True:
            for _ in range(_MESSAGES_A_TURN):
                data, (ip, _) = self._sock.recvfrom(_READ_BYTES)
                self.receive(data, ip)
            # A read does not wait while datagrams come without a pause.
            gevent.sleep(0)

    def receive(self, data: bytes, ip: str) -> None:
        """Take in one message."""
        try:
            if data.startswith(_PERMITS_BEGIN):
                self.on_permits(_decode_permits(data), ip)
            else:
                self._take(_decode(data), ip)
        except UnreadableError as error:
            log_event(_log, "peer_message_unreadable", peer=ip, why=error)

    def send_permits(self, message: PermitMessage, peers: Iterable[Peer]) -> None:
        """Send a message on permits for cold endpoints."""
        data = _encode(message)
        for peer in peers:
            self._send_to(peer, data)

    def send_for_ever(self) -> None:
        """Send messages when there is something to tell."""
        while True:
            self._await_demand()
            self._forget_silent()
            self._share_quotas()
            self.send()

    def _await_demand(self) -> None:
        """Wait for a dispatch or a request that waits, or until the next look is due.

        What goes wrong if they are told with the next look only: meanwhile the
        endpoint is the emptiest to all gateways of the cell, and each of them that
        has a request sends it there.
        """
        changed = self.state.demand_changed
        if not changed.wait(_LOOK_MS / _SECOND_MS):
            return
        early = self._sent_at + _SPACING_MS - self.state.clock.now()
        gevent.sleep(max(0, early) / _SECOND_MS)
        changed.clear()

    def send(self, *, at_once: bool = False) -> None:
        """Send a message to all peers if there is news, or it is time."""
        now = self.state.clock.now()
        loads = self._own_loads()
        coordination = self.coordination()
        quotas = self.state.quota_words()
        rates = {mark: word.rate for mark, word in quotas.items()}
        is_waiting = self.state.is_waiting
        crashes = self.state.crashes
        self._update_parts()
        configuration = self.state.configuration_freshness
        endpoints = self.state.endpoints_freshness
        departed = departed_marks(self.state.registry.departed)
        trials = self.state.part_trials.find_own(now)
        waiting = waiting_beats(self.state.waiting_by_class)
        told = (
            loads,
            configuration.own_confirmed_at,
            endpoints.own_confirmed_at,
            coordination,
            rates,
            is_waiting,
            crashes.version,
            departed,
            tuple(trials.items()),
            waiting,
        )
        owes_reports = self._owes_quotas(now) or self._owes_crashes(now)
        to_all = at_once or owes_reports or self._owes_all(coordination, now)
        is_due = now - self._sent_at >= _QUIET_MS
        if self.cell.count <= 1 and self._parts.is_behind:
            is_due |= now - self._sent_at >= _LOOK_MS
        if told == self._sent and not is_due and not to_all:
            return
        self._sent, self._sent_at = told, now
        if to_all:
            self._sent_to_all, self._sent_to_all_at = coordination, now
            self._sent_quotas_at = self._sent_crashes_at = now
        self._sequence += 1
        is_told_to_all = to_all or self.cell.count <= 1
        part_beats = self._parts.next(now, is_counted=is_told_to_all)
        crash_beats = self._crashes.next(
            crashes.build_reports(), now, is_alone=not part_beats
        )
        settings = self.state.settings
        message = PeerMessage(
            settings.name,
            self.incarnation,
            self._sequence,
            settings.peers_port,
            self.state.version,
            endpoints.newest_version,
            coordination.term,
            coordination.ended_term,
            self._groups.next(coordination.groups, now),
            heaviest(loads, len(crash_beats), len(departed), part_beats, waiting),
            coordination.is_changing,
            self._quotas.next(quotas, now),
            self.state.has_callers,
            is_waiting,
            crash_beats,
            table_beat(configuration.watermark),
            table_beat(endpoints.watermark, departed),
            self.state.store_time.at(now),
            part_beats,
            trial_ages(trials, now),
            self.state.turned_away,
        )
        data = self._fitting(_extended(message, waiting))
        hosts = self._hosts()
        # Once more after the last request there has ended, so that it counts no longer.
        told_loads = self.cell.nodes | hosts | self._visited
        self._visited = hosts
        for peer in self._peers.values():
            if to_all or peer.node in told_loads:
                self._send_to(peer, data)

    def _hosts(self) -> frozenset[str]:
        """Return the gateways of other cells at whose endpoints requests run.

        What goes wrong if they are not told: to them an endpoint that was dealt to
        their cell has room, while it still runs what others sent before. It gets as
        many again, and callers wait there for each other's answers.
        """
        services = self.state.services.values()
        cells = self.cell.cells
        visited = {number for each in services for number in each.cells_visited}
        return frozenset(n for c in visited if c < len(cells) for n in cells[c])

    def _fitting(self, message: PeerMessage) -> bytes:
        """Return a message's bytes, without what gateways can do without if too many.

        What goes wrong with one that is too large: it is lost on the way or cut off
        by its receivers, all of them and each time. Nobody hears of the coordinator,
        and it is succeeded again and again.
        """
        data = _encode(message)
        if len(data) <= MOST_BYTES:
            return data
        self.state.oversized_messages += 1
        log_event(
            _log,
            "peer_message_too_large",
            logging.ERROR,
            bytes=len(data),
            most=MOST_BYTES,
            groups=len(message.groups),
            loads=len(message.loads),
        )
        return _encode(msgspec.structs.replace(message, groups=(), quotas=()))

    def _owes_quotas(self, now: Millis) -> bool:
        """Whether other cells need to be told of a quota that was named here."""
        is_due = now - self._sent_quotas_at >= _QUIET_MS
        return is_due and self.state.owes_quotas_to_all(self._sent_quotas_at)

    def _owes_crashes(self, now: Millis) -> bool:
        """Whether to send other cells a crash or an answer that was observed here.

        The message is repeated because some may be lost.
        """
        if self.cell.count <= 1:
            return False
        crashes, parts = self.state.crashes, self.state.crashing_parts
        then = self._sent_crashes_at
        if crashes.has_changed_locally_since(then) or parts.has_urgent_since(then):
            return True
        if self.state.part_trials.has_sent_since(then):
            return True
        if now - self._sent_crashes_at < _QUIET_MS:
            return False
        is_recent = crashes.has_changed_locally_since(now - _CRASH_REPEAT_MS)
        return is_recent or self._parts.is_behind

    def _update_parts(self) -> None:
        tracker = self.state.crashing_parts
        if tracker.changes != self._part_reports:
            self._part_reports = tracker.changes
            self._parts.update(tracker.build_reports(), tracker.take_urgent())

    def _share_quotas(self) -> None:
        """Deal the quotas of endpoints to gateways that have requests for them."""
        nodes = self.loads.nodes_with_callers
        if self.state.has_callers:
            nodes |= {self.state.settings.name}
        self.state.share_quotas(nodes)

    def _owes_all(self, coordination: Coordination, now: Millis) -> bool:
        """Whether gateways outside the cell need to be told, too.

        They hear nothing of the loads, which change many times a second. Counted
        from the last message to anybody, a busy coordinator would never owe them a
        beat: they would take over from it every few seconds, each time in the
        middle of its work.
        """
        if coordination != self._sent_to_all:
            return True
        every = _CHANGING_MS if coordination.is_changing else _QUIET_MS
        return coordination.is_repeated and now - self._sent_to_all_at >= every

    def _send_to(self, peer: Peer, data: bytes) -> None:
        try:
            self._sock.sendto(data, (peer.ip, peer.port))
        except OSError as error:
            # The next message makes up for it; a peer that is gone falls
            # silent, which the others log.
            _log.debug("a message to %s was not sent: %s", peer.node, error)

    def _own_loads(self) -> dict[int, int]:
        return {
            endpoint_hash(endpoint): load
            for service in self.state.services.values()
            for endpoint, load in service.admission.pool.loads.items()
        }

    def _take(self, message: PeerMessage, ip: str) -> None:
        settings = self.state.settings
        if message.node == settings.name or self._is_late(message):
            return
        now = self.state.clock.now()
        digest = LoadDigest(
            message.node,
            message.incarnation,
            message.sequence,
            message.loads,
            message.has_callers,
            message.is_waiting,
            message.turned_away,
            _waiting_in(message),
        )
        if message.node not in self._peers:
            log_event(_log, "peer_joined", peer=message.node, ip=ip)
            self._peers[message.node] = Peer(message.node, ip, message.port)
            self._deal_cells()
        self._peers[message.node] = Peer(message.node, ip, message.port)
        if message.node not in self.cell.nodes:
            if not self.visitors.receive(digest, now):
                return
            self._report_loads(now)
        else:
            is_known = message.node in self.loads.nodes
            if not self.loads.receive(digest, now):
                return
            if not is_known:
                log_event(_log, "peer_heard", peer=message.node)
                self._take_turn()
            self._report_loads(now)
        self._newest[message.node] = message.incarnation, message.sequence
        self.on_message(message)

    def _is_late(self, message: PeerMessage) -> bool:
        """Whether a message is no newer than the last of the same process.

        Loads are forgotten when their sender falls silent, and a late message would
        be taken again. An earlier incarnation may be a process that has started
        since, on a clock that was set back: only ``PeerLoads`` judges those.
        """
        incarnation, sequence = self._newest.get(message.node, (0, 0))
        return message.incarnation == incarnation and message.sequence <= sequence

    def _forget_silent(self) -> None:
        now = self.state.clock.now()
        silent = self.loads.expire(now)
        for node in silent:
            log_event(_log, "peer_silent", peer=node)
        if silent:
            self._take_turn()
        if self.visitors.expire(now) or silent:
            self._report_loads(now)

    def _report_waiting(self, service: GatewayService) -> None:
        """Tell a service how many requests of each class wait at other gateways."""
        if not service.admission.is_classed:
            return
        waiting = self.loads.waiting_for(service.view.name)
        nodes = len(self.loads.nodes) + 1
        if not service.is_divided and self.cell.count > 1:
            # Other cells send to the same endpoints; about as many wait in each.
            own = service.admission.queue.lengths
            pairs = zip_longest(own, waiting, fillvalue=0)
            waiting = tuple(
                (here + told) * self.cell.count - here for here, told in pairs
            )
            nodes *= self.cell.count
        service.admission.set_waiting_elsewhere(waiting, nodes - 1)

    def _report_loads(self, now: Millis) -> None:
        contenders = self.loads.waiting_node_count + 1
        for service in self.state.services.values():
            service.admission.contenders = contenders
            self._report_waiting(service)
            pool = service.admission.pool
            for endpoint in pool.endpoints:
                if now - service.dealt_at(endpoint) < _TOLD_WITHIN_MS:
                    # Until those who sent there before have told, it is not empty
                    # but unknown: taken for as busy as the others.
                    continue
                of_cell = self.loads.requests_at(endpoint) + pool.load_of(endpoint)
                if service.is_divided:
                    all_nodes = of_cell + self.visitors.requests_at(endpoint)
                else:
                    # All cells send to all endpoints: the others have about as
                    # many requests there as this one.
                    all_nodes = of_cell * self.cell.count
                pool.record_load(endpoint, LoadReport(all_nodes, 0), now)
            if service.admission.waiting:
                service.admission.pump()


def _extended(message: PeerMessage, waiting: tuple[WaitingBeat, ...]) -> PeerMessage:
    """Return a message with the fields that only some deployments need, if any."""
    if not waiting:
        return message
    return ExtendedPeerMessage(*msgspec.structs.astuple(message), waiting=waiting)


def _waiting_in(message: PeerMessage) -> dict[int, tuple[int, ...]]:
    if not isinstance(message, ExtendedPeerMessage):
        return {}
    return {beat.service: beat.waiting for beat in message.waiting}


def new_exchange(
    state: GatewayState,
    incarnation: int,
    on_message: Callable[[PeerMessage], None],
    coordination: Callable[[], Coordination],
) -> Exchange:
    """Return an exchange whose port is not open yet."""
    return Exchange(state, incarnation, on_message, coordination)
