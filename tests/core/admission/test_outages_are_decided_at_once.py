"""What callers are told while all groups of a service are down."""

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

TIMEOUT = 8_000


def test_who_comes_first_is_turned_away_at_once_for_as_long_as_callers_heed():
    decided = decide_during_outage(OutageRequest(TIMEOUT, TIMEOUT), group_ready_in=None)
    assert decided == RefuseRequest(max_retry_after(TIMEOUT))
    assert decided.retry_after <= TIMEOUT / 3


def test_who_has_come_back_waits_a_little_as_it_has_no_other_chance():
    left = TIMEOUT - max_retry_after(TIMEOUT)
    decided = decide_during_outage(OutageRequest(left, TIMEOUT), group_ready_in=None)
    assert isinstance(decided, WaitForGroup)
    assert decided.max_wait < left / 3


def test_all_wait_for_a_group_that_forms():
    assert isinstance(
        decide_during_outage(OutageRequest(8_000, 8_000), 600), WaitForGroup
    )
    assert isinstance(
        decide_during_outage(OutageRequest(8_000, 8_000), 9_000), RefuseRequest
    )


@pytest.mark.parametrize("outage", [2_000, 6_000, 12_000])
def test_callers_of_an_outage_are_served_or_told_soon(outage):
    """A herd that comes back is refused again and again, or held to its deadline.

    Callers arrive through the whole outage, come back once after Retry-After, and
    wait only where the decision says so. Measured here: the share that finds the
    group running, and the longest that anybody was held in vain.
    """
    served = longest_held = 0
    arrivals = range(0, outage, 10)
    for arrived in arrivals:
        now, deadline = arrived, arrived + TIMEOUT
        for _ in range(2):
            decided = decide_during_outage(OutageRequest(deadline - now, TIMEOUT), None)
            held = decided.max_wait if isinstance(decided, WaitForGroup) else 0
            if now + held >= outage:
                served += 1
                break
            longest_held = max(longest_held, held)
            now += held + getattr(
                decided, "retry_after", max_retry_after(deadline - now)
            )
    # Refused at once both times, callers of the last 2.67 s of an outage were served.
    reach = max_retry_after(TIMEOUT) + 1_200
    assert served / len(arrivals) == pytest.approx(min(1.0, reach / outage), abs=0.01)
    assert longest_held <= 1_200


def test_an_outage_does_not_make_the_queue_look_slow():
    """Requests are refused for seconds after a group runs again.

    Nothing was taken from the queue while the group was down, so it seemed to empty
    at next to no rate, and a short wait looked like one beyond every deadline.
    """
    queue = FairQueue()

    def offer(name, now, latest):
        item = QueueItem(name, "o", Priority.DRAFT, 100, now + latest, 0.5, now)
        return queue.offer(item, now)

    for now in range(0, 1_000, 50):
        offer(f"before-{now}", now, 500)
        queue.take(now + 40)
    queue.pause(1_000)
    offer("waits", 1_010, 10_000)
    queue.resume(7_000)
    assert isinstance(offer("after", 7_001, 1_000), Queued)
