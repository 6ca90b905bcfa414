"""Streams are forwarded in complete events and resumed where they were interrupted."""

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
    splitter.discard_partial_event()
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
