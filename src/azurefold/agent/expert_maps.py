"""Drives a rank's part in changes of its group's expert map.

This process decides nothing: it carries messages and engine orders to and from
:class:`~azurefold.core.groups.agent.RankAgent`, one at a time.
"""

import logging
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent.lock import Semaphore
from prometheus_client import CollectorRegistry, Counter

from azurefold.agent.expert_maps_engine import (
    EngineFailedError,
    RankEngine,
    rank_engine,
)
from azurefold.border.settings import AgentSettings
from azurefold.core.clock import Clock, Millis
from azurefold.core.groups.actions import (
    Action,
    GroupTiming,
    SendToCoordinator,
    SendToEngine,
    SendToRank,
)
from azurefold.core.groups.agent import RankAgent
from azurefold.core.groups.messages import Ask, Message
from azurefold.internal.identity import Identity
from azurefold.internal.logs import log_event
from azurefold.internal.process_limits import new_process_limits
from azurefold.wire.group_maps import (
    METHOD_GET_EXPERTS,
    METHOD_PUT_MAP,
    ExpertsReply,
    GetExperts,
    PutMap,
    PutMapReply,
)
from azurefold.wire.group_messages import (
    METHOD_RANK_MESSAGE,
    RankMessage,
    RankReply,
    envelope,
    opened,
)
from azurefold.wire.grpc_caller import Caller, CallError, caller
from azurefold.wire.grpc_service import Server, UnaryHandler, serve, use_gevent
from azurefold.wire.seal import Opened

__all__ = ["ExpertMaps", "new_expert_maps"]

_log = logging.getLogger("azurefold.agent")

_SECOND_MS = 1_000
_TICK_MS: Millis = 50
_RESTART_MS: Millis = 200
_TURN_MS: Millis = 100
_CALL_TIMEOUT_MS: Millis = 500
_WORKERS = 16
_GRACE_MS: Millis = 200


@dataclass(slots=True)
class ExpertMaps:
    """The agent's side of the group protocol on the wire.

    Parameters
    ----------
    group : str
    rank, size : int
    engine : RankEngine
    peers : dict of int to Caller
        The agents of the other ranks.
    clock : Clock
        Monotonic.
    messages, restarts : Counter
        Messages handled by type; times that the engine gave no answer.
    """

    group: str
    rank: int
    size: int
    engine: RankEngine
    peers: dict[int, Caller]
    clock: Clock
    messages: Counter
    restarts: Counter
    agent: RankAgent = field(init=False)
    server: Server | None = None
    _turn: Semaphore = field(default_factory=Semaphore)
    _started: bool = False

    def __post_init__(self) -> None:
        self.agent = self._new_agent()

    def run(self) -> None:
        """Start the state machine and tick for ever."""
        while True:
            with self._turn:
                if self._started:
                    self._send_all(self._follow(self.agent.tick(self.clock.now())))
                else:
                    self._start()
            wait = _TICK_MS if self._started else _RESTART_MS
            gevent.sleep(wait / _SECOND_MS)

    def handle(self, request: RankMessage, sender: Opened) -> RankReply:
        """Take a message and return what answers its sender."""
        meant = (request.group, request.rank, request.size)
        if meant != (self.group, self.rank, self.size):
            self.messages.labels(kind="foreign").inc()
            return RankReply()
        try:
            message = opened(request.content)
        except msgspec.ValidationError:
            self.messages.labels(kind="malformed").inc()
            return RankReply()
        return RankReply(tuple(envelope(each) for each in self._receive(message)))

    def give_experts(self, request: GetExperts, sender: Opened) -> ExpertsReply:
        """Return what the engine reports of its experts."""
        if (request.group, request.rank) != (self.group, self.rank):
            return ExpertsReply()
        try:
            return ExpertsReply(self.engine.experts())
        except EngineFailedError as error:
            log_event(_log, "no_report", logging.WARNING, why=error)
            return ExpertsReply()

    def put_map(self, request: PutMap, sender: Opened) -> PutMapReply:
        """Pass the content of a map on to the engine; it is not in use yet."""
        if (request.group, request.rank) != (self.group, self.rank):
            return PutMapReply(False)
        try:
            self.engine.put_map(request.content)
        except EngineFailedError as error:
            log_event(_log, "map_not_stored", logging.WARNING, why=error)
            return PutMapReply(False)
        return PutMapReply(True)

    def stop(self) -> None:
        """Take no more messages; the engine goes on by its plan."""
        self.server.stop(_GRACE_MS)

    def status(self) -> dict:
        """Return what an operator may want to see."""
        engine, closed = self.agent.engine, self.agent.closed_change
        tail = engine.tail if engine else None
        return {
            "group": self.group,
            "rank": self.rank,
            "fence": self.agent.fence,
            "map": tail.map_id if tail else None,
            "closed_at": closed.step if closed else None,
        }

    def _receive(self, message: Message) -> list[Message]:
        # Repeats queue up here behind an engine that is slow with an order. They
        # are dropped after a moment, as their senders repeat themselves.
        if not self._turn.acquire(timeout=_TURN_MS / _SECOND_MS):
            self.messages.labels(kind="dropped").inc()
            return []
        try:
            self.messages.labels(kind=type(message).__name__).inc()
            sends = self._follow(self.agent.receive(message, self.clock.now()))
        finally:
            self._turn.release()
        answers = [send for send in sends if _answers(send, message)]
        self._send_all([send for send in sends if send not in answers])
        return [send.message for send in answers]

    def _follow(self, actions: list[Action]) -> list[SendToRank | SendToCoordinator]:
        """Carry out engine orders until only messages are left to send."""
        sends = []
        while actions:
            action = actions.pop(0)
            if not isinstance(action, SendToEngine):
                sends.append(action)
                continue
            try:
                reply = self.engine.give(action.order)
            except EngineFailedError as error:
                self._engine_failed(error)
                return sends
            actions += self.agent.receive_engine_reply(reply, self.clock.now())
        return sends

    def _start(self) -> None:
        self._started = True
        self._send_all(self._follow(self.agent.start()))

    def _engine_failed(self, error: EngineFailedError) -> None:
        """Begin again from what the engine stores.

        Whether the order was carried out is not known, so neither is whether
        this agent has agreed or promised something.
        """
        log_event(_log, "engine_failed", logging.WARNING, why=error)
        self.restarts.inc()
        self.agent = self._new_agent()
        self._started = False

    def _new_agent(self) -> RankAgent:
        return RankAgent(self.rank, self.size, GroupTiming())

    def _send_all(self, sends: list[Action]) -> None:
        for send in sends:
            # Each answer to a coordinator goes back in its own call; what is left
            # here goes to peers.
            if isinstance(send, SendToRank):
                gevent.spawn(self._send, send)

    def _send(self, send: SendToRank) -> None:
        peer = self.peers.get(send.rank)
        if peer is None:
            return
        request = RankMessage(self.group, send.rank, self.size, envelope(send.message))
        try:
            reply = peer.call(METHOD_RANK_MESSAGE, request, RankReply, _CALL_TIMEOUT_MS)
            answers = [opened(content) for content in reply.contents]
        except (CallError, msgspec.ValidationError) as error:
            log_event(_log, "peer_failed", peer=send.rank, why=error)
            return
        for answer in answers:
            self._receive(answer)


