"""Every request offered has one fate, and none is taken too late."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from azurefold.core.admission.messages import Priority, QueueItem, Refused
from azurefold.core.admission.queue import FairQueue, QueuePolicy

POLICY = QueuePolicy(max_length=8, max_per_organisation=5, quantum=100)
# A mutant need only be found, so its example is not made small.
SEARCH = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=1_000,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


class QueueMachine(RuleBasedStateMachine):
    """Offers, takes, expiries and withdrawals in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.queue = self.make_queue()
        self.waiting = {}
        self.ended = set()
        self.count = 0

    def make_queue(self):
        return FairQueue(POLICY)

    def end(self, item):
        assert item.request_id not in self.ended
        self.ended.add(item.request_id)
        del self.waiting[item.request_id]

    @rule(by=st.integers(0, 3_000))
    def time_passes(self, by):
        self.now += by

    @rule(
        organisation=st.sampled_from("abc"),
        priority=st.sampled_from(Priority),
        tokens=st.integers(1, 2_000),
        life=st.integers(0, 8_000),
        needs=st.integers(0, 500),
    )
    def offer(self, organisation, priority, tokens, life, needs):
        self.count += 1
        item = QueueItem(
            f"r{self.count}", organisation, priority, tokens, self.now + life, needs
        )
        offered = self.queue.offer(item, self.now)
        if isinstance(offered, Refused):
            assert offered.retry_after_ms > 0
            return
        self.waiting[item.request_id] = item
        for refusal in offered.displaced:
            self.end(refusal.item)
            assert refusal.item.priority >= priority

    @rule()
    def take(self):
        for refusal in self.queue.expire(self.now):
            assert self.now > refusal.item.latest_start
            assert refusal.refused.retry_after_ms > 0
            self.end(refusal.item)
        item = self.queue.take(self.now)
        assert (item is None) == (not self.waiting)
        if item is not None:
            assert self.now <= item.latest_start
            self.end(item)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        self.end(self.queue.withdraw(request_id, self.now))
        assert self.queue.withdraw(request_id, self.now) is None

    @invariant()
    def holds_just_those_waiting(self):
        assert len(self.queue) == len(self.waiting)
        lengths = [self.queue.length_of(priority) for priority in Priority]
        assert sum(lengths) == len(self.waiting)

    @invariant()
    def stays_bounded(self):
        assert len(self.waiting) <= 8
        for organisation in "abc":
            for priority in Priority:
                key = (organisation, priority)
                held = [(i.organisation, i.priority) for i in self.waiting.values()]
                assert held.count(key) <= 5

    @invariant()
    def knows_when_it_must_be_asked(self):
        starts = [item.latest_start + 1 for item in self.waiting.values()]
        assert self.queue.next_expiry() == min(starts, default=None)


TestQueue = QueueMachine.TestCase


class TakesLate(QueueMachine):
    """Nothing is ever given up on."""

    def make_queue(self):
        class Queue(FairQueue):
            def _remove_expired(self, now):
                pass

        return Queue(POLICY)


class ForgetsTheDisplaced(QueueMachine):
    """A request gives way without being answered."""

    def make_queue(self):
        class Queue(FairQueue):
            def offer(self, item, now):
                offered = super().offer(item, now)
                return offered if isinstance(offered, Refused) else type(offered)()

        return Queue(POLICY)


class HasNoBound(QueueMachine):
    """Anything is queued."""

    def make_queue(self):
        return FairQueue(QueuePolicy(max_length=10_000, max_per_organisation=10_000))


@pytest.mark.parametrize("mutant", [TakesLate, ForgetsTheDisplaced, HasNoBound])
def test_the_machine_finds_each_mutant(mutant):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(mutant, settings=SEARCH)
