"""Callers that ask for long answers and hardly read them."""

import contextlib
import signal
import time

import pytest

from azurefold_standins.processes import wait_until
from tests.misbehaving.conftest import MACHINE_MB, ask, request_head

pytestmark = pytest.mark.scenario

CALLERS = 48
ANSWER_BYTES = 4 * 1_048_576
STREAM_CALLERS = 300
SETTLE_S = 3.0
SLOW_PAUSE_S = 0.02
READS_AGAIN_S = 4.5
"""After SIGTERM, when a gateway without requests in flight has ended."""

GRACE_S = 8.0
"""From SIGTERM to SIGKILL, as the settings of the gateway say."""

LONG_BYTES = (MACHINE_MB + 4) * 1_048_576


def test_answers_that_callers_leave_unread_stay_within_the_memory(gateway, crowd):
    """Guards against a process that ends for want of memory, full of unread answers."""
    for number in range(CALLERS):
        crowd.send(request_head(f"/lists/size-{ANSWER_BYTES}/", f"unread-{number}"))
    time.sleep(SETTLE_S)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_answers_asked_for_behind_one_another_stay_within_the_memory(gateway, crowd):
    """Guards against a caller that asks again and again and reads nothing."""
    for number in range(CALLERS):
        path = f"/lists/size-{ANSWER_BYTES}/"
        crowd.send(b"".join(request_head(path, f"b-{number}-{n}") for n in range(20)))
    time.sleep(SETTLE_S)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_answers_left_on_connections_that_come_and_go_stay_within_the_memory(
    gateway, crowd
):
    """Guards against answers that are kept for callers who have turned away."""
    for number in range(5 * CALLERS):
        sock = crowd.send(request_head(f"/lists/size-{ANSWER_BYTES}/", f"c-{number}"))
        with contextlib.suppress(OSError):
            sock.recv(1)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_unread_answers_over_http_1_0_stay_within_the_memory(gateway, crowd):
    """Guards against unread answers that have no chunks."""
    for number in range(CALLERS):
        head = request_head(f"/lists/size-{ANSWER_BYTES}/", f"old-{number}")
        crowd.send(head.replace(b"HTTP/1.1", b"HTTP/1.0"))
    time.sleep(SETTLE_S)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_streams_that_callers_leave_unread_stay_within_the_memory(gateway, crowd):
    """Guards against events that are held for callers who do not read."""
    for number in range(STREAM_CALLERS):
        crowd.send(request_head("/drafts/s/", f"s-{number}", "Content-Length: 0"))
    gateway.serves()
    gateway.stays_within_its_machine()


def test_an_answer_longer_than_the_memory_is_served(gateway):
    """Guards against a sound endpoint's answer that is refused for its length."""
    assert ask(gateway.address, f"/lists/size-{LONG_BYTES}/") == (200, LONG_BYTES)
    gateway.stays_within_its_machine()


def test_an_answer_that_is_read_slowly_is_served_whole(gateway, crowd):
    """Guards against a floor on the rate that a caller on a slow line meets."""
    size = 1_048_576
    path = f"/lists/size-{size}/"
    sock = crowd.send(request_head(path, "slow", "Connection: close"))
    sock.settimeout(30)
    received = 0
    while data := sock.recv(16_384):
        received += len(data)
        time.sleep(SLOW_PAUSE_S)
    assert received > size


def test_a_stop_waits_for_answers_that_are_being_read(gateway, crowd):
    """Guards against answers that are cut off by a stop, though they were written."""
    size = 8 * 1_048_576
    path = f"/lists/size-{size}/"
    socks = [
        crowd.send(request_head(path, f"stop-{n}", "Connection: close"))
        for n in range(2)
    ]
    received = [len(sock.recv(1_024)) for sock in socks]
    time.sleep(SETTLE_S / 3)
    gateway.process.send(signal.SIGTERM)
    time.sleep(READS_AGAIN_S)
    for number, sock in enumerate(socks):
        sock.settimeout(30)
        while data := sock.recv(65_536):
            received[number] += len(data)
    assert min(received) > size
    assert gateway.process.popen.wait(30) == 0


def test_a_stop_ends_in_its_time_while_answers_are_left_unread(gateway, crowd):
    """Guards against a process that waits for callers who never read."""
    for number in range(CALLERS):
        crowd.send(request_head(f"/lists/size-{ANSWER_BYTES}/", f"never-{number}"))
    gateway.process.send(signal.SIGTERM)
    gateway.process.popen.wait(GRACE_S)


def test_a_change_is_in_force_while_answers_are_left_unread(gateway, crowd):
    """Guards against a gateway that hears nothing of the store while callers press."""
    for number in range(CALLERS):
        crowd.send(request_head(f"/lists/size-{ANSWER_BYTES}/", f"press-{number}"))
    gateway.site.configure("/added-meanwhile/")
    wait_until(
        lambda: _status(gateway.address, "/added-meanwhile/") == 200,
        "the added route is served",
    )
    gateway.is_ready()
    gateway.stays_within_its_machine()


def _status(address, path):
    try:
        status, _ = ask(address, path)
    except OSError:
        return 0
    return status
