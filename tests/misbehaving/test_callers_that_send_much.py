"""Callers whose requests take memory before they are whole."""

import contextlib
import select
import time

import pytest

from tests.misbehaving.conftest import MACHINE_MB, ask, request_head

pytestmark = pytest.mark.scenario

CALLERS = 48
BODY_BYTES = 4 * 1_048_576
"""The largest body that the configuration allows."""

TINY_CALLERS = 36
TINY_CHUNKS = 128 * 1_024
ACKS = 24
ACK_BYTES = 1_048_576
PROMISES = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""

SETTLE_S = 1.0


def test_bodies_without_their_last_byte_stay_within_the_memory(gateway, crowd):
    """Guards against a process that ends for want of memory, full of bodies."""
    for number in range(CALLERS):
        head = request_head("/lists/b/", f"b-{number}", f"Content-Length: {BODY_BYTES}")
        crowd.send(head + bytes(BODY_BYTES - 1))
    gateway.serves()
    gateway.stays_within_its_machine()


def test_chunked_bodies_without_an_end_stay_within_the_memory(gateway, crowd):
    """Guards against bodies that are held as a list of their chunks."""
    chunks = b"2\r\nxy\r\n" * TINY_CHUNKS
    for number in range(TINY_CALLERS):
        head = request_head("/lists/c/", f"c-{number}", "Transfer-Encoding: chunked")
        crowd.send(head + chunks)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_heads_without_an_end_stay_within_the_memory(gateway, crowd):
    """Guards against heads that are held up to any length."""
    fields = (b"X-Long: " + b"y" * 65_000 + b"\r\n") * 90
    for number in range(CALLERS):
        crowd.send(request_head("/lists/h/", f"h-{number}")[:-2] + fields)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_heads_of_many_fields_stay_within_the_memory(gateway, crowd):
    """Guards against fields whose objects take many times their bytes."""
    fields = [f"{chr(97 + n % 26)}: {n}" for n in range(1_500)]
    for number in range(4 * CALLERS):
        head = request_head("/lists/f/", f"f-{number}", *fields, "Content-Length: 9")
        crowd.send(head)
    time.sleep(SETTLE_S)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_a_body_of_the_largest_size_is_served(gateway):
    """Guards against a bound that a caller inside the limits meets."""
    status, length = ask(gateway.address, "/lists/large/", bytes(BODY_BYTES))
    assert (status, length) == (200, BODY_BYTES + len("/lists/large/:"))
    gateway.stays_within_its_machine()


def test_a_caller_that_is_refused_is_answered_after_its_body(gateway, crowd):
    """Guards against a proper caller who stops sending and whose connection ends."""
    body = b"proper"
    head = request_head("/nowhere/", "refused", f"Content-Length: {len(body)}")
    sock = crowd.send(head)
    assert select.select([sock], [], [], SETTLE_S)[0] == []
    for _ in range(2):
        sock.sendall(body)
        answer = b""
        while not answer.endswith(b"}}"):
            answer += sock.recv(4_096)
        assert answer.startswith(b"HTTP/1.1 404")
        sock.sendall(head)


def test_a_body_that_is_too_large_is_refused_unread(gateway):
    """Guards against a refusal that first takes the memory of what it refuses."""
    for _ in range(4):
        body = bytes(MACHINE_MB * 1_048_576)
        try:
            status, _ = ask(gateway.address, "/lists/huge/", body)
        except OSError:
            # The connection was closed while the body was still being sent.
            continue
        assert status == 413
    gateway.serves()
    gateway.stays_within_its_machine()
    assert "huge" not in str(gateway.site.journal().runs)


def test_calls_that_are_refused_for_want_of_memory_have_not_run(gateway, crowd):
    """Guards against a booking that runs though its caller was told that it did not."""
    statuses = {}
    for number in range(ACKS):
        head = request_head("/lists/b/", f"b-{number}", f"Content-Length: {BODY_BYTES}")
        crowd.send(head + bytes(BODY_BYTES - 1))
        attempt = f"ack-{number}"
        with contextlib.suppress(OSError):
            statuses[attempt], _ = ask(
                gateway.address, "/acks/", bytes(ACK_BYTES), **{"Attempt-Id": attempt}
            )
    runs = gateway.site.journal().runs
    refused = [attempt for attempt, status in statuses.items() if status in PROMISES]
    assert not any(attempt in runs for attempt in refused)
    answered = [attempt for attempt, status in statuses.items() if status == 200]
    assert [runs[attempt] for attempt in answered] == [1] * len(answered)
    gateway.serves()
    gateway.stays_within_its_machine()
