"""Time as the rest of the code sees it: whole milliseconds from a clock.

Decisions never read a clock themselves; they are given ``now``. The processes
round them hold a :class:`Clock`, and tests hold a manual one, so that a
scenario that spans an hour takes no time at all.
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Clock", "ManualTime", "Millis", "manual_clock"]

Millis = int
"""Milliseconds, either a duration or since the clock's own start."""

SECOND: Millis = 1_000


@dataclass(frozen=True, slots=True)
class Clock:
    """A source of milliseconds that never goes backward.

    Parameters
    ----------
    read : callable
        Returns the present time in milliseconds.
    """

    read: Callable[[], Millis]

    def now(self) -> Millis:
        """Return the present time in milliseconds."""
        return self.read()


@dataclass(slots=True)
class ManualTime:
    """Time that moves only when told to.

    Parameters
    ----------
    at : int, default=0
        The present time in milliseconds.
    """

    at: Millis = 0

    def advance(self, by: Millis) -> None:
        """Move the time forward by ``by`` milliseconds.

        Raises
        ------
        ValueError
            If ``by`` is negative: no clock of ours goes backward.
        """
        if by < 0:
            raise ValueError(f"a clock cannot go back; advance by >= 0, not {by}")
        self.at += by


def manual_clock(time: ManualTime) -> Clock:
    """Return a clock that shows ``time``.

    Examples
    --------
    >>> time = ManualTime()
    >>> clock = manual_clock(time)
    >>> time.advance(250)
    >>> clock.now()
    250
    """
    return Clock(read=lambda: time.at)
