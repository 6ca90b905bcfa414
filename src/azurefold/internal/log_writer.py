"""Writing logs without ever waiting for whoever reads them.

A process whose standard output is a pipe that nobody empties would stop at its
next log line, with all its requests. Lines go into a bounded queue instead, and
a greenlet writes what the pipe takes. What does not fit is dropped and counted,
and the count is written as soon as there is room.
"""

import logging
import os
from collections import deque
from dataclasses import dataclass, field
from types import TracebackType

import gevent
from gevent.os import make_nonblocking

from azurefold.internal.logs import event_line, line_formatter

__all__ = ["QueuedLines", "log_without_waiting"]

_log = logging.getLogger("azurefold.greenlets")

_QUEUED_LINES = 4_000
"""About 1 MB, and some 5 s of a gateway at its busiest, 800 lines a second."""

_QUEUED_BYTES = 4 * 1_048_576
"""Lines with names that callers sent may have some kilobytes each."""

_PAUSE_S = 0.05
_BLOCK_BYTES = 32_768


@dataclass(slots=True)
class QueuedLines:
    """Lines that wait to be written.

    Parameters
    ----------
    fd : int
        Where they are written.
    limit : int
        Lines that may wait.
    dropped : int
        Lines that did not fit since the last one that did.
    """

    fd: int
    limit: int = _QUEUED_LINES
    dropped: int = 0
    dropped_in_all: int = 0
    _lines: deque[bytes] = field(default_factory=deque)
    _bytes: int = 0
    _rest: bytes = b""

    def add(self, line: str) -> None:
        """Queue a line, or count it as dropped."""
        if len(self._lines) >= self.limit or self._bytes > _QUEUED_BYTES:
            self.dropped += 1
            self.dropped_in_all += 1
            return
        if self.dropped:
            told = event_line("log_lines_dropped", {"lines": self.dropped})
            self._queue(told)
            self.dropped = 0
        self._queue(line)

    def _queue(self, line: str) -> None:
        data = line.encode("utf-8", "replace") + b"\n"
        self._lines.append(data)
        self._bytes += len(data)

    def flush(self) -> bool:
        """Write what can be written now; return whether all of it was."""
        while self._rest or self._lines:
            block = self._next_block()
            try:
                written = os.write(self.fd, block)
            except BlockingIOError:
                self._rest = block
                return False
            except OSError:
                # Nobody will ever read it. Logs are not worth the process.
                self._rest = b""
                self._lines.clear()
                self._bytes = 0
                return True
            self._rest = block[written:]
        return True

    def _next_block(self) -> bytes:
        block = bytearray(self._rest)
        self._rest = b""
        while self._lines and len(block) < _BLOCK_BYTES:
            line = self._lines.popleft()
            self._bytes -= len(line)
            block += line
        return bytes(block)


class _QueueHandler(logging.Handler):
    def __init__(self, lines: QueuedLines) -> None:
        super().__init__()
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        self._lines.add(self.format(record))

    def flush(self) -> None:
        """Write what can be written now."""
        self._lines.flush()


def log_without_waiting(process: str, fd: int = 1) -> QueuedLines:
    """Send all logs of this process to a descriptor, in the background.

    Parameters
    ----------
    process : str
        The name shown in each line.
    fd : int, default=1
        Standard output.

    Returns
    -------
    QueuedLines
        To be flushed once more before the process ends.
    """
    make_nonblocking(fd)
    lines = QueuedLines(fd)
    handler = _QueueHandler(lines)
    handler.setFormatter(line_formatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # The hub's own way is to write to standard error, and to wait for its reader.
    gevent.get_hub().print_exception = _log_hub_error
    gevent.spawn(_write_for_ever, lines)
    return lines


def _log_hub_error(
    context: object,
    kind: type[BaseException] | None,
    error: BaseException | None,
    trace: TracebackType | None,
) -> None:
    """Log an exception that a greenlet or a callback of the event loop has raised."""
    # The context may be a request's environment, with its key.
    where = type(context).__name__
    why = kind.__name__ if kind is not None else "unknown"
    line = event_line("greenlet_failed", {"where": where, "why": why})
    _log.error(line, exc_info=(kind, error, trace))


def _write_for_ever(lines: QueuedLines) -> None:
    while True:
        lines.flush()
        gevent.sleep(_PAUSE_S)
