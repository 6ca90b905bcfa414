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

from dataclasses import replace

from azurefold.core.clock import Millis
from azurefold.core.groups import messages as msg
from azurefold.core.groups.actions import (
    Action,
    GroupTiming,
    Order,
    SendToCoordinator,
    SendToRank,
)
from azurefold.core.groups.closed import Closed, refusal_of
from azurefold.core.groups.engine import (
    EngineOrder,
    EngineReply,
    EngineState,
    HoldBefore,
    PlanEntry,
    ReadState,
    StageMap,
    UseFrom,
)
from azurefold.core.groups.messages import Message, fence_of

__all__ = ["RankAgent"]


class RankAgent:
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

    def __init__(self, rank: int, size: int, timing: GroupTiming) -> None:
        self._rank = rank
        self._size = size
        self._timing = timing
        self._fence = 0
        self._engine: EngineState | None = None
        self._closed: Closed | None = None
        self._pending: tuple[EngineOrder, Message | None] | None = None

    @property
    def fence(self) -> int:
        """The highest fence of a coordinator that this agent has obeyed."""
        return self._fence

    @property
    def closed(self) -> Closed | None:
        """The undecided change that holds this rank, if any."""
        return self._closed

    @property
    def engine(self) -> EngineState | None:
        """The engine's state as last reported; None before the first report."""
        return self._engine

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

    def answered(self, reply: EngineReply, now: Millis) -> list[Action]:
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

    def tick(self, now: Millis) -> list[Action]:
        """Ask the peers for the outcome when the coordinator stays silent."""
        closed = self._closed
        if closed is None or self._pending is not None or now < closed.ask_at:
            return []
        if not self._engine.plan:
            # What happens: a replaced rank stands in for one that may have
            # opened, promised or agreed to other changes, none of which it
            # knows. Its word or a peer's could bring a map that the others have
            # left since. Only a coordinator that knows this incarnation lets it
            # in, so it neither asks nor answers.
            return []
        again = now + self._timing.retry_every
        self._closed = replace(closed, may_open=False, ask_at=again)
        return self._reopen_if_promised() or [
            SendToRank(peer, msg.Ask(closed.number, closed.step, self._rank))
            for peer in range(self._size)
            if peer != self._rank and peer not in closed.promises
        ]

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
        self._closed = Closed(engine.hold_number, engine.hold, False, now)
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
        reason = refusal_of(close, overtaken, closed, self._engine)
        if reason:
            return [self._refused(close, reason)]
        step = self._engine.next_step if close.step is None else close.step
        return self._order(HoldBefore(step, close.number), close)

    def _after_close(
        self, close: msg.Close, order: EngineOrder, reply: EngineReply, now: Millis
    ) -> list[Action]:
        if reply.accepted:
            ask_at = now + self._timing.patience
            self._closed = Closed(close.number, order.step, True, ask_at)
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
        return closed is not None and closed.obeys(order, self._engine.incarnation)

    def _on_reopen(self, message: msg.Reopen) -> list[Action]:
        closed = self._closed
        if closed is None or closed.number != message.number:
            ended = msg.Ended(message.number, self._rank)
            return [SendToCoordinator(fence_of(message.number), ended)]
        return self._reopen(closed, message)

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
        self._closed = Closed(ask.number, ask.step, False, now)
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

    def _reopen(self, closed: Closed, cause: Message) -> list[Action]:
        """Put the old map in force again, as an entry with the change's number.

        A mere release would leave no trace, and a restarted agent could then
        agree to a late copy of the close and obey a late *open*.
        """
        old = self._engine.tail.map_id
        return self._order(UseFrom(closed.step, old, closed.number), cause)

    def _is_stale(self, fence: int) -> bool:
        return fence < self._fence

    def _is_overtaken(self, number: int) -> bool:
        return number <= self._engine.highest_number

    def _order(self, order: EngineOrder, cause: Message | None) -> list[Action]:
        self._pending = (order, cause)
        return [Order(order)]

    def _agreed(self, close: msg.Close) -> SendToCoordinator:
        step, incarnation = self._closed.step, self._engine.incarnation
        agreed = msg.CloseAgreed(close.number, self._rank, step, incarnation)
        return SendToCoordinator(fence_of(close.number), agreed)

    def _refused(self, close: msg.Close, reason: str) -> SendToCoordinator:
        refusal = msg.CloseRefused(close.number, self._rank, reason)
        return SendToCoordinator(fence_of(close.number), refusal)

    def _promised(self, ask: msg.Ask) -> SendToRank:
        promise = msg.Promised(ask.number, self._rank, self._engine.tail)
        return SendToRank(ask.sender, promise)

    def _decided(self, entry: PlanEntry) -> msg.Decided:
        return msg.Decided(entry.number, self._rank, entry.from_step, entry.map_id)
