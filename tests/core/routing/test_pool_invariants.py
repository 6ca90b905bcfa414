"""In any sequence of events, the pool chooses only endpoints that may be chosen."""

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

from azurefold.core.routing.ejection import EjectionPolicy
from azurefold.core.routing.messages import (
    Answered,
    Cancelled,
    Chosen,
    Failed,
    LoadReport,
    Prefix,
    Refused,
    RouteRequest,
    TimedOut,
)
from azurefold.core.routing.pool import Pool, PoolPolicy

NAMES = [f"endpoint-{number}" for number in range(6)]
names = st.sampled_from(NAMES)
draws = st.tuples(st.floats(0, 0.999), st.floats(0, 0.999))
outcomes = st.sampled_from(
    [Answered(30), Failed(), TimedOut(), Refused(), Cancelled(), Failed()]
)
# A mutant only has to be detected, so its failing example is not shrunk.
MUTANT_SEARCH = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=1_000,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


class PoolMachine(RuleBasedStateMachine):
    """Membership changes, failures and choices in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.pool = self.make_pool()
        self.members = set(NAMES)
        self.leaving = set()
        self.attempts = {}
        self.attempt_count = 0
        self.pool.set_endpoints(NAMES, 0)

    def make_pool(self):
        return Pool()

    @rule(elapsed=st.integers(1, 8_000))
    def time_passes(self, elapsed):
        self.now += elapsed
        self.pool.tick(self.now)

    @rule(endpoint=names)
    def leave(self, endpoint):
        self.pool.mark_leaving(endpoint, self.now)
        self.leaving |= {endpoint} & self.members

    @rule(members=st.sets(names, min_size=1))
    def members_change(self, members):
        self.pool.set_endpoints(members, self.now)
        self.members = set(members)
        self.leaving &= members

    @rule(
        draw_pair=draws,
        exclude=st.frozensets(names, max_size=3),
        prefix=st.integers(1, 3),
    )
    def choose(self, draw_pair, exclude, prefix):
        request = RouteRequest((Prefix(prefix, 100),), 200, exclude)
        chosen = self.pool.choose(request, draw_pair, self.now)
        if not isinstance(chosen, Chosen):
            assert chosen.retry_after_ms > 0
            return
        name = chosen.endpoint
        assert name in self.members
        assert name not in self.leaving
        assert name not in exclude
        assert name not in self.pool.ejected
        in_flight = sum(1 for endpoint in self.attempts.values() if endpoint == name)
        assert in_flight < self.pool.concurrency_limit(name)
        self.attempt_count += 1
        self.attempts[str(self.attempt_count)] = name
        self.pool.record_start(name, str(self.attempt_count), self.now, request)

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), outcome=outcomes, has_first_token=st.booleans())
    def finish(self, data, outcome, has_first_token):
        attempt_id = data.draw(st.sampled_from(sorted(self.attempts)))
        name = self.attempts.pop(attempt_id)
        if has_first_token:
            self.pool.record_first_token(name, attempt_id, self.now)
        self.pool.record_end(name, attempt_id, outcome, self.now)
        # A duplicate message must not be counted twice.
        self.pool.record_end(name, attempt_id, outcome, self.now)

    @rule(endpoint=names, load=st.integers(0, 60), age=st.integers(0, 5_000))
    def report(self, endpoint, load, age):
        self.pool.record_load(endpoint, LoadReport(load, 16, age), self.now)

    @invariant()
    def counts_each_attempt_once(self):
        assert self.pool.in_flight == len(self.attempts)

    @invariant()
    def totals_match_the_room_of_eligible_endpoints(self):
        eligible = self.members - self.leaving - self.pool.ejected
        known = self.pool._members.by_name
        assert self.pool.room == sum(known[name].room for name in eligible)

    @invariant()
    def ejects_at_most_the_allowed_share(self):
        # The share refers to the pool at the time of ejection; members may leave later.
        if len(self.members) == len(NAMES):
            assert len(self.pool.ejected) <= 2


TestPool = PoolMachine.TestCase


class IgnoresLeavingEndpoints(PoolMachine):
    """Mutant: the pool is not informed that an endpoint is leaving."""

    @rule(endpoint=names)
    def leave(self, endpoint):
        self.leaving |= {endpoint} & self.members


class EjectsWithoutLimit(PoolMachine):
    """Mutant: the whole pool may be ejected."""

    def make_pool(self):
        return Pool(PoolPolicy(ejection=EjectionPolicy(max_share=1.0)))


class CountsEndedAttempts(PoolMachine):
    """Mutant: an attempt that has ended still counts as in flight."""

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def forget(self, data):
        del self.attempts[data.draw(st.sampled_from(sorted(self.attempts)))]


@pytest.mark.parametrize(
    "mutant", [IgnoresLeavingEndpoints, EjectsWithoutLimit, CountsEndedAttempts]
)
def test_state_machine_detects_each_mutant(mutant):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(mutant, settings=MUTANT_SEARCH)
