"""A group, a coordinator, and orders that may be lost, late or unheard."""

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

ANSWER_TIMEOUT = 100


@dataclass
class OrderWorld:
    """A group, a coordinator, and orders that may be lost or late."""

    group: ModelGroup
    change_type: type = MapChange
    now: int = 0
    version: int = 0
    change: object = None
    ends: list = field(default_factory=list)
    late: list = field(default_factory=list)
    abandoned: list = field(default_factory=list)
    lose: dict = field(default_factory=dict)
    unanswered: list = field(default_factory=list)
    load_ms: int | None = None

    def begin(self):
        """Begin a change to a new version, if none is under way."""
        if self.change is not None:
            return
        self.version += 1
        self.change = self.change_type(self.version, self.group.epoch, self.group.size)
        self.change.record_pass_start(self.group.step, self.now)
        self.act(self.change.start(50.0, self.now, self.load_ms))

    def act(self, actions):
        """Carry out a change's actions at once."""
        for action in actions:
            match action:
                case SendOrder(rank=rank, order=order):
                    self._send(rank, order)
                case RequestReport(rank=rank):
                    if self.change is not None:
                        view = self.group.view(rank)
                        self.act(self.change.on_report(view, self.now))
                case ChangeFinished(end=end):
                    self.ends.append(end)
                    self.change = None

    def _send(self, rank, order):
        change = self.change
        if change is None:
            return
        fate = self.lose.get(rank, "answered")
        if fate == "late":
            self.late.append((self.group.epoch, rank, order))
            self.unanswered.append((self.now + ANSWER_TIMEOUT, change, rank, order))
            return
        if fate == "unheard":
            self._carry_out(change.epoch, rank, order)
            self.unanswered.append((self.now + ANSWER_TIMEOUT, change, rank, order))
            return
        verdict = self._carry_out(change.epoch, rank, order)
        self.act(change.on_verdict(rank, order, verdict, self.now))

    def _carry_out(self, epoch, rank, order):
        if epoch != self.group.epoch:
            return Verdict.REFUSED
        return self.group.ranks[rank].take(order, self.group.step)

    def carry_out_late(self, index):
        """Carry out one of the orders that got no answer."""
        if self.late:
            epoch, rank, order = self.late.pop(index % len(self.late))
            self._carry_out(epoch, rank, order)

    def tick(self, milliseconds):
        """Let time pass."""
        self.now += milliseconds
        due = [each for each in self.unanswered if each[0] <= self.now]
        self.unanswered = [each for each in self.unanswered if each[0] > self.now]
        for _, change, rank, order in due:
            if change is self.change:
                self.act(change.on_verdict(rank, order, Verdict.LOST, self.now))
        if self.change is not None:
            self.act(self.change.tick(self.now))

    def kill_coordinator(self):
        """Its orders under way may still arrive; nobody hears their answers."""
        self.change = None

    def take_over(self):
        """Another coordinator looks at the reports and takes up what is held."""
        if self.change is not None:
            return
        views = [self.group.view(rank) for rank in range(self.group.size)]
        if not can_resume(views):
            return
        policy = MapChange(0, 0, 0).policy
        resumed = resume_change(views, policy, self.now)
        if resumed is not None:
            self.change, actions = resumed
            self.act(actions)
