"""At most one process acts as the holder of a group's lease."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from azurefold.core.groups.lease import (
    Lease,
    LeaseRow,
    LeaseTiming,
    OutcomeUnknown,
    ReadLease,
    VersionedLeaseRow,
    WriteConflict,
    WriteNotApplied,
    WriteSucceeded,
)

TIMING = LeaseTiming()
NAMES = ("a/1", "b/1", "c/1")


class SimulatedTable:
    """The row of the lease, with conditional writes."""

    def __init__(self):
        self.row = VersionedLeaseRow()
        self.last_version = 0

    def write(self, write):
        if write.expected_version != self.row.version:
            return WriteConflict(self.row)
        self.last_version += 1
        self.row = VersionedLeaseRow(write.row, self.last_version)
        return WriteSucceeded(self.last_version)


class OneHolder(RuleBasedStateMachine):
    """Three processes with lost answers, late writes, outages and pauses."""

    lease_type = Lease

    def __init__(self):
        super().__init__()
        self.now = 0
        self.table = SimulatedTable()
        self.leases = {name: self.lease_type(name, TIMING) for name in NAMES}
        self.late_writes = []
        self.answers = {}
        self.holder_by_fence = {}

    @rule(milliseconds=st.sampled_from([100, 500, 1_000, 2_700, 3_000]))
    def let_time_pass(self, milliseconds):
        self.now += milliseconds

    @rule(name=st.sampled_from(NAMES))
    def act(self, name):
        self.ask_table(name, "done")
        self.answer_request(name)

    @rule(
        name=st.sampled_from(NAMES),
        fate=st.sampled_from(["done", "no answer", "late", "refused"]),
    )
    def ask_table(self, name, fate):
        """Send a request; :meth:`answer_request` delivers its answer."""
        match self.leases[name].tick(self.now):
            case None:
                return
            case ReadLease():
                self.answers[name] = self.table.row if fate == "done" else None
            case write:
                self.answers[name] = self._write_outcome(write, fate)

    def _write_outcome(self, write, fate):
        match fate:
            case "done":
                return self.table.write(write)
            case "refused":
                return WriteNotApplied()
            case "late":
                self.late_writes.append(write)
            case "no answer":
                self.table.write(write)
        return OutcomeUnknown()

    @rule(name=st.sampled_from(NAMES))
    def answer_request(self, name):
        if name not in self.answers:
            return
        match self.answers.pop(name):
            case None | VersionedLeaseRow() as seen:
                self.leases[name].on_read(seen, self.now)
            case outcome:
                self.leases[name].on_write_outcome(outcome, self.now)

    @precondition(lambda self: self.late_writes)
    @rule()
    def a_late_write_arrives(self):
        self.table.write(self.late_writes.pop(0))

    @rule(name=st.sampled_from(NAMES))
    def release(self, name):
        write = self.leases[name].release(self.now)
        if write is not None:
            self.table.write(write)

    @rule(name=st.sampled_from(NAMES))
    def drop(self, name):
        self.leases[name].abandon()

    @invariant()
    def at_most_one_holder(self):
        fences = {name: lease.fence_at(self.now) for name, lease in self.leases.items()}
        holders = {name: fence for name, fence in fences.items() if fence is not None}
        assert len(holders) <= 1, holders
        for name, fence in holders.items():
            assert self.holder_by_fence.setdefault(fence, name) == name

    def teardown(self):
        """Check that one process holds the lease again when the failures have ended."""
        self.late_writes.clear()
        for _ in range(200):
            self.now += 100
            for name in NAMES:
                self.answer_request(name)
                self.act(name)
        fences = [lease.fence_at(self.now) for lease in self.leases.values()]
        assert sum(fence is not None for fence in fences) == 1


TestOneHolder = OneHolder.TestCase


class _StartsDurationAtAnswer(Lease):
    """Measures the duration from the answer, which may arrive much later."""

    def on_write_outcome(self, outcome, now):
        if isinstance(outcome, WriteSucceeded):
            self._sent_at = dict.fromkeys(self._sent_at, now)
        super().on_write_outcome(outcome, now)


class _IgnoresExpiry(Lease):
    """Holds the lease until it reads that another process does."""

    def fence_at(self, now):
        return self._fence


class _TakesOverBeforeExpiry(Lease):
    """Takes the lease over without waiting for its expiry."""

    def _is_free(self, now):
        return True


@pytest.mark.parametrize(
    "naive", [_StartsDurationAtAnswer, _IgnoresExpiry, _TakesOverBeforeExpiry]
)
def test_a_naive_lease_lets_two_processes_hold_it(naive):
    class Naive(OneHolder):
        lease_type = naive

    checks = [HealthCheck.too_slow, HealthCheck.filter_too_much]
    profile = settings(
        max_examples=400,
        derandomize=True,
        deadline=None,
        suppress_health_check=checks,
        phases=[Phase.generate],
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Naive, settings=profile)


def table_and_held_lease(name="a/1", now=0):
    """Return a table, and a lease that a process has acquired in it."""
    table, lease = SimulatedTable(), Lease(name, TIMING)
    lease.on_read(table.row, now) if lease.tick(now) else None
    lease.on_write_outcome(table.write(lease.tick(now + 500)), now + 500)
    return table, lease


def test_the_row_is_read_back_after_a_lost_answer():
    """Guards against a group without a coordinator until the lease expires.

    The write takes effect, but its answer is lost. The process reads the row, finds its
    own attempt and holds the lease from the time at which it sent that attempt.
    """
    table, lease = SimulatedTable(), Lease("a/1", TIMING)
    lease.tick(0)
    lease.on_read(table.row, 0)
    table.write(lease.tick(500))
    lease.on_write_outcome(OutcomeUnknown(), 1_500)
    assert lease.fence_at(1_500) is None
    assert lease.tick(1_600) == ReadLease()
    lease.on_read(table.row, 1_600)
    assert lease.fence_at(1_600) == 1
    assert lease.fence_at(500 + TIMING.duration - TIMING.safety_margin) is None


def test_an_expired_lease_is_reacquired_with_a_higher_fence():
    table, lease = table_and_held_lease()
    expired_at = 500 + TIMING.duration
    assert lease.fence_at(expired_at) is None
    lease.on_write_outcome(table.write(lease.tick(expired_at)), expired_at)
    assert lease.fence_at(expired_at) == 2


def test_a_released_lease_can_be_acquired_immediately():
    table, lease = table_and_held_lease()
    successor = Lease("b/1", TIMING)
    table.write(lease.release(600))
    successor.tick(600)
    successor.on_read(table.row, 600)
    successor.on_write_outcome(table.write(successor.tick(1_100)), 1_100)
    assert successor.fence_at(1_100) == 2


def test_the_next_fence_is_higher_than_the_minimum():
    """Ranks may know a higher fence than a table restored from an older copy."""
    table, lease = table_and_held_lease()
    lease.abandon(min_fence=7)
    lease.on_write_outcome(table.write(lease.tick(600)), 600)
    assert lease.fence_at(600) == 8


def test_a_successor_reads_the_active_map():
    table, lease = table_and_held_lease()
    lease.record_active_map("m7")
    lease.on_write_outcome(table.write(lease.tick(1_600)), 1_600)
    successor = Lease("b/1", TIMING)
    successor.tick(1_600)
    successor.on_read(table.row, 1_600)
    assert (successor.map_id, successor.row.holder) == ("m7", "a/1")
    assert isinstance(table.row.row, LeaseRow)
