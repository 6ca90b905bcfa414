"""This gateway among the others: its row, the exchange, and the coordinator."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

import gevent
import msgspec

from azurefold.border.decoding import (
    Port,
    UnreadableError,
    check_ip,
    json_decoder,
)
from azurefold.core.clock import Millis
from azurefold.core.routing.quotas import QuotaReport
from azurefold.gateway.groups.coordinator import Coordinator, new_coordinator
from azurefold.gateway.peers.exchange import Exchange, Peer, new_exchange
from azurefold.gateway.peers.messages import PeerMessage
from azurefold.gateway.peers.permits import Permits, new_permits
from azurefold.gateway.peers.portions import (
    crash_report,
    limit_age,
    news_of_group,
    sent_at,
    table_statement,
)
from azurefold.gateway.peers.reach import Reach
from azurefold.gateway.state import GatewayState
from azurefold.gateway.store.news import News
from azurefold.internal.logs import log_event
from azurefold.platform import names
from azurefold.platform.store import StoreClient
from azurefold.platform.store_messages import (
    Applied,
    RowKey,
    RowWrite,
    StoredRow,
    Unavailable,
)

__all__ = ["Peers", "new_peers"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_RETRY_MS: Millis = 700
_READ_EVERY_MS: Millis = 20_000
"""Peers are also learned from their messages; this finds those that started
while we could not be reached."""

_REWRITE_WITHIN_MS: Millis = 1_500
"""After a return of the store. Hundreds of gateways that all write at once would exceed
what it takes."""

_POSITIONS = 8
"""Places among which nodes spread when the coordinator falls silent."""

_QUICK_LINK_MBPS = 80.0
"""The orders of one map change to 72 ranks are 0.7 MB: 60 ms on a link of 100 Mbit/s,
0.3 s on one of 20, in which the VM's streams stand still and its beats are lost."""


class _Node(msgspec.Struct, frozen=True):
    ip: str
    port: Port


_decode_node = json_decoder(_Node)


@dataclass(slots=True)
class Peers:
    """What this gateway does together with the others.

    Parameters
    ----------
    state : GatewayState
    store : StoreClient
    exchange : Exchange
    coordinator : Coordinator
    reach : Reach
    permits : Permits
    """

    state: GatewayState
    store: StoreClient
    exchange: Exchange
    coordinator: Coordinator
    reach: Reach
    permits: Permits

    @property
    def address(self) -> str:
        """``"ip:port"`` at which the others reach this gateway."""
        return f"{self.state.settings.ip}:{self.state.settings.peers_port}"

    def open(self) -> None:
        """Open the port.

        Raises
        ------
        OSError
            If it is taken.
        """
        self.exchange.open()

    def loops(self) -> tuple[Callable[[], None], ...]:
        """Return the loops to run once the port is open."""
        return (
            self._be_known,
            self.exchange.receive_for_ever,
            self.exchange.send_for_ever,
            self.coordinator.run,
            self.reach.watch_for_ever,
            self.permits.hold_for_ever,
            self.permits.ask_for_ever,
        )

    def leave(self) -> None:
        """Take this gateway's row away, so that nobody sends it messages."""
        gevent.spawn(self.store.transact, removes=[self._row])

    @property
    def _row(self) -> RowKey:
        return RowKey(names.NODES, self.state.settings.name)

    def _be_known(self) -> None:
        """Write this gateway's row, then look who else is there, for ever."""
        self._write_row()
        while True:
            self._read_peers()
            if self.state.store_returned.wait(_READ_EVERY_MS / _SECOND_MS):
                self._be_known_again()

    def _write_row(self) -> None:
        settings = self.state.settings
        value = msgspec.json.encode(_Node(settings.ip, settings.peers_port))
        write = RowWrite(self._row, value)
        while not isinstance(self.store.transact(writes=[write]), Applied):
            gevent.sleep(_RETRY_MS * (0.5 + self.state.draw.random()) / _SECOND_MS)

    def _read_peers(self) -> None:
        while isinstance(listed := self.store.read_table(names.NODES), Unavailable):
            gevent.sleep(_RETRY_MS / _SECOND_MS)
        self.exchange.set_peers([peer for row in listed.rows if (peer := _peer(row))])
        self.exchange.send(at_once=True)

    def _be_known_again(self) -> None:
        """Write this gateway's row anew, and wait until the others have theirs.

        What goes wrong if the list is read sooner: it lacks gateways that started after
        the copy was made, and each of the others takes a larger part of what all of
        them share.
        """
        self.state.store_returned.clear()
        gevent.sleep(_REWRITE_WITHIN_MS * self.state.draw.random() / _SECOND_MS)
        if self.state.draining:
            self.leave()
        else:
            self._write_row()
        gevent.sleep(_REWRITE_WITHIN_MS / _SECOND_MS)


def new_peers(state: GatewayState, store: StoreClient, news: News) -> Peers:
    """Return this gateway's part among the others, not yet running."""
    incarnation = time.time_ns() // 1_000_000
    position = _position(state.settings.name, state.settings.link_mbps)

    def peers_heard() -> tuple[int, int]:
        return len(exchange.loads.nodes), len(exchange.cell.nodes) - 1

    coordinator = new_coordinator(state, store, incarnation, position, peers_heard)

    reach = Reach(state)

    def on_message(message: PeerMessage) -> None:
        reach.isolation.record_message(message.node, state.clock.now())
        state.note_peer_version(message.version)
        coordinator.heard(message)
        for beat in message.groups:
            state.group_told(news_of_group(beat))
        sent = sent_at(message, state.clock.now(), state.store_now)
        for beat in message.quotas:
            word = QuotaReport(beat.rate, sent - limit_age(beat.age))
            state.quota_told(beat.endpoint, word, message.node)
        for beat in message.crashes:
            now = state.clock.now()
            state.crashes.merge(beat.identity, crash_report(beat, now), now)
        for beat in message.parts:
            now = state.clock.now()
            state.crashing_parts.merge(beat.identity, crash_report(beat, sent), now)
        for group, age in message.trials:
            state.part_trials.record(group, sent - limit_age(age))
        if message.endpoints is not None and message.endpoints.departed:
            state.endpoints_told_departed(message.endpoints.departed, message.node)
        news.merge_statements(
            table_statement(message.configuration), table_statement(message.endpoints)
        )

    exchange = new_exchange(
        state,
        incarnation,
        on_message,
        coordination=lambda: coordinator.coordination,
    )
    permits = new_permits(state, store, exchange, incarnation)
    return Peers(state, store, exchange, coordinator, reach, permits)


def _position(node: str, link_mbps: float) -> int:
    """Return a node's place among those that may coordinate; slow links come last."""
    place = crc32(node.encode()) % _POSITIONS
    return place if link_mbps >= _QUICK_LINK_MBPS else place + _POSITIONS


def _peer(row: StoredRow) -> Peer | None:
    try:
        node = _decode_node(row.value)
        check_ip(node.ip)
    except UnreadableError as error:
        log_event(_log, "peer_unreadable", logging.ERROR, peer=row.key, why=error)
        return None
    return Peer(row.key, node.ip, node.port)
