"""The agent's reports of its endpoint to the control processes near it."""

from dataclasses import dataclass

import gevent
from prometheus_client import Counter

from azurefold.agent.runner import Runner
from azurefold.border.settings import AgentSettings
from azurefold.core.clock import Millis
from azurefold.core.configuration.messages import HeadAnnouncement
from azurefold.core.membership.endpoints import NO_RANK, Endpoint, State
from azurefold.core.membership.messages import Send, Source
from azurefold.core.membership.presence import Presence
from azurefold.internal.http_server import split_address
from azurefold.internal.identity import Identity
from azurefold.wire.messages import AnyMessage
from azurefold.wire.udp import DatagramPort, datagram_port

__all__ = ["Heartbeats", "new_heartbeats"]

_SECOND_MS = 1_000
_TICK_MS: Millis = 250
_HUNDRED = 100


@dataclass(slots=True)
class Heartbeats:
    """Announces the endpoint, reports its load, and tells when it leaves."""

    presence: Presence
    runner: Runner
    _port: DatagramPort | None = None

    @property
    def controls(self) -> tuple[str, ...]:
        """Datagram addresses of the control processes known."""
        return self.presence.controls

    def open(self, port: DatagramPort) -> None:
        """Use ``port`` from now on."""
        self._port = port
        port.start()

    def run(self) -> None:
        """Report for ever."""
        self._send(self.presence.announce(State.SERVING, self._now()))
        while True:
            gevent.sleep(_TICK_MS / _SECOND_MS)
            self.tick()

    def tick(self) -> None:
        """Report what is due now."""
        ledger = self.runner.ledger
        self.presence.set_load(_HUNDRED * ledger.running_count // ledger.max_running)
        self._send(self.presence.tick(self._now()))

    def announce(self, state: State) -> None:
        """Tell at once that the endpoint is leaving, or that it is gone."""
        self._send(self.presence.announce(state, self._now()))

    def receive(self, message: AnyMessage, source: Source) -> list[Send]:
        """Take a datagram whose seal was good."""
        if isinstance(message, HeadAnnouncement):
            return []
        return self.presence.receive(message, source.origin, self._now())

    def _now(self) -> Millis:
        return self.runner.clock.now()

    def _send(self, sends: list[Send]) -> None:
        self._port.send(sends)


def new_heartbeats(
    settings: AgentSettings, identity: Identity, runner: Runner, rejected: Counter
) -> Heartbeats:
    """Return the heartbeats of an agent, with their port open."""
    own = Endpoint(
        name=settings.endpoint,
        incarnation=identity.incarnation,
        address=settings.http,
        udp_port=split_address(settings.udp)[1],
        service=settings.service,
        rank=NO_RANK if settings.rank is None else settings.rank,
        orders_port=0 if settings.group is None else split_address(settings.grpc)[1],
    )
    seeds = tuple(control.udp for control in settings.controls)
    heartbeats = Heartbeats(Presence(own, runner.clock.now(), seeds), runner)
    port = datagram_port(
        settings.udp,
        identity.ring,
        identity.sealer,
        heartbeats.receive,
        lambda reason: rejected.labels(reason=str(reason)).inc(),
        guard=identity.guard,
        bind=settings.udp_bind,
    )
    heartbeats.open(port)
    return heartbeats
