"""Carries one group's map changes out: orders to ranks, and what comes of them."""

import logging
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from gevent.event import Event

from azurefold.core.balance.placement import Placement
from azurefold.core.balance.plan import MapPlan
from azurefold.core.clock import Millis
from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import (
    ARM_TIMEOUT_MS,
    ChangeAction,
    ChangeEnd,
    ChangeFinished,
    Prepare,
    RankOrder,
    RankView,
    RequestReport,
    SendOrder,
    Verdict,
    make_change_policy,
)
from azurefold.core.groups.resumed_change import can_resume, resume_change
from azurefold.gateway.groups.watch import GroupWatch
from azurefold.internal.logs import log_event
from azurefold.platform.ranks import RankReport

__all__ = ["GroupChanges", "Row"]

_log = logging.getLogger("azurefold.gateway")

_STALE_HOLD_MS: Millis = 500
"""After a change of ours, for which reports may still show its hold."""

_LOSSY_FOR_MS: Millis = 8_000
"""After an order that got no answer, for which more of them are expected."""


_UNARMED_HOLD_MS: Millis = ARM_TIMEOUT_MS + 350
"""For which a hold without any armed rank is left alone: reports are up to 300 ms
old."""

_LOAD_MARGIN = 1.05
"""On the time that loading takes by size and speed of the link."""

_SECOND_MS = 1_000


@dataclass(frozen=True, slots=True)
class _OrderAnswer:
    """What came of an order."""

    change: MapChange
    rank: int
    order: RankOrder
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class _ReportAnswer:
    """A report that a change asked for."""

    change: MapChange
    report: RankReport


_Answer = _OrderAnswer | _ReportAnswer


class Row(Protocol):
    """The coordinator's row, as changes need it."""

    def next_version(self, above: int = 0) -> int | None:
        """Return the version of a new map, above one; None if none may be made."""

    def resign_when_idle(self) -> None:
        """Give the row up as soon as no other group's map is being changed."""


