"""First and last log line of a process, also where it never gets to serve.

Written without the queue of :mod:`azurefold.internal.log_writer`, which does not exist
yet, or whose event loop does not run any more.
"""

import contextlib
import logging
import os
import time

__all__ = ["EXIT_FAILED", "announce_start", "log_failure"]

EXIT_FAILED = 70
"""A fault of our own; ``EX_SOFTWARE`` of sysexits.h."""

_STDOUT = 1


def announce_start(process: str, fd: int = _STDOUT) -> None:
    """Log that the interpreter runs, before modules and settings are loaded.

    Parameters
    ----------
    process : str
        Name of the binary; that of the VM is not known yet.
    fd : int, default=1
        Where it is written, without waiting for a reader.
    """
    moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())
    line = (
        f"time={moment}.000Z level=info process={process} "
        f"event=starting pid={os.getpid()}\n"
    )
    # A reader that has left, or a full pipe, is no reason not to start.
    with contextlib.suppress(OSError):
        os.set_blocking(fd, False)
        os.write(fd, line.encode())


def log_failure(process: str, error: BaseException) -> int:
    """Log why a process ends by itself, after all lines that wait.

    Returns
    -------
    int
        The exit code.
    """
    # Imported here as it is needed only when everything else is over.
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
