"""What is held for callers never passes its bound, and is given back."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from azurefold.core.callers.memory import (
    SMALL_BYTES,
    MemoryBudget,
    new_memory_budget,
)

LIMIT = 40 * SMALL_BYTES
SIZES = st.integers(1, 2 * SMALL_BYTES)


class Budget(RuleBasedStateMachine):
    """Requests that hold more and less, with a limit that they reach."""

    def __init__(self):
        super().__init__()
        self.budget = MemoryBudget(LIMIT, make_room=self.make_room)
        self.held = []
        self.gives_way = None

    def make_room(self, size):
        if self.gives_way is None or not self.gives_way.size:
            return False
        self.gives_way.release()
        return True

    @rule()
    def begin(self):
        self.held.append(self.budget.reservation())

    @rule(index=st.integers(0), size=SIZES, gives_way=st.booleans())
    def grow(self, index, size, gives_way):
        if not self.held:
            return
        growing = self.held[index % len(self.held)]
        others = [each for each in self.held if each is not growing]
        self.gives_way = others[0] if gives_way and others else None
        before = growing.size
        granted = growing.grow(size)
        assert growing.size == before + (size if granted else 0)

    @rule(index=st.integers(0), size=SIZES)
    def shrink(self, index, size):
        if self.held:
            self.held[index % len(self.held)].shrink_to(size)

    @invariant()
    def sum_is_within_the_limit(self):
        assert self.budget.held == sum(each.size for each in self.held)
        assert self.budget.held <= LIMIT


TestBudget = Budget.TestCase


def test_large_requests_leave_room_for_small_ones():
    """Guards against ordinary requests that find no memory beside large ones."""
    budget = MemoryBudget(LIMIT)
    while budget.reservation().grow(2 * SMALL_BYTES):
        continue
    assert budget.reservation().grow(SMALL_BYTES)


def test_a_small_machine_leaves_something_for_callers():
    assert 0 < new_memory_budget(32 * 1_048_576).limit < 32 * 1_048_576
