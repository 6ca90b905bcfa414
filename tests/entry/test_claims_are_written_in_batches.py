"""Each key is claimed by one attempt, whatever becomes of the writes."""

from dataclasses import dataclass, field

import gevent
import pytest

from azurefold.core.attempts.claims import Claim, ClaimAcquired, FollowAttempt
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.entry.claims import ClaimTaker, new_claim_writer
from azurefold.site_store.messages import (
    Conflict,
    Row,
    Rows,
    Unavailable,
    Unknown,
    Written,
)


@dataclass
class FakeTable:
    """A table whose next writes go as ``faults`` say.

    ``lost answer`` takes effect, ``lost`` does not, ``down`` is not tried.
    """

    rows: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    reads_down: bool = False
    sizes: list = field(default_factory=list)

    def write(self, transaction):
        """Write rows if all conditions hold."""
        self.sizes.append(len(transaction.puts))
        gevent.sleep(0)
        fault = self.faults.pop(0) if self.faults else None
        if fault == "down":
            return Unavailable("down")
        if fault == "lost":
            return Unknown("lost")
        answer = self._apply(transaction)
        return Unknown("lost answer") if fault == "lost answer" else answer

    def read(self, keys):
        """Return the rows that are there."""
        if self.reads_down:
            return Unavailable("down")
        return Rows({key: self.rows[key] for key in keys if key in self.rows})

    def _apply(self, transaction):
        named = {one.key: one.version for one in transaction.conditions}
        present = {key: self.rows[key] for key in named if key in self.rows}
        found = {key: row.version for key, row in present.items()}
        if any(found.get(key) != version for key, version in named.items()):
            return Conflict(present)
        for put in transaction.puts:
            version = found.get(put.key, 0) + 1
            self.rows[put.key] = Row(put.key, version, put.value)
        return Written(
            {put.key: self.rows[put.key].version for put in transaction.puts}
        )


@pytest.fixture
def table():
    """A table without faults."""
    return FakeTable()


@pytest.fixture
def writer(table):
    """A writer whose greenlets run."""
    writer = new_claim_writer(table)
    writer.start()
    return writer


def take(writer, key, attempt, request="r"):
    """Claim a key for an attempt."""
    return ClaimTaker(writer, key, request).take(attempt, "a", "7")


def take_all(writer, pairs):
    """Claim at the same time, and return the answers."""
    greenlets = [gevent.spawn(take, writer, *pair) for pair in pairs]
    with gevent.Timeout(20):
        return [one.get() for one in greenlets]


def test_claims_of_one_moment_go_in_one_write(writer, table):
    answers = take_all(writer, [(f"k{n}", f"attempt-{n}") for n in range(40)])
    assert answers == [ClaimAcquired()] * 40
    assert table.sizes[0] == 40


def test_one_key_is_claimed_once_however_many_ask(writer, table):
    # Symptom: a slot is booked twice. Sequence: a caller repeats its request
    # at the same moment, with the same key. Cause: both would find the row
    # absent; only a conditional write decides between them.
    answers = take_all(writer, [("k", f"attempt-{n}") for n in range(10)])
    assert sum(isinstance(answer, ClaimAcquired) for answer in answers) == 1
    followed = {
        answer.claim.attempt_id for answer in answers if answer != ClaimAcquired()
    }
    assert len(followed) == 1


def test_a_conflict_on_one_key_does_not_hold_up_the_others(writer, table):
    take(writer, "taken", "before")
    pairs = [(key, f"new-{key}") for key in ("k1", "taken", "k2")]
    first, second, third = take_all(writer, pairs)
    assert (first, third) == (ClaimAcquired(), ClaimAcquired())
    assert isinstance(second, FollowAttempt)
    assert second.claim.attempt_id == "before"


def test_a_write_whose_answer_is_lost_is_read_back(writer, table):
    # Symptom: a caller is told "not run", and its claim stands all the same.
    # Sequence: the write takes effect, its answer is lost. Cause: without
    # reading the row back nobody knows which.
    table.faults = ["lost answer"]
    assert take_all(writer, [("k1", "a1"), ("k2", "a2")]) == [
        ClaimAcquired(),
        ClaimAcquired(),
    ]


@pytest.mark.parametrize("fault", ["lost", "down"])
def test_a_claim_without_effect_means_not_run(writer, table, fault):
    table.faults = [fault]
    (answer,) = take_all(writer, [("k", "a1")])
    assert isinstance(answer, Failure)
    assert answer.ran is RunStatus.NOT_RUN
    assert answer.retry_after_ms
    assert not table.rows


def test_the_results_are_counted(writer, table):
    take(writer, "k", "a1")
    take(writer, "k", "a2")
    take(writer, "k", "a3", request="another")
    table.faults = ["down"]
    take(writer, "k2", "a4")
    assert writer.results == {
        "taken": 1,
        "followed": 1,
        "reused": 1,
        "unavailable": 1,
    }


def test_a_refused_repeat_is_not_called_not_run_while_nobody_can_look(writer, table):
    # Symptom: a family is told that nothing was booked, and it was. Sequence:
    # a request is run, its repeat is refused for another reason while the
    # table is down. Cause: "not run" would be true of the repeat alone.
    take(writer, "k", "a1")
    repeat = ClaimTaker(writer, "k", "r")
    refusal = Failure(RunStatus.NOT_RUN, "queue_full", "", 100)
    assert repeat.check_refusal(refusal) != refusal
    table.reads_down = True
    again = ClaimTaker(writer, "k", "r").check_refusal(refusal)
    assert again.ran is RunStatus.UNKNOWN


def test_a_fault_while_writing_leaves_no_caller_waiting():
    # Symptom: a caller waits for ever and its place is never given back.
    # Sequence: the platform answers something that nobody thought of, and the
    # writer fails on it. Cause: the batch it had taken is in no list any more.
    class Odd:
        def write(self, transaction):
            raise KeyError("versions")

    writer = new_claim_writer(Odd())
    writer.start()
    claim = Claim("a", "e", "1", "r")
    with gevent.Timeout(10):
        answer = writer.write("claim/odd", claim, None)
    assert isinstance(answer, Unavailable)
