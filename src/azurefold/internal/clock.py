"""The clock of a running process."""

import time

from azurefold.core.clock import Clock

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def monotonic_clock() -> Clock:
    """Return a clock for durations; its start has no meaning."""
    return Clock(read=lambda: time.monotonic_ns() // _NANOSECONDS_PER_MILLISECOND)


def suspended_time_clock() -> Clock:
    """Return a clock for durations that goes on while the VM is suspended.

    What goes wrong with the plain one: a VM stands still for seconds, and on
    its return takes a caller's deadline for as far off as before.
    """
    clock = time.CLOCK_BOOTTIME
    return Clock(
        read=lambda: time.clock_gettime_ns(clock) // _NANOSECONDS_PER_MILLISECOND
    )


def wall_clock() -> Clock:
    """Return a clock in milliseconds since the Unix epoch.

    Only for what must be understood on another VM, such as a lease's term in
    the table. It may jump, so durations are never taken from it.
    """
    return Clock(read=lambda: time.time_ns() // _NANOSECONDS_PER_MILLISECOND)
