"""An endpoint that streams, in a process of its own, and answers as it is asked to.

::

    python -m azurefold_standins.stream_endpoint --address 127.0.0.1:0 --name notes-0

Requests go to ``/notes/{first}.{resumed}/{id}``: what is done by the run that begins a
stream, and by those that go on behind an event. Both are a :class:`Conduct`, such as
``unframed-kill-3``. Events are those of :func:`.expected_event`. Each is written in two
parts, so that readers get them in pieces.
"""

import argparse
import itertools
import os
import signal
import socket
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

import gevent
from gevent.server import StreamServer

from azurefold.internal.http_server import split_address
from azurefold.internal.process import stop_requested
from azurefold_standins.bare_layout import EVENTS, expected_event

__all__ = ["Conduct", "Ending", "Framing", "main"]

_PAUSE_S = 0.01
_SECOND_MS = 1_000
_PART = 7
"""Bytes of an event that are written before the rest of it."""

_JUNK = b"\x00\xff junk: 7\r\x01"
_JUNK_EVENT = b"id: 1\ndata: of another stream\n\n\xfe\xfd\n\n"
_LONG = b"no event and no end " * 512


class Framing(StrEnum):
    """How the end of an answer is told."""

    CHUNKED = "chunked"
    LENGTH = "length"
    UNFRAMED = "unframed"


class Ending(StrEnum):
    """How a run ends.

    ``ANEW`` begins with the first event whatever was asked for, ``AT`` with the one
    named instead of the next, ``FAILED`` is an answer of its own, and
    ``ANSWERED_TWICE`` repeats the whole answer. Behind a number of events the others
    close the connection, between two events or inside one, reset it, have the process
    killed, fall silent, end the answer in order when its time is over (``STOPPED``), or
    go on with wrong bytes, with or without an end.
    """

    WHOLE = "whole"
    ANEW = "anew"
    AT = "at"
    FAILED = "failed"
    ANSWERED_TWICE = "twice"
    CLOSED = "closed"
    HALF = "half"
    RESET = "reset"
    KILLED = "kill"
    SILENT = "silent"
    STOPPED = "stopped"
    JUNK = "junk"
    JUNK_EVENTS = "junkevents"
    ENDLESS = "endless"
    ENDLESS_HEAD = "endlesshead"


_BROKEN_OFF = (
    Ending.CLOSED,
    Ending.HALF,
    Ending.RESET,
    Ending.KILLED,
    Ending.SILENT,
    Ending.JUNK,
    Ending.JUNK_EVENTS,
    Ending.ENDLESS,
)
_BEHIND_EVENTS = (*_BROKEN_OFF, Ending.STOPPED)


@dataclass(frozen=True, slots=True)
class Conduct:
    """What a run does.

    Parameters
    ----------
    framing : Framing
    ending : Ending
    events : int, default=0
        After which it ends, or the status of a failure.

    Examples
    --------
    >>> str(read_conduct("unframed-kill-3"))
    'unframed-kill-3'
    """

    framing: Framing = Framing.CHUNKED
    ending: Ending = Ending.WHOLE
    events: int = 0

    def __str__(self) -> str:
        return f"{self.framing}-{self.ending}-{self.events}"


def read_conduct(text: str) -> Conduct:
    """Read the text of a conduct."""
    framing, ending, events = text.split("-")
    return Conduct(Framing(framing), Ending(ending), int(events))


