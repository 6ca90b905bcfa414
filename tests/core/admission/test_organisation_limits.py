"""Tests of the rate limits that nodes share without a round trip per request."""

from random import Random

import pytest

from azurefold.core.admission.limits import (
    Allowed,
    DemandReport,
    Limited,
    LimitPolicy,
    OrganisationLimits,
)

LIMIT = 9_000.0


class UnsharedLimits(OrganisationLimits):
    """Mutant in which each node grants the whole limit."""

    def compute_share(self, organisation, now):
        return 1.0


def simulate_grants(
    make_limits,
    *,
    seconds=40,
    weights=(40, 20, 10, 10, 5, 5, 5, 3, 2),
    exchange_interval_ms=1_000,
):
    """Return granted tokens divided by the limit, with demand at three times it.

    Requests reach the nodes at random, in proportion to ``weights``.
    """
    names = frozenset(f"vm-{number}" for number in range(len(weights)))
    nodes = [make_limits(name, {"a": LIMIT}) for name in sorted(names)]
    for node in nodes:
        node.set_nodes(names)
    random = Random(5)
    granted = 0
    for now in range(0, seconds * 1_000, 10):
        for node in random.choices(nodes, weights, k=3):
            result = node.try_acquire("a", 90, random.random(), now)
            granted += 90 * isinstance(result, Allowed)
        if now % exchange_interval_ms == 0:
            for report in [node.build_report(now) for node in nodes]:
                for node in nodes:
                    node.receive_report(report, now)
    return granted / (LIMIT * seconds)


def test_limit_holds_when_load_is_skewed_between_nodes():
    """Guards against granting an organisation several times its limit.

    This happens if each node grants the whole limit, as the mutant does, and the
    platform's balancer spreads the requests unevenly over all nodes.
    """
    assert 0.85 < simulate_grants(OrganisationLimits) < 1.10
    with pytest.raises(AssertionError):
        assert simulate_grants(UnsharedLimits) < 1.10


def test_shares_sum_to_one():
    demand = {"x": 90, "y": 10, "z": 0}
    nodes = [OrganisationLimits(name, {"a": 100.0}) for name in demand]
    for node, tokens in zip(nodes, demand.values(), strict=True):
        node.set_nodes(frozenset(demand))
        node.try_acquire("a", tokens, 0.5, 0)
    for report in [node.build_report(0) for node in nodes]:
        for node in nodes:
            node.receive_report(report, 0)
    shares = [node.compute_share("a", 0) for node in nodes]
    assert sum(shares) == pytest.approx(1.0)
    assert shares[0] > shares[1] > shares[2] > 0.0


def test_stale_node_report_is_ignored():
    node = OrganisationLimits("x", {"a": 100.0})
    node.set_nodes(frozenset({"x", "y"}))
    node.try_acquire("a", 50, 0.5, 0)
    node.build_report(0)
    node.receive_report(DemandReport("y", {"a": 1_000.0}), 0)
    assert node.compute_share("a", 10_000) < 0.2
    assert node.compute_share("a", 10_001) > 0.9


def test_organisation_without_limit_is_allowed():
    node = OrganisationLimits("x", {})
    assert node.try_acquire("a", 10**9, 0.5, 0) == Allowed()


def test_large_request_leaves_negative_balance():
    node = OrganisationLimits("x", {"a": 100.0}, LimitPolicy(burst=1_000))
    assert node.try_acquire("a", 1_000, 0.0, 0) == Allowed()
    limited = node.try_acquire("a", 10, 0.0, 100)
    assert isinstance(limited, Limited)
    assert limited.retry_after_ms >= 8_000
    assert node.try_acquire("a", 10, 0.0, 9_100) == Allowed()
