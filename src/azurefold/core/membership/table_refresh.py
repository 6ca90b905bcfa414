"""When a process reads a table from the store again, in addition to its feed.

Processes exchange watermarks, and their long polls of the feed end in staggered slots
of the store's clock, so one process has an answer of the store in each slot. A process
whose last confirmation is too old, or that receives a watermark newer than its own
table, requests an immediate answer over a new connection.
"""

from dataclasses import dataclass
from enum import StrEnum

from azurefold.core.clock import Millis
from azurefold.core.membership.freshness import TableFreshness

__all__ = [
    "RefreshScheduler",
    "RefreshTimes",
    "PollSlot",
    "RefreshReason",
    "refresh_times",
]

_SLOT_SHARE = 0.35
_MAX_AGE_SHARE = 0.475
_MAX_JITTER_SHARE = 0.15
"""Shares of the time within which a confirmed change has to be in effect. The last two
leave three eighths of it for the check, the call and applying the answer."""

_MIN_BEHIND_MS: Millis = 500
"""Changes reach all processes within 250 ms of each other. A process that is behind for
longer has missed a change and is not just about to receive it."""


class RefreshReason(StrEnum):
    """Reason to read a table again.

    ``BEHIND``: another process has a newer change. ``STILL_BEHIND``: it does, and the
    previous refresh for this reason has not changed the applied version. ``AGED``: the
    last confirmation is too old.
    """

    BEHIND = "behind"
    STILL_BEHIND = "still_behind"
    AGED = "aged"


@dataclass(frozen=True, slots=True)
class RefreshTimes:
    """Limits of the age of a table's local copy, in milliseconds.

    Parameters
    ----------
    slot_ms : int
        Interval between two answers of the store to processes that exchange watermarks.
    max_age_ms : int
        Age from which a process refreshes its copy. It exceeds ``slot_ms``, so that the
        watermark of the next poll slot has time to arrive and no refresh is needed.
    max_jitter_ms : int
        Maximum random addition to ``max_age_ms``. Within it the first process to
        refresh sends its watermark to the others.
    """

    slot_ms: Millis
    max_age_ms: Millis
    max_jitter_ms: Millis


def refresh_times(bound_ms: Millis) -> RefreshTimes:
    """Return the limits for a site.

    Parameters
    ----------
    bound_ms : int
        Time within which a confirmed change has to be in effect.

    Examples
    --------
    >>> refresh_times(2_000)
    RefreshTimes(slot_ms=700, max_age_ms=950, max_jitter_ms=300)
    """
    return RefreshTimes(
        round(_SLOT_SHARE * bound_ms),
        round(_MAX_AGE_SHARE * bound_ms),
        round(_MAX_JITTER_SHARE * bound_ms),
    )


_DEFAULT_TIMES = refresh_times(2_000)


@dataclass(frozen=True, slots=True)
class PollSlot:
    """A process's poll slot among the processes that exchange watermarks.

    Parameters
    ----------
    index : int
        Index of the slot, from 0.
    count : int
        Number of processes, including this one.
    slot_ms : int
        Interval between two slots.
    """

    index: int = 0
    count: int = 1
    slot_ms: Millis = _DEFAULT_TIMES.slot_ms

    def poll_wait_ms(self, store_now: Millis | None) -> Millis:
        """Return how long the store should hold a feed's call without changes.

        Parameters
        ----------
        store_now : int or None
            The store's time; None if unknown.

        Examples
        --------
        >>> PollSlot(index=2, count=6).poll_wait_ms(store_now=4_200)
        1400
        >>> PollSlot(index=2, count=6).poll_wait_ms(store_now=5_600)
        4200
        """
        if store_now is None:
            return self.slot_ms
        until_slot = (self.slot_ms * self.index - store_now) % (
            self.slot_ms * self.count
        )
        return until_slot or self.slot_ms * self.count


@dataclass(slots=True)
class RefreshScheduler:
    """Decides when one table is read again.

    Parameters
    ----------
    freshness : TableFreshness
        Freshness of the table's local copy.
    times : RefreshTimes
        Limits of its age.
    """

    freshness: TableFreshness
    times: RefreshTimes = _DEFAULT_TIMES
    _behind_since: Millis | None = None
    _version_at_last_refresh: tuple[int, int] | None = None
    _jitter: float | None = None

    def check(
        self, now: Millis, store_now: Millis | None, draw: float
    ) -> RefreshReason | None:
        """Return why the table has to be read now; None if it does not.

        Parameters
        ----------
        now : int
            Time of the process's own clock.
        store_now : int or None
            The store's time; None if unknown.
        draw : float
            Random number from [0, 1) for the jitter of the next refresh.
        """
        if self._jitter is None:
            self._jitter = draw
        reason = self._check_behind(now)
        if reason is None and self._is_stale(store_now):
            reason = RefreshReason.AGED
        if reason is not None:
            self._jitter = draw
        return reason

    def _check_behind(self, now: Millis) -> RefreshReason | None:
        if not self.freshness.is_behind:
            self._behind_since = None
            return None
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < _MIN_BEHIND_MS:
            return None
        self._behind_since = now
        version = (self.freshness.era, self.freshness.applied_version)
        previous, self._version_at_last_refresh = self._version_at_last_refresh, version
        return (
            RefreshReason.STILL_BEHIND if previous == version else RefreshReason.BEHIND
        )

    def _is_stale(self, store_now: Millis | None) -> bool:
        if store_now is None or self.freshness.confirmed_at is None:
            return False
        age = self.freshness.age(store_now)
        max_age_ms = self.times.max_age_ms + self.times.max_jitter_ms * self._jitter
        return age is None or age >= max_age_ms
