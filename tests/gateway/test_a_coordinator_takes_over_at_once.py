"""A row whose holder has fallen silent is taken at its present version."""

import msgspec
import pytest

from azurefold.core.clock import manual_clock
from azurefold.core.groups.map_orders import RankView
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import Engine, RoutedService, RoutingConfiguration
from azurefold.core.routing.cells import Cell
from azurefold.gateway.groups import coordinator as coordinators
from azurefold.gateway.groups.control import ServiceControl
from azurefold.gateway.groups.coordinator import _Holder, new_coordinator
from azurefold.gateway.peers.messages import PeerMessage
from azurefold.gateway.state import new_gateway_state
from azurefold.platform.ranks import RankReport
from azurefold.platform.store_messages import Applied, StoredRow, StoredRows

ENGINE = Engine(slots=4, layer_sets=1, experts=4, expert_slots_per_rank=2)


def row_of(node, version):
    value = msgspec.json.encode(_Holder(node, 1, {"drafts": [[1, 2, 3, 4]]}))
    return StoredRows((StoredRow("coordinator", version, value, False),), version)


def entry_of(number):
    return EndpointEntry(f"e{number}", "drafts", f"10.0.0.{number}:80", "dc-a", 4)


def report_of(rank):
    view = RankView(rank, 1, True, 1, 0, None, None, None)
    return RankReport("pair", 2, view)


def beat(term):
    return PeerMessage("gateway-2", 1, term, 7_000, 1, 1, term, 0, (), {}, True)


@pytest.fixture
def coordinator(store, settings, time):
    state = new_gateway_state(settings, manual_clock(time))
    service = RoutedService("drafts", 100, ENGINE)
    state.apply(RoutingConfiguration(version=1, services={"drafts": service}))
    return new_coordinator(state, store, 1, 0, lambda: (1, 1))


def test_the_first_try_after_a_silence_succeeds(coordinator, store):
    """A held group stands still for most of a second longer than it has to.

    The holder writes its row with each change of a map. Its successor knew the row's
    version of long ago, and its first try to take the row was refused.
    """
    coordinator.heard(beat(term=30))
    store.script = [row_of("gateway-2", 30), Applied(31)]
    coordinator._take()
    assert coordinator.coordination.term == 31
    [(expected, _, _)] = store.written
    assert [version for _, version in expected] == [30]


def test_the_popularity_of_the_last_holder_is_kept(coordinator, store):
    coordinator.heard(beat(term=30))
    store.script = [row_of("gateway-2", 30), Applied(31)]
    coordinator._take()
    [(_, [write], _)] = store.written
    kept = msgspec.json.decode(write.value, type=_Holder)
    assert kept.popularity == {"drafts": [[1, 2, 3, 4]]}


def test_a_row_that_somebody_else_has_taken_is_left_to_them(coordinator, store):
    coordinator.heard(beat(term=30))
    store.script = [row_of("gateway-3", 44)]
    coordinator._take()
    assert store.written == []
    assert not coordinator.leadership.is_leader


def test_without_the_store_nothing_is_taken(coordinator, store):
    coordinator.heard(beat(term=30))
    coordinator._take()
    assert store.written == []


def test_a_coordinator_that_resigns_leaves_no_control_behind(
    coordinator, store, monkeypatch
):
    """Ranks are asked for counts by gateways that coordinate nothing.

    A coordinator gave its row up while its loop slept, and then made the controls
    anew, as it had looked at who holds the row before it slept.
    """
    coordinator.heard(beat(term=30))
    store.script = [row_of("gateway-2", 30), Applied(31)]
    coordinator._take()
    monkeypatch.setattr(ServiceControl, "start", lambda control: None)
    pauses = []

    def sleep(seconds):
        pauses.append(seconds)
        if len(pauses) == 3:
            coordinator.resign()
        if len(pauses) == 4:
            raise KeyboardInterrupt

    monkeypatch.setattr(coordinators.gevent, "sleep", sleep)
    store.script = [StoredRows((), 1)]
    with pytest.raises(KeyboardInterrupt):
        coordinator.run()
    assert coordinator._controls == {}


def test_a_row_is_kept_until_no_map_is_being_changed(coordinator, store, monkeypatch):
    """A group that runs stands still for 1.5 s because another one has broken.

    A change of the broken group could not be ended, and its coordinator gave the row
    up at once, while it had the other group held for a change of its own.
    """
    coordinator.heard(beat(term=30))
    store.script = [row_of("gateway-2", 30), Applied(31)]
    coordinator._take()
    monkeypatch.setattr(ServiceControl, "start", lambda control: None)
    changing = iter([True, True, False, False])
    monkeypatch.setattr(
        ServiceControl, "is_changing", property(lambda control: next(changing))
    )
    coordinator._coordinate()
    coordinator.resign_when_idle()
    assert coordinator.next_version() is None
    held = []

    def sleep(seconds):
        held.append(coordinator.leadership.is_leader)
        if len(held) == 5:
            raise KeyboardInterrupt

    monkeypatch.setattr(coordinators.gevent, "sleep", sleep)
    store.script = [StoredRows((), 1)]
    with pytest.raises(KeyboardInterrupt):
        coordinator.run()
    assert held == [True, True, True, False, False]


def test_the_coordinator_knows_the_groups_that_it_tells_of(
    coordinator, store, monkeypatch
):
    """One gateway of all goes on asking an endpoint that no group takes in.

    The others had learned from the coordinator which endpoints are ranks of which
    group, and doubted the odd one after its first refusal: 40 of 49 requests that it
    refused in ten seconds came from the coordinator. It does not hear its own
    messages, and took all endpoints for one group.
    """
    monkeypatch.setattr(ServiceControl, "start", lambda control: None)
    state = coordinator.state
    service = state.services["drafts"]
    service.set_endpoints([entry_of(n) for n in range(3)], Cell(), now=1_000)
    coordinator.heard(beat(term=30))
    store.script = [row_of("gateway-2", 30), Applied(31)]
    coordinator._take()
    coordinator._coordinate()
    watch = coordinator._controls["drafts"].watch
    for rank in range(2):
        watch.take_report(f"e{rank}", report_of(rank), 1_000)
    coordinator._coordinate()
    assert service.groups.group_of("e0") == service.groups.group_of("e1") != 0
    assert service.groups.group_of("e2") == 0
