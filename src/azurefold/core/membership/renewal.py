"""When a process asks the store anew for a table, beside its feed.

Of the processes that tell each other what they know, one has the store's answer every
``TURN_MS``: their feeds' calls end in turn, by the store's clock. Whoever has had no
evidence for longer, or hears of something newer, asks on a new connection for an answer
at once.
"""

from dataclasses import dataclass
from enum import StrEnum

from azurefold.core.clock import Millis
from azurefold.core.membership.freshness import TableFreshness

__all__ = ["TURN_MS", "Renewal", "Turn", "WhyRenew"]

TURN_MS: Millis = 700
"""A process that is told of an answer within another 100 ms does not ask itself."""

_AGED_MS: Millis = 950
_AGED_SPREAD_MS: Millis = 300
"""Who asks first tells the others within this time, and they need not ask."""

_BEHIND_FOR_MS: Millis = 500
"""Changes reach all processes within 250 ms of each other: one that is behind for so
long is not just about to be told."""


class WhyRenew(StrEnum):
    """Why a table is asked for anew."""

    BEHIND = "behind"
    STILL_BEHIND = "still_behind"
    AGED = "aged"


@dataclass(frozen=True, slots=True)
class Turn:
    """A process's place among those that tell each other what they know.

    Parameters
    ----------
    place : int
        From 0.
    of : int
        How many there are, this one included.
    """

    place: int = 0
    of: int = 1

    def feed_wait(self, store_now: Millis | None) -> Millis:
        """Return how long the store should keep a feed's call with nothing to tell.

        Parameters
        ----------
        store_now : int or None
            The store's time; None if it isn't known.

        Examples
        --------
        >>> Turn(place=2, of=6).feed_wait(store_now=4_200)
        1400
        >>> Turn(place=2, of=6).feed_wait(store_now=5_600)
        4200
        """
        if store_now is None:
            return TURN_MS
        until_turn = (TURN_MS * self.place - store_now) % (TURN_MS * self.of)
        return until_turn or TURN_MS * self.of


@dataclass(slots=True)
class Renewal:
    """Decides when one table is asked for anew.

    Parameters
    ----------
    freshness : TableFreshness
    """

    freshness: TableFreshness
    _behind_since: Millis | None = None
    _asked_at: tuple[int, int] | None = None
    _spread: float | None = None

    def due(
        self, now: Millis, store_now: Millis | None, draw: float
    ) -> WhyRenew | None:
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
            why = WhyRenew.AGED
        if why is not None:
            self._spread = draw
        return why

    def _behind(self, now: Millis) -> WhyRenew | None:
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
        return WhyRenew.STILL_BEHIND if before == held else WhyRenew.BEHIND

    def _is_aged(self, store_now: Millis | None) -> bool:
        if store_now is None or self.freshness.as_of is None:
            return False
        age = self.freshness.age(store_now)
        return age is None or age >= _AGED_MS + _AGED_SPREAD_MS * self._spread
