"""At most one process believes that it holds a group's lease."""

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


class Table:
    """The row, and writes that are still on their way."""

    def __init__(self):
        self.seen = VersionedLeaseRow()
        self.versions = 0

    def write(self, write):
        if write.expected_version != self.seen.version:
            return WriteConflict(self.seen)
        self.versions += 1
        self.seen = VersionedLeaseRow(write.row, self.versions)
        return WriteSucceeded(self.versions)


class OneHolder(RuleBasedStateMachine):
    """Three processes, lost answers, late writes, outages and pauses."""

    lease_type = Lease

    def __init__(self):
        super().__init__()
        self.now = 0
        self.table = Table()
        self.leases = {name: self.lease_type(name, TIMING) for name in NAMES}
        self.late = []
        self.answers = {}
        self.fences = {}

    @rule(span=st.sampled_from([100, 500, 1_000, 2_700, 3_000]))
    def let_time_pass(self, span):
        self.now += span

    @rule(name=st.sampled_from(NAMES))
    def act(self, name):
        self.ask(name, "done")
        self.answer(name)

    @rule(
        name=st.sampled_from(NAMES),
        fate=st.sampled_from(["done", "no answer", "late", "refused"]),
    )
    def ask(self, name, fate):
        """Send a request; its answer comes with :meth:`answer`."""
        match self.leases[name].tick(self.now):
            case None:
                return
            case ReadLease():
                self.answers[name] = self.table.seen if fate == "done" else None
            case write:
                self.answers[name] = self._written(write, fate)

    def _written(self, write, fate):
        match fate:
            case "done":
                return self.table.write(write)
            case "refused":
                return WriteNotApplied()
            case "late":
                self.late.append(write)
            case "no answer":
                self.table.write(write)
        return OutcomeUnknown()

    @rule(name=st.sampled_from(NAMES))
    def answer(self, name):
        if name not in self.answers:
            return
        match self.answers.pop(name):
            case None | VersionedLeaseRow() as seen:
                self.leases[name].on_read(seen, self.now)
            case outcome:
                self.leases[name].on_write_outcome(outcome, self.now)

    @precondition(lambda self: self.late)
    @rule()
    def a_late_write_arrives(self):
        self.table.write(self.late.pop(0))

    @rule(name=st.sampled_from(NAMES))
    def release(self, name):
        write = self.leases[name].release(self.now)
        if write is not None:
            self.table.write(write)

    @rule(name=st.sampled_from(NAMES))
    def drop(self, name):
        self.leases[name].abandon()

    @invariant()
    def one_holder_at_most(self):
        held = {n: lease.fence_at(self.now) for n, lease in self.leases.items()}
        holders = {name: fence for name, fence in held.items() if fence is not None}
        assert len(holders) <= 1, holders
        for name, fence in holders.items():
            assert self.fences.setdefault(fence, name) == name

    def teardown(self):
        """Once failures stop, one process holds the lease again."""
        self.late.clear()
        for _ in range(200):
            self.now += 100
            for name in NAMES:
                self.answer(name)
                self.act(name)
        held = [lease.fence_at(self.now) for lease in self.leases.values()]
        assert sum(fence is not None for fence in held) == 1


TestOneHolder = OneHolder.TestCase


class _CountsFromTheAnswer(Lease):
    """Takes the term to begin when the answer comes, which may be much later."""

    def on_write_outcome(self, outcome, now):
        if isinstance(outcome, WriteSucceeded):
            self._started = dict.fromkeys(self._started, now)
        super().on_write_outcome(outcome, now)


class _NeverStops(Lease):
    """Believes that it holds the lease until it reads otherwise."""

    def fence_at(self, now):
        return self._fence


class _ForgetsLapses(Lease):
    """Takes the lease over as soon as it sees it."""

    def _is_free(self, now):
        return True


@pytest.mark.parametrize("naive", [_CountsFromTheAnswer, _NeverStops, _ForgetsLapses])
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


def holding(name="a/1", now=0):
    """Return a table, and a lease that holds it from ``now`` on."""
    table, lease = Table(), Lease(name, TIMING)
    lease.on_read(table.seen, now) if lease.tick(now) else None
    lease.on_write_outcome(table.write(lease.tick(now + 500)), now + 500)
    return table, lease


def test_a_lost_answer_is_read_back():
    """Symptom: a group without a coordinator for a term, for nothing.

    The write takes effect, its answer is lost. Its author reads the row, finds
    its own attempt there and holds the lease from when it sent that attempt.
    """
    table, lease = Table(), Lease("a/1", TIMING)
    lease.tick(0)
    lease.on_read(table.seen, 0)
    table.write(lease.tick(500))
    lease.on_write_outcome(OutcomeUnknown(), 1_500)
    assert lease.fence_at(1_500) is None
    assert lease.tick(1_600) == ReadLease()
    lease.on_read(table.seen, 1_600)
    assert lease.fence_at(1_600) == 1
    assert lease.fence_at(500 + TIMING.duration - TIMING.safety_margin) is None


def test_a_lease_that_lapsed_is_taken_again_under_a_higher_fence():
    table, lease = holding()
    late = 500 + TIMING.duration
    assert lease.fence_at(late) is None
    lease.on_write_outcome(table.write(lease.tick(late)), late)
    assert lease.fence_at(late) == 2


def test_a_released_lease_is_taken_at_once():
    table, lease = holding()
    other = Lease("b/1", TIMING)
    table.write(lease.release(600))
    other.tick(600)
    other.on_read(table.seen, 600)
    other.on_write_outcome(table.write(other.tick(1_100)), 1_100)
    assert other.fence_at(1_100) == 2


def test_a_fence_beyond_the_one_that_deposed_it_comes_next():
    """A table restored from an old copy shows lower fences than ranks know."""
    table, lease = holding()
    lease.abandon(min_fence=7)
    lease.on_write_outcome(table.write(lease.tick(600)), 600)
    assert lease.fence_at(600) == 8


def test_a_successor_learns_the_map_in_force():
    table, lease = holding()
    lease.record_active_map("m7")
    lease.on_write_outcome(table.write(lease.tick(1_600)), 1_600)
    other = Lease("b/1", TIMING)
    other.tick(1_600)
    other.on_read(table.seen, 1_600)
    assert (other.map_id, other.row.holder) == ("m7", "a/1")
    assert isinstance(table.seen.row, LeaseRow)
