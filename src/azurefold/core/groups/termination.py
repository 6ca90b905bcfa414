"""How ranks end a change themselves when its coordinator stays silent.

A rank that is held asks all others. One that has seen the change decided says so
and is followed. If none has, and every one promises to refuse that change's
*open* from now on, the old map is put in force again. No platform is needed.
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
    """The part of an agent that speaks with the other ranks' agents."""

    def tick(self, now: Millis) -> list[Action]:
        """Ask the peers for the outcome when the coordinator stays silent."""
        closed = self._closed
        if closed is None or self._pending is not None or now < closed.ask_peers_at:
            return []
        if not self._engine.plan:
            # What happens: a replaced rank stands in for one that may have
            # opened, promised or agreed to other changes, none of which it
            # knows. Its word or a peer's could bring a map that the others have
            # left since. Only a coordinator that knows this incarnation lets it
            # in, so it neither asks nor answers.
            return []
        again = now + self._timing.peer_query_interval
        self._closed = replace(closed, may_open=False, ask_peers_at=again)
        return self._reopen_if_promised() or [
            SendToRank(peer, msg.Ask(closed.number, closed.step, self._rank))
            for peer in range(self._size)
            if peer != self._rank and peer not in closed.promises
        ]

    def _on_ask(self, ask: msg.Ask) -> list[Action]:
        engine, closed = self._engine, self._closed
        entry = engine.entry_of(ask.number)
        if entry is not None:
            return [SendToRank(ask.sender, self._decided(entry))]
        if not engine.plan:
            return []
        if closed is not None and closed.number == ask.number:
            self._closed = replace(closed, may_open=False)
            return [self._promised(ask)]
        if engine.highest_number > ask.number:
            return [self._promised(ask)]
        if closed is not None:
            return []
        # What would go wrong without the hold: this rank promises, its agent
        # restarts and forgets, a late *close* finds it willing, and the
        # coordinator, now with every agreement, opens the change here while the
        # peers have reopened. The hold leaves the change's number in the engine,
        # so the successor knows.
        return self._order(HoldBefore(ask.step, ask.number), ask)

    def _after_join(
        self, ask: msg.Ask, reply: EngineReply, now: Millis
    ) -> list[Action]:
        if not reply.accepted:
            return []
        self._closed = ClosedChange(ask.number, ask.step, False, now)
        return [self._promised(ask)]

    def _on_promised(self, promise: msg.Promised) -> list[Action]:
        closed = self._closed
        if closed is None or closed.number != promise.number or closed.may_open:
            return []
        promises = {**closed.promises, promise.rank: promise.tail}
        self._closed = replace(closed, promises=promises)
        return self._reopen_if_promised()

    def _reopen_if_promised(self) -> list[Action]:
        closed, tail = self._closed, self._engine.tail
        if not self._has_all_promises() or not closed.can_reopen(tail):
            return []
        return self._reopen(closed, msg.Promised(closed.number, self._rank, tail))

    def _has_all_promises(self) -> bool:
        return len(self._closed.promises) == self._size - 1

    def _on_decided(self, decided: msg.Decided) -> list[Action]:
        closed = self._closed
        if closed is None or closed.number != decided.number:
            return []
        if not self._engine.plan or closed.step != decided.step:
            return []
        order = UseFrom(decided.step, decided.map_id, decided.number)
        return self._order(order, decided)

    def _promised(self, ask: msg.Ask) -> SendToRank:
        promise = msg.Promised(ask.number, self._rank, self._engine.tail)
        return SendToRank(ask.sender, promise)
