"""Starts processes of a test site on loopback, and stops them by their ids."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["Process", "Processes", "wait_until"]

_POLL_S = 0.05
_START_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 40.0
_SOURCE = str(Path(__file__).resolve().parents[1])


def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = _START_TIMEOUT_S
) -> float:
    """Poll until a condition holds and return the seconds it took.

    Raises
    ------
    TimeoutError
        If it does not hold in a time that is generous on any machine.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f"waited {timeout_s:.0f} s in vain until {what}")
        time.sleep(_POLL_S)
    return time.monotonic() - started


@dataclass(slots=True)
class Process:
    """One process and where its output goes."""

    name: str
    arguments: tuple[str, ...]
    log: Path
    popen: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Its id."""
        return self.popen.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def start(self, environment: Mapping[str, str] | None = None) -> None:
        """Start it, again if it has ended, with further variables."""
        environment = {
            **os.environ,
            "PYTHONPATH": _SOURCE,
            "PYTHONUNBUFFERED": "1",
            **(environment or {}),
        }
        with self.log.open("ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=environment,
            )

    def send(self, number: signal.Signals) -> None:
        """Send it a signal, unless it has ended."""
        if self.running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End it without warning."""
        self.send(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> int:
        """Ask it to stop, and return its exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode

    def output(self) -> str:
        """Return what it has printed so far."""
        return self.log.read_text("utf-8", "replace")


@dataclass(slots=True)
class Processes:
    """All processes of a site."""

    folder: Path
    _all: dict[str, Process] = field(default_factory=dict)

    def add(self, name: str, module: str, arguments: Sequence[str]) -> Process:
        """Add a process that is not started yet."""
        log = self.folder / f"{name}.log"
        process = Process(name, ("-m", module, *arguments), log)
        self._all[name] = process
        return process

    def __getitem__(self, name: str) -> Process:
        return self._all[name]

    def __contains__(self, name: str) -> bool:
        return name in self._all

    def names(self) -> list[str]:
        """Return the names of all processes."""
        return list(self._all)

    def kill_all(self) -> None:
        """End all of them, also those that are paused."""
        for process in self._all.values():
            process.send(signal.SIGKILL)
        for process in self._all.values():
            if process.popen is not None:
                process.popen.wait()
