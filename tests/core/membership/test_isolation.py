"""A node is isolated if half of its peers are silent, not if one message is lost."""

import pytest

from azurefold.core.membership.isolation import IsolationDetector

PEERS = ("a", "b", "c", "d", "e")


@pytest.fixture
def detector():
    detector = IsolationDetector()
    for peer in PEERS:
        detector.record_message(peer, now=1_000)
    return detector


def test_not_isolated_while_all_peers_send(detector):
    assert not detector.is_isolated(now=1_400)


@pytest.mark.parametrize(
    ("sender_count", "expected"), [(2, True), (3, False), (0, True)]
)
def test_isolated_if_half_of_the_peers_are_silent(detector, sender_count, expected):
    for peer in PEERS[:sender_count]:
        detector.record_message(peer, now=2_000)
    assert detector.is_isolated(now=2_100) is expected


def test_isolation_ends_when_peers_send_again(detector):
    assert detector.is_isolated(now=3_000)
    for peer in PEERS[:3]:
        detector.record_message(peer, now=3_010)
    assert not detector.is_isolated(now=3_020)


def test_stopped_peers_are_forgotten(detector):
    """Guards against a gateway that stays isolated after its peers were replaced.

    Peers that had stopped for good counted as silent for ever.
    """
    for now in range(2_000, 30_000, 500):
        detector.record_message("new-1", now)
        detector.record_message("new-2", now)
    assert not detector.is_isolated(now=30_000)


def test_a_node_without_peers_is_not_isolated():
    assert not IsolationDetector().is_isolated(now=1_000)