@dataclass(slots=True)
class GroupChanges:
    """The change under way, and what earlier ones have taught.

    The group's own loop alone moves the change on. Calls to ranks only put their
    answers down for it: what an answer leads to may be further calls, and a call that
    waited for those would keep its place from them.

    Parameters
    ----------
    watch : GroupWatch
    row : Row
    """

    watch: GroupWatch
    row: Row
    _change: MapChange | None = None
    _planned: tuple[Placement, ...] = ()
    _began: Millis = 0
    _ended_at: Millis = -1_000_000
    _arming_ms: Millis = 0
    _answering_ms: Millis = 0
    _order_lost_at: Millis = -1_000_000
    _unarmed_hold: int = -1
    _unarmed_since: Millis = 0
    _switch_step: int = 0
    _switch_epoch: int = 0
    _answers: deque[_Answer] = field(default_factory=deque)
    _has_answers: Event = field(default_factory=Event)

    @property
    def is_under_way(self) -> bool:
        """Whether a change is under way."""
        return self._change is not None

    @property
    def overdue(self) -> Millis:
        """Time since the timeout of the change's phase; negative before it."""
        return -1 if self._change is None else self._change.overdue(self._now)

    @property
    def is_switched(self) -> bool:
        """Whether the pass has begun from which the newest map is in force.

        Before it ranks are armed, and would refuse to prepare another map.
        """
        view = self.watch.view
        # Half a pass of margin: a rank that is armed still would refuse to prepare.
        at = self._now - round(view.pass_ms / 2)
        is_begun = view.has_begun(self._switch_step, at)
        return view.epoch != self._switch_epoch or is_begun

    @property
    def _now(self) -> Millis:
        return self.watch.state.clock.now()

    @property
    def _service(self) -> str:
        return self.watch.service.view.name

    def wait(self, longest: Millis) -> None:
        """Wait until an answer has come, or for a time at most."""
        self._has_answers.wait(longest / _SECOND_MS)
        # Also without a change: a late answer to one that has ended would keep the
        # loop turning without a pause.
        self._has_answers.clear()

    def tick(self) -> None:
        """Take in the answers that have come, and send again what got none."""
        while self._answers:
            self._take_in(self._answers.popleft())
        if self._change is not None:
            self._act(self._change.tick(self._now))

    def begin(self, plan: MapPlan) -> None:
        """Begin a change to the planned map, if this node may make one."""
        view = self.watch.view
        version = self.row.next_version(view.highest_version)
        if version is None:
            return
        now = self._now
        self._planned = plan.placements
        lossy = now - self._order_lost_at < _LOSSY_FOR_MS
        policy = make_change_policy(
            view.size, self._arming_ms, self._answering_ms, has_lost_orders=lossy
        )
        self._change = MapChange(version, view.epoch, view.size, policy)
        self._change.record_pass_start(view.step, view.step_at)
        self._began = now
        self._act(self._change.start(view.pass_ms, now, self._load_ms(plan)))

    def take_up_hold(self) -> None:
        """Bring to its end what another coordinator has left behind.

        Reports are some hundred milliseconds old, and show a hold of our own for
        as long after its end; then a second look decides.
        """
        if self.watch.view.oldest_report_at - self._ended_at < _STALE_HOLD_MS:
            return
        views = [self.watch.view.views[rank] for rank in range(self.watch.view.size)]
        if not can_resume(views) or self._may_be_armed_soon(views):
            return
        if self.row.next_version() is None:
            return
        policy = make_change_policy(self.watch.view.size)
        resumed = resume_change(views, policy, self._now)
        if resumed is None:
            return
        self._change, actions = resumed
        self._planned = ()
        self._began = self._now
        log_event(
            _log,
            "hold_taken_up",
            logging.WARNING,
            service=self._service,
            group=self.watch.name,
            version=self._change.version,
            step=self._change.step,
            phase=self._change.phase,
        )
        self._act(actions)

    def _may_be_armed_soon(self, views: list[RankView]) -> bool:
        """Whether whoever placed a hold may be about to arm the ranks.

        What goes wrong without: a coordinator waits for a rank that is still loading
        while another one, which has not heard of it for a moment, releases the
        group. Ranks armed at that moment run the pass under another map.
        """
        if any(view.armed_version is not None for view in views):
            return False
        held = max(view.held_step for view in views if view.held_step is not None)
        if held != self._unarmed_hold:
            self._unarmed_hold, self._unarmed_since = held, self._now
        return self._now - self._unarmed_since < _UNARMED_HOLD_MS

    def _load_ms(self, plan: MapPlan) -> Millis | None:
        """Return how long the rank with most to load needs; None if it isn't known."""
        load_ms = self.watch.service.view.engine.expert_load_ms
        if not load_ms:
            return None
        return round(max(plan.weight_loads_by_rank, default=0) * load_ms * _LOAD_MARGIN)

    def _act(self, actions: Iterable[ChangeAction]) -> None:
        calls = self.watch.calls
        for action in actions:
            match action:
                case SendOrder(rank=rank, order=order):
                    give = partial(self._give, self._change, rank, order)
                    calls.submit(give, is_order=True)
                case RequestReport(rank=rank):
                    ask = partial(self._ask_report, self._change, rank)
                    calls.submit(ask, is_order=True)
                case ChangeFinished(end=end):
                    self._ended(end)

    def _give(self, change: MapChange, rank: int, order: RankOrder) -> None:
        """Give an order; runs as a call, maybe after the change has moved on."""
        if change is not self._change or not change.is_due(order):
            return
        client = self.watch.client_of(rank)
        verdict = Verdict.LOST
        if client is not None and isinstance(order, Prepare):
            within = change.policy.prepare_retry_interval
            verdict = client.give(order, change.epoch, self._planned, within)
        elif client is not None:
            verdict = client.give(order, change.epoch)
        self._put_down(_OrderAnswer(change, rank, order, verdict))

    def _ask_report(self, change: MapChange, rank: int) -> None:
        """Ask a rank for its report; runs as a call."""
        if change is not self._change:
            return
        client = self.watch.client_of(rank)
        report = client.report() if client is not None else None
        if report is not None:
            self._put_down(_ReportAnswer(change, report))

    def _put_down(self, answer: _Answer) -> None:
        self._answers.append(answer)
        self._has_answers.set()

    def _take_in(self, answer: _Answer) -> None:
        change = self._change
        if answer.change is not change:
            return
        match answer:
            case _OrderAnswer(rank=rank, order=order, verdict=verdict):
                self._note_verdict(rank, order, verdict)
                self._act(change.on_verdict(rank, order, verdict, self._now))
            case _ReportAnswer(report=report) if report.group == self.watch.name:
                # An endpoint in another group reports that group's passes.
                self._act(change.on_report(report.view, self._now))

    def _note_verdict(self, rank: int, order: RankOrder, verdict: Verdict) -> None:
        if verdict is Verdict.LOST:
            self._order_lost_at = self._now
        if verdict is Verdict.ACCEPTED:
            return
        log_event(
            _log,
            "order_not_accepted",
            logging.WARNING,
            service=self._service,
            group=self.watch.name,
            version=self._change.version,
            rank=rank,
            order=order,
            verdict=verdict.value,
            phase=self._change.phase,
        )

    def _ended(self, end: ChangeEnd) -> None:
        now = self._now
        change, self._change = self._change, None
        log_event(
            _log,
            "map_change_ended",
            service=self._service,
            group=self.watch.name,
            version=change.version,
            end=end.value,
            step=change.step,
            took_ms=now - self._began,
            preparing_ms=change.preparing_ms,
            last_rank=change.last_rank,
            arming_ms=change.arming_ms,
            lead_ms=change.policy.lead_time,
        )
        self._learn_arming(change.arming_ms)
        self._answering_ms = max(change.answering_ms, self._answering_ms // 2)
        self.watch.look_soon()
        self._ended_at = now
        if end is ChangeEnd.IN_EFFECT:
            self._switch_step, self._switch_epoch = change.step, change.epoch
        if end is ChangeEnd.IN_EFFECT and self._planned:
            self.watch.map_is(change.version, self._planned)
        if end is ChangeEnd.STUCK and self.watch.view.is_whole:
            # Another node may reach the rank. Of a group that is broken no node
            # does, and its hold ends when it forms anew.
            self.row.resign_when_idle()

    def _learn_arming(self, arming_ms: Millis) -> None:
        """Learn what arming takes: longer at once, shorter by and by.

        A lead too short stops the group. Orders that got no answer have a lead of
        their own.
        """
        if self._order_lost_at >= self._began:
            return
        self._arming_ms = max(arming_ms, (self._arming_ms + arming_ms) // 2)
