"""Ports that another process may still have when this one starts."""

import errno
import logging
from collections.abc import Callable

from gevent.event import Event

from azurefold.core.clock import Millis
from azurefold.internal.logs import log_event

__all__ = ["open_when_free"]

_log = logging.getLogger("azurefold.ports")

_RETRIABLE_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
"""In use, or the address is not up yet."""

_RETRY_MS: Millis = 100
_LOG_INTERVAL_MS: Millis = 10_000
_SECOND_MS = 1_000


def open_when_free(
    open_port: Callable[[], None], address: str, name: str, stop: Event
) -> bool:
    """Open a port as soon as no other process has it.

    The former process may need some time to end. Ending at once would only start this
    one again, with all that a start costs.

    Parameters
    ----------
    open_port : callable
        Raises :class:`OSError` while the port is in use.
    address, name : str
        Shown in the log.
    stop : Event
        Ends the wait.

    Returns
    -------
    bool
        False if the wait was ended.
    """
    waited = 0
    while True:
        try:
            open_port()
        except OSError as error:
            if error.errno not in _RETRIABLE_ERRORS:
                raise
            why = errno.errorcode[error.errno]
        else:
            if waited:
                log_event(_log, "port_free", port=name, address=address, ms=waited)
            return True
        if waited % _LOG_INTERVAL_MS == 0:
            log_event(
                _log,
                "port_in_use",
                logging.ERROR,
                port=name,
                address=address,
                waited_ms=waited,
                why=why,
            )
        if stop.wait(_RETRY_MS / _SECOND_MS):
            return False
        waited += _RETRY_MS
