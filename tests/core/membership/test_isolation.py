"""Half of the peers silent at one time is a cut, a lost message is none."""

import pytest

from azurefold.core.membership.isolation import IsolationDetector

PEERS = ("a", "b", "c", "d", "e")


@pytest.fixture
def isolation():
    isolation = IsolationDetector()
    for peer in PEERS:
        isolation.record_message(peer, now=1_000)
    return isolation


def test_all_are_heard(isolation):
    assert not isolation.is_isolated(now=1_400)


@pytest.mark.parametrize(("heard", "is_cut_off"), [(2, True), (3, False), (0, True)])
def test_half_of_the_peers_tell(isolation, heard, is_cut_off):
    for peer in PEERS[:heard]:
        isolation.record_message(peer, now=2_000)
    assert isolation.is_isolated(now=2_100) is is_cut_off


def test_it_is_over_when_peers_are_heard_again(isolation):
    assert isolation.is_isolated(now=3_000)
    for peer in PEERS[:3]:
        isolation.record_message(peer, now=3_010)
    assert not isolation.is_isolated(now=3_020)


def test_peers_that_are_gone_for_good_are_forgotten(isolation):
    """A gateway stays out of use after the others were replaced.

    Those that were gone counted as silent for ever.
    """
    for now in range(2_000, 30_000, 500):
        isolation.record_message("new-1", now)
        isolation.record_message("new-2", now)
    assert not isolation.is_isolated(now=30_000)


def test_a_node_without_peers_is_not_cut_off():
    assert not IsolationDetector().is_isolated(now=1_000)
