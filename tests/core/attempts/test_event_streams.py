"""Streams are forwarded in complete events and resumed where they were interrupted."""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.attempts.events import EventFault, EventSplitter
from azurefold.core.attempts.outcome import RunStatus
from azurefold.core.attempts.request_state import (
    DispatchAgain,
    EndpointFailed,
    EndUnconfirmed,
    Fail,
    Finish,
    NotDispatched,
    RequestState,
)

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 9))


def event_of(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


@given(
    ids=st.lists(st.integers(0, 12), max_size=12),
    breaks=st.sets(st.integers(0, 11)),
    cuts=st.lists(st.integers(1, 20), min_size=1),
)
def test_ids_of_forwarded_events_only_increase(ids, breaks, cuts):
    """Guards against events that come twice or go back, in one run or over several."""
    splitter = EventSplitter(needs_ids=True)
    forwarded = b""
    for position, number in enumerate(ids):
        if position in breaks:
            splitter.begin_run(splitter.last_id)
        event = event_of(number)
        cut = cuts[position % len(cuts)]
        forwarded += splitter.feed(event[:cut]) + splitter.feed(event[cut:])
    numbers = [int(each) for each in re.findall(rb"id: (\d+)", forwarded)]
    assert numbers == sorted(set(numbers))
    assert forwarded == b"".join(map(event_of, numbers))


@pytest.mark.parametrize("first", [1, 3])
def test_run_that_does_not_go_on_where_it_was_asked_to_is_not_forwarded(first):
    """Guards against a run that begins anew behind the events of another."""
    splitter = EventSplitter()
    splitter.feed(b"".join(map(event_of, range(1, 5))))
    splitter.begin_run("4")
    run = b"".join(map(event_of, range(first, 9)))
    assert splitter.feed(run) == b""
    assert splitter.fault is EventFault.ID_NOT_HIGHER


def test_event_that_the_caller_named_is_not_forwarded_again():
    splitter = EventSplitter()
    splitter.begin_run("4")
    run = b"".join(map(event_of, range(4, 7)))
    assert splitter.feed(run) == event_of(5) + event_of(6)
    assert splitter.fault is None


def test_events_before_wrong_bytes_are_forwarded():
    splitter = EventSplitter(needs_ids=True)
    data = event_of(1) + b"junk\n\n" + event_of(2)
    assert splitter.feed(data) == event_of(1)
    assert splitter.fault is EventFault.NO_ID
    assert splitter.feed(event_of(2)) == b""


@pytest.mark.parametrize("needs_ids", [False, True])
@pytest.mark.parametrize("ignored", [b": still here\n\n", b"\n\n"])
def test_comments_and_empty_lines_need_no_id(needs_ids, ignored):
    splitter = EventSplitter(needs_ids=needs_ids)
    data = ignored + event_of(1) + ignored + event_of(2)
    assert splitter.feed(data) == data
    assert (splitter.fault, splitter.event_count) == (None, 2)


def test_stream_without_ids_is_forwarded_where_none_are_needed():
    splitter = EventSplitter()
    assert splitter.feed(b"data: a\n\ndata: b\n\n") == b"data: a\n\ndata: b\n\n"


def test_event_without_end_is_not_kept():
    """Guards against bytes without end that fill the memory."""
    splitter = EventSplitter()
    fed = 0
    while splitter.fault is None:
        splitter.feed(b"x" * 65_536)
        fed += 65_536
    assert splitter.fault is EventFault.TOO_LONG
    assert fed <= 2 * 1_048_576


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
def test_events_do_not_depend_on_chunk_boundaries(cut_positions):
    splitter = EventSplitter()
    boundaries = [0, *sorted(cut_positions), len(STREAM)]
    chunks = [
        STREAM[start:end]
        for start, end in zip(boundaries, boundaries[1:], strict=False)
    ]
    forwarded_chunks = [splitter.feed(chunk) for chunk in chunks]
    assert b"".join(forwarded_chunks) == STREAM
    assert all(chunk.endswith(b"\n\n") for chunk in forwarded_chunks if chunk)
    assert (splitter.last_id, splitter.event_count) == ("8", 8)
    assert not splitter.has_partial_event


def test_partial_event_is_not_forwarded():
    """Guards against an event that consists of parts of two runs.

    An endpoint fails in the middle of an event and another one resumes the stream with
    a complete event. If the partial event was forwarded, both are parsed as one.
    """
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    splitter.begin_run("1")
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == "2"


def test_events_may_end_in_crlf():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid") == b"id: 1\r\ndata: a\r\n\r\n"
    assert splitter.has_partial_event


@pytest.mark.parametrize(
    "event", [NotDispatched("full"), EndpointFailed(RunStatus.UNKNOWN)]
)
def test_resumable_stream_is_dispatched_again_after_forwarded_events(event):
    request_state = RequestState(is_idempotent=True, is_resumable=True)
    request_state.forwarded = 4
    assert request_state.handle_event(event, lambda: True) == DispatchAgain()


@pytest.mark.parametrize(
    "event", [NotDispatched("full"), EndpointFailed(RunStatus.UNKNOWN)]
)
def test_stream_that_is_not_resumable_fails_after_forwarded_events(event):
    request_state = RequestState(is_idempotent=False)
    request_state.forwarded = 4
    action = request_state.handle_event(event, lambda: True)
    assert isinstance(action, Fail)
    assert action.failure.ran is RunStatus.RAN


def test_resumable_stream_without_retry_is_reported_as_run():
    request_state = RequestState(is_idempotent=True, is_resumable=True)
    request_state.forwarded = 1
    action = request_state.handle_event(
        EndpointFailed(RunStatus.UNKNOWN), lambda: False
    )
    assert action.failure.ran is RunStatus.RAN


def at_an_unconfirmed_end(may_retry, is_resumable=True):
    request_state = RequestState(is_idempotent=True, is_resumable=is_resumable)
    request_state.forwarded = 4
    action = request_state.handle_event(EndUnconfirmed(), lambda: may_retry)
    return request_state, action


def test_end_that_nothing_confirms_is_asked_for_at_another_endpoint():
    request_state, action = at_an_unconfirmed_end(may_retry=True)
    assert action == DispatchAgain()
    assert request_state.is_confirming


@pytest.mark.parametrize(
    ("may_retry", "is_resumable"), [(False, True), (True, False), (False, False)]
)
def test_end_that_cannot_be_confirmed_is_taken(may_retry, is_resumable):
    _, action = at_an_unconfirmed_end(may_retry, is_resumable)
    assert action == Finish()


@pytest.mark.parametrize(
    "event",
    [NotDispatched("full"), EndpointFailed(RunStatus.UNKNOWN), EndUnconfirmed()],
)
def test_one_question_confirms_an_end_or_is_given_up(event):
    request_state, _ = at_an_unconfirmed_end(may_retry=True)
    assert request_state.handle_event(event, lambda: True) == Finish()


def test_stream_that_went_on_is_not_taken_for_whole_when_it_breaks():
    """Guards against the end of one run that excuses a break of the next one."""
    request_state, _ = at_an_unconfirmed_end(may_retry=True)
    request_state.forwarded = 6
    event = EndpointFailed(RunStatus.UNKNOWN)
    assert not request_state.is_confirming
    assert request_state.handle_event(event, lambda: True) == DispatchAgain()
    assert isinstance(request_state.handle_event(event, lambda: False), Fail)
