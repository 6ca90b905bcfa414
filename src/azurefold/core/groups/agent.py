"""The rank's side of a map change, held in the agent beside its engine.

The agent never moves a step forward or back by itself: it places holds and plan
entries in the engine, which goes on by its plan when the agent dies. Each change
ends at a rank with exactly one plan entry that bears its number, either the new
map (opened) or the old one again (reopened).

Why a change cannot end in two ways: opening needs a rank that agreed and has not
promised; reopening by the ranks themselves needs the promise of *every* rank
that it has not opened and never will on the coordinator's word. A promise must
outlive the agent, so it is given only where the engine holds a trace of the
change; a restarted agent that finds such a trace counts itself as promised.
"""

from azurefold.core.clock import Millis
from azurefold.core.groups import messages as msg
from azurefold.core.groups.actions import (
    Action,
    SendToCoordinator,
)
from azurefold.core.groups.closed_change import ClosedChange, close_refusal_reason
from azurefold.core.groups.engine import (
    EngineOrder,
    EngineReply,
    HoldBefore,
    ReadState,
    StageMap,
    UseFrom,
)
from azurefold.core.groups.messages import Message
from azurefold.core.groups.order_numbers import fence_of
from azurefold.core.groups.termination import PeerTermination

__all__ = ["RankAgent"]


class RankAgent(PeerTermination):
    """State machine of one rank's agent.

    One engine order is out at a time; what arrives meanwhile is dropped, because
    every sender repeats itself. A process whose engine does not answer makes a
    new agent, which reads the engine before it does anything else.

    Parameters
    ----------
    rank, size : int
        This rank and the number of ranks in the group.
    timing : GroupTiming
        Waits of the protocol.
    """

    def start(self) -> list[Action]:
        """Read the engine; until it has answered, every message is dropped."""
        return self._order(ReadState(), None)

    def receive(self, message: Message, now: Millis) -> list[Action]:
        """Handle a message from a coordinator or a peer."""
        if self._engine is None or self._pending is not None:
            return []
        match message:
            case msg.Ask():
                return self._on_ask(message)
            case msg.Promised():
                return self._on_promised(message)
            case msg.Decided():
                return self._on_decided(message)
            case msg.Query() | msg.Stage():
                fence = message.fence
            case msg.Close() | msg.Open() | msg.Reopen():
                fence = fence_of(message.number)
            case _:
                return []
        if self._is_stale(fence):
            return [SendToCoordinator(fence, msg.Superseded(self._rank, self._fence))]
        self._fence = max(self._fence, fence)
        return self._on_coordinator(message)

    def receive_engine_reply(self, reply: EngineReply, now: Millis) -> list[Action]:
        """Handle the engine's reply to the order that is out."""
        if self._pending is None:
            return []
        order, cause = self._pending
        self._pending = None
        first = self._engine is None
        self._engine = reply.state
        if first:
            return self._recover(now)
        match cause:
            case msg.Query(fence, token):
                status = msg.Status(token, self._rank, reply.state)
                return [SendToCoordinator(fence, status)]
            case msg.Stage(fence, map_id) if map_id in reply.state.staged:
                return [SendToCoordinator(fence, msg.Staged(self._rank, map_id))]
            case msg.Close():
                return self._after_close(cause, order, reply, now)
            case msg.Ask():
                return self._after_join(cause, reply, now)
            case msg.Open() | msg.Reopen() | msg.Promised() | msg.Decided():
                return self._after_use(cause, reply)
        return []

    def _recover(self, now: Millis) -> list[Action]:
        """Take up what the engine still holds from this agent's predecessor."""
        engine = self._engine
        self._fence = max(self._fence, fence_of(engine.highest_number))
        if engine.hold is None:
            return []
        # What would go wrong: the predecessor may have promised to refuse this
        # change, and its peers may have gone back to the old map on the strength
        # of it. A late *open*, obeyed now, would put this rank alone on the new
        # one. So the restarted agent never opens on the coordinator's word, only
        # on a peer's that has seen the end of the change.
        self._closed = ClosedChange(engine.hold_number, engine.hold, False, now)
        return []

    def _on_coordinator(self, message: Message) -> list[Action]:
        match message:
            case msg.Query():
                return self._order(ReadState(), message)
            case msg.Stage(map_id=map_id):
                return self._order(StageMap(map_id), message)
            case msg.Close():
                return self._on_close(message)
            case msg.Open():
                return self._on_open(message)
            case msg.Reopen():
                return self._on_reopen(message)
        return []

    def _on_close(self, close: msg.Close) -> list[Action]:
        closed = self._closed
        if closed is not None and closed.number == close.number and closed.may_open:
            return [self._agreed(close)]
        overtaken = self._is_overtaken(close.number)
        reason = close_refusal_reason(close, overtaken, closed, self._engine)
        if reason:
            return [self._refused(close, reason)]
        step = self._engine.next_step if close.step is None else close.step
        return self._order(HoldBefore(step, close.number), close)

    def _after_close(
        self, close: msg.Close, order: EngineOrder, reply: EngineReply, now: Millis
    ) -> list[Action]:
        if reply.accepted:
            ask_peers_at = now + self._timing.coordinator_timeout
            self._closed = ClosedChange(close.number, order.step, True, ask_peers_at)
            return [self._agreed(close)]
        reached = reply.state.next_step
        if close.step is None and reached > order.step:
            return self._order(HoldBefore(reached, close.number), close)
        return [self._refused(close, "the step has begun")]

    def _on_open(self, order: msg.Open) -> list[Action]:
        entry = self._engine.entry_of(order.number)
        if entry is not None:
            return [SendToCoordinator(fence_of(order.number), self._decided(entry))]
        if not self._may_open(order):
            refusal = msg.OpenRefused(order.number, self._rank)
            return [SendToCoordinator(fence_of(order.number), refusal)]
        return self._order(UseFrom(order.step, order.map_id, order.number), order)

    def _may_open(self, order: msg.Open) -> bool:
        closed = self._closed
        return closed is not None and closed.accepts_open(
            order, self._engine.incarnation
        )

    def _on_reopen(self, message: msg.Reopen) -> list[Action]:
        closed = self._closed
        if closed is None or closed.number != message.number:
            ended = msg.Ended(message.number, self._rank)
            return [SendToCoordinator(fence_of(message.number), ended)]
        return self._reopen(closed, message)

    def _after_use(self, cause: Message, reply: EngineReply) -> list[Action]:
        if not reply.accepted:
            return []
        self._closed = None
        fence = fence_of(cause.number)
        match cause:
            case msg.Open(number=number):
                entry = reply.state.entry_of(number)
                return [SendToCoordinator(fence, self._decided(entry))]
            case msg.Reopen(number):
                return [SendToCoordinator(fence, msg.Ended(number, self._rank))]
        return []

    def _agreed(self, close: msg.Close) -> SendToCoordinator:
        step, incarnation = self._closed.step, self._engine.incarnation
        agreed = msg.CloseAgreed(close.number, self._rank, step, incarnation)
        return SendToCoordinator(fence_of(close.number), agreed)

    def _refused(self, close: msg.Close, reason: str) -> SendToCoordinator:
        refusal = msg.CloseRefused(close.number, self._rank, reason)
        return SendToCoordinator(fence_of(close.number), refusal)
