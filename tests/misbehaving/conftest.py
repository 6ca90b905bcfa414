"""A gateway on a small machine, and callers that keep outside the limits."""

import http.client
import json
import socket
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from azurefold.internal.http_server import split_address
from azurefold_standins.crowd_soak import memory_kb, open_descriptors
from azurefold_standins.gateway_site import HOST, KEY, GatewaySite, new_gateway_site
from azurefold_standins.misbehaving_callers import request_bytes
from azurefold_standins.processes import Process

MACHINE_MB = 96
MACHINE_FDS = 512
"""Below the smallest machine of a gateway, so that a small crowd is enough."""

_ANSWER_TIMEOUT_S = 30.0
_QUIET_S = 3.0
_POLL_S = 0.1
_SMALL_WINDOW_BYTES = 4_096
_HEALTH_CHECK = b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@dataclass
class Crowd:
    """Connections to one address, which stay open until the test ends."""

    address: str
    stack: ExitStack
    socks: list[socket.socket] = field(default_factory=list)

    def connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_WINDOW_BYTES)
        sock.connect(split_address(self.address))
        self.stack.callback(sock.close)
        self.socks.append(sock)
        return sock

    def send(self, data: bytes) -> socket.socket:
        """Connect and send, at most what the other end takes."""
        sock = self.connect()
        send_what_is_taken(sock, data)
        return sock


def send_what_is_taken(sock: socket.socket, data: bytes) -> None:
    """Send until all is sent, or the other end has taken nothing for a while."""
    sock.settimeout(_QUIET_S)
    try:
        sock.sendall(data)
    except OSError:
        return


def request_head(path: str, attempt: str, *lines: str, method: str = "POST") -> bytes:
    """Return the head of a request that the configuration allows."""
    head = request_bytes(path, attempt, *lines)
    return head.replace(b"POST", method.encode(), 1)


def ask(address: str, path: str, body: bytes = b"", **headers: str) -> tuple[int, int]:
    """Send one ordinary request; return the status and the length of its answer."""
    connection = http.client.HTTPConnection(address, timeout=_ANSWER_TIMEOUT_S)
    sent = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Attempt-Id": f"ordinary-{time.monotonic_ns()}",
        **headers,
    }
    try:
        connection.request("POST", path, body, sent)
        answer = connection.getresponse()
        length = 0
        while piece := answer.read(65_536):
            length += len(piece)
        return answer.status, length
    finally:
        connection.close()


def answer_of(address: str, request: bytes) -> tuple[int, bytes]:
    """Send a request that ends its connection; return the answer's status and body."""
    with socket.create_connection(split_address(address), _ANSWER_TIMEOUT_S) as sock:
        sock.sendall(request)
        data = b"".join(iter(lambda: sock.recv(65_536), b""))
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]) if head else 0, body


@dataclass
class SmallGateway:
    """A gateway alone on a small machine."""

    site: GatewaySite

    @property
    def process(self) -> Process:
        return self.site.processes["gateway-0"]

    @property
    def address(self) -> str:
        return self.site.gateways["gateway-0"]

    @property
    def admin(self) -> str:
        return self.site.admins["gateway-0"]

    @property
    def peers_address(self) -> str:
        """Where other gateways send their datagrams."""
        [path] = self.process.arguments[-1:]
        [port, *_] = json.loads(Path(path).read_text("utf-8"))["PortRange"]
        return f"{self.address.rpartition(':')[0]}:{port}"

    def stays_within_its_machine(self) -> None:
        """Check that the process lives, within its machine's memory and descriptors."""
        assert self.process.running
        assert memory_kb(self.process) <= MACHINE_MB * 1_024
        assert open_descriptors(self.process) <= MACHINE_FDS

    def is_ready(self) -> None:
        """Check that a health check is answered, if not on the first try."""
        until = time.monotonic() + _ANSWER_TIMEOUT_S
        while time.monotonic() < until:
            try:
                status, _ = answer_of(self.admin, _HEALTH_CHECK)
            except OSError:
                status = 0
            if status == 200:
                return
            time.sleep(_POLL_S)
        raise AssertionError("no health check was answered")

    def serves(self) -> None:
        """Check that an ordinary caller gets its answer, if not on the first try."""
        statuses = []
        until = time.monotonic() + _ANSWER_TIMEOUT_S
        while time.monotonic() < until:
            try:
                status, length = ask(self.address, "/lists/ordinary/")
            except OSError as error:
                statuses.append(type(error).__name__)
            else:
                if status == 200:
                    assert length == len("/lists/ordinary/:")
                    return
                assert status == 503, status
                statuses.append(status)
            time.sleep(_POLL_S)
        raise AssertionError(f"no answer for an ordinary caller: {statuses}")


@pytest.fixture
def gateway(tmp_path):
    machine = {"MemoryMb": MACHINE_MB, "MaxFds": MACHINE_FDS}
    site = new_gateway_site(tmp_path, gateways=1, ranks=1, machine=machine)
    try:
        site.start()
        yield SmallGateway(site)
    finally:
        site.processes.kill_all()


@pytest.fixture
def crowd(gateway):
    with ExitStack() as stack:
        yield Crowd(gateway.address, stack)
