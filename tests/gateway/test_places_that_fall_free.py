"""A place that falls free is taken once, whoever has requests waiting."""

import logging
from collections import Counter

import gevent
import pytest
from tests.gateway.quota_world import SLOTS, QuotaSite

from azurefold.core.admission.messages import Priority
from azurefold.core.clock import manual_clock
from azurefold.core.routing.endpoint import ExchangedLoads
from azurefold.core.routing.messages import Answered, LoadReport
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool import Pool
from azurefold.entry.admission import Ticket, new_admission

STREAM_MS = 2_000
LOAD = 1.3
"""Requests that callers send, over those that all endpoints have slots for."""

PLACES = SLOTS + 1


@pytest.fixture(autouse=True)
def quiet(caplog):
    """Keep thousands of log lines out of each test's record."""
    caplog.set_level(logging.CRITICAL)


@pytest.mark.parametrize(
    ("gateways", "endpoints", "looks"), [(31, 64, 60), (98, 192, 10)]
)
def test_gateways_with_requests_waiting_do_not_all_take_the_same_place(
    gateways, endpoints, looks
):
    """Guards against endpoints with twice their slots while others have room."""
    per_second = LOAD * SLOTS * endpoints / gateways / (STREAM_MS / 1_000)
    site = QuotaSite(
        gateways,
        endpoints,
        per_second,
        ends_after_ms=STREAM_MS,
        step_ms=5,
        waits_ms=1_200,
    )
    site.run(STREAM_MS)
    seen = Counter()
    for _ in range(looks):
        site.run(50)
        seen.update(site.requests_of_ranks.values())
    beyond = sum(max(0, had - PLACES) * often for had, often in seen.items())
    assert max(seen) <= 1.5 * SLOTS + 1
    assert beyond <= 0.25 * sum(seen.values())


@pytest.fixture
def admission(time):
    made = new_admission(manual_clock(time), seed=1)
    made.pool = Pool(PoolPolicy(reserved_share=0.0, sharing=ExchangedLoads(0)))
    made.pool.set_endpoints(["a", "b"], time.at)
    made.pool.set_slots(2)
    return made


def calls_of(admission, names, time):
    """Ask for places, and return the calls that wait for them."""
    calls = [
        gevent.spawn(
            admission.acquire,
            Ticket(name, "o1", Priority.DRAFT, 1, time.at + 5_000),
        )
        for name in names
    ]
    gevent.sleep(0)
    return calls


def test_a_place_freed_here_goes_to_who_waits_here(admission, time):
    calls_of(admission, ["r1", "r2", "r3", "r4"], time)
    [call] = calls_of(admission, ["w1"], time)
    admission.contenders = 9
    freed = next(name for name, load in admission.pool.loads.items() if load)
    attempt = next(iter(admission.pool._members.by_name[freed].attempts))
    admission.finished(freed, attempt, Answered(3))
    assert call.get(timeout=1).endpoint == freed


def test_room_that_all_nodes_see_is_taken_in_parts(admission, time):
    """Guards against ten nodes that fill ten places each, of ten that are free."""
    for name in ("a", "b"):
        admission.pool.record_load(name, LoadReport(2, 0), time.at)
    calls = calls_of(admission, [f"w{n}" for n in range(4)], time)
    admission.contenders = 10
    for name in ("a", "b"):
        admission.pool.record_load(name, LoadReport(0, 0), time.at)
    for _ in range(10):
        admission.pump()
    gevent.sleep(0)
    assert sum(call.ready() for call in calls) <= 1
    for _ in range(200):
        time.at += 20
        admission.pump()
    gevent.sleep(0)
    assert all(call.ready() for call in calls)
