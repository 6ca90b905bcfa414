"""Streams are passed on in whole events, and taken up where they broke off."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.attempts.events import EventSplitter
from azurefold.core.attempts.outcome import RunStatus
from azurefold.core.attempts.request_state import (
    DispatchAgain,
    EndpointFailed,
    Fail,
    NotDispatched,
    RequestState,
)

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 9))


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
def test_any_cut_of_the_bytes_gives_the_same_events(cuts):
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    parts = [STREAM[start:end] for start, end in zip(edges, edges[1:], strict=False)]
    out = [splitter.feed(part) for part in parts]
    assert b"".join(out) == STREAM
    assert all(part.endswith(b"\n\n") for part in out if part)
    assert (splitter.last_id, splitter.event_count) == ("8", 8)
    assert not splitter.has_partial_event


def test_half_an_event_is_not_passed_on():
    """A caller sees pieces of two runs joined into one event.

    An endpoint stops in the middle of an event and another one takes the
    stream up with a whole event. The half before it had been passed on.
    """
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    splitter.discard_partial_event()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == "2"


def test_events_that_end_in_carriage_returns_are_whole_too():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid") == b"id: 1\r\ndata: a\r\n\r\n"
    assert splitter.has_partial_event


@pytest.mark.parametrize(
    "event", [NotDispatched("full"), EndpointFailed(RunStatus.UNKNOWN)]
)
def test_a_resumable_stream_goes_on_elsewhere_after_events_were_passed(event):
    course = RequestState(is_idempotent=True, is_resumable=True)
    course.forwarded = 4
    assert course.handle_event(event, lambda: True) == DispatchAgain()


@pytest.mark.parametrize(
    "event", [NotDispatched("full"), EndpointFailed(RunStatus.UNKNOWN)]
)
def test_another_stream_ends_after_events_were_passed(event):
    course = RequestState(is_idempotent=False)
    course.forwarded = 4
    step = course.handle_event(event, lambda: True)
    assert isinstance(step, Fail)
    assert step.failure.ran is RunStatus.RAN


def test_a_stream_that_may_not_be_sent_again_is_said_to_have_run():
    course = RequestState(is_idempotent=True, is_resumable=True)
    course.forwarded = 1
    step = course.handle_event(EndpointFailed(RunStatus.UNKNOWN), lambda: False)
    assert step.failure.ran is RunStatus.RAN
