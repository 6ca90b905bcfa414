"""Participant in a map change: the agent of one rank, which controls its engine.

The agent only places holds and plan entries in the engine. If the agent dies, the
engine continues with its plan. Each change ends at a rank with exactly one plan entry
that has the number of the change, either for the new map (opened) or for the old one
again (reopened).

A change cannot end in two ways. If the coordinator does not respond, the ranks reopen
the change by themselves, but only if *every* rank has promised the others that it has
not opened the change and will refuse the coordinator's *open*. A rank opens a change
only if it has agreed to the close and has not made this promise. A promise must
survive a restart of the agent, so it is made only if the engine stores the number of
the change. A restarted agent that finds such a number acts as if it had promised.
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

    At most one engine order is in flight. Messages that arrive meanwhile are dropped,
    because every sender retries. If the engine does not answer, the process creates a
    new agent, which reads the engine's state before anything else.

    Parameters
    ----------
    rank, size : int
        Number of this rank, and number of ranks in the group.
    timing : GroupTiming
        Timeouts and retry intervals of the protocol.
    """

    def start(self) -> list[Action]:
        """Read the engine's state; messages are dropped until it has answered."""
        return self._order_engine(ReadState(), None)

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
        return self._on_coordinator_message(message)

    def receive_engine_reply(self, reply: EngineReply, now: Millis) -> list[Action]:
        """Handle the engine's reply to the order in flight."""
        if self._pending is None:
            return []
        order, cause = self._pending
        self._pending = None
        is_first_reply = self._engine is None
        self._engine = reply.state
        if is_first_reply:
            return self._restore_from_engine(now)
        match cause:
            case msg.Query(fence, token):
                status = msg.Status(token, self._rank, reply.state)
                return [SendToCoordinator(fence, status)]
            case msg.Stage(fence, map_id) if map_id in reply.state.staged:
                return [SendToCoordinator(fence, msg.Staged(self._rank, map_id))]
            case msg.Close():
                return self._after_close(cause, order, reply, now)
            case msg.Ask():
                return self._after_ask_hold(cause, reply, now)
            case msg.Open() | msg.Reopen() | msg.Promised() | msg.Decided():
                return self._after_use_from(cause, reply)
        return []

    def _restore_from_engine(self, now: Millis) -> list[Action]:
        """Restore the fence and the closed change from the engine's state."""
        engine = self._engine
        self._fence = max(self._fence, fence_of(engine.highest_number))
        if engine.hold is None:
            return []
        # The previous agent process may have promised to refuse this change, and the
        # peers may have reopened the old map because of that. If a late *open* were
        # accepted now, this rank alone would use the new map. So the restarted agent
        # opens only after a peer has reported the decision, never for the coordinator.
        self._closed_change = ClosedChange(engine.hold_number, engine.hold, False, now)
        return []

    def _on_coordinator_message(self, message: Message) -> list[Action]:
        match message:
            case msg.Query():
                return self._order_engine(ReadState(), message)
            case msg.Stage(map_id=map_id):
                return self._order_engine(StageMap(map_id), message)
            case msg.Close():
                return self._on_close(message)
            case msg.Open():
                return self._on_open(message)
            case msg.Reopen():
                return self._on_reopen(message)
        return []

    def _on_close(self, close: msg.Close) -> list[Action]:
        closed = self._closed_change
        if closed is not None and closed.number == close.number and closed.can_open:
            return [self._close_agreed(close)]
        is_superseded = self._is_superseded(close.number)
        reason = close_refusal_reason(close, is_superseded, closed, self._engine)
        if reason:
            return [self._close_refused(close, reason)]
        step = self._engine.next_step if close.step is None else close.step
        return self._order_engine(HoldBefore(step, close.number), close)

    def _after_close(
        self, close: msg.Close, order: EngineOrder, reply: EngineReply, now: Millis
    ) -> list[Action]:
        if reply.accepted:
            ask_peers_at = now + self._timing.coordinator_timeout
            self._closed_change = ClosedChange(
                close.number, order.step, True, ask_peers_at
            )
            return [self._close_agreed(close)]
        next_step = reply.state.next_step
        if close.step is None and next_step > order.step:
            return self._order_engine(HoldBefore(next_step, close.number), close)
        return [self._close_refused(close, "the step has begun")]

    def _on_open(self, order: msg.Open) -> list[Action]:
        entry = self._engine.entry_of(order.number)
        if entry is not None:
            return [
                SendToCoordinator(fence_of(order.number), self._decided_message(entry))
            ]
        if not self._can_open(order):
            refusal = msg.OpenRefused(order.number, self._rank)
            return [SendToCoordinator(fence_of(order.number), refusal)]
        return self._order_engine(
            UseFrom(order.step, order.map_id, order.number), order
        )

    def _can_open(self, order: msg.Open) -> bool:
        closed = self._closed_change
        return closed is not None and closed.accepts_open(
            order, self._engine.incarnation
        )

    def _on_reopen(self, message: msg.Reopen) -> list[Action]:
        closed = self._closed_change
        if closed is None or closed.number != message.number:
            ended = msg.Ended(message.number, self._rank)
            return [SendToCoordinator(fence_of(message.number), ended)]
        return self._reopen(closed, message)

    def _after_use_from(self, cause: Message, reply: EngineReply) -> list[Action]:
        if not reply.accepted:
            return []
        self._closed_change = None
        fence = fence_of(cause.number)
        match cause:
            case msg.Open(number=number):
                entry = reply.state.entry_of(number)
                return [SendToCoordinator(fence, self._decided_message(entry))]
            case msg.Reopen(number):
                return [SendToCoordinator(fence, msg.Ended(number, self._rank))]
        return []

    def _close_agreed(self, close: msg.Close) -> SendToCoordinator:
        step, incarnation = self._closed_change.step, self._engine.incarnation
        agreed = msg.CloseAgreed(close.number, self._rank, step, incarnation)
        return SendToCoordinator(fence_of(close.number), agreed)

    def _close_refused(self, close: msg.Close, reason: str) -> SendToCoordinator:
        refusal = msg.CloseRefused(close.number, self._rank, reason)
        return SendToCoordinator(fence_of(close.number), refusal)
