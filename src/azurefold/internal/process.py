"""Starting and stopping a binary."""

import hashlib
import logging
import signal
import sys
from collections.abc import Callable, Sequence
from typing import TypeVar

import fire
import gevent
from gevent.event import Event

from azurefold import __version__
from azurefold.border.fields import Key
from azurefold.border.findings import FindingsError
from azurefold.border.settings import load_settings
from azurefold.internal.logs import log_event
from azurefold.internal.process_log import log_failure, prepare_start
from azurefold.wire.seal import KeyRing, key_ring

__all__ = ["load_or_exit", "ring_from_settings", "run_binary", "stop_requested"]

_log = logging.getLogger("azurefold.process")

EXIT_BAD_SETTINGS = 2
_KEY_ID_DIGITS = 4

_Settings = TypeVar("_Settings")


def run_binary(start: Callable[[str], int], name: str) -> None:
    """Run a binary's command line.

    Parameters
    ----------
    start : callable
        Takes the path of the settings file and returns the exit code.
    name : str
        The binary's name.
    """
    if "--version" in sys.argv[1:]:
        print(f"{name} {__version__}")
        return
    fire.Fire(_command(start, name), name=name)


def _command(start: Callable[[str], int], name: str) -> Callable[[str], None]:
    def run(settings: str) -> None:
        prepare_start(name)
        try:
            code = start(str(settings))
        except Exception as error:  # noqa: BLE001
            code = log_failure(name, error)
        sys.exit(code)

    run.__doc__ = start.__doc__
    return run


def load_or_exit(path: str, model: type[_Settings]) -> _Settings:
    """Read settings; print all findings and exit with code 2 if they are bad."""
    try:
        return load_settings(path, model)
    except FindingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def ring_from_settings(keys: Sequence[Key]) -> KeyRing:
    """Return the key ring of the settings' keys, in their order.

    Keys go by a number on the wire, which is derived from the name so that
    all processes come to the same one.
    """
    return key_ring([(_key_number(key.id), key.secret_bytes()) for key in keys])


def _key_number(name: str) -> int:
    digest = hashlib.sha256(name.encode()).hexdigest()
    return int(digest[:_KEY_ID_DIGITS], 16)


def stop_requested() -> Event:
    """Return an event that is set on SIGTERM or SIGINT.

    SIGHUP, by default the end of a process, is logged: settings are read at a start.
    """
    stop = Event()
    gevent.signal_handler(signal.SIGHUP, _log_hangup)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    return stop


def _log_hangup() -> None:
    why = "settings are read at a start"
    log_event(_log, "reload_ignored", logging.WARNING, why=why)
