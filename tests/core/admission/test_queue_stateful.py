"""Stateful tests: each offered request has one outcome, and none is taken late."""

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
# Examples are not shrunk, because the test only needs to detect the mutant.
MUTANT_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=1_000,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


class QueueMachine(RuleBasedStateMachine):
    """Offers, takes, expires and withdraws requests in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.queue = self.make_queue()
        self.waiting_items = {}
        self.finished_ids = set()
        self.offer_count = 0

    def make_queue(self):
        return FairQueue(POLICY)

    def record_end(self, item):
        assert item.request_id not in self.finished_ids
        self.finished_ids.add(item.request_id)
        del self.waiting_items[item.request_id]

    @rule(elapsed_ms=st.integers(0, 3_000))
    def advance_time(self, elapsed_ms):
        self.now += elapsed_ms

    @rule(
        organisation=st.sampled_from("abc"),
        priority=st.sampled_from(Priority),
        tokens=st.integers(1, 2_000),
        timeout_ms=st.integers(0, 8_000),
        service_ms=st.integers(0, 500),
    )
    def offer(self, organisation, priority, tokens, timeout_ms, service_ms):
        self.offer_count += 1
        item = QueueItem(
            f"r{self.offer_count}",
            organisation,
            priority,
            tokens,
            self.now + timeout_ms,
            service_ms,
        )
        result = self.queue.offer(item, self.now)
        if isinstance(result, Refused):
            assert result.retry_after_ms > 0
            return
        self.waiting_items[item.request_id] = item
        for refused_item in result.displaced:
            self.record_end(refused_item.item)
            assert refused_item.item.priority >= priority

    @rule()
    def take(self):
        for refused_item in self.queue.expire(self.now):
            assert self.now > refused_item.item.latest_start
            assert refused_item.refused.retry_after_ms > 0
            self.record_end(refused_item.item)
        item = self.queue.take(self.now)
        assert (item is None) == (not self.waiting_items)
        if item is not None:
            assert self.now <= item.latest_start
            self.record_end(item)

    @precondition(lambda self: self.waiting_items)
    @rule(data=st.data())
    def withdraw(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.waiting_items)))
        self.record_end(self.queue.withdraw(request_id, self.now))
        assert self.queue.withdraw(request_id, self.now) is None

    @invariant()
    def queue_length_matches_waiting_items(self):
        assert len(self.queue) == len(self.waiting_items)
        lengths = [self.queue.length_of(priority) for priority in Priority]
        assert sum(lengths) == len(self.waiting_items)

    @invariant()
    def queue_length_is_bounded(self):
        assert len(self.waiting_items) <= 8
        for organisation in "abc":
            for priority in Priority:
                key = (organisation, priority)
                class_keys = [
                    (item.organisation, item.priority)
                    for item in self.waiting_items.values()
                ]
                assert class_keys.count(key) <= 5

    @invariant()
    def next_expiry_is_earliest_expiry(self):
        expiries = [item.latest_start + 1 for item in self.waiting_items.values()]
        assert self.queue.next_expiry() == min(expiries, default=None)


TestQueue = QueueMachine.TestCase


class NeverExpires(QueueMachine):
    """Mutant that keeps requests past their latest start."""

    def make_queue(self):
        class Queue(FairQueue):
            def _remove_expired(self, now):
                pass

        return Queue(POLICY)


class LosesDisplaced(QueueMachine):
    """Mutant that does not return the displaced requests."""

    def make_queue(self):
        class Queue(FairQueue):
            def offer(self, item, now):
                result = super().offer(item, now)
                return result if isinstance(result, Refused) else type(result)()

        return Queue(POLICY)


class IsUnbounded(QueueMachine):
    """Mutant without effective bounds on the queue length."""

    def make_queue(self):
        return FairQueue(QueuePolicy(max_length=10_000, max_per_organisation=10_000))


@pytest.mark.parametrize("mutant", [NeverExpires, LosesDisplaced, IsUnbounded])
def test_state_machine_detects_mutant(mutant):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(mutant, settings=MUTANT_SETTINGS)
