"""A map change by orders from afar, for ranks that have no agent beside them.

All ranks load the new map first. Then the group is held before a pass some way
ahead, every rank is armed to switch at that pass, and when *all* have confirmed
the hold is released. How long loading takes is known beforehand, so the pass is
chosen, and the group held before it, while ranks still load.

The hold is what makes this safe: without it the pass may begin while some ranks are
armed and others are not, and they would run it under two maps. Chosen well, all are
armed before the group gets there, and nobody waits.

An order without an answer may be carried out seconds later. It then meets a
pass that has begun, or a rank that is armed already, and is refused or changes
nothing: that is why a change is brought to its end, and taken back only while a
rank refuses to be armed.
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
    """State machine of one change.

    Parameters
    ----------
    version : int
        Of the new map; above all that any rank has had.
    epoch : int
        Of the group; in another epoch nothing of the change holds any more.
    size : int
        Ranks of the group.
    policy : ChangePolicy
    """

    version: int
    epoch: int
    size: int
    policy: ChangePolicy = field(default_factory=ChangePolicy)
    step: int = 0
    holding_ranks: list[int] = field(default_factory=list)
    _phase: _Phase = _Phase.PREPARING
    _done: set[int] = field(default_factory=set)
    _out: set[int] = field(default_factory=set)
    _loading: set[int] = field(default_factory=set)
    _load_ms: Millis | None = None
    _loaded_at: Millis = 0
    _unsure: set[int] = field(default_factory=set)
    _repeated: set[int] = field(default_factory=set)
    _next_at: dict[int, Millis] = field(default_factory=dict)
    _began: Millis = 0
    _entered: Millis = 0
    _look_at: Millis = 0
    _tries: int = 0
    _passes: PassEstimate = field(default_factory=PassEstimate)
    _arming_ms: Millis = 0
    _preparing_ms: Millis = 0
    _answering_ms: Millis = 0
    _last_rank: int | None = None
    _orders_lost: bool = False

    @property
    def arming_ms(self) -> Millis:
        """What arming all ranks took; 0 if it did not come to that."""
        return self._arming_ms

    @property
    def preparing_ms(self) -> Millis:
        """From the first order until a pass was chosen; 0 if none was."""
        return self._preparing_ms

    @property
    def answering_ms(self) -> Millis:
        """What all ranks took to answer the first order; lost answers left out."""
        return self._answering_ms

    @property
    def last_rank(self) -> int | None:
        """The rank that confirmed the newest phase's order last; None for none."""
        return self._last_rank

    @property
    def phase(self) -> str:
        """The phase's name, for logs."""
        return self._phase.value

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to do."""
        return self._phase is _Phase.FINISHED

    def start(
        self, pass_ms: float, now: Millis, load_ms: Millis | None = None
    ) -> list[ChangeAction]:
        """Have all ranks load the new map.

        Parameters
        ----------
        pass_ms : float
            Time that a pass takes at present.
        now : int
        load_ms : int or None
            Time that the rank with most to load needs for it. None if that is not
            known: ranks then have to report that they are done, which they do some
            200 ms later, and only after that the pass is chosen.
        """
        self._passes.pass_ms = pass_ms
        self._load_ms = load_ms
        self._began = self._entered = now
        self._look_at = now + self.policy.report_poll_interval
        return self._to_all(Prepare(self.version), now)

    def resume(
        self, step: int, holding_ranks: list[int], now: Millis, *, arm: bool
    ) -> list[ChangeAction]:
        """Go on with a hold that is in place: arm all ranks, or only release.

        Parameters
        ----------
        step : int
            The pass that the group is held before.
        holding_ranks : list of int
            Ranks that hold it.
        now : int
        arm : bool
            Whether any rank is armed; then all have to be.
        """
        self.step = step
        self.holding_ranks = holding_ranks
        self._tries = 1 if arm else -1
        if not arm:
            return self._release(now)
        self._enter(_Phase.ARMING, now)
        return self._to_all(Arm(self.version, step), now)

    def record_pass_start(self, step: int, now: Millis) -> None:
        """Take in a pass that had begun at ``now``."""
        self._passes.record_start(step, now)

    def on_verdict(
        self, rank: int, order: RankOrder, verdict: Verdict, now: Millis
    ) -> list[ChangeAction]:
        """Take in what came of an order."""
        self._out.discard(rank)
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
        """Take in a rank's report."""
        if self.is_finished:
            return []
        if view.epoch != self.epoch:
            return self._end(ChangeEnd.NEW_EPOCH)
        self.record_pass_start(view.step, now - REPORT_AGE_MS)
        match self._phase:
            case _Phase.PREPARING if view.prepared == self.version:
                self._done.add(view.rank)
                if len(self._done) == self.size:
                    return self._hold(now)
            case _Phase.ARMING if self.version in (view.armed, view.version):
                return self._armed(view.rank, now)
            case _Phase.RELEASING if view.step >= self.step:
                return self._end(ChangeEnd.IN_EFFECT)
        return []

    def tick(self, now: Millis) -> list[ChangeAction]:
        """Repeat what got no answer, and give up what takes too long."""
        match self._phase:
            case _Phase.PREPARING:
                return self._tick_preparing(now)
            case _Phase.HOLDING | _Phase.ARMING | _Phase.RELEASING:
                return self._tick_held(now)
            case _Phase.ROLLING_BACK:
                return self._tick_held(now)
        return []

    def _tick_preparing(self, now: Millis) -> list[ChangeAction]:
        if now - self._began >= self.policy.prepare_timeout:
            return self._end(ChangeEnd.NOT_PREPARED)
        if self._knows_when_loaded:
            # Sooner than its lead the hold would stand for longer than it has to.
            is_time = now >= self._loaded_at - self.policy.lead_time
            return self._hold(now) if is_time else []
        missing = [rank for rank in range(self.size) if rank not in self._done]
        actions: list[ChangeAction] = []
        for rank in missing:
            if rank in self._unsure and now >= self._next_at[rank]:
                self._unsure.discard(rank)
                self._repeated.add(rank)
                actions += self._send(rank, Prepare(self.version), now)
        if now >= self._look_at:
            self._look_at = now + self.policy.report_poll_interval
            actions += [RequestReport(rank) for rank in missing]
        return actions

    @property
    def _knows_when_loaded(self) -> bool:
        """Whether all ranks are loading, and it is known for how long."""
        return self._load_ms is not None and len(self._loading) == self.size

    def _tick_held(self, now: Millis) -> list[ChangeAction]:
        if now - self._entered >= self.policy.hold_timeout:
            return self._end(ChangeEnd.STUCK)
        missing = [rank for rank in self._wanted() if rank not in self._done]
        ready = [rank for rank in missing if rank not in self._out]
        due = [rank for rank in ready if now >= self._next_at.get(rank, 0)]
        order = self._order()
        return [action for rank in due for action in self._send(rank, order, now)]

    def _wanted(self) -> Iterable[int]:
        match self._phase:
            case _Phase.HOLDING:
                return self.holding_ranks[-1:]
            case _Phase.RELEASING:
                return self.holding_ranks
        return range(self.size)

    def _order(self) -> RankOrder:
        match self._phase:
            case _Phase.HOLDING:
                return Hold(self.step)
            case _Phase.ARMING:
                return Arm(self.version, self.step)
            case _Phase.RELEASING:
                return Release(self.step)
        return Disarm(self.version)

    def _hold(self, now: Millis) -> list[ChangeAction]:
        self._tries += 1
        if self._tries > self.policy.max_hold_attempts:
            return self._end(ChangeEnd.NOT_PREPARED)
        if self._phase is _Phase.PREPARING:
            self._preparing_ms = now - self._began
        lead = max(self.policy.lead_time, self._loaded_at - now)
        if self._orders_lost or self.policy.has_lost_orders:
            lead += self.policy.lossy_lead_time
        ahead = max(
            self._passes.passes_until(now + lead, now), self.policy.min_lead_passes
        )
        self.step = self._passes.newest_started + ahead + 2 * (self._tries - 1)
        # One rank is enough to hold the group. Another one each time, should
        # the last be the one that does not answer.
        self.holding_ranks = [(self.version + self._tries) % self.size]
        self._enter(_Phase.HOLDING, now)
        return self._send(self.holding_ranks[0], Hold(self.step), now)

    def _on_prepare(self, rank: int, verdict: Verdict, now: Millis) -> None:
        # A repeat is refused where the order before it was carried out and only its
        # answer was lost: the rank loads at the latest since now.
        is_repeat = rank in self._repeated
        if verdict is Verdict.ACCEPTED or (verdict is Verdict.REFUSED and is_repeat):
            self._last_rank = rank
            self._loading.add(rank)
            self._loaded_at = now + (self._load_ms or 0)
            if not is_repeat:
                self._answering_ms = max(self._answering_ms, now - self._began)
        else:
            self._unsure.add(rank)
            self._orders_lost |= verdict is Verdict.LOST

    def _on_hold(self, rank: int, verdict: Verdict, now: Millis) -> list[ChangeAction]:
        match verdict:
            case Verdict.ACCEPTED:
                self._enter(_Phase.ARMING, now)
                if now >= self._loaded_at:
                    return self._to_all(Arm(self.version, self.step), now)
                self._next_at = dict.fromkeys(range(self.size), self._loaded_at)
                return []
            case Verdict.REFUSED:
                # The pass has begun, and no hold for it can take effect later.
                self.record_pass_start(self.step, now)
                return self._hold(now)
        # It may hold the group now, or later, so it is released with the rest.
        self.holding_ranks.append((rank + 1) % self.size)
        return self._send(self.holding_ranks[-1], Hold(self.step), now)

    def _on_arm(self, rank: int, verdict: Verdict, now: Millis) -> list[ChangeAction]:
        match verdict:
            case Verdict.ACCEPTED:
                return self._armed(rank, now)
            case Verdict.REFUSED if self._may_still_load(now):
                self._next_at[rank] = now + self.policy.arm_retry_interval
                return []
            case Verdict.REFUSED:
                return self._roll_back(now)
        return [RequestReport(rank)]

    def _may_still_load(self, now: Millis) -> bool:
        """Whether a rank that refuses to be armed may be loading still.

        For a short time only. Whoever takes over while no rank is armed releases
        the group at its pass; an order to arm that came at that moment would have
        one rank run the pass under another map.
        """
        in_time = now - self._entered < self.policy.arm_timeout
        return self._knows_when_loaded and in_time

    def _armed(self, rank: int, now: Millis) -> list[ChangeAction]:
        self._done.add(rank)
        self._last_rank = rank
        if len(self._done) < self.size:
            return []
        self._arming_ms = max(1, now - max(self._entered, self._loaded_at))
        return self._release(now)

    def _release(self, now: Millis) -> list[ChangeAction]:
        self._enter(_Phase.RELEASING, now)
        order = Release(self.step)
        return [
            action for r in self.holding_ranks for action in self._send(r, order, now)
        ]

    def _on_release(
        self, rank: int, verdict: Verdict, now: Millis
    ) -> list[ChangeAction]:
        # Refused where there is no hold, or where the pass has begun.
        if verdict is Verdict.LOST:
            return []
        self._done.add(rank)
        if any(holder not in self._done for holder in self.holding_ranks):
            return []
        return self._end(self._outcome())

    def _outcome(self) -> ChangeEnd:
        return ChangeEnd.ROLLED_BACK if self._tries < 0 else ChangeEnd.IN_EFFECT

    def _roll_back(self, now: Millis) -> list[ChangeAction]:
        """Disarm all ranks, since one of them cannot be armed.

        An order to arm that is carried out after that is refused: the pass
        begins within milliseconds of the last rank's answer.
        """
        self._tries = -1
        self._enter(_Phase.ROLLING_BACK, now)
        return self._to_all(Disarm(self.version), now)

    def _on_disarm(
        self, rank: int, verdict: Verdict, now: Millis
    ) -> list[ChangeAction]:
        if verdict is Verdict.LOST:
            return []
        self._done.add(rank)
        return self._release(now) if len(self._done) == self.size else []

    def _to_all(self, order: RankOrder, now: Millis) -> list[ChangeAction]:
        return [a for rank in range(self.size) for a in self._send(rank, order, now)]

    def _send(self, rank: int, order: RankOrder, now: Millis) -> list[ChangeAction]:
        first = isinstance(order, Prepare)
        wait = (
            self.policy.prepare_retry_interval if first else self.policy.retry_interval
        )
        self._next_at[rank] = now + wait
        self._out.add(rank)
        return [SendOrder(rank, order)]

    def _enter(self, phase: _Phase, now: Millis) -> None:
        self._phase = phase
        self._entered = now
        self._done = set()
        self._out = set()

    def _end(self, end: ChangeEnd) -> list[ChangeAction]:
        self._phase = _Phase.FINISHED
        return [ChangeFinished(end)]