@dataclass(slots=True)
class _Run:
    """One request on its way to its end."""

    sock: socket.socket
    path: str
    headers: dict[str, str]
    began: float = field(default_factory=time.monotonic)

    def answer(self, name: str) -> bool:
        """Answer the request; return whether the connection can carry another."""
        if self.headers.get("expect-instance") != name:
            self._send_head(421, "Content-Length: 0\r\n", seal="")
            return True
        first, _, resumed = self.path.split("/")[2].partition(".")
        position = self.headers.get("last-event-id")
        conduct = read_conduct(first if position is None else resumed)
        after = int(position or 0)
        if 0 < conduct.events <= after and conduct.ending in _BEHIND_EVENTS:
            conduct = Conduct(conduct.framing)
        match conduct.ending:
            case Ending.ENDLESS_HEAD:
                self.sock.sendall(b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\n")
                return self._send_for_ever(b"X-More: " + b"y" * 4_000 + b"\r\n")
            case Ending.FAILED:
                self._send_head(conduct.events, "Content-Length: 6\r\n")
                self.sock.sendall(b"failed")
                return True
            case Ending.ANEW:
                after = 0
            case Ending.AT:
                after = max(0, after - 1)
        last = conduct.events if conduct.ending in _BEHIND_EVENTS else EVENTS
        last = max(after, last)
        is_kept = self._stream(conduct, range(after + 1, last + 1))
        if conduct.ending is Ending.ANSWERED_TWICE:
            self._stream(conduct, range(after + 1, last + 1))
        return is_kept

    def _stream(self, conduct: Conduct, numbers: range) -> bool:
        events = [expected_event(self.path, number) for number in numbers]
        match conduct.framing:
            case Framing.CHUNKED:
                self._send_head(200, "Transfer-Encoding: chunked\r\n")
            case Framing.LENGTH:
                whole = range(numbers.start, EVENTS + 1)
                length = sum(len(expected_event(self.path, n)) for n in whole)
                self._send_head(200, f"Content-Length: {length}\r\n")
            case Framing.UNFRAMED:
                self._send_head(200, "Connection: close\r\n")
        for event in events:
            self._send_body(event, conduct.framing)
        return self._end(conduct, expected_event(self.path, numbers.stop))

    def _end(self, conduct: Conduct, following: bytes) -> bool:
        match conduct.ending:
            case Ending.HALF:
                self._send_body(following[:_PART], conduct.framing)
            case Ending.RESET:
                no_linger = struct.pack("ii", 1, 0)
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
            case Ending.KILLED:
                os.kill(os.getpid(), signal.SIGKILL)
            case Ending.SILENT:
                gevent.sleep(30)
            case Ending.STOPPED:
                time_left_ms = int(self.headers["deadline-ms"])
                until = self.began + time_left_ms / _SECOND_MS
                gevent.sleep(max(0.0, until - time.monotonic()))
            case Ending.JUNK:
                self.sock.sendall(_JUNK)
            case Ending.JUNK_EVENTS:
                self._send_body(_JUNK_EVENT, conduct.framing)
            case Ending.ENDLESS:
                return self._send_for_ever(_LONG, conduct.framing)
        if conduct.ending in _BROKEN_OFF:
            return False
        if conduct.framing is Framing.CHUNKED:
            self.sock.sendall(b"0\r\n\r\n")
        return conduct.framing is not Framing.UNFRAMED

    def _send_head(self, status: int, extra: str, seal: str = "s") -> None:
        attempt = self.headers.get("attempt-id", "")
        sealed = f"Server-Seal: {seal}\r\n" if seal else ""
        head = f"HTTP/1.1 {status} S\r\nAttempt-Id: {attempt}\r\n{sealed}{extra}\r\n"
        self.sock.sendall(head.encode("latin-1"))

    def _send_body(self, data: bytes, framing: Framing) -> None:
        if framing is Framing.CHUNKED:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.sock.sendall(data[:_PART])
        gevent.sleep(_PAUSE_S)
        self.sock.sendall(data[_PART:])

    def _send_for_ever(self, data: bytes, framing: Framing = Framing.UNFRAMED) -> bool:
        """Send the same bytes until the reader closes the connection."""
        if framing is Framing.CHUNKED:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        for _ in itertools.count():
            self.sock.sendall(data)
            gevent.sleep(0)
        return False


def _requests(sock: socket.socket) -> Iterator[_Run]:
    with sock.makefile("rb") as file:
        while line := file.readline():
            path = line.split()[1].decode("latin-1")
            headers = {}
            while field := file.readline().strip():
                name, _, value = field.decode("latin-1").partition(":")
                headers[name.lower()] = value.strip()
            file.read(int(headers.get("content-length", 0)))
            yield _Run(sock, path, headers)


def _serve(name: str, sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        for run in _requests(sock):
            if not run.answer(name):
                return
    except OSError:
        return
    finally:
        sock.close()


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", required=True)
    parser.add_argument("--name", required=True, help="under which it is registered")
    arguments = parser.parse_args()
    server = StreamServer(
        split_address(arguments.address),
        lambda sock, _: _serve(arguments.name, sock),
    )
    server.start()
    print("listening", flush=True)
    stop_requested().wait()


if __name__ == "__main__":
    main()
