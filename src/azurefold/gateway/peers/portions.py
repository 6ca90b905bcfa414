"""What of a long list goes into the next message, so that each message fits.

Groups of ranks, loads and quotas grow with the site, and a datagram does not. Each
message tells a portion, and the next one goes on behind it.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from heapq import nlargest
from itertools import zip_longest

from azurefold.core.clock import Millis
from azurefold.core.routing.quotas import QuotaWord
from azurefold.core.routing.rank_groups import GroupNews
from azurefold.gateway.peers.messages import GroupBeat, QuotaBeat

__all__ = [
    "MOST_BYTES",
    "GroupPortions",
    "QuotaPortions",
    "heaviest",
    "news_of_group",
]

MOST_BYTES = 1_400
"""Of a message: what a packet of an ordinary network carries."""

_MOST_GROUP_BYTES = 640
_BYTES_OF_A_GROUP = 27
_BYTES_OF_A_RANK = 5

_HUNDREDTHS = 100

_MOST_LOADS = 80
_MOST_QUOTAS = 12

_SETTLED_MS: Millis = 3_000
"""After this time without a change all that are there have heard of the ranks."""

_RANKS_WHEN_SETTLED = 24
"""In a message, for those that join. The coordinator tells all gateways twice a second:
at hundreds of gateways and ranks, telling each all ranks each time would take most of
a slow link."""


def heaviest(loads: dict[int, int]) -> dict[int, int]:
    """Return the loads by endpoint that a message has room for, the largest."""
    if len(loads) <= _MOST_LOADS:
        return loads
    return dict(nlargest(_MOST_LOADS, loads.items(), key=lambda load: load[1]))


def news_of_group(beat: GroupBeat) -> GroupNews:
    """Return what a portion tells of its group."""
    running = None if beat.running is None else beat.running / _HUNDREDTHS
    return GroupNews(
        beat.service, beat.group, beat.epoch, beat.standing, beat.ranks, running
    )


@dataclass(slots=True)
class GroupPortions:
    """Deals the coordinator's news of groups out to messages."""

    _next: int = 0
    _known: tuple[tuple[int, ...], ...] = ()
    _changed_at: Millis = 0

    def next(self, groups: tuple[GroupNews, ...], now: Millis) -> tuple[GroupBeat, ...]:
        """Return what the next message tells: of each group in turn some ranks."""
        ranks = tuple(news.ranks for news in groups)
        if ranks != self._known:
            self._known, self._changed_at = ranks, now
        is_settled = now - self._changed_at >= _SETTLED_MS
        largest = _RANKS_WHEN_SETTLED if is_settled else _ranks_that_fit()
        # First a slice of each group, then the next ones, so that no group waits.
        rounds = zip_longest(*(_slices(news, largest) for news in groups))
        beats = [beat for each in rounds for beat in each if beat is not None]
        told = []
        room = _MOST_GROUP_BYTES
        for turn in range(len(beats)):
            beat = beats[(self._next + turn) % len(beats)]
            room -= _size(beat)
            if room < 0 or (told and is_settled and _is_told(beat, told)):
                break
            told.append(beat)
        self._next += len(told)
        return tuple(told)


@dataclass(slots=True)
class QuotaPortions:
    """Deals what is known of quotas out to messages."""

    _next: int = field(default=0)

    def next(
        self, words: Mapping[int, QuotaWord], now: Millis
    ) -> tuple[QuotaBeat, ...]:
        """Return what the next message tells.

        Parameters
        ----------
        words : mapping of int to QuotaWord
            By mark of the endpoint's name.
        now : int
        """
        marks = sorted(words)
        number = min(len(marks), _MOST_QUOTAS)
        chosen = [marks[(self._next + turn) % len(marks)] for turn in range(number)]
        self._next += number
        return tuple(
            QuotaBeat(mark, words[mark].rate, max(0, now - words[mark].said_at))
            for mark in chosen
        )


def _slices(news: GroupNews, largest: int) -> Iterator[GroupBeat]:
    running = None if news.running is None else round(_HUNDREDTHS * news.running)
    for first in range(0, len(news.ranks) or 1, largest):
        ranks = news.ranks[first : first + largest]
        yield GroupBeat(
            news.service, news.group, news.epoch, news.standing, ranks, running
        )


def _ranks_that_fit() -> int:
    return (_MOST_GROUP_BYTES - _BYTES_OF_A_GROUP) // _BYTES_OF_A_RANK


def _size(beat: GroupBeat) -> int:
    return _BYTES_OF_A_GROUP + _BYTES_OF_A_RANK * len(beat.ranks)


def _is_told(beat: GroupBeat, told: list[GroupBeat]) -> bool:
    return any(
        (beat.service, beat.group) == (other.service, other.group) for other in told
    )
