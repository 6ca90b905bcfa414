"""Tests of the decision to wait or refuse while all groups of a service are down."""

import pytest

from azurefold.core.admission.messages import Priority, Queued, QueueItem
from azurefold.core.admission.outage import (
    OutageRequest,
    RefuseRequest,
    WaitForGroup,
    decide_during_outage,
    max_retry_after,
)
from azurefold.core.admission.queue import FairQueue

TIMEOUT_MS = 8_000


def test_first_attempt_is_refused_with_longest_retry_delay():
    decision = decide_during_outage(
        OutageRequest(TIMEOUT_MS, TIMEOUT_MS), group_ready_in=None
    )
    assert decision == RefuseRequest(max_retry_after(TIMEOUT_MS))
    assert decision.retry_after <= TIMEOUT_MS / 3


def test_second_attempt_waits_for_short_time():
    time_left = TIMEOUT_MS - max_retry_after(TIMEOUT_MS)
    decision = decide_during_outage(
        OutageRequest(time_left, TIMEOUT_MS), group_ready_in=None
    )
    assert isinstance(decision, WaitForGroup)
    assert decision.max_wait < time_left / 3


def test_every_request_waits_for_group_that_is_forming():
    assert isinstance(
        decide_during_outage(OutageRequest(8_000, 8_000), 600), WaitForGroup
    )
    assert isinstance(
        decide_during_outage(OutageRequest(8_000, 8_000), 9_000), RefuseRequest
    )


@pytest.mark.parametrize("outage_ms", [2_000, 6_000, 12_000])
def test_callers_are_served_or_refused_soon(outage_ms):
    """Guards against refusing retries again and again, or holding them to the deadline.

    Callers arrive during the whole outage, retry once after ``Retry-After``, and
    wait only if the decision is to wait. The test checks the fraction that finds
    the group running, and the longest wait without success.
    """
    served = longest_wait_ms = 0
    arrivals = range(0, outage_ms, 10)
    for arrival in arrivals:
        now, deadline = arrival, arrival + TIMEOUT_MS
        for _ in range(2):
            decision = decide_during_outage(
                OutageRequest(deadline - now, TIMEOUT_MS), None
            )
            wait_ms = decision.max_wait if isinstance(decision, WaitForGroup) else 0
            if now + wait_ms >= outage_ms:
                served += 1
                break
            longest_wait_ms = max(longest_wait_ms, wait_ms)
            now += wait_ms + getattr(
                decision, "retry_after", max_retry_after(deadline - now)
            )
    # If second attempts did not wait, only callers that arrived in the last 2.67 s
    # of an outage would be served.
    served_window_ms = max_retry_after(TIMEOUT_MS) + 1_200
    assert served / len(arrivals) == pytest.approx(
        min(1.0, served_window_ms / outage_ms), abs=0.01
    )
    assert longest_wait_ms <= 1_200


def test_outage_does_not_lower_drain_rate():
    """Guards against refusals in the seconds after a group runs again.

    No request is taken while the group is down. If that time counts, the drain rate
    falls towards zero, and the expected wait exceeds every deadline.
    """
    queue = FairQueue()

    def offer(request_id, now, timeout_ms):
        item = QueueItem(
            request_id, "o", Priority.DRAFT, 100, now + timeout_ms, 0.5, now
        )
        return queue.offer(item, now)

    for now in range(0, 1_000, 50):
        offer(f"before-{now}", now, 500)
        queue.take(now + 40)
    queue.pause(1_000)
    offer("waits", 1_010, 10_000)
    queue.resume(7_000)
    assert isinstance(offer("after", 7_001, 1_000), Queued)
