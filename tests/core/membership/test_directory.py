"""What a control process makes of heartbeats, silence and the list of VMs."""

import pytest
from bench.membership_network import VirtualNetwork, started

from azurefold.core.membership import controls as controls_module
from azurefold.core.membership.directory import Directory
from azurefold.core.membership.endpoints import Role, State
from azurefold.core.membership.failure_detector import Watches
from azurefold.core.membership.messages import Announcement, Source, Timing
from azurefold.core.membership.vm_list import ListedVm

EXPIRY = Timing().expiry
SPREAD = 10_000


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


def test_a_dead_endpoint_is_declared_gone_everywhere(network):
    address, name = _first_endpoint(network)
    network.run(5_000)
    network.remove(address)
    network.run(Timing().probe_after)
    assert _states(network, name) == {State.SERVING}
    network.run(EXPIRY + SPREAD)
    assert _states(network, name) == {State.GONE}
    assert len(network.truth()) == 6
    assert all(seen == network.truth() for seen in network.views())


def test_a_restarted_endpoint_serves_again(network):
    address, name = _first_endpoint(network)
    network.post(address, network.nodes[address].machine.announce(State.LEAVING, 0))
    network.run(3_000)
    assert _states(network, name) == {State.LEAVING}
    network.add_endpoint(0)
    network.run(SPREAD)
    assert _states(network, name) == {State.SERVING}


def _isolate_from_one_home(network):
    address, name = _first_endpoint(network)
    network.run(5_000)
    deaf = next(
        node for node in network.controls() if name in node.machine._watches._watched
    )
    pair = (address, deaf.record.udp_address)
    network.blocked = {pair}
    return name, deaf


def _assert_hearing_controls_keep_it(network, name, deaf):
    checked = 0
    for _ in range(400):
        network.run(250)
        for node in network.controls():
            watches = node.machine._watches
            if node is not deaf and watches.heard_lately(name, network.now):
                assert _state(node, name) is State.SERVING
                checked += 1
    assert checked >= 400


def test_own_evidence_goes_before_hearsay(network):
    """One control is deaf to an endpoint which the other home hears well.

    Symptom: the endpoint vanishes and comes back every few seconds. Sequence:
    one way breaks, that home declares it gone, rumour reaches the other home.
    Cause: the declaration is believed against heartbeats that arrive.
    """
    name, deaf = _isolate_from_one_home(network)
    before = deaf.machine.record(name).silence
    _assert_hearing_controls_keep_it(network, name, deaf)
    declared = (deaf.machine.record(name).silence - before) / 2
    assert 1 <= declared <= 4


def test_the_check_bites_on_hearsay_believed(network, monkeypatch):
    monkeypatch.setattr(Directory, "_has_evidence", lambda *args: False)
    name, deaf = _isolate_from_one_home(network)
    with pytest.raises(AssertionError):
        _assert_hearing_controls_keep_it(network, name, deaf)


def test_without_patience_the_deaf_home_declares_again_and_again(network, monkeypatch):
    monkeypatch.setattr(Watches, "others_hear", lambda self, name: None)
    name, deaf = _isolate_from_one_home(network)
    before = deaf.machine.record(name).silence
    network.run(100_000)
    assert (deaf.machine.record(name).silence - before) / 2 > 4


def _pause_a_control(network):
    network.run(5_000)
    control = network.controls()[0]
    control.paused = True
    network.run(60_000)
    control.inbox.clear()
    network.resume(control.record.udp_address)
    network.tick()
    return [_state(control, node.record.name) for node in network.endpoints()]


def test_a_control_that_wakes_does_not_take_its_own_silence_for_theirs(network):
    """A control is paused for a minute and resumed.

    Symptom: its endpoints vanish at once. Sequence: pause, datagrams dropped
    by a full buffer, wake, every term long over. Cause: it did not listen.
    """
    assert _pause_a_control(network) == [State.SERVING] * 4


def test_the_check_bites_on_a_control_that_blames_the_others(network, monkeypatch):
    monkeypatch.setattr(Watches, "_excuse_own_pause", lambda self, now: None)
    assert State.GONE in _pause_a_control(network)


