"""What gateways tell one another fits into one packet, whatever the site's size."""

import logging

import msgspec
import pytest
from tests.gateway.conftest import settings_of

from azurefold.core.clock import manual_clock
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.quotas import QuotaReport
from azurefold.core.routing.rank_groups import GroupStatus, RankGroups, Standing
from azurefold.gateway.peers import exchange as exchange_module
from azurefold.gateway.peers import portions
from azurefold.gateway.peers.exchange import Peer, new_exchange
from azurefold.gateway.peers.messages import Coordination, PeerMessage
from azurefold.gateway.state import new_gateway_state

PACKET_BYTES = 1_400
LINK_SHARE_BYTES = 125_000
"""A second: 5 in 100 of a link of 20 Mbit/s."""

SIZES = [(9, 16, 1), (31, 64, 2), (98, 192, 1), (390, 384, 1), (390, 3_904, 122)]


class Network:
    """A socket that notes what is sent to each address."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((data, address[0]))

    def take(self):
        sent, self.sent = self.sent, []
        return sent


def marks(group, ranks):
    return tuple(endpoint_hash(f"rank-{group}-{rank}") for rank in range(ranks))


def coordination_of(ranks, groups, epoch=1, standing=Standing.RUNS):
    each = ranks // groups
    news = tuple(
        GroupStatus(7, group + 1, epoch, standing, marks(group, each))
        for group in range(groups)
    )
    return Coordination(term=2**40, groups=news)


class Site:
    """The coordinator of a site, and what it sends."""

    def __init__(self, time, gateways, coordination):
        self.time = time
        self.coordination = coordination
        settings = settings_of(name="gateway-of-a-long-name-000")
        self.state = new_gateway_state(settings, manual_clock(time))
        self.exchange = new_exchange(
            self.state, 2**41, lambda message: None, lambda: self.coordination
        )
        self.exchange._sock = self.network = Network()
        names = [f"gateway-of-a-long-name-{n:03}" for n in range(gateways)]
        self.exchange.set_peers([Peer(n, f"ip-{n}", 7_000) for n in names])

    def pass_time(self, ms):
        """Return the messages of ``ms`` milliseconds, each once, and all bytes."""
        distinct, total = {}, 0
        for _ in range(ms // 60):
            self.time.at += 60
            self.exchange.send()
            sent = self.network.take()
            total += sum(len(data) for data, _ in sent)
            distinct.update(dict.fromkeys(data for data, _ in sent))
        return list(distinct), total


def decoded(messages):
    return [msgspec.msgpack.decode(data, type=PeerMessage) for data in messages]


@pytest.mark.parametrize(("gateways", "ranks", "groups"), SIZES)
def test_all_of_a_group_is_told_in_messages_that_fit(
    time, monkeypatch, gateways, ranks, groups
):
    """Nobody hears the coordinator of a large group, and it is succeeded again.

    A message named all ranks of a group, and the requests in flight at each endpoint:
    at 240 ranks it was larger than its receivers read. All of the coordinator's
    messages were cut off and unreadable.
    """
    made = Site(time, gateways, coordination_of(ranks, groups))
    state = made.state
    for known in (state.configuration_freshness, state.endpoints_freshness):
        known.record_full_read(era=1_000, version=10**9, store_ms=10**12)
    state.store_time.observe(10**12, time.at, time.at)
    loads = {endpoint_hash(f"busy-{n}"): 9 for n in range(ranks)}
    words = {
        endpoint_hash(f"busy-{n}"): QuotaReport(0.123456789, time.at) for n in range(40)
    }
    monkeypatch.setattr(exchange_module.Exchange, "_own_loads", lambda self: loads)
    monkeypatch.setattr(
        "azurefold.gateway.state.GatewayState.quota_words", lambda self: words
    )
    for identity in range(40):
        for endpoint in range(8):
            made.state.crashes.record_crash(2**63 + identity, 2**31 + endpoint, 0)
    seconds = 4 + ranks // 100
    messages, _ = made.pass_time(1_000 * seconds)
    assert messages
    assert max(map(len, messages)) <= PACKET_BYTES
    assert made.state.oversized_messages == 0
    receiver = RankGroups()
    for message in decoded(messages):
        for beat in message.groups:
            news = GroupStatus(
                beat.service, beat.group, beat.epoch, beat.standing, beat.ranks
            )
            receiver.update_status(news, time.at)
    for group in range(groups):
        for rank in range(ranks // groups):
            assert receiver.group_of(f"rank-{group}-{rank}") == group + 1


@pytest.mark.parametrize(("gateways", "ranks"), [(98, 192), (390, 384)])
def test_a_site_at_rest_takes_little_of_the_coordinators_link(time, gateways, ranks):
    """One VM sends each other one all ranks of its group twice a second.

    Before: 220 KB a second at 98 gateways and 192 ranks, 1.6 MB at 390 and 384.
    """
    made = Site(time, gateways, coordination_of(ranks, 1))
    made.pass_time(5_000)
    _, total = made.pass_time(10_000)
    assert total / 10 <= LINK_SHARE_BYTES * (1 if gateways < 100 else 2)


@pytest.mark.parametrize(("gateways", "ranks"), [(98, 192), (390, 384)])
def test_a_group_that_stops_is_told_in_the_next_message(time, gateways, ranks):
    made = Site(time, gateways, coordination_of(ranks, 1))
    made.pass_time(5_000)
    made.coordination = coordination_of(ranks, 1, standing=Standing.DOWN)
    messages, _ = made.pass_time(60)
    (beat,) = decoded(messages)[0].groups
    assert beat.standing is Standing.DOWN


def test_a_message_that_does_not_fit_shows_at_its_sender(time, monkeypatch, caplog):
    """A message that is lost for its size each time is seen by nobody."""
    monkeypatch.setattr(portions, "_MOST_GROUP_BYTES", 4_000)
    made = Site(time, 9, coordination_of(384, 1))
    with caplog.at_level(logging.ERROR, "azurefold.gateway"):
        messages, _ = made.pass_time(60)
    assert made.state.oversized_messages == 1
    assert "peer_message_too_large" in caplog.text
    (message,) = decoded(messages)
    assert len(messages[0]) <= PACKET_BYTES
    assert message.term == made.coordination.term


@pytest.mark.parametrize(("gateways", "ranks", "groups"), SIZES)
def test_departed_endpoints_fit_beside_all_else(
    time, monkeypatch, gateways, ranks, groups
):
    """Guards against messages too large for their receivers after a store's return."""
    departed = frozenset(f"gone-{n}" for n in range(ranks))
    monkeypatch.setattr(
        "azurefold.core.membership.registry.EndpointRegistry.departed", departed
    )
    test_all_of_a_group_is_told_in_messages_that_fit(
        time, monkeypatch, gateways, ranks, groups
    )


def test_the_heaviest_loads_are_told():
    loads = {mark: mark % 7 + 1 for mark in range(300)}
    told = portions.heaviest(loads)
    left_out = [loads[mark] for mark in loads.keys() - told.keys()]
    assert min(told.values()) >= max(left_out)


def test_each_group_is_told_of_in_its_turn(time):
    """Of several large groups, one could wait for its turn behind all others' ranks."""
    made = Site(time, 98, coordination_of(192, 6))
    made.pass_time(5_000)
    messages, _ = made.pass_time(1_200)
    told = {beat.group for message in decoded(messages) for beat in message.groups}
    assert told == set(range(1, 7))
