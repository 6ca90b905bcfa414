"""The coordinator's side of a map change.

It holds a lease of the platform's table whose number is its fence, and keeps
nothing that must outlive it: its successor asks the ranks. A healthy group is
changed without a pause (stage, check, close some steps ahead, open). A group in
which a change is undecided, plans differ or a rank was replaced is recovered:
every rank stops as soon as possible and, when all have, gets one map from there.

A recovery is never reopened by the coordinator, because its ranks may differ in
what they would reopen; it is repeated under a higher number instead.
"""

from azurefold.core.clock import Millis
from azurefold.core.groups.actions import Action, GroupTiming, SendToRank
from azurefold.core.groups.engine import EngineState
from azurefold.core.groups.health import is_healthy, recovery_map
from azurefold.core.groups.lead_time import LeadTimePolicy, StepTimeEstimate, lead_steps
from azurefold.core.groups.messages import (
    Close,
    CloseAgreed,
    CloseRefused,
    Decided,
    Ended,
    Message,
    Open,
    OpenRefused,
    Query,
    Reopen,
    Stage,
    Staged,
    Status,
    Superseded,
)
from azurefold.core.groups.order_numbers import order_number
from azurefold.core.groups.phases import (
    ChangeInProgressError,
    Checking,
    Closing,
    Deposed,
    Idle,
    Opening,
    Outcome,
    Phase,
    Reopening,
    Staging,
)

__all__ = ["Coordinator"]