def _cut_and_heal(network):
    network.run(5_000)
    for number, address in enumerate(network.nodes):
        network.sides[address] = number % 2
    network.run(60_000)
    assert not network.agree()
    network.sides = {}
    return network.run_until(network.agree, 60_000)


def test_both_sides_of_a_cut_agree_again(network):
    assert _cut_and_heal(network) is not None
    assert network.views()[0] == network.truth()


def test_the_check_bites_when_nobody_writes_to_the_gone(network, monkeypatch):
    controls = controls_module.Controls
    monkeypatch.setattr(controls, "draw_any", controls.draw_live)
    assert _cut_and_heal(network) is None


def test_an_endpoint_cannot_speak_for_another(network):
    control = network.controls()[0].machine
    thief, victim = (node.record for node in network.endpoints()[:2])
    source = Source(thief.name, thief.incarnation, thief.udp_address)
    message = Announcement(Directory.record(control, victim.name))
    before = control.record(victim.name)
    control.receive(message, source, network.now)
    assert control.record(victim.name) == before


def test_a_leaving_control_is_no_longer_a_home(network):
    control = network.controls()[0]
    control.machine.leave(network.now)
    network.run(SPREAD)
    left = control.record.udp_address
    for node in network.endpoints():
        assert left not in node.machine.controls
        assert len(node.machine.controls) == 2


def _vm(node, leaving=False):
    own = node.machine.own
    return ListedVm(own.name, own.address, own.udp_port, leaving)


def _shown(control, name):
    shown = {each.record.name: each.state for each in control.machine.snapshot()}
    return shown.get(name)


def test_the_vm_list_adds_addresses_that_are_probed():
    network = VirtualNetwork()
    control = network.nodes[network.add_control(0)]
    address = network.add_endpoint(0)
    network.in_flight.clear()
    endpoint = network.nodes[address]
    endpoint.machine._seeds = ()
    control.machine.update_vms([_vm(endpoint)], network.now)
    assert _shown(control, endpoint.record.name) is State.JOINING
    network.run(Timing().probe_after + 2_000)
    assert _shown(control, endpoint.record.name) is State.SERVING


def test_a_lagging_vm_list_neither_revives_nor_kills(network):
    """The list shows what was true a minute ago.

    Symptom: a leaving endpoint gets work, or a new one vanishes. Sequence:
    leaving or start, then a list read before it. Cause: the list lags 60 s.
    """
    control = network.controls()[0]
    leaving, new = network.endpoints()[:2]
    address = leaving.record.udp_address
    network.post(address, leaving.machine.announce(State.LEAVING, network.now))
    network.run(2_000)
    for _ in range(20):
        control.machine.update_vms([_vm(leaving)], network.now)
        network.run(1_000)
        assert _shown(control, leaving.record.name) is State.LEAVING
        assert _shown(control, new.record.name) is State.SERVING


def test_a_vm_listed_as_leaving_is_held_back_and_released(network):
    control, endpoint = network.controls()[0], network.endpoints()[0]
    name = endpoint.record.name
    control.machine.update_vms([_vm(endpoint, leaving=True)], network.now)
    assert _shown(control, name) is State.LEAVING
    assert control.machine.record(name).state is State.SERVING
    control.machine.update_vms([_vm(endpoint)], network.now)
    assert _shown(control, name) is State.SERVING


def test_a_silent_vm_dropped_from_the_list_is_gone_sooner(network):
    address, name = _first_endpoint(network)
    listed = [_vm(node) for node in network.endpoints()]
    network.run(4_000)
    for node in network.controls():
        node.machine.update_vms(listed, network.now)
        node.machine.update_vms(listed[1:], network.now)
    network.remove(address)
    took = network.run_until(lambda: State.GONE in _states(network, name), EXPIRY)
    assert took is not None
    assert took < EXPIRY - Timing().heartbeat


def test_gone_endpoints_are_forgotten_and_stay_so(network):
    address, name = _first_endpoint(network)
    network.remove(address)
    network.run(EXPIRY + SPREAD)
    network.now += Timing().forget_after
    network.run(60_000)
    assert all(node.machine.record(name) is None for node in network.controls())
    roles = [r.role for r in network.controls()[0].machine.records()]
    assert roles.count(Role.CONTROL) == 3
