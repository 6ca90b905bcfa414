"""Map change driven by remote orders, for ranks without a local agent.

1. Prepare: all ranks load the weights of the new map.
2. Hold: one rank is ordered not to start a forward pass some distance ahead. The group
   starts a pass only with all its ranks, so it waits there.
3. Arm: every rank is ordered to switch to the new map at that pass.
4. Release: when *all* ranks have confirmed that they are armed, the hold ends.

If the load time is known beforehand, the reports that the weights are loaded need not
be awaited: the pass is chosen, and the group held before it, while ranks are still
loading. They are armed when the load time has passed.

The hold makes the change safe. Without it the pass could start while only some
ranks are armed, and the group would run it under two maps. If the pass is chosen
far enough ahead, all ranks are armed before the group reaches it and no rank waits.

An order without an answer may still be carried out seconds later. By then the pass
has started or the rank is already armed, so the late order is refused or has no
effect. For this reason a change is always driven to its end. It is rolled back only
if a rank refuses to be armed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from azurefold.core.clock import Millis
from azurefold.core.groups.map_orders import (
    REPORT_AGE_MS,
    Arm,
    ChangeAction,
    ChangeEnd,
    ChangeFinished,
    ChangePolicy,
    Disarm,
    Hold,
    Prepare,
    RankOrder,
    RankView,
    Release,
    RequestReport,
    SendOrder,
    Verdict,
)
from azurefold.core.groups.pass_estimate import PassEstimate

__all__ = ["MapChange"]


class _Phase(Enum):
    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    ROLLING_BACK = "taking_back"
    FINISHED = "over"


@dataclass(slots=True)
class MapChange:
    """State machine of one map change.

    Parameters
    ----------
    version : int
        Version of the new map. Must be higher than any version a rank has had.
    epoch : int
        Epoch of the group, incremented each time the group is re-formed. No order of
        the change is valid in another epoch.
    size : int
        Number of ranks in the group.
    policy : ChangePolicy
        Timeouts and retry limits.
    step : int
        Number of the pass at which the ranks switch.
    holding_ranks : list of int
        Ranks that have been ordered to hold the group before ``step``. More than one if
        the order to the previous rank got no answer.
    """

    version: int
    epoch: int
    size: int
    policy: ChangePolicy = field(default_factory=ChangePolicy)
    step: int = 0
    holding_ranks: list[int] = field(default_factory=list)
    _phase: _Phase = _Phase.PREPARING
    _confirmed_ranks: set[int] = field(default_factory=set)
    _unanswered_ranks: set[int] = field(default_factory=set)
    _loading_ranks: set[int] = field(default_factory=set)
    _load_ms: Millis | None = None
    _expected_loaded_at: Millis = 0
    _prepare_unconfirmed: set[int] = field(default_factory=set)
    _prepare_resent: set[int] = field(default_factory=set)
    _retry_at: dict[int, Millis] = field(default_factory=dict)
    _started_at: Millis = 0
    _phase_entered_at: Millis = 0
    _next_report_poll_at: Millis = 0
    _hold_attempts: int = 0  # -1 if the change only releases or is rolled back
    _pass_estimate: PassEstimate = field(default_factory=PassEstimate)
    _arming_ms: Millis = 0
    _preparing_ms: Millis = 0
    _answering_ms: Millis = 0
    _last_rank: int | None = None
    _has_lost_orders: bool = False

    @property
    def arming_ms(self) -> Millis:
        """Time it took to arm all ranks; 0 if not all ranks were armed."""
        return self._arming_ms

    @property
    def preparing_ms(self) -> Millis:
        """Time from the first order to the choice of a pass; 0 if none was chosen."""
        return self._preparing_ms

    @property
    def answering_ms(self) -> Millis:
        """Longest time to an answer to the first order; lost answers do not count."""
        return self._answering_ms

    @property
    def last_rank(self) -> int | None:
        """Rank that last confirmed an order to prepare or arm; None if none has."""
        return self._last_rank

    @property
    def phase(self) -> str:
        """Name of the current phase, for logs."""
        return self._phase.value

    @property
    def is_finished(self) -> bool:
        """Whether the change has ended."""
        return self._phase is _Phase.FINISHED

    def overdue(self, now: Millis) -> Millis:
        """Return the time since the timeout of the phase; negative before it."""
        match self._phase:
            case _Phase.PREPARING:
                return now - self._started_at - self.policy.prepare_timeout
            case _Phase.FINISHED:
                return -1
        return now - self._phase_entered_at - self.policy.hold_timeout

    def is_due(self, order: RankOrder) -> bool:
        """Whether an order that was not sent yet is still of use."""
        match self._phase:
            case _Phase.PREPARING:
                return isinstance(order, Prepare)
            case _Phase.FINISHED:
                return False
        return order == self._phase_order()

    def start(
        self, pass_ms: float, now: Millis, load_ms: Millis | None = None
    ) -> list[ChangeAction]:
        """Order all ranks to load the new map.

        Parameters
        ----------
        pass_ms : float
            Current duration of a pass, in milliseconds.
        now : int
            Current time, in milliseconds.
        load_ms : int or None
            Load time of the rank with the most weights to load. If None, the pass is
            chosen only after all ranks have reported that they are done, and such
            reports arrive some 200 ms late.
        """
        self._pass_estimate.pass_ms = pass_ms
        self._load_ms = load_ms
        self._started_at = self._phase_entered_at = now
        self._next_report_poll_at = now + self.policy.report_poll_interval
        return self._send_to_all(Prepare(self.version), now)

    def resume(
        self, step: int, holding_ranks: list[int], now: Millis, *, arm: bool
    ) -> list[ChangeAction]:
        """Continue with an existing hold: arm all ranks, or only release it.

        Parameters
        ----------
        step : int
            Number of the pass that the group is held before.
        holding_ranks : list of int
            Ranks that hold the group.
        now : int
            Current time, in milliseconds.
        arm : bool
            Whether to arm all ranks. Required if any rank is already armed.
        """
        self.step = step
        self.holding_ranks = holding_ranks
        self._hold_attempts = 1 if arm else -1
        if not arm:
            return self._start_release(now)
        self._enter(_Phase.ARMING, now)
        return self._send_to_all(Arm(self.version, step), now)

    def record_pass_start(self, step: int, now: Millis) -> None:
        """Record that pass ``step`` had started at ``now``."""
        self._pass_estimate.record_start(step, now)

    def on_verdict(
        self, rank: int, order: RankOrder, verdict: Verdict, now: Millis
    ) -> list[ChangeAction]:
        """Handle the result of an order."""
        self._unanswered_ranks.discard(rank)
        match self._phase, order:
            case _Phase.PREPARING, Prepare():
                self._on_prepare(rank, verdict, now)
                return []
            case _Phase.HOLDING, Hold(step=step) if step == self.step:
                return self._on_hold(rank, verdict, now)
            case _Phase.ARMING, Arm():
                return self._on_arm(rank, verdict, now)
            case _Phase.RELEASING, Release():
                return self._on_release(rank, verdict, now)
            case _Phase.ROLLING_BACK, Disarm():
                return self._on_disarm(rank, verdict, now)
        return []

    def on_report(self, view: RankView, now: Millis) -> list[ChangeAction]:
        """Handle a rank's report."""
        if self.is_finished:
            return []
        if view.epoch != self.epoch:
            return self._finish(ChangeEnd.NEW_EPOCH)
        self.record_pass_start(view.step, now - REPORT_AGE_MS)
        match self._phase:
            case _Phase.PREPARING if view.prepared_version == self.version:
                self._confirmed_ranks.add(view.rank)
                if len(self._confirmed_ranks) == self.size:
                    return self._start_hold(now)
            case _Phase.ARMING if self.version in (view.armed_version, view.version):
                return self._confirm_armed(view.rank, now)
            case _Phase.RELEASING if view.step >= self.step:
                return self._finish(ChangeEnd.IN_EFFECT)
        return []

    def tick(self, now: Millis) -> list[ChangeAction]:
        """Retry unanswered orders and end the change on a timeout."""
        match self._phase:
            case _Phase.PREPARING:
                return self._tick_preparing(now)
            case _Phase.HOLDING | _Phase.ARMING | _Phase.RELEASING:
                return self._tick_held(now)
            case _Phase.ROLLING_BACK:
                return self._tick_held(now)
        return []

    def _tick_preparing(self, now: Millis) -> list[ChangeAction]:
        if now - self._started_at >= self.policy.prepare_timeout:
            return self._finish(ChangeEnd.NOT_PREPARED)
        if self._is_load_time_known:
            # If the group were held earlier, the hold would last longer than needed.
            is_hold_due = now >= self._expected_loaded_at - self.policy.lead_time
            return self._start_hold(now) if is_hold_due else []
        missing = [
            rank for rank in range(self.size) if rank not in self._confirmed_ranks
        ]
        actions: list[ChangeAction] = []
        for rank in missing:
            if rank in self._prepare_unconfirmed and now >= self._retry_at[rank]:
                self._prepare_unconfirmed.discard(rank)
                self._prepare_resent.add(rank)
                actions += self._send(rank, Prepare(self.version), now)
        if now >= self._next_report_poll_at:
            self._next_report_poll_at = now + self.policy.report_poll_interval
            actions += [RequestReport(rank) for rank in missing]
        return actions

    @property
    def _is_load_time_known(self) -> bool:
        """Whether all ranks are loading and the time this takes is known."""
        return self._load_ms is not None and len(self._loading_ranks) == self.size

    def _tick_held(self, now: Millis) -> list[ChangeAction]:
        if now - self._phase_entered_at >= self.policy.hold_timeout:
            return self._finish(ChangeEnd.STUCK)
        missing = [
            rank for rank in self._target_ranks() if rank not in self._confirmed_ranks
        ]
        ready = [rank for rank in missing if rank not in self._unanswered_ranks]
        due = [rank for rank in ready if now >= self._retry_at.get(rank, 0)]
        order = self._phase_order()
        return [action for rank in due for action in self._send(rank, order, now)]

    def _target_ranks(self) -> Iterable[int]:
        """Return the ranks that must carry out the order of the current phase."""
        match self._phase:
            case _Phase.HOLDING:
                return self.holding_ranks[-1:]
            case _Phase.RELEASING:
                return self.holding_ranks
        return range(self.size)

    def _phase_order(self) -> RankOrder:
        match self._phase:
            case _Phase.HOLDING:
                return Hold(self.step)
            case _Phase.ARMING:
                return Arm(self.version, self.step)
            case _Phase.RELEASING:
                return Release(self.step)
        return Disarm(self.version)

    def _start_hold(self, now: Millis) -> list[ChangeAction]:
        """Choose a pass and order one rank to hold the group before it."""
        self._hold_attempts += 1
        if self._hold_attempts > self.policy.max_hold_attempts:
            return self._finish(ChangeEnd.NOT_PREPARED)
        if self._phase is _Phase.PREPARING:
            self._preparing_ms = now - self._started_at
        lead_ms = max(self.policy.lead_time, self._expected_loaded_at - now)
        if self._has_lost_orders or self.policy.has_lost_orders:
            lead_ms += self.policy.lossy_lead_time
        passes_ahead = max(
            self._pass_estimate.passes_until(now + lead_ms, now),
            self.policy.min_lead_passes,
        )
        self.step = (
            self._pass_estimate.newest_started
            + passes_ahead
            + 2 * (self._hold_attempts - 1)
        )
        # One rank is enough to hold the group. Each attempt uses another rank, in
        # case the previous one does not respond.
        self.holding_ranks = [(self.version + self._hold_attempts) % self.size]
        self._enter(_Phase.HOLDING, now)
        return self._send(self.holding_ranks[0], Hold(self.step), now)

    def _on_prepare(self, rank: int, verdict: Verdict, now: Millis) -> None:
        # A resent order is refused if the first one was carried out and only its
        # answer was lost. Then the rank started to load no later than now.
        is_resent = rank in self._prepare_resent
        if verdict is Verdict.ACCEPTED or (verdict is Verdict.REFUSED and is_resent):
            self._last_rank = rank
            self._loading_ranks.add(rank)
            self._expected_loaded_at = now + (self._load_ms or 0)
            if not is_resent:
                self._answering_ms = max(self._answering_ms, now - self._started_at)
        else:
            self._prepare_unconfirmed.add(rank)
            self._has_lost_orders |= verdict is Verdict.LOST

    def _on_hold(self, rank: int, verdict: Verdict, now: Millis) -> list[ChangeAction]:
        match verdict:
            case Verdict.ACCEPTED:
                self._enter(_Phase.ARMING, now)
                if now >= self._expected_loaded_at:
                    return self._send_to_all(Arm(self.version, self.step), now)
                self._retry_at = dict.fromkeys(
                    range(self.size), self._expected_loaded_at
                )
                return []
            case Verdict.REFUSED:
                # The pass has started, so no late hold for it can take effect.
                self.record_pass_start(self.step, now)
                return self._start_hold(now)
        # The order may have taken effect or may do so later, so this rank stays in
        # the list and is released with the others.
        self.holding_ranks.append((rank + 1) % self.size)
        return self._send(self.holding_ranks[-1], Hold(self.step), now)

    def _on_arm(self, rank: int, verdict: Verdict, now: Millis) -> list[ChangeAction]:
        match verdict:
            case Verdict.ACCEPTED:
                return self._confirm_armed(rank, now)
            case Verdict.REFUSED if self._is_possibly_loading(now):
                self._retry_at[rank] = now + self.policy.arm_retry_interval
                return []
            case Verdict.REFUSED:
                return self._roll_back(now)
        # Without an answer, only the rank's report shows whether it is armed.
        return [RequestReport(rank)]

    def _is_possibly_loading(self, now: Millis) -> bool:
        """Whether a rank that refuses to be armed may still be loading.

        True for a short time only. A coordinator that takes over while no rank is
        armed releases the group at its pass. If a rank were armed at that moment, it
        would run the pass under another map than the other ranks.
        """
        is_within_timeout = now - self._phase_entered_at < self.policy.arm_timeout
        return self._is_load_time_known and is_within_timeout

    def _confirm_armed(self, rank: int, now: Millis) -> list[ChangeAction]:
        self._confirmed_ranks.add(rank)
        self._last_rank = rank
        if len(self._confirmed_ranks) < self.size:
            return []
        self._arming_ms = max(
            1, now - max(self._phase_entered_at, self._expected_loaded_at)
        )
        return self._start_release(now)

    def _start_release(self, now: Millis) -> list[ChangeAction]:
        self._enter(_Phase.RELEASING, now)
        order = Release(self.step)
        return [
            action
            for rank in self.holding_ranks
            for action in self._send(rank, order, now)
        ]

    def _on_release(
        self, rank: int, verdict: Verdict, now: Millis
    ) -> list[ChangeAction]:
        # A refusal means that there is no hold or that the pass has started.
        if verdict is Verdict.LOST:
            return []
        self._confirmed_ranks.add(rank)
        if any(holder not in self._confirmed_ranks for holder in self.holding_ranks):
            return []
        return self._finish(self._end_after_release())

    def _end_after_release(self) -> ChangeEnd:
        return ChangeEnd.ROLLED_BACK if self._hold_attempts < 0 else ChangeEnd.IN_EFFECT

    def _roll_back(self, now: Millis) -> list[ChangeAction]:
        """Disarm all ranks because one of them cannot be armed.

        A late order to arm is refused, because the pass starts within milliseconds
        of the last rank's answer.
        """
        self._hold_attempts = -1
        self._enter(_Phase.ROLLING_BACK, now)
        return self._send_to_all(Disarm(self.version), now)

    def _on_disarm(
        self, rank: int, verdict: Verdict, now: Millis
    ) -> list[ChangeAction]:
        if verdict is Verdict.LOST:
            return []
        self._confirmed_ranks.add(rank)
        return (
            self._start_release(now) if len(self._confirmed_ranks) == self.size else []
        )

    def _send_to_all(self, order: RankOrder, now: Millis) -> list[ChangeAction]:
        return [
            action
            for rank in range(self.size)
            for action in self._send(rank, order, now)
        ]

    def _send(self, rank: int, order: RankOrder, now: Millis) -> list[ChangeAction]:
        is_prepare = isinstance(order, Prepare)
        retry_interval = (
            self.policy.prepare_retry_interval
            if is_prepare
            else self.policy.retry_interval
        )
        self._retry_at[rank] = now + retry_interval
        self._unanswered_ranks.add(rank)
        return [SendOrder(rank, order)]

    def _enter(self, phase: _Phase, now: Millis) -> None:
        self._phase = phase
        self._phase_entered_at = now
        self._confirmed_ranks = set()
        self._unanswered_ranks = set()

    def _finish(self, end: ChangeEnd) -> list[ChangeAction]:
        self._phase = _Phase.FINISHED
        return [ChangeFinished(end)]
