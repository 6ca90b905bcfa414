"""What callers get of streams whose endpoints go wrong, byte by byte.

Gateway and endpoints are real processes on loopback.
"""

import random
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from zlib import crc32

import pytest

from azurefold.internal.http_server import split_address
from azurefold_standins.bare_layout import EVENTS
from azurefold_standins.gateway_caller import Caller, Result, StreamKind
from azurefold_standins.gateway_site import HOST, KEY, new_gateway_site
from azurefold_standins.retry_allowance import Allowance
from azurefold_standins.stream_endpoint import Conduct, Ending, Framing

pytestmark = pytest.mark.scenario

NOTE, TALK = StreamKind
SOUND = Conduct()
BROKEN = Conduct(ending=Ending.CLOSED, events=2)
AMPLE_RETRIES = Allowance(share=3, slack=2_000, window=10)
ROUTE_TIMEOUT_S = 4.0
LEAST_MEMORY_KB = 200 * 1024
"""The smallest limit of a gateway's machine on the users' sheets, 200 MB."""


@pytest.fixture(scope="module")
def running_site(tmp_path_factory):
    folder = tmp_path_factory.mktemp("streams")
    site = new_gateway_site(folder, gateways=1, retries=AMPLE_RETRIES, streamers=4)
    try:
        site.start()
        yield site
    finally:
        site.processes.kill_all()


@pytest.fixture
def site(running_site):
    """A site all of whose endpoints run."""
    for endpoint in running_site.streamers:
        if not running_site.processes[endpoint.name].running:
            running_site.start_streamer(endpoint)
    return running_site


@pytest.fixture
def call(site, request):
    """Call a stream of which the first run and the resumed ones go wrong."""
    name = f"t{crc32(request.node.name.encode()):x}"
    caller = Caller(name, random.Random(3))
    [(gateway, address)] = site.gateways.items()

    def make(kind, first, resumed=SOUND):
        prefix = f"/{kind.value}/{first}.{resumed}/"
        return caller.call(kind, gateway, address, prefix).result

    return make


@pytest.fixture(params=list(Framing))
def framing(request):
    return request.param


@pytest.mark.parametrize("kind", list(StreamKind))
def test_a_whole_stream_is_passed_on_whole(call, kind, framing):
    assert call(kind, Conduct(framing)) is Result.WHOLE


@pytest.mark.parametrize("events", [2, 5])
@pytest.mark.parametrize("ending", [Ending.HALF, Ending.RESET, Ending.JUNK])
def test_a_stream_that_breaks_off_is_resumed(call, framing, ending, events):
    assert call(NOTE, Conduct(framing, ending, events)) is Result.WHOLE


@pytest.mark.parametrize("ending", [Ending.HALF, Ending.RESET, Ending.JUNK])
def test_a_stream_that_breaks_off_and_cannot_be_resumed_is_cut_off(
    call, framing, ending
):
    assert call(TALK, Conduct(framing, ending, 3)) is Result.CUT_OFF


@pytest.mark.parametrize("status", [304, 400, 404, 413])
def test_a_failure_does_not_end_a_stream_that_was_resumed(call, status):
    """Guards against a stream that ends as complete before its last event."""
    failed = Conduct(ending=Ending.FAILED, events=status)
    assert call(NOTE, BROKEN, failed) is Result.CUT_OFF


@pytest.mark.parametrize("resumed", [Framing.CHUNKED, Framing.UNFRAMED])
def test_a_run_that_begins_anew_is_not_joined_to_another(call, resumed):
    """Guards against events that come twice, of two runs."""
    anew = Conduct(resumed, Ending.ANEW)
    assert call(NOTE, BROKEN, anew) is Result.CUT_OFF


def test_a_run_that_begins_with_the_event_named_goes_on_behind_it(call):
    """Guards against an event that comes twice where a stream was resumed."""
    assert call(NOTE, BROKEN, Conduct(ending=Ending.AT)) is Result.WHOLE


@pytest.mark.parametrize("events", [1, 3, EVENTS])
def test_wrong_bytes_are_not_passed_on_as_events(call, framing, events):
    """Guards against events of another stream, or none, among a stream's own."""
    conduct = Conduct(framing, Ending.JUNK_EVENTS, events)
    assert call(NOTE, conduct) is Result.WHOLE
    # Bytes behind the length of an answer are none of its own.
    is_whole = framing is Framing.LENGTH and events == EVENTS
    expected = Result.WHOLE if is_whole else Result.CUT_OFF
    assert call(TALK, conduct) is expected


