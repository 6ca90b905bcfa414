"""Entries that lapse with the store away are kept; removed ones are not."""

import pytest

from azurefold.core.membership.registry import EndpointEntry, EndpointRegistry


def entry(number, leaving=False, service="drafts"):
    name = f"e{number}"
    return EndpointEntry(name, service, f"10.0.0.{number}:80", "dc-a", 6, leaving)


@pytest.fixture
def registry():
    registry = EndpointRegistry()
    registry.replace([entry(number) for number in range(10)], now=0)
    return registry


def names(registry):
    return set(registry.entries)


def test_one_removed_entry_is_gone_at_once(registry):
    registry.remove(["e1"], now=10)
    assert "e1" not in names(registry)


def test_all_entries_lapsed_in_an_outage_are_kept_until_they_are_back(registry):
    """After an outage of the store every request is refused for want of endpoints.

    The store was away for longer than three heartbeats, so all entries lapsed.
    On its return the feed tells that all are gone, and the endpoints write
    themselves in again only within the next two seconds.
    """
    registry.on_store_lost()
    registry.on_store_regained(now=1_000)
    registry.remove([f"e{number}" for number in range(10)], now=1_050)
    assert len(names(registry)) == 10
    registry.put([entry(number) for number in range(9)])
    assert registry.tick(now=3_299) == []
    assert registry.tick(now=3_300) == ["e9"]
    assert len(names(registry)) == 9


def test_a_leaving_endpoint_whose_entry_goes_is_gone_also_after_an_outage(registry):
    registry.put([entry(3, leaving=True)])
    registry.on_store_lost()
    registry.on_store_regained(now=1_000)
    registry.remove(["e3"], now=1_050)
    assert "e3" not in names(registry)


def test_many_removals_at_once_are_not_believed_at_once(registry):
    registry.remove([f"e{number}" for number in range(5)], now=10)
    assert len(names(registry)) == 10
    registry.tick(now=1_510)
    assert len(names(registry)) == 5


def test_a_snapshot_drops_what_it_lacks(registry):
    registry.replace([entry(number) for number in range(9)], now=10)
    assert names(registry) == {f"e{number}" for number in range(9)}


def test_a_removal_long_after_an_outage_is_believed(registry):
    registry.on_store_lost()
    registry.on_store_regained(now=1_000)
    registry.remove(["e1"], now=9_000)
    assert "e1" not in names(registry)


def test_entries_that_return_are_no_longer_doubted(registry):
    registry.remove([f"e{number}" for number in range(5)], now=10)
    registry.put([entry(number) for number in range(5)])
    assert registry.lapsed == frozenset()
    assert registry.tick(now=10_000) == []


def test_two_entries_of_many_removed_at_once_are_gone(registry):
    """A follower of the list of endpoints fails, and the removals are lost.

    Two entries were removed in one change. The first was dropped while the
    second was still being judged by a look at both.
    """
    registry.remove(["e1", "e2"], now=10)
    assert names(registry) == {f"e{number}" for number in (0, *range(3, 10))}