def _answers(send: SendToRank | SendToCoordinator, message: Message) -> bool:
    match send, message:
        case SendToCoordinator(), _:
            return True
        case SendToRank(rank=rank), Ask(sender=sender):
            return rank == sender
    return False


def new_expert_maps(
    settings: AgentSettings,
    identity: Identity,
    clock: Clock,
    registry: CollectorRegistry,
    rejected: Counter,
) -> ExpertMaps:
    """Return a rank's part in its group, with its port open."""
    use_gevent()
    maps = ExpertMaps(
        group=settings.group,
        rank=settings.rank,
        size=len(settings.peers) + 1,
        engine=rank_engine(settings.engine),
        peers=_callers(settings, identity),
        clock=clock,
        messages=Counter(
            "azurefold_agent_map_messages_total",
            "Messages on expert maps by type",
            ["kind"],
            registry=registry,
        ),
        restarts=Counter(
            "azurefold_agent_engine_failures_total",
            "Engine orders on expert maps that got no answer",
            registry=registry,
        ),
    )
    limits = new_process_limits(descriptors=settings.descriptors)
    maps.server = serve(
        settings.grpc,
        (
            UnaryHandler(METHOD_RANK_MESSAGE, RankMessage, maps.handle),
            UnaryHandler(METHOD_GET_EXPERTS, GetExperts, maps.give_experts),
            UnaryHandler(METHOD_PUT_MAP, PutMap, maps.put_map),
        ),
        identity.ring,
        lambda reason: rejected.labels(reason=str(reason)).inc(),
        sealer=identity.sealer,
        guard=identity.guard,
        clock=identity.wall,
        workers=_WORKERS,
        max_connections=limits.rpc_connections,
    )
    return maps


def _callers(settings: AgentSettings, identity: Identity) -> dict[int, Caller]:
    others = [rank for rank in range(len(settings.peers) + 1) if rank != settings.rank]
    return {
        rank: caller(peer.grpc, identity.ring, identity.sealer, recipient=peer.endpoint)
        for rank, peer in zip(others, settings.peers, strict=False)
    }
