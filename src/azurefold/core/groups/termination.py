"""Termination protocol: ranks end a change whose coordinator does not respond.

A held rank asks all other ranks. If one of them has seen the change decided, it
reports the decision and the asking rank follows it. If none has, and each promises to
refuse the *open* of that change from now on, the old map is reactivated. The protocol
does not need the platform.
"""

from dataclasses import replace

from azurefold.core.clock import Millis
from azurefold.core.groups import messages as msg
from azurefold.core.groups.actions import Action, SendToRank
from azurefold.core.groups.agent_state import AgentState
from azurefold.core.groups.closed_change import ClosedChange
from azurefold.core.groups.engine import EngineReply, HoldBefore, UseFrom

__all__ = ["PeerTermination"]


class PeerTermination(AgentState):
    """The part of an agent that exchanges messages with the agents of other ranks."""

    def tick(self, now: Millis) -> list[Action]:
        """Ask the peers for the outcome if the coordinator does not respond."""
        closed = self._closed_change
        if closed is None or self._pending is not None or now < closed.ask_peers_at:
            return []
        if not self._engine.plan:
            # A replacement does not know which changes its predecessor has opened,
            # promised to refuse or agreed to. Its answers or those of a peer could
            # activate a map that the other ranks no longer use. So it neither asks nor
            # answers; only a coordinator that knows this incarnation can admit it.
            return []
        next_ask_at = now + self._timing.peer_query_interval
        self._closed_change = replace(closed, can_open=False, ask_peers_at=next_ask_at)
        return self._reopen_if_all_promised() or [
            SendToRank(peer, msg.Ask(closed.number, closed.step, self._rank))
            for peer in range(self._size)
            if peer != self._rank and peer not in closed.promises
        ]

    def _on_ask(self, ask: msg.Ask) -> list[Action]:
        engine, closed = self._engine, self._closed_change
        entry = engine.entry_of(ask.number)
        if entry is not None:
            return [SendToRank(ask.sender, self._decided_message(entry))]
        if not engine.plan:
            return []
        if closed is not None and closed.number == ask.number:
            self._closed_change = replace(closed, can_open=False)
            return [self._make_promise(ask)]
        if engine.highest_number > ask.number:
            # The engine stores a higher number, so a close of this change is refused.
            return [self._make_promise(ask)]
        if closed is not None:
            return []
        # The hold stores the change's number in the engine, so that the promise
        # survives a restart of the agent. Otherwise the restarted agent could agree to
        # a late *close*. The coordinator, now with the agreement of all ranks, would
        # open the change here while the peers have reopened it.
        return self._order_engine(HoldBefore(ask.step, ask.number), ask)

    def _after_ask_hold(
        self, ask: msg.Ask, reply: EngineReply, now: Millis
    ) -> list[Action]:
        if not reply.accepted:
            return []
        self._closed_change = ClosedChange(ask.number, ask.step, False, now)
        return [self._make_promise(ask)]

    def _on_promised(self, promise: msg.Promised) -> list[Action]:
        closed = self._closed_change
        if closed is None or closed.number != promise.number or closed.can_open:
            return []
        promises = {**closed.promises, promise.rank: promise.tail}
        self._closed_change = replace(closed, promises=promises)
        return self._reopen_if_all_promised()

    def _reopen_if_all_promised(self) -> list[Action]:
        closed, tail = self._closed_change, self._engine.tail
        if not self._has_all_promises() or not closed.can_reopen(tail):
            return []
        return self._reopen(closed, msg.Promised(closed.number, self._rank, tail))

    def _has_all_promises(self) -> bool:
        return len(self._closed_change.promises) == self._size - 1

    def _on_decided(self, decided: msg.Decided) -> list[Action]:
        closed = self._closed_change
        if closed is None or closed.number != decided.number:
            return []
        if not self._engine.plan or closed.step != decided.step:
            return []
        order = UseFrom(decided.step, decided.map_id, decided.number)
        return self._order_engine(order, decided)

    def _make_promise(self, ask: msg.Ask) -> SendToRank:
        promise = msg.Promised(ask.number, self._rank, self._engine.tail)
        return SendToRank(ask.sender, promise)
