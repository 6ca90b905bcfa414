"""CPU, memory and bytes of running processes, read from outside them."""

import os
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from gevent import socket
from gevent.server import StreamServer

from azurefold.internal.http_server import split_address

__all__ = ["CountingRelay", "Usage", "counting_relay", "cpu_s", "resident_mb", "usage"]

_TICKS = os.sysconf("SC_CLK_TCK")
_CHUNK = 65_536
_KIB_PER_MIB = 1_024


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process used over some seconds.

    Parameters
    ----------
    core_share : float
        CPU time over time passed; 1.0 is one core.
    resident_mb : float
        Resident memory at the end, in MiB.
    """

    core_share: float
    resident_mb: float


def cpu_s(pid: int) -> float:
    """Return the CPU seconds of a process so far, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text("utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text("utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KIB_PER_MIB
    raise ValueError(f"process {pid} shows no resident memory; has it ended?")


def usage(pid: int, seconds: float) -> Usage:
    """Let other greenlets run for some seconds and return what ``pid`` used."""
    begun, spent = time.monotonic(), cpu_s(pid)
    gevent.sleep(seconds)
    share = (cpu_s(pid) - spent) / (time.monotonic() - begun)
    return Usage(share, resident_mb(pid))


@dataclass(slots=True)
class CountingRelay:
    """A TCP relay that counts the bytes it passes on, each way."""

    to: str
    counted: Counter[str] = field(default_factory=Counter)
    server: StreamServer | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self.server.server_host}:{self.server.server_port}"

    @property
    def both_ways(self) -> int:
        """Bytes counted so far."""
        return self.counted.total()

    def handle(self, client: socket.socket, _: tuple) -> None:
        """Pass on both directions until either side closes."""
        try:
            upstream = socket.create_connection(split_address(self.to))
        except OSError:
            client.close()
            return
        with upstream:
            for each in (client, upstream):
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            ways = [
                gevent.spawn(self._pump, client, upstream, "to"),
                gevent.spawn(self._pump, upstream, client, "from"),
            ]
            gevent.joinall(ways, count=1)
            gevent.killall(ways)

    def _pump(self, source: socket.socket, target: socket.socket, way: str) -> None:
        try:
            while data := source.recv(_CHUNK):
                self.counted[way] += len(data)
                target.sendall(data)
        except OSError:
            return


def counting_relay(to: str) -> CountingRelay:
    """Return a relay to ``to`` that is running."""
    relay = CountingRelay(to)
    relay.server = StreamServer((split_address(to)[0], 0), relay.handle)
    relay.server.start()
    return relay
