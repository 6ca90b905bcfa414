"""Callers whose bytes keep a gateway at work for as long as they send."""

import socket
import threading

import pytest

from azurefold.internal.http_server import split_address
from tests.misbehaving.conftest import answer_of, request_head

pytestmark = pytest.mark.scenario

SENDERS = 3
CHUNKED = "Transfer-Encoding: chunked"
BLOCK_REPEATS = 2_000


@pytest.fixture
def send_for_ever(crowd):
    """Send the same bytes on connections of their own until the test ends."""
    stopped = threading.Event()
    threads = []

    def send(sock, block):
        sock.settimeout(1)
        while not stopped.is_set():
            try:
                sock.sendall(block)
            except TimeoutError:
                continue
            except OSError:
                return

    def read(sock):
        while not stopped.is_set():
            try:
                if not sock.recv(65_536):
                    return
            except TimeoutError:
                continue
            except OSError:
                return

    def begin(first, block, count=SENDERS):
        for _ in range(count):
            sock = crowd.send(first)
            for task in ((send, sock, block), (read, sock)):
                threads.append(threading.Thread(target=task[0], args=task[1:]))
                threads[-1].start()

    yield begin
    stopped.set()
    for sock in crowd.socks:
        sock.close()
    for thread in threads:
        thread.join()


def test_trailers_without_end_leave_other_callers_served(gateway, send_for_ever):
    """Guards against a process that reads one caller's trailers and nothing else."""
    first = request_head("/lists/trailers/", "t", CHUNKED) + b"1\r\nx\r\n0\r\n"
    send_for_ever(first, b"X-More: yes\r\n" * BLOCK_REPEATS)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_chunks_of_one_byte_leave_other_callers_served(gateway, send_for_ever):
    """Guards against a process that decodes one caller's chunks and nothing else."""
    first = request_head("/lists/chunks/", "c", CHUNKED)
    send_for_ever(first, b"1\r\nx\r\n" * BLOCK_REPEATS)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_chunk_extensions_without_end_leave_other_callers_served(
    gateway, send_for_ever
):
    """Guards against a process that skips one caller's extensions and nothing else."""
    first = request_head("/lists/extensions/", "e", CHUNKED)
    send_for_ever(first, b"1;" + b"y" * 4_000 + b"\r\nx\r\n")
    gateway.serves()
    gateway.stays_within_its_machine()


def test_requests_behind_one_another_leave_other_callers_served(gateway, send_for_ever):
    """Guards against one connection whose requests take every turn."""
    request = request_head("/nowhere/", "p", method="GET")
    send_for_ever(request, request * BLOCK_REPEATS)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_paths_of_slashes_leave_other_callers_served(gateway, send_for_ever):
    """Guards against a search for a route that takes the square of a path's length."""
    request = request_head("/" * 8_000, "s", method="GET")
    send_for_ever(request, request * 100)
    gateway.serves()
    gateway.stays_within_its_machine()


def test_a_body_of_chunks_of_one_byte_is_served(gateway):
    """Guards against a bound on chunks that a small proper body meets."""
    data = b"proper body in small chunks " * 40
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in data)
    head = request_head("/lists/small/", "small", CHUNKED, "Connection: close")
    status, body = answer_of(gateway.address, head + chunks + b"0\r\n\r\n")
    assert (status, body) == (200, b"/lists/small/:" + data)


def test_datagrams_of_strangers_leave_callers_served(gateway):
    """Guards against a process that reads datagrams and nothing else."""
    address = split_address(gateway.peers_address)
    stopped = threading.Event()

    def flood():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            while not stopped.is_set():
                sock.sendto(b"\xc1" * 1_000, address)

    threads = [threading.Thread(target=flood) for _ in range(SENDERS)]
    for thread in threads:
        thread.start()
    try:
        gateway.serves()
        gateway.stays_within_its_machine()
    finally:
        stopped.set()
        for thread in threads:
            thread.join()
