"""What callers get while one group of a service, or all of them, stand still."""

from dataclasses import replace

import pytest
from tests.gateway.test_relays_answer_truthfully import (
    EVENT,
    NOT_RUN,
    TIMEOUT_MS,
    answer,
    parts_of,
    relay_of,
)

from azurefold.core.admission.outage import max_retry_after
from azurefold.core.routes.model import AnswerKind
from azurefold.core.routing.messages import Cancelled
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.rank_groups import GroupStatus, Standing
from azurefold.gateway.callers.relay import Relay

FIRST, SECOND = ("e0",), ("e1", "e2")


def news_of(group, standing, ranks, epoch=1):
    marks = tuple(map(endpoint_hash, ranks))
    return GroupStatus(endpoint_hash("desk"), group, epoch, standing, marks)


@pytest.fixture
def relay(state):
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=1, is_resumable=True)
    state.group_told(news_of(1, Standing.RUNS, FIRST))
    state.group_told(news_of(2, Standing.RUNS, SECOND))
    return relay


def refusing(at_fault):
    return lambda: _once(answer(**NOT_RUN, at_fault=at_fault, forwarded=()))


def streaming():
    return _once(answer(200, [EVENT % 1]))


def _once(reply):
    reply.may_reuse = False
    return reply


def test_a_refusal_by_one_group_is_tried_at_another_at_once(relay, endpoint_script):
    """Callers are refused although half of all ranks are idle.

    A rank of the group that stood still refused, and the one attempt that the route
    allows was used up, though nothing had run.
    """
    answers, asked = endpoint_script
    answers["e0"] = refusing("10.9.9.9:80")
    answers["e1"] = answers["e2"] = streaming
    relay.service.admission.pool.set_distance("e1", 5_000)
    relay.service.admission.pool.set_distance("e2", 5_000)
    begun, _ = parts_of(relay)
    assert begun.status == 200
    assert asked[0] == "e0"
    assert asked[1] in SECOND


def test_later_requests_do_not_ask_the_group_that_stands_still(
    relay, endpoint_script, state
):
    answers, asked = endpoint_script
    answers["e0"] = refusing("10.9.9.9:80")
    answers["e1"] = answers["e2"] = streaming
    state.services["desk"].rank_refused("e0", "10.9.9.9:80", state.clock.now())
    parts_of(relay)
    assert asked[0] in SECOND


def test_with_all_groups_down_nobody_is_asked(relay, endpoint_script, state):
    """Each request finds out by itself that a group is down, after 1.5 s."""
    answers, asked = endpoint_script
    state.group_told(news_of(1, Standing.DOWN, FIRST))
    state.group_told(news_of(2, Standing.DOWN, SECOND))
    [given_up] = parts_of(relay)
    assert asked == []
    assert given_up.failure.retry_after_ms == max_retry_after(TIMEOUT_MS)


def test_who_has_come_back_is_served_when_a_group_runs_again(
    relay, endpoint_script, state, monkeypatch
):
    """Callers come back once, to a group down for a moment more, and are lost."""
    answers, asked = endpoint_script
    answers["e1"] = answers["e2"] = streaming
    state.group_told(news_of(1, Standing.DOWN, FIRST))
    state.group_told(news_of(2, Standing.DOWN, SECOND))
    service = state.services["desk"]
    call = replace(relay.call, deadline=state.clock.now() + TIMEOUT_MS // 2)
    original = service.admission._wait

    def wait(ticket, now):
        # The group forms anew while the request waits.
        service.admission.pool.set_paused(frozenset(FIRST))
        service.admission.resume()
        return original(ticket, now)

    monkeypatch.setattr(type(service.admission), "_wait", lambda _, *a: wait(*a))
    begun, _ = parts_of(Relay(call, state, service))
    assert begun.status == 200
    assert asked[0] in SECOND


def test_long_passes_leave_fewer_places_and_short_ones_all_slots(relay, state, time):
    service = state.services["desk"]
    service.promised_gap_ms = 120
    room = service.admission.pool.room
    for number in range(6):
        service.admission.pool.record_start("e1", f"r{number}", time.at)
    for _ in range(30):
        time.at += 150
        service.event_gap("e1", 150, time.at)
    assert service.admission.pool.room < room - 6
    for _ in range(30):
        time.at += 40
        service.event_gap("e1", 40, time.at)
    beyond_slots = len(SECOND)
    assert service.admission.pool.room == room - 6 - beyond_slots


def test_a_gateway_that_is_cut_off_sends_callers_back_late(
    relay, endpoint_script, state
):
    """Callers come back after a second to a data centre that is still cut off."""
    answers, _ = endpoint_script
    for name in (*FIRST, *SECOND):
        answers[name] = refusing(f"10.0.0.{name[1]}:80")
    state.is_cut_off = True
    [given_up] = parts_of(relay)
    assert given_up.failure.retry_after_ms == max_retry_after(TIMEOUT_MS)


def test_a_stall_that_becomes_an_outage_keeps_the_queue_paused(relay, state, time):
    """Who waits for a group is refused for a wait measured while it is down."""
    service = state.services["desk"]
    ticket = relay._ticket()
    chosen = service.admission.acquire(ticket)
    service.request_sent(time.at)
    time.at += 1_500
    service.check_stall(time.at)
    for rank in (*FIRST, *SECOND):
        service.rank_refused(rank, "10.9.9.9:80", time.at)
    service.admission.finished(chosen.endpoint, ticket.request_id, Cancelled())
    service.check_stall(time.at)
    assert service.admission.pool.is_unavailable
    assert service.admission.queue._is_paused
