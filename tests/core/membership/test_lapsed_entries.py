"""Entries that lapse during a store outage are kept; removed entries are not."""

import pytest

from azurefold.core.membership.registry import EndpointEntry, EndpointRegistry


def entry(number, leaving=False, service="drafts"):
    name = f"e{number}"
    return EndpointEntry(name, service, f"10.0.0.{number}:80", "dc-a", 6, leaving)


@pytest.fixture
def registry():
    registry = EndpointRegistry()
    registry.replace_all([entry(number) for number in range(10)], now=0)
    return registry


def names(registry):
    return set(registry.entries)


def test_a_single_removed_entry_is_deleted_immediately(registry):
    registry.remove(["e1"], now=10)
    assert "e1" not in names(registry)


def test_entries_that_lapsed_in_an_outage_are_kept_for_the_grace_period(registry):
    """Guards against refusing all requests for lack of endpoints after an outage.

    The outage lasts longer than three heartbeats, so all entries lapse. The feed then
    reports them all as removed, and the endpoints register again within two seconds.
    """
    registry.on_store_lost()
    registry.on_store_regained(now=1_000)
    registry.remove([f"e{number}" for number in range(10)], now=1_050)
    assert len(names(registry)) == 10
    registry.put([entry(number) for number in range(9)])
    assert registry.tick(now=3_299) == []
    assert registry.tick(now=3_300) == ["e9"]
    assert len(names(registry)) == 9


def test_a_leaving_endpoint_has_no_grace_period_after_an_outage(registry):
    registry.put([entry(3, leaving=True)])
    registry.on_store_lost()
    registry.on_store_regained(now=1_000)
    registry.remove(["e3"], now=1_050)
    assert "e3" not in names(registry)


def test_a_mass_removal_has_a_grace_period(registry):
    registry.remove([f"e{number}" for number in range(5)], now=10)
    assert len(names(registry)) == 10
    registry.tick(now=1_510)
    assert len(names(registry)) == 5


def test_a_full_list_removes_unlisted_entries(registry):
    registry.replace_all([entry(number) for number in range(9)], now=10)
    assert names(registry) == {f"e{number}" for number in range(9)}


def test_a_removal_long_after_an_outage_is_applied_immediately(registry):
    registry.on_store_lost()
    registry.on_store_regained(now=1_000)
    registry.remove(["e1"], now=9_000)
    assert "e1" not in names(registry)


def test_entries_that_are_written_again_have_no_grace_period(registry):
    registry.remove([f"e{number}" for number in range(5)], now=10)
    registry.put([entry(number) for number in range(5)])
    assert registry.retained == frozenset()
    assert registry.tick(now=10_000) == []


def test_two_of_many_entries_removed_together_are_deleted(registry):
    """Guards against a failing follower that loses the removals of one change.

    Two entries are removed in one change, and the first one was deleted before the
    check of the second one, which counts both.
    """
    registry.remove(["e1", "e2"], now=10)
    assert names(registry) == {f"e{number}" for number in (0, *range(3, 10))}
