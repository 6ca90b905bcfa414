"""Coordinator of map changes.

The coordinator holds a lease in the platform's table; the number of the lease is its
fence. It keeps no durable state, because its successor queries the ranks.

In a healthy group it changes the map without a pause: it stages the map, checks the
ranks, closes the change some steps ahead and opens it. If a rank is held by an
undecided change, the ranks' plans differ or a rank was replaced, it recovers the group
instead: every rank stops as soon as possible and, when all have stopped, all use one
map from that step on.

A recovery is never reopened, because the ranks may differ in the old map with which
they would continue. It is retried under a higher number instead.
"""

from azurefold.core.clock import Millis
from azurefold.core.groups.actions import Action, GroupTiming, SendToRank
from azurefold.core.groups.engine import EngineState
from azurefold.core.groups.health import choose_recovery_map, is_healthy
from azurefold.core.groups.lead_time import (
    LeadTimePolicy,
    StepTimeEstimate,
    compute_lead_steps,
)
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
    """State machine of the process that holds a group's lease.

    Parameters
    ----------
    fence : int
        Number of the lease.
    size : int
        Number of ranks in the group.
    fallback_map : str
        Map for a group in which all ranks were replaced.
    timing : GroupTiming
        Timeouts and retry intervals of the protocol.
    lead_policy : LeadTimePolicy
        How many steps ahead a change is closed.
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
        self._phase_entered_at: Millis = 0
        self._retry_at: Millis = 0
        self._retry_delay: Millis = timing.first_retry_delay
        self._target_map: str | None = None
        self._outcome: Outcome | None = None
        self._finished_count = 0
        self._active_map: str | None = None
        self._step_time_estimate = StepTimeEstimate()

    @property
    def fence(self) -> int:
        """Number of the lease."""
        return self._fence

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    @property
    def outcome(self) -> Outcome | None:
        """Outcome of the last change or recovery; None before the first."""
        return self._outcome

    @property
    def finished_count(self) -> int:
        """Number of changes and recoveries that have ended."""
        return self._finished_count

    @property
    def active_map(self) -> str | None:
        """Map at the end of all ranks' plans, as last checked; None if unknown."""
        return self._active_map

    def start(self, now: Millis) -> list[Action]:
        """Query every rank; it then rejects coordinators with a lower fence."""
        return self._start_check(now)

    def start_change(self, map_id: str, now: Millis) -> list[Action]:
        """Start a change to ``map_id``.

        Raises
        ------
        ChangeInProgressError
            If another change or a recovery is in progress; retry later.
        """
        if self._target_map is not None or not isinstance(self._phase, Idle | Checking):
            raise ChangeInProgressError(
                f"a change is in progress, retry after it has ended: {self._phase}"
            )
        self._target_map = map_id
        return self._enter_phase(Staging(map_id, recovery=False), now)

    def receive(self, message: Message, now: Millis) -> list[Action]:
        """Handle a rank's reply; a reply that does not fit the phase is dropped."""
        match self._phase, message:
            case Deposed(), _:
                return []
            case _, Superseded(fence=fence) if fence > self._fence:
                self._phase = Deposed(fence)
                return []
            case Checking(token), Status() if message.token == token:
                return self._add_reply(message, now)
            case Staging(map_id), Staged() if message.map_id == map_id:
                return self._add_reply(message, now)
            case (
                (Closing(number), CloseAgreed() | CloseRefused())
                | (Opening(number), Decided() | OpenRefused())
                | (Reopening(number), Ended())
            ) if message.number == number:
                return self._add_reply(message, now)
        return []

    def tick(self, now: Millis) -> list[Action]:
        """Retry unanswered messages and end a phase that has timed out."""
        match self._phase:
            case Deposed():
                return []
            case Idle(check_at):
                return self._start_check(now) if now >= check_at else []
            case Closing(deadline=deadline) if now >= deadline:
                return self._abort_change(now)
            case Opening(deadline=deadline) if now >= deadline:
                return self._start_check(now)
        return self._send_to_missing(now) if now >= self._retry_at else []

    def _start_check(self, now: Millis) -> list[Action]:
        self._serial += 1
        return self._enter_phase(Checking(self._serial), now)

    def _enter_phase(self, phase: Phase, now: Millis) -> list[Action]:
        self._phase = phase
        self._phase_entered_at = now
        self._retry_delay = self._timing.first_retry_delay
        self._replies = {}
        return self._send_to_missing(now)

    def _send_to_missing(self, now: Millis) -> list[Action]:
        """Send the message of the phase to every rank that has not replied."""
        self._retry_at = now + self._retry_delay
        self._retry_delay = min(2 * self._retry_delay, self._timing.max_retry_delay)
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
        raise AssertionError(f"phase {self._phase} has no message to send")

    def _add_reply(self, reply: Message, now: Millis) -> list[Action]:
        if isinstance(reply, CloseRefused):
            return self._abort_change(now)
        if isinstance(reply, OpenRefused):
            return self._start_check(now)
        self._replies[reply.rank] = reply
        return self._finish_phase(now) if self._has_all_replies() else []

    def _has_all_replies(self) -> bool:
        return len(self._replies) == self._size

    def _finish_phase(self, now: Millis) -> list[Action]:
        match self._phase:
            case Checking():
                return self._after_check(now)
            case Staging(map_id, recovery):
                return (
                    self._start_closing(map_id, now)
                    if recovery
                    else self._start_check(now)
                )
            case Closing():
                return self._start_opening(self._phase, now)
            case Opening():
                return self._after_open(self._phase, now)
            case Reopening():
                return self._finish(Outcome.REOPENED, now)
        return []

    def _after_check(self, now: Millis) -> list[Action]:
        states = [self._replies[rank].engine for rank in range(self._size)]
        next_step = max(state.next_step for state in states)
        self._step_time_estimate = self._step_time_estimate.with_report(next_step, now)
        if not is_healthy(states):
            map_id = choose_recovery_map(states, self._fallback_map)
            return self._enter_phase(Staging(map_id, recovery=True), now)
        self._active_map = states[0].tail.map_id
        if self._target_map is None:
            self._phase = Idle(now + self._timing.health_check_interval)
            return []
        if states[0].tail.map_id == self._target_map:
            return self._finish(Outcome.OPENED, now)
        return self._start_closing(
            self._target_map, now, self._choose_step(states, now)
        )

    def _choose_step(self, states: list[EngineState], now: Millis) -> int:
        step_time = (
            self._step_time_estimate.step_time or self._lead_policy.default_step_time
        )
        # Measured from the first message. A retry may cross the reply to the message
        # before it, which would make the round trip and the lead look too short.
        round_trip = now - self._phase_entered_at
        lead = compute_lead_steps(self._lead_policy, round_trip, step_time)
        step = max(state.next_step for state in states) + lead
        first_unplanned_step = max(state.tail.from_step for state in states) + 1
        return max(step, first_unplanned_step)

    def _start_closing(
        self, map_id: str, now: Millis, step: int | None = None
    ) -> list[Action]:
        self._serial += 1
        number = order_number(self._fence, self._serial)
        deadline = now + self._timing.close_timeout
        return self._enter_phase(Closing(number, step, map_id, deadline), now)

    def _start_opening(self, closing: Closing, now: Millis) -> list[Action]:
        agreements = [self._replies[rank] for rank in sorted(self._replies)]
        step = agreements[0].step
        if any(agreement.step != step for agreement in agreements):
            return self._start_check(now)
        opening = Opening(
            closing.number,
            step,
            closing.map_id,
            tuple(agreement.incarnation for agreement in agreements),
            closing.step is None,
            now + self._timing.close_timeout,
        )
        return self._enter_phase(opening, now)

    def _abort_change(self, now: Millis) -> list[Action]:
        """Abort a change that not all ranks agreed to, so none has opened it."""
        closing = self._phase
        if closing.step is None:
            return self._start_check(now)
        return self._enter_phase(Reopening(closing.number), now)

    def _after_open(self, opening: Opening, now: Millis) -> list[Action]:
        maps = {reply.map_id for reply in self._replies.values()}
        if maps != {opening.map_id}:
            return self._finish(Outcome.REOPENED, now)
        self._active_map = opening.map_id
        outcome = Outcome.RECOVERED if opening.recovery else Outcome.OPENED
        return self._finish(outcome, now)

    def _finish(self, outcome: Outcome, now: Millis) -> list[Action]:
        self._outcome = outcome
        self._finished_count += 1
        self._target_map = None
        self._phase = Idle(now + self._timing.health_check_interval)
        return []
