"""Clocks with a resolution of whole milliseconds.

The modules of core never read a clock; the current time is their parameter ``now``.
Processes read it from a :class:`Clock`. Tests use a manual clock, so that a scenario
of an hour runs without waiting.
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Clock", "ManualTime", "Millis", "manual_clock"]

Millis = int
"""Duration in milliseconds, or time in milliseconds since the clock's start."""

SECOND: Millis = 1_000


@dataclass(frozen=True, slots=True)
class Clock:
    """A monotonic clock with a resolution of one millisecond.

    Parameters
    ----------
    read : callable
        Returns the current time in milliseconds.
    """

    read: Callable[[], Millis]

    def now(self) -> Millis:
        """Return the current time in milliseconds."""
        return self.read()


@dataclass(slots=True)
class ManualTime:
    """Time that changes only by :meth:`advance`.

    Parameters
    ----------
    at : int, default=0
        The current time in milliseconds.
    """

    at: Millis = 0

    def advance(self, by: Millis) -> None:
        """Advance the time by ``by`` milliseconds.

        Raises
        ------
        ValueError
            If ``by`` is negative, because clocks are monotonic.
        """
        if by < 0:
            raise ValueError(f"by must not be negative, got {by}; clocks are monotonic")
        self.at += by


def manual_clock(time: ManualTime) -> Clock:
    """Return a clock that reads ``time``.

    Examples
    --------
    >>> time = ManualTime()
    >>> clock = manual_clock(time)
    >>> time.advance(250)
    >>> clock.now()
    250
    """
    return Clock(read=lambda: time.at)
