"""Callers are served while a balancer sends most new connections to one gateway."""

import logging

import pytest
from tests.gateway.group_world import GroupSite
from tests.gateway.quota_world import QuotaSite

BEFORE_MS, STABLE_MS, DURING_MS = 6_000, 4_000, 4_000
SERVED_DURING_TO_BEFORE = 0.75
"""What the users' rule asks of the requests that a gateway has read."""


@pytest.fixture(autouse=True)
def quiet(caplog):
    """Keep thousands of log lines out of each test's record."""
    caplog.set_level(logging.CRITICAL)


def share_served(site, since, until):
    return 1.0 - site.share_refused(since, until)


@pytest.mark.parametrize("share", [0.3, 0.9], ids=["data centre", "region"])
@pytest.mark.parametrize(
    ("gateways", "ranks", "streams_per_second", "callers"),
    [(6, 16, 16.0, 40), (36, 72, 72.0, 100), (98, 192, 190.0, 217)],
)
def test_most_connections_at_one_gateway_are_served(
    gateways, ranks, streams_per_second, callers, share
):
    """Guards against refusals at one gateway beside endpoints that are free."""
    site = GroupSite(
        gateways,
        ranks,
        seed=1,
        streams_per_second=streams_per_second,
        callers=callers,
        preferred_share=share,
    )
    began = site.time.at
    site.run_group(BEFORE_MS)
    for name in site.names[:2]:
        site.preferred = name
        site.run_group(STABLE_MS)
        since = site.time.at
        site.run_group(DURING_MS)
        served_before = share_served(site, began + 2_000, began + BEFORE_MS)
        served = share_served(site, since, since + DURING_MS - 1_200)
        assert served >= SERVED_DURING_TO_BEFORE * served_before


@pytest.mark.parametrize(
    ("gateways", "endpoints", "per_second", "quota"),
    [(9, 18, 4.0, 2.5), (9, 18, 4.0, 1.5), (36, 72, 2.0, 0.7)],
)
def test_callers_are_served_while_all_endpoints_name_quotas(
    gateways, endpoints, per_second, quota
):
    """Guards against refusals at a gateway that has only its part of each quota."""
    site = QuotaSite(gateways, endpoints, per_second=per_second)
    site.run(STABLE_MS)
    for endpoint in site.ranks:
        site.needs_help(endpoint, quota)
    site.run(2 * BEFORE_MS)
    served_before = site.share_served(BEFORE_MS)
    for name in site.names[:2]:
        site.preferred = name
        site.run(STABLE_MS)
        served = site.share_served(DURING_MS)
        assert served >= SERVED_DURING_TO_BEFORE * served_before
    site.check()
