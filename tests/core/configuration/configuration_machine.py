"""The rules by which failures are drawn; used by the property and its mutants."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from tests.core.configuration.simulated_site import HALLS, NODES, World

IN_FORCE_WITHIN_MS = 5_000
FAULTS = st.sampled_from(["none", "none", "lost", "late", "unavailable"])
NAMES = st.sampled_from(sorted(NODES))
JITTER = st.floats(0, 0.999)


class ConfigurationMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = self.make_world()

    def make_world(self):
        return World()

    @property
    def _pending(self):
        return [each for each in self.world.operators if each.outcome is None]

    @rule()
    def operator_begins_an_edit(self):
        self.world.begin_edit()

    @rule()
    def operator_edits_undisturbed(self):
        self.world.begin_edit()
        self.world.submit(self.world.operators[-1], "none")

    @precondition(lambda self: self._pending)
    @rule(data=st.data(), fault=FAULTS)
    def operator_hands_in(self, data, fault):
        operator = data.draw(st.sampled_from(self._pending))
        self.world.submit(operator, fault)

    @precondition(lambda self: self.world.late_writes)
    @rule()
    def late_write_lands(self):
        self.world.land_late_write()

    @rule(name=NAMES, jitter=JITTER, passed=st.sampled_from([0, 100, 600, 3_000]))
    def time_passes_for_one(self, name, jitter, passed):
        self.world.now += passed
        self.world.tick(name, jitter)

    @rule(jitter=JITTER)
    def time_passes_for_all(self, jitter):
        self.world.now += 1_000
        for name in NODES:
            self.world.tick(name, jitter)

    @rule(sender=NAMES, hearer=NAMES)
    def one_hears_another(self, sender, hearer):
        self.world.gossip(sender, hearer)

    @rule(name=NAMES)
    def process_is_replaced(self, name):
        self.world.restart(name)

    @rule(hall=st.sampled_from(HALLS), sees=st.booleans())
    def platform_is_cut_or_back(self, hall, sees):
        self.world.sees_platform[hall] = sees

    @rule(linked=st.booleans())
    def data_centres_are_cut_or_linked(self, linked):
        self.world.linked = linked

    @rule()
    def next_contents_are_damaged(self):
        self.world.corrupt_next = True

    @rule()
    def store_is_copied(self):
        self.world.saved = self.world.table.copy()

    # A restore between a lost answer and the read-back destroys the only proof
    # of what happened; docs/design-configuration.md says so to operators.
    @precondition(
        lambda self: (
            not any(
                each.in_doubt and each.outcome is None for each in self.world.operators
            )
        )
    )
    @rule()
    def store_is_restored(self):
        self.world.table = self.world.saved.copy()
        self.world.late_writes.clear()

    @invariant()
    def nothing_untrue_and_nothing_backward(self):
        self.world.check_applied()
        self.world.check_outcomes()

    def teardown(self):
        self.world.check_forks_are_alarmed()
        self.world.check_in_force_within(IN_FORCE_WITHIN_MS)
        self.world.check_applied()
