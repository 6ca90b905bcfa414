"""Tests that an overloaded queue first serves requests that can be on time."""

import random

import pytest

from azurefold.core.admission.messages import Priority, Queued, QueueItem
from azurefold.core.admission.queue import FairQueue, QueuePolicy

OBJECTIVE_MS, TIMEOUT_MS, ORGANISATION_COUNT = 300, 1_200, 10


def simulate_overload(load, seed=7, duration_ms=20_000):
    """Offer requests at ``load`` times the rate at which they are taken.

    One request is taken every 50 ms. Each request comes from a random organisation,
    as at one gateway. Returns the fractions of requests served and on time, and the
    lowest fraction on time of any organisation.
    """
    queue = FairQueue(QueuePolicy(newest_first_after=150))
    rng = random.Random(seed)
    offered, on_time, served = [0] * ORGANISATION_COUNT, [0] * ORGANISATION_COUNT, 0
    next_arrival = 0.0
    for now in range(0, duration_ms, 10):
        while next_arrival <= now:
            organisation = rng.randrange(ORGANISATION_COUNT)
            offered[organisation] += 1
            item = QueueItem(
                f"r{sum(offered)}",
                f"o{organisation}",
                Priority.DRAFT,
                100,
                now + TIMEOUT_MS,
                queued_at=now,
                latest_on_time_start=now + OBJECTIVE_MS,
            )
            queue.offer(item, now)
            next_arrival += rng.expovariate(load / 50)
        queue.expire(now)
        if now % 50 == 0 and (item := queue.take(now)) is not None:
            served += 1
            on_time[int(item.organisation[1:])] += item.can_be_on_time(now)
    lowest = min(
        own_on_time / own_offered
        for own_on_time, own_offered in zip(on_time, offered, strict=True)
    )
    return served / sum(offered), sum(on_time) / sum(offered), lowest


@pytest.mark.parametrize(("load", "min_on_time"), [(1.3, 0.7), (2.0, 0.46)])
def test_most_served_requests_are_on_time(load, min_on_time):
    """Guards against late answers to nearly all requests during an overload.

    With round robin alone, 0.27 of the requests were on time and 0.77 served at 1.3
    times the capacity; at twice the capacity 0.16 and 0.50.
    """
    served, on_time, lowest = simulate_overload(load)
    assert on_time >= min_on_time
    assert on_time >= 0.9 * served
    assert lowest >= 0.6 * on_time


def test_arrival_order_holds_below_capacity():
    queue = FairQueue(QueuePolicy(newest_first_after=150))
    for number, now in enumerate((0, 40, 80)):
        item = QueueItem(f"r{number}", "o", Priority.DRAFT, 100, 5_000, queued_at=now)
        assert isinstance(queue.offer(item, now), Queued)
    assert [queue.take(100).request_id for _ in range(3)] == ["r0", "r1", "r2"]
