"""A leaving endpoint refuses new work immediately and finishes work in flight."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.membership.endpoints import Endpoint, State
from azurefold.core.membership.leaving import (
    Admitted,
    DrainFinished,
    Draining,
    Refused,
    WorkState,
    admit_work,
    finish_work,
    get_drain_progress,
    start_leaving,
)
from azurefold.core.membership.messages import Announcement, Probe, Reply
from azurefold.core.membership.presence import Presence

EVENTS = st.lists(st.sampled_from(["admit", "finish", "leave"]), max_size=40)


@given(EVENTS)
def test_leaving_refuses_new_work_and_drains_admitted_work(events):
    work, admitted, finished, is_leaving = WorkState(), 0, 0, False
    for now, event in enumerate(events):
        if event == "leave":
            work, is_leaving = start_leaving(work, now), True
        elif event == "finish" and work.in_flight:
            work, finished = finish_work(work), finished + 1
        elif event == "admit":
            result = admit_work(work)
            assert isinstance(result, Refused if is_leaving else Admitted)
            if isinstance(result, Admitted):
                work, admitted = result.work, admitted + 1
    is_done = isinstance(get_drain_progress(work, len(events)), DrainFinished)
    assert is_done == (is_leaving and admitted == finished)


def test_drain_progress_counts_work_in_flight():
    work = start_leaving(WorkState(in_flight=2), now=100)
    assert get_drain_progress(work, 350) == Draining(in_flight=2, elapsed_ms=250)
    assert work.state is State.LEAVING
    assert finish_work(finish_work(work)).state is State.GONE


def test_work_cannot_be_finished_twice():
    with pytest.raises(ValueError, match="finished twice"):
        finish_work(WorkState())


@pytest.fixture
def presence():
    own = Endpoint("endpoint-1", 5, "10.0.0.1:7001", 7002)
    return Presence(own, 0, seeds=("10.1.0.1:7002",))


def test_leaving_is_announced_immediately_and_repeated(presence):
    presence.announce(State.SERVING, 0)
    sends = presence.announce(State.LEAVING, 100)
    assert [send.message.record.state for send in sends] == [State.LEAVING]
    assert len(presence.tick(350)) == len(presence.tick(600)) == 1
    assert presence.tick(850)[0].message.announced is State.LEAVING


def test_leaving_cannot_be_undone(presence):
    presence.announce(State.LEAVING, 0)
    assert presence.announce(State.SERVING, 100) == []
    assert presence.own.state is State.LEAVING


def test_a_probe_is_answered_without_requesting_the_control_list(presence):
    (send,) = presence.receive(Probe(), "10.1.0.9:7002", 0)
    assert send.to == "10.1.0.9:7002"
    assert send.message == Announcement(presence.own)


def _run(presence, start, until, answering=()):
    recipients = set()
    for now in range(start, until, 250):
        for send in presence.tick(now):
            recipients.add(send.to)
            if send.to in answering:
                presence.receive(Reply(), send.to, now)
    return recipients


def test_silent_owners_are_excluded_and_retried_later(presence):
    """Guards against an endpoint that keeps reporting to failed controls.

    Both owners fail in one rack failure, so no control is left to send a new list, and
    the endpoint is declared gone unless it reacts to the missing replies.
    """
    controls = tuple(f"10.1.0.{n}:7002" for n in range(1, 5))
    presence.receive(Reply(controls), controls[0], 0)
    failed = _run(presence, 0, 10_000)
    assert len(failed) == 2
    live = set(controls) - failed
    assert _run(presence, 30_000, 60_000, answering=live) == live
    assert failed <= _run(presence, 80_000, 140_000, answering=live)
