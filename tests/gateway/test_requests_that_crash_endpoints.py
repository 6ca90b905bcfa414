"""A request that crashes the endpoints that run it is soon sent to none."""

import logging

import pytest
from tests.gateway.crash_world import CrashSite, install

MOST_AFTER_THE_THIRD = 3
DEADLY = b"deadly"


@pytest.fixture(autouse=True)
def quiet(caplog):
    """Keep thousands of log lines out of each test's record."""
    caplog.set_level(logging.CRITICAL)


def site_of(monkeypatch, gateways, endpoints=16, **fields):
    site = install(monkeypatch, CrashSite(gateways, endpoints, **fields))
    site.deadly.add(DEADLY)
    return site


def repeat(site, times, pause_ms=4_000):
    """Have a caller repeat the deadly request, each time at the next gateway."""
    names = list(site.by_name)
    for turn in range(times):
        site.send(names[turn % len(names)], DEADLY)
        site.run(pause_ms)


@pytest.mark.parametrize("gateways", [1, 6, 9])
def test_repeats_of_a_request_that_crashes_endpoints_end(monkeypatch, gateways):
    """Guards against endpoints that crash one after the other under one request."""
    site = site_of(monkeypatch, gateways)
    repeat(site, 8)
    assert site.sent_after_third_crash(DEADLY) <= MOST_AFTER_THE_THIRD
