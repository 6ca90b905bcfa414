"""How a control process handles heartbeats, silence and the list of VMs."""

import pytest
from bench.membership_network import VirtualNetwork, started

from azurefold.core.membership import controls as controls_module
from azurefold.core.membership.directory import Directory
from azurefold.core.membership.endpoints import Role, State
from azurefold.core.membership.failure_detector import FailureDetector
from azurefold.core.membership.messages import Announcement, Source, Timing
from azurefold.core.membership.vm_list import ListedVm

EXPIRE_AFTER_MS = Timing().expire_after_ms
PROPAGATION_MS = 10_000


@pytest.fixture
def network():
    return started(controls=3, endpoints=4)


def _state(node, name):
    record = node.machine.record(name)
    return State.GONE if record is None else record.state


def _states(network, name):
    return {_state(node, name) for node in network.controls()}


def _first_endpoint(network):
    node = network.endpoints()[0]
    return node.record.udp_address, node.record.name


def test_a_failed_endpoint_is_declared_gone_by_all_controls(network):
    address, name = _first_endpoint(network)
    network.run(5_000)
    network.remove(address)
    network.run(Timing().probe_after_ms)
    assert _states(network, name) == {State.SERVING}
    network.run(EXPIRE_AFTER_MS + PROPAGATION_MS)
    assert _states(network, name) == {State.GONE}
    assert len(network.truth()) == 6
    assert all(seen == network.truth() for seen in network.views())


def test_a_restarted_endpoint_serves_again(network):
    address, name = _first_endpoint(network)
    network.post(address, network.nodes[address].machine.announce(State.LEAVING, 0))
    network.run(3_000)
    assert _states(network, name) == {State.LEAVING}
    network.add_endpoint(0)
    network.run(PROPAGATION_MS)
    assert _states(network, name) == {State.SERVING}


def _cut_off_from_one_owner(network):
    address, name = _first_endpoint(network)
    network.run(5_000)
    cut_off_owner = next(
        node
        for node in network.controls()
        if name in node.machine._failure_detector._watched
    )
    pair = (address, cut_off_owner.record.udp_address)
    network.blocked = {pair}
    return name, cut_off_owner


def _assert_reachable_controls_keep_it(network, name, cut_off_owner):
    checked = 0
    for _ in range(400):
        network.run(250)
        for node in network.controls():
            failure_detector = node.machine._failure_detector
            if node is not cut_off_owner and failure_detector.has_recent_message(
                name, network.now
            ):
                assert _state(node, name) is State.SERVING
                checked += 1
    assert checked >= 400


def test_received_heartbeats_take_precedence_over_gossip(network):
    """Guards against an endpoint that is removed and added again every few seconds.

    The path from an endpoint to one of its owners breaks. That owner declares the
    endpoint gone, and its gossip reaches the other owner, which still receives
    heartbeats and must not accept the declaration.
    """
    name, cut_off_owner = _cut_off_from_one_owner(network)
    before = cut_off_owner.machine.record(name).silence
    _assert_reachable_controls_keep_it(network, name, cut_off_owner)
    declared = (cut_off_owner.machine.record(name).silence - before) / 2
    assert 1 <= declared <= 4


def test_precedence_check_fails_if_gossip_is_accepted(network, monkeypatch):
    monkeypatch.setattr(Directory, "_has_recent_message", lambda *args: False)
    name, cut_off_owner = _cut_off_from_one_owner(network)
    with pytest.raises(AssertionError):
        _assert_reachable_controls_keep_it(network, name, cut_off_owner)


def test_constant_timeout_causes_repeated_declarations(network, monkeypatch):
    monkeypatch.setattr(FailureDetector, "double_timeout", lambda self, name: None)
    name, cut_off_owner = _cut_off_from_one_owner(network)
    before = cut_off_owner.machine.record(name).silence
    network.run(100_000)
    assert (cut_off_owner.machine.record(name).silence - before) / 2 > 4


def _pause_a_control(network):
    network.run(5_000)
    control = network.controls()[0]
    control.paused = True
    network.run(60_000)
    control.inbox.clear()
    network.resume(control.record.udp_address)
    network.tick()
    return [_state(control, node.record.name) for node in network.endpoints()]


def test_a_resumed_control_keeps_its_endpoints(network):
    """Guards against a control that removes all its endpoints after a pause.

    The control is paused for a minute and a full buffer drops its datagrams, so every
    timeout has passed when it resumes, although only the control was not receiving.
    """
    assert _pause_a_control(network) == [State.SERVING] * 4


def test_pause_check_fails_if_timeouts_are_not_restarted(network, monkeypatch):
    monkeypatch.setattr(
        FailureDetector, "_restart_timeouts_after_pause", lambda self, now: None
    )
    assert State.GONE in _pause_a_control(network)


