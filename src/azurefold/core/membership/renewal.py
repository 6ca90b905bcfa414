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

__all__ = ["Renewal", "RenewalTimes", "Turn", "RenewalReason", "renewal_times"]

_TURN_SHARE = 0.35
_AGED_SHARE = 0.475
_SPREAD_SHARE = 0.15
"""Of the time within which a confirmed change has to be in force. The last two leave
three eighths of it for the look, the call, and what the answer changes."""

_BEHIND_FOR_MS: Millis = 500
"""Changes reach all processes within 250 ms of each other: one that is behind for so
long is not just about to be told."""


class RenewalReason(StrEnum):
    """Why a table is asked for anew."""

    BEHIND = "behind"
    STILL_BEHIND = "still_behind"
    AGED = "aged"


@dataclass(frozen=True, slots=True)
class RenewalTimes:
    """How old what is known of a table may grow, in milliseconds.

    Parameters
    ----------
    turn_ms : int
        Between two answers of the store to processes that tell each other.
    aged_ms : int
        At which a process asks anew, at the earliest. Who is told of an answer within
        the rest of this time after a turn needs not ask.
    spread_ms : int
        Longest drawn time more: who asks first tells the others within it.
    """

    turn_ms: Millis
    aged_ms: Millis
    spread_ms: Millis


def renewal_times(bound_ms: Millis) -> RenewalTimes:
    """Return the times of a site.

    Parameters
    ----------
    bound_ms : int
        Within which a confirmed change has to be in force.

    Examples
    --------
    >>> renewal_times(2_000)
    RenewalTimes(turn_ms=700, aged_ms=950, spread_ms=300)
    """
    return RenewalTimes(
        round(_TURN_SHARE * bound_ms),
        round(_AGED_SHARE * bound_ms),
        round(_SPREAD_SHARE * bound_ms),
    )


_USUAL_TIMES = renewal_times(2_000)


@dataclass(frozen=True, slots=True)
class Turn:
    """A process's place among those that tell each other what they know.

    Parameters
    ----------
    index : int
        From 0.
    of : int
        How many there are, this one included.
    ms : int
        Between two turns.
    """

    index: int = 0
    of: int = 1
    ms: Millis = _USUAL_TIMES.turn_ms

    def feed_wait(self, store_now: Millis | None) -> Millis:
        """Return how long the store should keep a feed's call with nothing to tell.

        Parameters
        ----------
        store_now : int or None
            The store's time; None if it isn't known.

        Examples
        --------
        >>> Turn(index=2, of=6).feed_wait(store_now=4_200)
        1400
        >>> Turn(index=2, of=6).feed_wait(store_now=5_600)
        4200
        """
        if store_now is None:
            return self.ms
        until_turn = (self.ms * self.index - store_now) % (self.ms * self.of)
        return until_turn or self.ms * self.of


@dataclass(slots=True)
class Renewal:
    """Decides when one table is asked for anew.

    Parameters
    ----------
    freshness : TableFreshness
    times : RenewalTimes
    """

    freshness: TableFreshness
    times: RenewalTimes = _USUAL_TIMES
    _behind_since: Millis | None = None
    _asked_at: tuple[int, int] | None = None
    _spread: float | None = None

    def reason(
        self, now: Millis, store_now: Millis | None, draw: float
    ) -> RenewalReason | None:
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
            why = RenewalReason.AGED
        if why is not None:
            self._spread = draw
        return why

    def _behind(self, now: Millis) -> RenewalReason | None:
        if not self.freshness.is_behind:
            self._behind_since = None
            return None
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < _BEHIND_FOR_MS:
            return None
        self._behind_since = now
        held = (self.freshness.era, self.freshness.position)
        before, self._asked_at = self._asked_at, held
        return RenewalReason.STILL_BEHIND if before == held else RenewalReason.BEHIND

    def _is_aged(self, store_now: Millis | None) -> bool:
        if store_now is None or self.freshness.as_of is None:
            return False
        age = self.freshness.age(store_now)
        aged_ms = self.times.aged_ms + self.times.spread_ms * self._spread
        return age is None or age >= aged_ms