class Coordinator:
    """State machine of the holder of a group's lease.

    Parameters
    ----------
    fence : int
        The number of the lease.
    size : int
        Ranks in the group.
    fallback_map : str
        The map for a group all of whose ranks were replaced.
    timing : GroupTiming
        Waits of the protocol.
    lead_policy : LeadTimePolicy
        How far ahead to close.
    """

    def __init__(
        self,
        fence: int,
        size: int,
        fallback_map: str,
        timing: GroupTiming,
        lead_policy: LeadTimePolicy,
    ) -> None:
        self._fence = fence
        self._size = size
        self._fallback_map = fallback_map
        self._timing = timing
        self._lead_policy = lead_policy
        self._serial = 0
        self._phase: Phase = Idle(0)
        self._replies: dict[int, Message] = {}
        self._entered_at: Millis = 0
        self._retry_at: Millis = 0
        self._retry_after: Millis = timing.first_retry_delay
        self._target: str | None = None
        self._outcome: Outcome | None = None
        self._finished_count = 0
        self._active_map: str | None = None
        self._step_time_estimate = StepTimeEstimate()

    @property
    def fence(self) -> int:
        """The number of the lease."""
        return self._fence

    @property
    def phase(self) -> Phase:
        """What the coordinator is waiting for."""
        return self._phase

    @property
    def outcome(self) -> Outcome | None:
        """How the last change or recovery ended; None before the first."""
        return self._outcome

    @property
    def finished_count(self) -> int:
        """How many changes and recoveries have ended."""
        return self._finished_count

    @property
    def active_map(self) -> str | None:
        """The map that all ranks were last known to plan for; None if unknown."""
        return self._active_map

    def start(self, now: Millis) -> list[Action]:
        """Ask every rank, which thereby refuses coordinators before this one."""
        return self._check(now)

    def start_change(self, map_id: str, now: Millis) -> list[Action]:
        """Begin to put ``map_id`` in force.

        Raises
        ------
        ChangeInProgressError
            If another change or a recovery is under way; ask again later.
        """
        if self._target is not None or not isinstance(self._phase, Idle | Checking):
            raise ChangeInProgressError(f"wait for {self._phase} to end")
        self._target = map_id
        return self._enter(Staging(map_id, recovery=False), now)

    def receive(self, message: Message, now: Millis) -> list[Action]:
        """Handle a rank's reply; one that fits no present phase is dropped."""
        match self._phase, message:
            case Deposed(), _:
                return []
            case _, Superseded(fence=fence) if fence > self._fence:
                self._phase = Deposed(fence)
                return []
            case Checking(token), Status() if message.token == token:
                return self._collect(message, now)
            case Staging(map_id), Staged() if message.map_id == map_id:
                return self._collect(message, now)
            case (
                (Closing(number), CloseAgreed() | CloseRefused())
                | (Opening(number), Decided() | OpenRefused())
                | (Reopening(number), Ended())
            ) if message.number == number:
                return self._collect(message, now)
        return []

    def tick(self, now: Millis) -> list[Action]:
        """Repeat what is unanswered and give up what has taken too long."""
        match self._phase:
            case Deposed():
                return []
            case Idle(check_at):
                return self._check(now) if now >= check_at else []
            case Closing(deadline=deadline) if now >= deadline:
                return self._give_up(now)
            case Opening(deadline=deadline) if now >= deadline:
                return self._check(now)
        return self._send(now) if now >= self._retry_at else []

    def _check(self, now: Millis) -> list[Action]:
        self._serial += 1
        return self._enter(Checking(self._serial), now)

    def _enter(self, phase: Phase, now: Millis) -> list[Action]:
        self._phase = phase
        self._entered_at = now
        self._retry_after = self._timing.first_retry_delay
        self._replies = {}
        return self._send(now)

    def _send(self, now: Millis) -> list[Action]:
        """Send the phase's message to every rank that has not replied."""
        self._retry_at = now + self._retry_after
        self._retry_after = min(2 * self._retry_after, self._timing.max_retry_delay)
        missing = [rank for rank in range(self._size) if rank not in self._replies]
        return [SendToRank(rank, self._message_to(rank)) for rank in missing]

    def _message_to(self, rank: int) -> Message:
        match self._phase:
            case Checking(token):
                return Query(self._fence, token)
            case Staging(map_id):
                return Stage(self._fence, map_id)
            case Closing(number, step, map_id):
                return Close(number, step, map_id)
            case Opening(number, step, map_id, incarnations):
                return Open(number, step, map_id, incarnations[rank])
            case Reopening(number):
                return Reopen(number)
        raise AssertionError(f"nothing to send in {self._phase}")

    def _collect(self, reply: Message, now: Millis) -> list[Action]:
        if isinstance(reply, CloseRefused):
            return self._give_up(now)
        if isinstance(reply, OpenRefused):
            return self._check(now)
        self._replies[reply.rank] = reply
        return self._finish_phase(now) if self._is_complete() else []

    def _is_complete(self) -> bool:
        return len(self._replies) == self._size

    def _finish_phase(self, now: Millis) -> list[Action]:
        match self._phase:
            case Checking():
                return self._after_check(now)
            case Staging(map_id, recovery):
                return self._close(map_id, now) if recovery else self._check(now)
            case Closing():
                return self._open(self._phase, now)
            case Opening():
                return self._after_open(self._phase, now)
            case Reopening():
                return self._settle(Outcome.REOPENED, now)
        return []

    def _after_check(self, now: Millis) -> list[Action]:
        states = [self._replies[rank].engine for rank in range(self._size)]
        reached = max(state.next_step for state in states)
        self._step_time_estimate = self._step_time_estimate.with_report(reached, now)
        if not is_healthy(states):
            map_id = recovery_map(states, self._fallback_map)
            return self._enter(Staging(map_id, recovery=True), now)
        self._active_map = states[0].tail.map_id
        if self._target is None:
            self._phase = Idle(now + self._timing.health_check_interval)
            return []
        if states[0].tail.map_id == self._target:
            return self._settle(Outcome.OPENED, now)
        return self._close(self._target, now, self._step_ahead(states, now))

    def _step_ahead(self, states: list[EngineState], now: Millis) -> int:
        step_time = (
            self._step_time_estimate.step_time or self._lead_policy.default_step_time
        )
        # Counted from the first message: a repeat may cross the reply to the one
        # before it, and the round trip would look too short and the lead with it.
        round_trip = now - self._entered_at
        lead = lead_steps(self._lead_policy, round_trip, step_time)
        step = max(state.next_step for state in states) + lead
        after_plan = max(state.tail.from_step for state in states) + 1
        return max(step, after_plan)

    def _close(self, map_id: str, now: Millis, step: int | None = None) -> list[Action]:
        self._serial += 1
        number = order_number(self._fence, self._serial)
        deadline = now + self._timing.close_timeout
        return self._enter(Closing(number, step, map_id, deadline), now)

    def _open(self, closing: Closing, now: Millis) -> list[Action]:
        agreed = [self._replies[rank] for rank in sorted(self._replies)]
        step = agreed[0].step
        if any(each.step != step for each in agreed):
            return self._check(now)
        opening = Opening(
            closing.number,
            step,
            closing.map_id,
            tuple(each.incarnation for each in agreed),
            closing.step is None,
            now + self._timing.close_timeout,
        )
        return self._enter(opening, now)

    def _give_up(self, now: Millis) -> list[Action]:
        """End a change that was not agreed by all, so never opened anywhere."""
        closing = self._phase
        if closing.step is None:
            return self._check(now)
        return self._enter(Reopening(closing.number), now)

    def _after_open(self, opening: Opening, now: Millis) -> list[Action]:
        maps = {reply.map_id for reply in self._replies.values()}
        if maps != {opening.map_id}:
            return self._settle(Outcome.REOPENED, now)
        self._active_map = opening.map_id
        done = Outcome.RECOVERED if opening.recovery else Outcome.OPENED
        return self._settle(done, now)

    def _settle(self, outcome: Outcome, now: Millis) -> list[Action]:
        self._outcome = outcome
        self._finished_count += 1
        self._target = None
        self._phase = Idle(now + self._timing.health_check_interval)
        return []
