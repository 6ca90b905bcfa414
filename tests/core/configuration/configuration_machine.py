"""State machine of configuration failures, run by the property test and mutants."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from tests.core.configuration.simulated_site import (
    DATA_CENTRE_BY_PROCESS,
    DATA_CENTRES,
    SimulatedSite,
)

CONVERGENCE_LIMIT_MS = 5_000
WRITE_FAULTS = st.sampled_from(["none", "none", "lost", "late", "unavailable"])
PROCESS_NAMES = st.sampled_from(sorted(DATA_CENTRE_BY_PROCESS))
JITTER = st.floats(0, 0.999)


class ConfigurationMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.site = self.make_site()

    def make_site(self):
        return SimulatedSite()

    @property
    def _pending_operators(self):
        return [
            operator for operator in self.site.operators if operator.outcome is None
        ]

    @rule()
    def start_edit(self):
        self.site.start_edit()

    @rule()
    def start_and_submit_edit(self):
        self.site.start_edit()
        self.site.submit(self.site.operators[-1], "none")

    @precondition(lambda self: self._pending_operators)
    @rule(data=st.data(), fault=WRITE_FAULTS)
    def submit_pending_edit(self, data, fault):
        operator = data.draw(st.sampled_from(self._pending_operators))
        self.site.submit(operator, fault)

    @precondition(lambda self: self.site.late_writes)
    @rule()
    def apply_late_write(self):
        self.site.apply_late_write()

    @rule(
        name=PROCESS_NAMES, jitter=JITTER, passed=st.sampled_from([0, 100, 600, 3_000])
    )
    def tick_one_process(self, name, jitter, passed):
        self.site.now += passed
        self.site.tick(name, jitter)

    @rule(jitter=JITTER)
    def tick_all_processes(self, jitter):
        self.site.now += 1_000
        for name in DATA_CENTRE_BY_PROCESS:
            self.site.tick(name, jitter)

    @rule(sender=PROCESS_NAMES, receiver=PROCESS_NAMES)
    def deliver_announcement(self, sender, receiver):
        self.site.deliver_announcement(sender, receiver)

    @rule(name=PROCESS_NAMES)
    def restart_process(self, name):
        self.site.restart(name)

    @rule(data_centre=st.sampled_from(DATA_CENTRES), is_reachable=st.booleans())
    def set_platform_reachable(self, data_centre, is_reachable):
        self.site.is_platform_reachable[data_centre] = is_reachable

    @rule(is_linked=st.booleans())
    def set_data_centres_linked(self, is_linked):
        self.site.is_linked = is_linked

    @rule()
    def corrupt_next_contents(self):
        self.site.should_corrupt_next = True

    @rule()
    def back_up_store(self):
        self.site.backup = self.site.table.copy()

    # A restore between a lost answer and the read-back destroys the only proof
    # of the outcome; docs/design/configuration.md says so to operators.
    @precondition(
        lambda self: (
            not any(
                operator.has_lost_answer and operator.outcome is None
                for operator in self.site.operators
            )
        )
    )
    @rule()
    def restore_store(self):
        self.site.table = self.site.backup.copy()
        self.site.late_writes.clear()

    @invariant()
    def applied_heads_and_outcomes_are_correct(self):
        self.site.check_applied()
        self.site.check_outcomes()

    def teardown(self):
        self.site.check_forks_raise_alarms()
        self.site.check_convergence(CONVERGENCE_LIMIT_MS)
        self.site.check_applied()
