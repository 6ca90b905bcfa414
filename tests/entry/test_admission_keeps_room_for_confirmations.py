"""The queue in front of the pool, as requests go through it."""

import gevent
import pytest
from tests.entry.conftest import ManualClock

from azurefold.core.admission.messages import Priority
from azurefold.core.attempts.outcome import Failure
from azurefold.core.routing.messages import Answered, Chosen, Failed
from azurefold.entry.admission import Ticket, new_admission


@pytest.fixture
def time():
    """A clock at 1,000 ms."""
    return ManualClock()


def admission_of(time, slots):
    """Return the admission before one endpoint with so many places."""
    admission = new_admission(time.clock, seed=1)
    admission.pool.set_endpoints(["a"], time.now)
    admission.pool.set_slots(slots)
    return admission


def ticket(name, priority=Priority.DRAFT, organisation="union", tokens=10):
    """Return a request that may wait for a minute."""
    return Ticket(name, organisation, priority, tokens, 61_000)


def asked(admission, *tickets):
    """Return the greenlets that ask for an endpoint each."""
    greenlets = [gevent.spawn(admission.acquire, one) for one in tickets]
    gevent.sleep(0)
    return greenlets


def served(greenlets):
    """Return how many have an endpoint by now."""
    gevent.sleep(0)
    return sum(isinstance(one.value, Chosen) for one in greenlets)


def test_drafts_leave_the_last_place_to_a_confirmation(time):
    # Symptom: a booking waits for as long as a draft takes. Sequence: drafts
    # fill every place, then the booking comes. Cause: a place once taken by a
    # draft cannot be given back.
    admission = admission_of(time, slots=4)
    drafts = asked(admission, *(ticket(f"d{n}") for n in range(6)))
    assert served(drafts) == 3
    assert served(asked(admission, ticket("c", Priority.CONFIRMATION))) == 1


def test_a_draft_gets_the_only_place_there_is(time):
    admission = admission_of(time, slots=1)
    assert served(asked(admission, ticket("d"))) == 1


def test_a_place_that_is_given_back_goes_to_the_more_urgent(time):
    admission = admission_of(time, slots=1)
    asked(admission, ticket("first"))
    draft = asked(admission, ticket("d"))
    booking = asked(admission, ticket("c", Priority.CONFIRMATION))
    admission.finished("a", "first", Answered(10))
    assert (served(booking), served(draft)) == (1, 0)
    admission.finished("a", "c", Answered(10))
    assert served(draft) == 1


def test_shares_weigh_organisations(time):
    admission = admission_of(time, slots=1)
    admission.queue.set_weights({"large": 3.0, "small": 1.0})
    asked(admission, ticket("0"))
    waiting = {
        name: asked(
            admission,
            *(ticket(f"{name}{n}", organisation=name, tokens=512) for n in range(100)),
        )
        for name in ("small", "large")
    }
    running = "0"
    for _ in range(100):
        admission.finished("a", running, Answered(10))
        gevent.sleep(0)
        (running,) = admission.pool._members.by_name["a"].attempts
    assert 65 <= served(waiting["large"]) <= 85


def test_who_waits_in_vain_is_answered_at_once_and_counted(time):
    admission = admission_of(time, slots=1)
    asked(admission, ticket("0"))
    (late,) = asked(admission, ticket("late"))
    time.now = 70_000
    admission.tick()
    gevent.sleep(0)
    assert isinstance(late.value, Failure)
    assert admission.seen.refusals["deadline"] == 1


def test_retries_and_ejections_are_counted(time):
    admission = admission_of(time, slots=4)
    admission.pool.set_endpoints(["a", "b", "c"], time.now)
    for number in range(10):
        admission.pool.record_start("a", str(number), time.now)
        admission.finished("a", str(number), Failed())
    while admission.try_retry():
        pass
    seen = admission.seen
    assert seen.ejections == {"failing": 1}
    assert seen.retries["made"] > 0
    assert seen.retries["denied"] == 1