def _partition_and_heal(network):
    network.run(5_000)
    for number, address in enumerate(network.nodes):
        network.sides[address] = number % 2
    network.run(60_000)
    assert not network.agree()
    network.sides = {}
    return network.run_until(network.agree, 60_000)


def test_both_sides_of_a_partition_agree_afterwards(network):
    assert _partition_and_heal(network) is not None
    assert network.views()[0] == network.truth()


def test_partition_check_fails_if_dormant_peers_are_not_contacted(network, monkeypatch):
    controls = controls_module.Controls
    monkeypatch.setattr(controls, "pick_any", controls.pick_live)
    assert _partition_and_heal(network) is None


def test_an_endpoint_cannot_announce_another_one(network):
    control = network.controls()[0].machine
    impostor, victim = (node.record for node in network.endpoints()[:2])
    source = Source(impostor.name, impostor.incarnation, impostor.udp_address)
    message = Announcement(Directory.record(control, victim.name))
    before = control.record(victim.name)
    control.receive(message, source, network.now)
    assert control.record(victim.name) == before


def test_a_leaving_control_is_no_longer_an_owner(network):
    control = network.controls()[0]
    control.machine.leave(network.now)
    network.run(PROPAGATION_MS)
    leaving_address = control.record.udp_address
    for node in network.endpoints():
        assert leaving_address not in node.machine.controls
        assert len(node.machine.controls) == 2


def _vm(node, leaving=False):
    own = node.machine.own
    return ListedVm(own.name, own.address, own.udp_port, leaving)


def _snapshot_state(control, name):
    states = {entry.record.name: entry.state for entry in control.machine.snapshot()}
    return states.get(name)


def test_endpoints_added_from_the_vm_list_are_probed():
    network = VirtualNetwork()
    control = network.nodes[network.add_control(0)]
    address = network.add_endpoint(0)
    network.in_flight.clear()
    endpoint = network.nodes[address]
    endpoint.machine._seeds = ()
    control.machine.update_vms([_vm(endpoint)], network.now)
    assert _snapshot_state(control, endpoint.record.name) is State.JOINING
    network.run(Timing().probe_after_ms + 2_000)
    assert _snapshot_state(control, endpoint.record.name) is State.SERVING


def test_a_lagging_vm_list_neither_revives_nor_removes_endpoints(network):
    """Guards against new work for a leaving endpoint, and removal of a new one.

    The list of VMs lags by 60 s, so it may show the state before an endpoint announced
    leaving or was started.
    """
    control = network.controls()[0]
    leaving, new = network.endpoints()[:2]
    address = leaving.record.udp_address
    network.post(address, leaving.machine.announce(State.LEAVING, network.now))
    network.run(2_000)
    for _ in range(20):
        control.machine.update_vms([_vm(leaving)], network.now)
        network.run(1_000)
        assert _snapshot_state(control, leaving.record.name) is State.LEAVING
        assert _snapshot_state(control, new.record.name) is State.SERVING


def test_a_vm_listed_as_leaving_gets_no_work_until_relisted(network):
    control, endpoint = network.controls()[0], network.endpoints()[0]
    name = endpoint.record.name
    control.machine.update_vms([_vm(endpoint, leaving=True)], network.now)
    assert _snapshot_state(control, name) is State.LEAVING
    assert control.machine.record(name).state is State.SERVING
    control.machine.update_vms([_vm(endpoint)], network.now)
    assert _snapshot_state(control, name) is State.SERVING


def test_a_silent_unlisted_vm_is_declared_gone_sooner(network):
    address, name = _first_endpoint(network)
    listed = [_vm(node) for node in network.endpoints()]
    network.run(4_000)
    for node in network.controls():
        node.machine.update_vms(listed, network.now)
        node.machine.update_vms(listed[1:], network.now)
    network.remove(address)
    elapsed_ms = network.run_until(
        lambda: State.GONE in _states(network, name), EXPIRE_AFTER_MS
    )
    assert elapsed_ms is not None
    assert elapsed_ms < EXPIRE_AFTER_MS - Timing().heartbeat_interval_ms


def test_records_of_gone_endpoints_are_deleted_for_good(network):
    address, name = _first_endpoint(network)
    network.remove(address)
    network.run(EXPIRE_AFTER_MS + PROPAGATION_MS)
    network.now += Timing().forget_after_ms
    network.run(60_000)
    assert all(node.machine.record(name) is None for node in network.controls())
    roles = [record.role for record in network.controls()[0].machine.records()]
    assert roles.count(Role.CONTROL) == 3