def test_a_second_answer_is_not_passed_on_as_events(call, framing):
    """Guards against a second answer that follows one without a length."""
    twice = Conduct(framing, Ending.ANSWERED_TWICE)
    assert call(NOTE, twice) is Result.WHOLE


@pytest.mark.parametrize("kind", list(StreamKind))
def test_a_stream_whose_endpoint_is_killed_is_not_complete(call, kind, framing):
    """Guards against a crash that passes for the end of an answer without length."""
    expected = Result.WHOLE if kind is NOTE else Result.CUT_OFF
    assert call(kind, Conduct(framing, Ending.KILLED, 3)) is expected


@pytest.mark.parametrize("events", [1, 3])
def test_a_resumable_stream_that_ends_early_is_resumed(call, framing, events):
    """Guards against a connection closed early that passes for a stream's end."""
    assert call(NOTE, Conduct(framing, Ending.CLOSED, events)) is Result.WHOLE


def test_a_resumed_stream_that_ends_early_is_resumed_again(call, framing):
    closed = Conduct(framing, Ending.CLOSED, 4)
    assert call(NOTE, BROKEN, closed) is Result.WHOLE


def test_events_after_an_unconfirmed_end_are_not_whole_at_the_deadline(call):
    """Guards against an end that was in doubt and is taken though more has come."""
    closed = Conduct(Framing.UNFRAMED, Ending.CLOSED, 3)
    assert call(NOTE, closed, Conduct(ending=Ending.SILENT, events=6)) is Result.CUT_OFF


def test_streams_that_are_stopped_at_their_deadline_are_not_whole(site):
    """Guards against an endpoint's stop that comes just before the gateway's own."""
    [(gateway, address)] = site.gateways.items()
    prefix = f"/talks/{Conduct(ending=Ending.STOPPED, events=3)}.{SOUND}/"
    callers = [Caller(f"stopped-{n}", random.Random(n)) for n in range(20)]
    with ThreadPoolExecutor(len(callers)) as pool:
        calls = pool.map(lambda c: c.call(TALK, gateway, address, prefix), callers)
        assert Result.WRONG not in {call.result for call in calls}


@pytest.mark.parametrize("ending", [Ending.CLOSED, Ending.KILLED, Ending.JUNK])
def test_a_stream_that_ends_before_its_first_event_is_none(call, framing, ending):
    """Guards against a connection closed behind the head that passes for a stream."""
    assert call(TALK, Conduct(framing, ending)) is Result.FAILED


@pytest.fixture
def peak_memory_kb(site):
    """Return the most memory that the gateway has had so far."""
    [gateway] = site.gateways
    path = Path(f"/proc/{site.processes[gateway].pid}/status")
    return lambda: int(re.search(r"VmHWM:\s+(\d+)", path.read_text("utf-8"))[1])


def test_a_body_without_end_does_not_fill_the_memory(call, framing, peak_memory_kb):
    """Guards against a gateway that keeps whatever an endpoint sends."""
    endless = Conduct(framing, Ending.ENDLESS, 3)
    assert call(NOTE, endless) is Result.WHOLE
    assert call(TALK, endless) is Result.CUT_OFF
    assert peak_memory_kb() < LEAST_MEMORY_KB


def test_a_head_without_end_does_not_fill_the_memory(call, peak_memory_kb):
    """Guards against a gateway that reads a head until the request's deadline."""
    endless = Conduct(ending=Ending.ENDLESS_HEAD)
    began = time.monotonic()
    assert call(NOTE, endless) is Result.FAILED
    assert call(NOTE, BROKEN, endless) is Result.CUT_OFF
    assert call(TALK, endless) is Result.FAILED
    assert time.monotonic() - began < ROUTE_TIMEOUT_S
    assert peak_memory_kb() < LEAST_MEMORY_KB


def test_a_caller_without_chunks_sees_that_its_stream_was_cut_off(site):
    """Guards against a cut that looks like the end of an answer without a length."""
    [address] = site.gateways.values()
    path = f"/talks/{Conduct(ending=Ending.HALF, events=3)}.{SOUND}/old"
    request = f"POST {path} HTTP/1.0\r\nHost: {HOST}\r\nAttempt-Id: old\r\n"
    request += f"Authorization: Bearer {KEY}\r\n\r\n"
    with socket.create_connection(split_address(address), 10) as sock:
        sock.sendall(request.encode())
        with pytest.raises(ConnectionResetError):
            list(iter(lambda: sock.recv(65_536), b""))
