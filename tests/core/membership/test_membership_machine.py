"""Stateful test of the membership invariants under network and process faults.

Hypothesis generates loss, delay, duplication and reordering of datagrams, restarts and
pauses of processes, network partitions and lagging lists of VMs. The invariants are
checked after each step.
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
ROUNDS_TO_CONVERGE = 240
TIME_STEPS_MS = st.sampled_from([250, 1_000, 2_000, 5_000, 12_000])
VM_LISTINGS = ("live", "leaving", "missing")
MUTANT_SETTINGS = settings(
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
        self.seen_leaving = set()
        self.announcements = []
        self.last_message_at = {}

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
                self.endpoints_with_recent_messages_are_not_gone()

    def _deliver(self, datagram):
        if isinstance(datagram.message, Announcement):
            self.announcements.append(datagram)
        node = self.network.nodes.get(datagram.to)
        self.network.deliver(datagram)
        if node is None or node.paused or not node.is_control:
            return
        if not self.network.is_cut(datagram.source.origin, datagram.to):
            source = (datagram.source.name, datagram.source.incarnation)
            self.last_message_at[node.record, source] = self.network.now

    @rule(duration_ms=TIME_STEPS_MS)
    def advance_time(self, duration_ms):
        self.network.now += duration_ms
        self.network.tick()

    @rule(data=st.data())
    @precondition(lambda self: self.network.in_flight)
    def deliver_one(self, data):
        self._deliver(self.network.in_flight.pop(self._draw_index(data)))

    @rule()
    def deliver_all(self):
        batch, self.network.in_flight = self.network.in_flight, []
        for datagram in batch:
            self._deliver(datagram)

    @rule()
    def deliver_in_reverse(self):
        batch, self.network.in_flight = self.network.in_flight, []
        for datagram in reversed(batch):
            self._deliver(datagram)

    @rule(data=st.data())
    @precondition(lambda self: self.network.in_flight)
    def lose_one(self, data):
        self.network.in_flight.pop(self._draw_index(data))

    @rule(data=st.data())
    @precondition(lambda self: self.network.in_flight)
    def duplicate_one(self, data):
        index = self._draw_index(data)
        self.network.in_flight.append(self.network.in_flight[index])

    @rule(number=st.integers(0, ENDPOINTS - 1))
    def redeliver_announcements_in_reverse(self, number):
        origin = self.endpoints[number]
        delayed = [
            datagram
            for datagram in self.announcements
            if datagram.source.origin == origin
        ]
        for datagram in reversed(delayed):
            self._deliver(datagram)

    def _draw_index(self, data):
        return data.draw(st.integers(0, len(self.network.in_flight) - 1))

    @rule(number=st.integers(0, ENDPOINTS - 1), state=st.sampled_from([2, 3]))
    def leave(self, number, state):
        address = self.endpoints[number]
        node = self.network.nodes.get(address)
        if node is not None and not node.paused:
            sends = node.machine.announce(State(state), self.network.now)
            self.network.post(address, sends)

    @rule(number=st.integers(0, ENDPOINTS - 1))
    def leave_and_deliver(self, number):
        self.leave(number, State.LEAVING)
        self.deliver_all()

    @rule(data=st.data())
    def stop_process(self, data):
        self.network.remove(data.draw(st.sampled_from(self._addresses())))

    @rule(number=st.integers(0, ENDPOINTS - 1))
    def restart_endpoint(self, number):
        self.network.add_endpoint(number)

    @rule(number=st.integers(0, CONTROLS - 1))
    def restart_control(self, number):
        self.network.add_control(number)

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
    def partition(self, sides):
        self.network.sides = dict(zip(self._addresses(), sides, strict=True))

    @rule(listed=st.lists(st.sampled_from(VM_LISTINGS), min_size=3, max_size=3))
    def read_lagging_vm_list(self, listed):
        vms = []
        for number, listing in enumerate(listed):
            name = f"fukuoka-hall-endpoint-{number:03d}"
            host = self.endpoints[number].rpartition(":")[0]
            vm = ListedVm(name, f"{host}:7001", 7002, leaving=listing == "leaving")
            vms += [] if listing == "missing" else [vm]
        for node in self.network.controls():
            if not node.paused:
                node.machine.update_vms(vms, self.network.now)

    @rule()
    def heal(self):
        self.network.sides = {}
        self.resume()
        self._run_without_faults(ROUNDS_TO_CONVERGE)
        expected = self.network.truth()
        for view_of_control in self.network.views():
            assert view_of_control == expected

    def _addresses(self):
        return [*self.controls, *self.endpoints]

    @invariant()
    def leaving_is_never_undone(self):
        for node in self.network.controls():
            for record in node.machine.records():
                key = (node.record, record.name, record.incarnation)
                if record.state is State.LEAVING:
                    self.seen_leaving.add(key)
                if key in self.seen_leaving:
                    assert record.state >= State.LEAVING, record

    @invariant()
    def endpoints_with_recent_messages_are_not_gone(self):
        for node in self.network.controls():
            for record in node.machine.records():
                source = (record.name, record.incarnation)
                received_at = self.last_message_at.get((node.record, source))
                if received_at is None or record.announced is State.GONE:
                    continue
                if self.network.now - received_at < TIMING.probe_after_ms:
                    assert not record.is_silent, record

    @invariant()
    def snapshot_state_is_at_least_the_record_state(self):
        for node in self.network.controls():
            for entry in node.machine.snapshot():
                assert entry.state >= entry.record.state


TestMembership = MembershipMachine.TestCase


def test_catches_last_writer_wins(monkeypatch):
    """Mutant: the last record received replaces the known one instead of joining it."""
    monkeypatch.setattr(directory_module, "join", lambda known, record: record)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(MembershipMachine, settings=MUTANT_SETTINGS)


class _RevivingDirectory(Directory):
    def update_vms(self, vms, now):
        listed = tuple(vms)
        for vm in listed:
            known = self._records.get(vm.name)
            if known is not None and not vm.leaving:
                revived = replace(known, announced=State.SERVING, departing=False)
                self._records[vm.name] = revived
        super().update_vms(listed, now)


def test_catches_a_vm_list_that_revives_leaving_endpoints():
    class Mutant(MembershipMachine):
        make_directory = _RevivingDirectory

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Mutant, settings=MUTANT_SETTINGS)


def test_views_do_not_contain_gone_endpoints():
    network = VirtualNetwork()
    control = network.nodes[network.add_control(0)]
    network.add_endpoint(0)
    network.run(1_000)
    assert len(view(control.machine)) == 2
