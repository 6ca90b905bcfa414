"""First and last log line of a process, also where it never gets to serve.

Written without the queue of :mod:`azurefold.internal.log_writer`, which does not exist
yet, or whose event loop does not run any more.
"""

import contextlib
import os
import signal
import time

__all__ = ["EXIT_FAILED", "log_failure", "prepare_start", "print_event"]

EXIT_FAILED = 70
"""A fault of our own; ``EX_SOFTWARE`` of sysexits.h."""

_STANDARD_FDS = (0, 1, 2)
_STDOUT = 1


def prepare_start(process: str) -> None:
    """Log that the interpreter runs, before modules and settings are loaded.

    Until the process takes signals in its own way, SIGTERM ends it with a line, and
    SIGHUP is ignored: settings are read later.

    Parameters
    ----------
    process : str
        Name of the binary; that of the VM is not known yet.
    """
    _open_standard_fds()
    print_event(process, f"event=starting pid={os.getpid()}")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: _stop_early(process))


def print_event(process: str, event: str, fd: int = _STDOUT) -> None:
    """Write a line, to standard output by default, without waiting for its reader."""
    now = time.time()
    moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
    millis = int(now * 1_000) % 1_000
    line = f"time={moment}.{millis:03d}Z level=info process={process} {event}"
    # A reader that has left, or a full pipe, is no reason not to start.
    with contextlib.suppress(OSError):
        is_blocking = os.get_blocking(fd)
        os.set_blocking(fd, False)
        try:
            os.write(fd, f"{line}\n".encode())
        finally:
            os.set_blocking(fd, is_blocking)


def log_failure(process: str, error: BaseException) -> int:
    """Log why a process ends by itself, after all lines that wait.

    Returns
    -------
    int
        The exit code.
    """
    # Imported here as they are needed only when everything else is over.
    import logging

    from azurefold.internal.logs import event_line, line_formatter

    root = logging.getLogger()
    if not root.handlers:
        handler = logging.StreamHandler()
        handler.setFormatter(line_formatter(process))
        root.addHandler(handler)
    why = f"{type(error).__name__}: {error}"
    line = event_line("ended", {"why": why, "code": EXIT_FAILED})
    with contextlib.suppress(OSError):
        logging.getLogger("azurefold").critical(line, exc_info=error)
        logging.shutdown()
    return EXIT_FAILED


def _open_standard_fds() -> None:
    """Open what is closed, or the next socket would get the log lines."""
    for fd in _STANDARD_FDS:
        try:
            os.fstat(fd)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def _stop_early(process: str) -> None:
    print_event(process, "event=stopped cut_off=0 why=starting")
    os._exit(0)
