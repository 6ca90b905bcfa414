"""Loops that a process cannot do without."""

import logging
from collections.abc import Callable

import gevent

from azurefold.core.clock import Millis
from azurefold.internal.logs import log_event

__all__ = ["keep_running", "spawn_loop"]

_log = logging.getLogger("azurefold.loops")

_PAUSE_MS: Millis = 1_000
_SECOND_MS = 1_000


def keep_running(
    task: Callable[..., None], *arguments: object, pause_ms: Millis = _PAUSE_MS
) -> None:
    """Run a task, again whenever it fails, until it returns.

    What goes wrong without it: a fault in one loop, such as a record of a form
    that nobody thought of, ends that loop's greenlet and nothing else. The
    process goes on answering health checks while its heartbeats, its news or
    its claims have stopped for good. One would notice by an endpoint taken for
    dead or a configuration that stays old. Run again, the loop skips what it
    failed on or shows the fault in the log each second.
    """
    while True:
        try:
            task(*arguments)
        except Exception:  # noqa: BLE001
            name = getattr(task, "__qualname__", repr(task))
            log_event(_log, "loop_failed", logging.ERROR, loop=name)
            _log.exception("the loop is started again")
            gevent.sleep(pause_ms / _SECOND_MS)
        else:
            return


def spawn_loop(task: Callable[..., None], *arguments: object) -> gevent.Greenlet:
    """Run a task in a greenlet of its own, again whenever it fails."""
    return gevent.spawn(keep_running, task, *arguments)
