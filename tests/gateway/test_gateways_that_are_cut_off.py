"""A gateway is not ready while it reaches neither store nor peers nor any group."""

import socket
from dataclasses import replace

import pytest

from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import Engine, RoutedService, RoutingConfiguration
from azurefold.gateway.peers.reach import Reach


@pytest.fixture
def listening():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@pytest.fixture
def reach(state, time):
    engine = Engine(slots=6, layer_sets=2)
    view = RoutedService("drafts", 64, engine)
    state.apply(RoutingConfiguration(1, (), {"drafts": view}))
    entries = [
        EndpointEntry(f"e{n}", "drafts", f"10.0.0.{n}:80", "dc-a", 6) for n in range(2)
    ]
    state.registry.replace_all(entries, time.at)
    state.spread_endpoints()
    reach = Reach(state)
    for peer in ("p1", "p2"):
        reach.isolation.record_message(peer, time.at)
    return reach


def cut_off(reach, state, time):
    time.at += 1_000
    state.services["drafts"].lost_reach("e0", time.at)
    reach._look()


def test_callers_of_a_data_centre_that_is_cut_off_are_sent_elsewhere(
    reach, state, time
):
    """All callers of a data centre are refused for as long as it is cut off.

    They reach its gateways, which reach no group, and were ready all the same. The
    balancer in front sends them elsewhere once all gateways there are not ready.
    """
    cut_off(reach, state, time)
    assert not state.is_ready


def test_a_gateway_that_reaches_the_store_stays_ready(reach, state, time, listening):
    """All gateways are out of use at once while a group is down for everybody."""
    state.settings = replace(state.settings, store=listening)
    cut_off(reach, state, time)
    assert state.is_ready


def test_a_gateway_whose_group_gives_events_stays_ready(reach, state, time):
    time.at += 1_000
    reach._look()
    assert state.is_ready


def test_it_is_ready_again_when_peers_are_heard(reach, state, time):
    cut_off(reach, state, time)
    for peer in ("p1", "p2"):
        reach.isolation.record_message(peer, time.at)
    reach._look()
    assert state.is_ready
