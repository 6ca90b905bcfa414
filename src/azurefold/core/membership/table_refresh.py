"""When a process asks the store anew for a table, beside its feed.

Of the processes that tell each other what they know, one has the store's answer in each
turn: their feeds' calls end one after the other, by the store's clock. Whoever has had
no evidence for longer, or hears of something newer, asks on a new connection for an
answer at once.
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

_TURN_SHARE = 0.35
_AGED_SHARE = 0.475
_SPREAD_SHARE = 0.15
"""Of the time within which a confirmed change has to be in force. The last two leave
three eighths of it for the look, the call, and what the answer changes."""

_BEHIND_FOR_MS: Millis = 500
"""Changes reach all processes within 250 ms of each other: one that is behind for so
long is not just about to be told."""


class RefreshReason(StrEnum):
    """Why a table is asked for anew."""

    BEHIND = "behind"
    STILL_BEHIND = "still_behind"
    AGED = "aged"


@dataclass(frozen=True, slots=True)
class RefreshTimes:
    """How old what is known of a table may grow, in milliseconds.

    Parameters
    ----------
    slot_ms : int
        Between two answers of the store to processes that tell each other.
    max_age_ms : int
        At which a process asks anew, at the earliest. Who is told of an answer within
        the rest of this time after a turn needs not ask.
    max_jitter_ms : int
        Longest drawn time more: who asks first tells the others within it.
    """

    slot_ms: Millis
    max_age_ms: Millis
    max_jitter_ms: Millis


def refresh_times(bound_ms: Millis) -> RefreshTimes:
    """Return the times of a site.

    Parameters
    ----------
    bound_ms : int
        Within which a confirmed change has to be in force.

    Examples
    --------
    >>> refresh_times(2_000)
    RefreshTimes(slot_ms=700, max_age_ms=950, max_jitter_ms=300)
    """
    return RefreshTimes(
        round(_TURN_SHARE * bound_ms),
        round(_AGED_SHARE * bound_ms),
        round(_SPREAD_SHARE * bound_ms),
    )


_USUAL_TIMES = refresh_times(2_000)


@dataclass(frozen=True, slots=True)
class PollSlot:
    """A process's place among those that tell each other what they know.

    Parameters
    ----------
    index : int
        From 0.
    count : int
        How many there are, this one included.
    slot_ms : int
        Between two turns.
    """

    index: int = 0
    count: int = 1
    slot_ms: Millis = _USUAL_TIMES.slot_ms

    def poll_wait_ms(self, store_now: Millis | None) -> Millis:
        """Return how long the store should keep a feed's call with nothing to tell.

        Parameters
        ----------
        store_now : int or None
            The store's time; None if it isn't known.

        Examples
        --------
        >>> PollSlot(index=2, count=6).poll_wait_ms(store_now=4_200)
        1400
        >>> PollSlot(index=2, count=6).poll_wait_ms(store_now=5_600)
        4200
        """
        if store_now is None:
            return self.slot_ms
        until_turn = (self.slot_ms * self.index - store_now) % (
            self.slot_ms * self.count
        )
        return until_turn or self.slot_ms * self.count


@dataclass(slots=True)
class RefreshScheduler:
    """Decides when one table is asked for anew.

    Parameters
    ----------
    freshness : TableFreshness
    times : RefreshTimes
    """

    freshness: TableFreshness
    times: RefreshTimes = _USUAL_TIMES
    _behind_since: Millis | None = None
    _asked_at: tuple[int, int] | None = None
    _spread: float | None = None

    def check(
        self, now: Millis, store_now: Millis | None, draw: float
    ) -> RefreshReason | None:
        """Return why the table has to be asked for now; None if it has not.

        Parameters
        ----------
        now : int
            By the process's own clock.
        store_now : int or None
            The store's time; None if it isn't known.
        draw : float
            From [0, 1), for the next time at which the table counts as aged.
        """
        if self._spread is None:
            self._spread = draw
        why = self._behind(now)
        if why is None and self._is_aged(store_now):
            why = RefreshReason.AGED
        if why is not None:
            self._spread = draw
        return why

    def _behind(self, now: Millis) -> RefreshReason | None:
        if not self.freshness.is_behind:
            self._behind_since = None
            return None
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < _BEHIND_FOR_MS:
            return None
        self._behind_since = now
        held = (self.freshness.era, self.freshness.applied_version)
        before, self._asked_at = self._asked_at, held
        return RefreshReason.STILL_BEHIND if before == held else RefreshReason.BEHIND

    def _is_aged(self, store_now: Millis | None) -> bool:
        if store_now is None or self.freshness.confirmed_at is None:
            return False
        age = self.freshness.age(store_now)
        max_age_ms = self.times.max_age_ms + self.times.max_jitter_ms * self._spread
        return age is None or age >= max_age_ms
