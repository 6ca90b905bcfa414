"""A leaving endpoint refuses new work at once and cuts no work off."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.membership.endpoints import Endpoint, State
from azurefold.core.membership.leaving import (
    Admitted,
    Finished,
    Leaving,
    Refused,
    WorkLoad,
    admit,
    begin_leaving,
    finish,
    progress,
)
from azurefold.core.membership.messages import Announcement, Probe, Reply
from azurefold.core.membership.presence import Presence

EVENTS = st.lists(st.sampled_from(["admit", "finish", "leave"]), max_size=40)


@given(EVENTS)
def test_nothing_is_admitted_once_leaving_and_all_admitted_is_finished(events):
    load, admitted, finished, leaving = WorkLoad(), 0, 0, False
    for now, event in enumerate(events):
        if event == "leave":
            load, leaving = begin_leaving(load, now), True
        elif event == "finish" and load.in_flight:
            load, finished = finish(load), finished + 1
        elif event == "admit":
            result = admit(load)
            assert isinstance(result, Refused if leaving else Admitted)
            if isinstance(result, Admitted):
                load, admitted = result.load, admitted + 1
    is_done = isinstance(progress(load, len(events)), Finished)
    assert is_done == (leaving and admitted == finished)


def test_tells_how_far_leaving_has_come():
    load = begin_leaving(WorkLoad(in_flight=2), now=100)
    assert progress(load, 350) == Leaving(in_flight=2, for_ms=250)
    assert load.state is State.LEAVING
    assert finish(finish(load)).state is State.GONE


def test_work_cannot_be_finished_twice():
    with pytest.raises(ValueError, match="finished twice"):
        finish(WorkLoad())


@pytest.fixture
def presence():
    own = Endpoint("endpoint-1", 5, "10.0.0.1:7001", 7002)
    return Presence(own, 0, seeds=("10.1.0.1:7002",))


def test_leaving_is_announced_at_once_and_repeated(presence):
    presence.announce(State.SERVING, 0)
    sends = presence.announce(State.LEAVING, 100)
    assert [send.message.record.state for send in sends] == [State.LEAVING]
    assert len(presence.tick(350)) == len(presence.tick(600)) == 1
    assert presence.tick(850)[0].message.announced is State.LEAVING


def test_leaving_cannot_be_taken_back(presence):
    presence.announce(State.LEAVING, 0)
    assert presence.announce(State.SERVING, 100) == []
    assert presence.own.state is State.LEAVING


def test_a_probe_is_answered_to_the_prober_without_asking_for_a_list(presence):
    (send,) = presence.receive(Probe(), "10.1.0.9:7002", 0)
    assert send.to == "10.1.0.9:7002"
    assert send.message == Announcement(presence.own)


def _run(presence, start, until, answering=()):
    reached = set()
    for now in range(start, until, 250):
        for send in presence.tick(now):
            reached.add(send.to)
            if send.to in answering:
                presence.receive(Reply(), send.to, now)
    return reached


def test_mute_homes_are_left_and_tried_again_later(presence):
    """Both homes of an endpoint die in one rack's failure.

    Symptom: the endpoint reports to the dead and is declared gone. Sequence:
    both die, nobody is left to tell the endpoint. Cause: no reply was missed.
    """
    controls = tuple(f"10.1.0.{n}:7002" for n in range(1, 5))
    presence.receive(Reply(controls), controls[0], 0)
    first = _run(presence, 0, 10_000)
    assert len(first) == 2
    others = set(controls) - first
    assert _run(presence, 30_000, 60_000, answering=others) == others
    assert first <= _run(presence, 80_000, 140_000, answering=others)
