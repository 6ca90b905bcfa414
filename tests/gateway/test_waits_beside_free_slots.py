"""No caller waits while the group that serves all gateways has room."""

import logging

import pytest
from tests.gateway.group_world import GroupSite

WARM_UP_MS = 2_000

BALANCED_SKEW, JUMPED_SKEW = 1.2, 1.9
JUMP_EVERY_MS, UNTIL_NEXT_MAP_MS = 4_200, 1_500

STALL_MS, AFTER_STALL_MS = 1_700, 1_500

SHARE_ON_TIME = 0.95
"""What callers are promised at the target size."""


@pytest.fixture(autouse=True)
def quiet(caplog):
    """Keep thousands of log lines out of each test's record."""
    caplog.set_level(logging.CRITICAL)


def new_site(gateways, ranks, streams_per_second, callers, seed=1):
    return GroupSite(
        gateways,
        ranks,
        seed=seed,
        streams_per_second=streams_per_second,
        callers=callers,
    )


@pytest.mark.parametrize(
    ("gateways", "ranks", "streams_per_second", "callers", "seed"),
    [(98, 192, 190.0, 217, 1), (98, 192, 190.0, 217, 3), (31, 64, 64.0, 72, 1)],
)
def test_gateways_with_more_callers_use_what_others_leave(
    gateways, ranks, streams_per_second, callers, seed
):
    """Guards against callers of some cells that wait while the group has room."""
    site = new_site(gateways, ranks, streams_per_second, callers, seed)
    began = site.time.at
    site.run_group(10_000)
    assert site.share_on_time(since=began + WARM_UP_MS) >= SHARE_ON_TIME


def test_callers_do_not_wait_while_long_passes_are_on_time():
    """Guards against a queue after each jump in popularity that makes no event late."""
    site = new_site(98, 192, 190.0, 217)
    began = site.time.at
    site.run_group(WARM_UP_MS)
    for _ in range(2):
        site.skew = JUMPED_SKEW
        site.run_group(UNTIL_NEXT_MAP_MS)
        site.skew = BALANCED_SKEW
        site.run_group(JUMP_EVERY_MS - UNTIL_NEXT_MAP_MS)
    assert site.share_on_time(since=began + WARM_UP_MS) >= SHARE_ON_TIME


@pytest.mark.parametrize("seed", [1, 2])
def test_a_group_that_stood_still_takes_requests_at_once(seed):
    """Guards against limits and expected waits that were measured in a stall."""
    site = new_site(31, 64, 40.0, 72, seed)
    site.run_group(WARM_UP_MS)
    site.stand_still(STALL_MS)
    runs_again = site.time.at
    site.run_group(AFTER_STALL_MS)
    assert site.share_refused(runs_again, runs_again + AFTER_STALL_MS) <= 0.1
