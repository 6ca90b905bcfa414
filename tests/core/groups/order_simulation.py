"""Simulation of a group and a coordinator with lost and late orders and answers."""

from dataclasses import dataclass, field

from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import (
    ChangeFinished,
    RequestReport,
    SendOrder,
    Verdict,
)
from azurefold.core.groups.resumed_change import can_resume, resume_change
from azurefold_standins.order_ranks import ModelGroup

ANSWER_TIMEOUT_MS = 100


@dataclass
class OrderSimulation:
    """A group and its coordinator; ``order_fates`` says what happens to orders by rank.

    ``answered``: the order is carried out and answered. ``late``: it is carried out
    later, if at all, and gets no answer. ``unheard``: it is carried out, but the answer
    is lost.
    """

    group: ModelGroup
    change_type: type = MapChange
    now: int = 0
    version: int = 0
    change: object = None
    ends: list = field(default_factory=list)
    late_orders: list = field(default_factory=list)
    abandoned: list = field(default_factory=list)
    order_fates: dict = field(default_factory=dict)
    pending_timeouts: list = field(default_factory=list)
    load_ms: int | None = None

    def start_change(self):
        """Start a change to a new version, if none is in progress."""
        if self.change is not None:
            return
        self.version += 1
        self.change = self.change_type(self.version, self.group.epoch, self.group.size)
        self.change.record_pass_start(self.group.step, self.now)
        self.carry_out(self.change.start(50.0, self.now, self.load_ms))

    def carry_out(self, actions):
        """Carry out the actions of a change immediately."""
        for action in actions:
            match action:
                case SendOrder(rank=rank, order=order):
                    self._send(rank, order)
                case RequestReport(rank=rank):
                    if self.change is not None:
                        view = self.group.view(rank)
                        self.carry_out(self.change.on_report(view, self.now))
                case ChangeFinished(end=end):
                    self.ends.append(end)
                    self.change = None

    def _send(self, rank, order):
        change = self.change
        if change is None:
            return
        fate = self.order_fates.get(rank, "answered")
        if fate == "late":
            self.late_orders.append((self.group.epoch, rank, order))
            self.pending_timeouts.append(
                (self.now + ANSWER_TIMEOUT_MS, change, rank, order)
            )
            return
        if fate == "unheard":
            self._apply_order(change.epoch, rank, order)
            self.pending_timeouts.append(
                (self.now + ANSWER_TIMEOUT_MS, change, rank, order)
            )
            return
        verdict = self._apply_order(change.epoch, rank, order)
        self.carry_out(change.on_verdict(rank, order, verdict, self.now))

    def _apply_order(self, epoch, rank, order):
        if epoch != self.group.epoch:
            return Verdict.REFUSED
        return self.group.ranks[rank].take(order, self.group.step)

    def apply_late_order(self, index):
        """Carry out one of the late orders."""
        if self.late_orders:
            epoch, rank, order = self.late_orders.pop(index % len(self.late_orders))
            self._apply_order(epoch, rank, order)

    def tick(self, milliseconds):
        """Let time pass."""
        self.now += milliseconds
        expired = [
            pending for pending in self.pending_timeouts if pending[0] <= self.now
        ]
        self.pending_timeouts = [
            pending for pending in self.pending_timeouts if pending[0] > self.now
        ]
        for _, change, rank, order in expired:
            if change is self.change:
                self.carry_out(change.on_verdict(rank, order, Verdict.LOST, self.now))
        if self.change is not None:
            self.carry_out(self.change.tick(self.now))

    def kill_coordinator(self):
        """Drop the change; its orders may still arrive, but answers are ignored."""
        self.change = None

    def resume_held_change(self):
        """Let another coordinator resume a held change, as shown by the reports."""
        if self.change is not None:
            return
        views = [self.group.view(rank) for rank in range(self.group.size)]
        if not can_resume(views):
            return
        policy = MapChange(0, 0, 0).policy
        resumed = resume_change(views, policy, self.now)
        if resumed is not None:
            self.change, actions = resumed
            self.carry_out(actions)
