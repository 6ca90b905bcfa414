"""Membership holds its promises whatever happens to datagrams and processes.

Hypothesis draws losses, delays, doubles, reorderings, restarts, pauses,
network partitions and lagging lists of VMs, and checks after each step.
"""

from dataclasses import replace

import pytest
from bench.membership_network import VirtualNetwork, view
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from azurefold.core.membership import directory as directory_module
from azurefold.core.membership.directory import Directory
from azurefold.core.membership.endpoints import State
from azurefold.core.membership.messages import Announcement, Timing
from azurefold.core.membership.vm_list import ListedVm

CONTROLS, ENDPOINTS = 3, 3
TIMING = Timing()
ROUNDS_TO_AGREE = 240
STEPS = st.sampled_from([250, 1_000, 2_000, 5_000, 12_000])
LISTED = ("live", "leaving", "missing")
MUTANT = settings(
    max_examples=300,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
)


class MembershipMachine(RuleBasedStateMachine):
    make_directory = Directory

    def __init__(self):
        super().__init__()
        self.network = VirtualNetwork(make_directory=self.make_directory)
        self.heard_leaving = set()
        self.history = []
        self.heard_at = {}

    @initialize()
    def start(self):
        self.controls = [self.network.add_control(n) for n in range(CONTROLS)]
        self.endpoints = [self.network.add_endpoint(n) for n in range(ENDPOINTS)]
        self._run_without_faults(rounds=16)

    def _run_without_faults(self, rounds):
        for _ in range(rounds):
            self.network.now += 250
            self.network.tick()
            while self.network.in_flight:
                self.deliver_all()
                self.what_is_heard_is_not_declared_gone()

    def _deliver(self, datagram):
        if isinstance(datagram.message, Announcement):
            self.history.append(datagram)
        node = self.network.nodes.get(datagram.to)
        self.network.deliver(datagram)
        if node is None or node.paused or not node.is_control:
            return
        if not self.network.is_cut(datagram.source.origin, datagram.to):
            source = (datagram.source.name, datagram.source.incarnation)
            self.heard_at[node.record, source] = self.network.now

    @rule(by=STEPS)
    def time_passes(self, by):
        self.network.now += by
        self.network.tick()

    @rule(data=st.data())
    @precondition(lambda self: self.network.in_flight)
    def deliver_one(self, data):
        self._deliver(self.network.in_flight.pop(self._draw_place(data)))

    @rule()
    def deliver_all(self):
        batch, self.network.in_flight = self.network.in_flight, []
        for datagram in batch:
            self._deliver(datagram)

    @rule()
    def deliver_backward(self):
        batch, self.network.in_flight = self.network.in_flight, []
        for datagram in reversed(batch):
            self._deliver(datagram)

    @rule(data=st.data())
    @precondition(lambda self: self.network.in_flight)
    def lose_one(self, data):
        self.network.in_flight.pop(self._draw_place(data))

    @rule(data=st.data())
    @precondition(lambda self: self.network.in_flight)
    def double_one(self, data):
        place = self._draw_place(data)
        self.network.in_flight.append(self.network.in_flight[place])

    @rule(which=st.integers(0, ENDPOINTS - 1))
    def deliver_all_ever_announced_backward(self, which):
        origin = self.endpoints[which]
        late = [each for each in self.history if each.source.origin == origin]
        for datagram in reversed(late):
            self._deliver(datagram)

    def _draw_place(self, data):
        return data.draw(st.integers(0, len(self.network.in_flight) - 1))

    @rule(which=st.integers(0, ENDPOINTS - 1), state=st.sampled_from([2, 3]))
    def leave(self, which, state):
        address = self.endpoints[which]
        node = self.network.nodes.get(address)
        if node is not None and not node.paused:
            sends = node.machine.announce(State(state), self.network.now)
            self.network.post(address, sends)

    @rule(which=st.integers(0, ENDPOINTS - 1))
    def leave_and_be_heard(self, which):
        self.leave(which, State.LEAVING)
        self.deliver_all()

    @rule(data=st.data())
    def die(self, data):
        self.network.remove(data.draw(st.sampled_from(self._addresses())))

    @rule(which=st.integers(0, ENDPOINTS - 1))
    def restart_endpoint(self, which):
        self.network.add_endpoint(which)

    @rule(which=st.integers(0, CONTROLS - 1))
    def restart_control(self, which):
        self.network.add_control(which)

    @rule(data=st.data())
    def pause(self, data):
        node = self.network.nodes.get(data.draw(st.sampled_from(self._addresses())))
        if node is not None:
            node.paused = True

    @rule()
    def resume(self):
        for node in list(self.network.nodes.values()):
            if node.paused:
                inbox, node.inbox = node.inbox, []
                node.paused = False
                for datagram in inbox:
                    self._deliver(datagram)

    @rule(sides=st.lists(st.integers(0, 1), min_size=6, max_size=6))
    def cut(self, sides):
        self.network.sides = dict(zip(self._addresses(), sides, strict=True))

    @rule(listed=st.lists(st.sampled_from(LISTED), min_size=3, max_size=3))
    def read_lagging_vm_list(self, listed):
        vms = []
        for number, line in enumerate(listed):
            name = f"fukuoka-hall-endpoint-{number:03d}"
            host = self.endpoints[number].rpartition(":")[0]
            vm = ListedVm(name, f"{host}:7001", 7002, leaving=line == "leaving")
            vms += [] if line == "missing" else [vm]
        for node in self.network.controls():
            if not node.paused:
                node.machine.update_vms(vms, self.network.now)

    @rule()
    def heal(self):
        self.network.sides = {}
        self.resume()
        self._run_without_faults(ROUNDS_TO_AGREE)
        truth = self.network.truth()
        for seen in self.network.views():
            assert seen == truth

    def _addresses(self):
        return [*self.controls, *self.endpoints]

    @invariant()
    def leaving_is_never_undone(self):
        for node in self.network.controls():
            for record in node.machine.records():
                key = (node.record, record.name, record.incarnation)
                if record.state is State.LEAVING:
                    self.heard_leaving.add(key)
                if key in self.heard_leaving:
                    assert record.state >= State.LEAVING, record

    @invariant()
    def what_is_heard_is_not_declared_gone(self):
        for node in self.network.controls():
            for record in node.machine.records():
                source = (record.name, record.incarnation)
                heard = self.heard_at.get((node.record, source))
                if heard is None or record.announced is State.GONE:
                    continue
                if self.network.now - heard < TIMING.probe_after:
                    assert not record.is_silent, record

    @invariant()
    def a_snapshot_never_shows_more_than_the_record(self):
        for node in self.network.controls():
            for shown in node.machine.snapshot():
                assert shown.state >= shown.record.state


TestMembership = MembershipMachine.TestCase


def test_catches_last_writer_wins(monkeypatch):
    """Records taken in the order of arrival instead of joined."""
    monkeypatch.setattr(directory_module, "join", lambda known, record: record)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(MembershipMachine, settings=MUTANT)


class _RevivingDirectory(Directory):
    def update_vms(self, vms, now):
        listed = tuple(vms)
        for vm in listed:
            known = self._records.get(vm.name)
            if known is not None and not vm.leaving:
                revived = replace(known, announced=State.SERVING, departing=False)
                self._records[vm.name] = revived
        super().update_vms(listed, now)


def test_catches_a_vm_list_that_revives_leaving():
    class Mutant(MembershipMachine):
        make_directory = _RevivingDirectory

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Mutant, settings=MUTANT)


def test_a_view_leaves_out_the_gone():
    network = VirtualNetwork()
    control = network.nodes[network.add_control(0)]
    network.add_endpoint(0)
    network.run(1_000)
    assert len(view(control.machine)) == 2
