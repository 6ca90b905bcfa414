"""What of a long list goes into the next message, so that each message fits.

Groups of ranks, loads and quotas grow with the site, and a datagram does not. Each
message tells a portion, and the next one goes on behind it.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import astuple, dataclass, field
from heapq import nlargest
from itertools import zip_longest
from math import ceil

import msgspec

from azurefold.core.attempts.crashes import CrashReport
from azurefold.core.clock import Millis
from azurefold.core.membership.freshness import TableWatermark
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.quotas import QuotaReport
from azurefold.core.routing.rank_groups import GroupStatus
from azurefold.gateway.peers.messages import (
    CrashBeat,
    GroupBeat,
    PeerMessage,
    QuotaBeat,
    TableBeat,
    WaitingBeat,
)

__all__ = [
    "MOST_BYTES",
    "CrashPortions",
    "GroupPortions",
    "PartPortions",
    "QuotaPortions",
    "crash_report",
    "departed_marks",
    "heaviest",
    "limit_age",
    "news_of_group",
    "sent_at",
    "table_beat",
    "table_statement",
    "trial_ages",
    "waiting_beats",
]

MOST_BYTES = 1_400
"""Of a message: what a packet of an ordinary network carries."""

_MOST_GROUP_BYTES = 640
_BYTES_OF_A_GROUP = 27
_BYTES_OF_A_RANK = 5

_HUNDREDTHS = 100

_MOST_LOADS = 80
_MOST_QUOTAS = 12
_MOST_CRASH_BEATS = 3
_MOST_DEPARTED = 16
_LOADS_PER_CRASH_BEAT = 16
"""Number of loads omitted for each crash report to keep within ``MOST_BYTES``."""

_MOST_PART_BYTES = 224
_MOST_TRIALS = 4
_BYTES_OF_A_PART = 18
_BYTES_OF_A_CRASH = 11
_BYTES_OF_A_LOAD = 7
_MOST_WAITING_BYTES = 200
_BYTES_OF_A_SERVICE = 7
_BYTES_OF_A_COUNT = 3
_ROTATE_EVERY_MS: Millis = 500
"""Between reports that are not urgent, which may be kept for weeks."""

_TIMES_TOLD = 3
"""How often an urgent report is sent at once, as some messages may be lost."""

_SETTLED_MS: Millis = 3_000
"""After this time without a change all that are there have heard of the ranks."""

_RANKS_WHEN_SETTLED = 24
"""In a message, for those that join. The coordinator tells all gateways twice a second:
at hundreds of gateways and ranks, telling each all ranks each time would take most of
a slow link."""

_AHEAD_MS: Millis = 1_000
"""By which a message may seem to be from the future: gateways know lower bounds of the
store's time. One that is further ahead is dated by a former clock of the store."""

_LONGEST_AGE_MS: Millis = 2**40
"""Still fits into a message when it is told again, however long a process runs."""


def departed_marks(names: Iterable[str]) -> tuple[int, ...]:
    """Return the marks of departed endpoints that a message has room for."""
    return tuple(map(endpoint_hash, sorted(names)[:_MOST_DEPARTED]))


def heaviest(
    loads: dict[int, int],
    crash_beats: int = 0,
    departed: int = 0,
    parts: tuple[CrashBeat, ...] = (),
    waiting: tuple[WaitingBeat, ...] = (),
) -> dict[int, int]:
    """Return the loads by endpoint that a message has room for, the largest.

    Parameters
    ----------
    loads : dict of int to int
    crash_beats : int, default=0
        Number of crash reports in the same message.
    departed : int, default=0
        Number of departed endpoints in it.
    parts : tuple of CrashBeat
        Crash reports of parts of prompts in it.
    waiting : tuple of WaitingBeat
        Numbers of waiting requests in it.
    """
    most = _MOST_LOADS - crash_beats * _LOADS_PER_CRASH_BEAT - departed
    most -= ceil(sum(map(_part_size, parts)) / _BYTES_OF_A_LOAD)
    most -= ceil(sum(map(_waiting_size, waiting)) / _BYTES_OF_A_LOAD)
    if len(loads) <= most:
        return loads
    return dict(nlargest(most, loads.items(), key=lambda load: load[1]))


def waiting_beats(counts: Mapping[str, tuple[int, ...]]) -> tuple[WaitingBeat, ...]:
    """Return what a message tells of waiting requests, by name of their service.

    Services with the most urgent requests come first; the message has no room for more
    than a few.
    """
    waiting = [name for name in counts if any(counts[name])]
    told = []
    room = _MOST_WAITING_BYTES
    for name in sorted(sorted(waiting), key=counts.__getitem__, reverse=True):
        beat = WaitingBeat(endpoint_hash(name), _without_last_zeros(counts[name]))
        room -= _waiting_size(beat)
        if room < 0:
            break
        told.append(beat)
    return tuple(told)


def _without_last_zeros(counts: tuple[int, ...]) -> tuple[int, ...]:
    length = max(index + 1 for index, count in enumerate(counts) if count)
    return counts[:length]


def _waiting_size(beat: WaitingBeat) -> int:
    return _BYTES_OF_A_SERVICE + _BYTES_OF_A_COUNT * len(beat.waiting)


def sent_at(message: PeerMessage, now: Millis, store_now: Millis | None) -> Millis:
    """Return when a message was sent, by the clock of the gateway that reads it.

    What goes wrong if it is taken for sent when it is read: a gateway that was frozen
    reads what has waited for it, and a message with the lower age counts as newer,
    whenever it was sent.

    Parameters
    ----------
    message : PeerMessage
    now : int
        By the reader's clock; returned if the time of sending is not known.
    store_now : int or None
        The store's time at ``now``.
    """
    if message.sent_at is None or store_now is None:
        return now
    waited = store_now - message.sent_at
    return now - waited if waited >= -_AHEAD_MS else now


def crash_report(beat: CrashBeat, now: Millis) -> CrashReport:
    """Return the crash report that a message carries for one request."""
    answered_at = None if beat.answered is None else now - limit_age(beat.answered)
    crashes = {mark: now - limit_age(age) for mark, age in beat.crashes}
    return CrashReport(crashes, answered_at)


def limit_age(age: Millis) -> Millis:
    """Return an age that can be told again later, whatever another gateway told."""
    return max(-_LONGEST_AGE_MS, min(age, _LONGEST_AGE_MS))


def news_of_group(beat: GroupBeat) -> GroupStatus:
    """Return what a portion tells of its group."""
    running = None if beat.running is None else beat.running / _HUNDREDTHS
    return GroupStatus(
        beat.service, beat.group, beat.epoch, beat.standing, beat.ranks, running
    )


def table_beat(
    statement: TableWatermark | None, departed: tuple[int, ...] = ()
) -> TableBeat | None:
    """Return a statement as it is sent, with the marks of departed endpoints."""
    if statement is None:
        return None
    return TableBeat(*astuple(statement), departed)


def table_statement(beat: TableBeat | None) -> TableWatermark | None:
    """Return a statement as it was sent."""
    if beat is None:
        return None
    *statement, _ = msgspec.structs.astuple(beat)
    return TableWatermark(*statement)


@dataclass(slots=True)
class GroupPortions:
    """Deals the coordinator's news of groups out to messages."""

    _next: int = 0
    _known: tuple[tuple[int, ...], ...] = ()
    _changed_at: Millis = 0

    def next(
        self, groups: tuple[GroupStatus, ...], now: Millis
    ) -> tuple[GroupBeat, ...]:
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
        self, words: Mapping[int, QuotaReport], now: Millis
    ) -> tuple[QuotaBeat, ...]:
        """Return what the next message tells.

        Parameters
        ----------
        words : mapping of int to QuotaReport
            By mark of the endpoint's name.
        now : int
        """
        marks = sorted(words)
        number = min(len(marks), _MOST_QUOTAS)
        chosen = [marks[(self._next + turn) % len(marks)] for turn in range(number)]
        self._next += number
        return tuple(
            QuotaBeat(mark, words[mark].rate, max(0, now - words[mark].reported_at))
            for mark in chosen
        )


@dataclass(slots=True)
class CrashPortions:
    """Distributes crash reports over successive messages."""

    _next: int = 0

    def next(
        self,
        reports: Mapping[int, CrashReport],
        now: Millis,
        *,
        is_alone: bool = True,
    ) -> tuple[CrashBeat, ...]:
        """Return the next message's reports: the latest ones and another in rotation.

        Parameters
        ----------
        reports : mapping of int to CrashReport
            By identity of the request, most recently changed first.
        now : int
        is_alone : bool
            Whether the message has no reports of parts of prompts.
        """
        most = _MOST_CRASH_BEATS if is_alone else 1
        identities = list(reports)
        chosen, others = identities[: most - 1], identities[most - 1 :]
        if others:
            chosen.append(others[self._next % len(others)])
            self._next += 1
        return tuple(_crash_beat(each, reports[each], now) for each in chosen)


@dataclass(slots=True)
class PartPortions:
    """Distributes crash reports of parts of prompts over successive messages.

    One crash makes suspects of all parts of the prompts that it interrupted. Urgent
    reports go first, the rest in rotation.
    """

    _told: dict[int, tuple[CrashReport, int]] = field(default_factory=dict)
    _rotated_at: Millis | None = None

    @property
    def is_behind(self) -> bool:
        """Whether an urgent report has not been sent as often as it should be."""
        return any(times < _TIMES_TOLD for _, times in self._told.values())

    def update(
        self, reports: Mapping[int, CrashReport], urgent: Collection[int]
    ) -> None:
        """Take in the present reports, by part, those with most crashes first."""
        times = {part: times for part, (_, times) in self._told.items()}
        self._told = {
            part: (report, 0 if part in urgent else times.get(part, _TIMES_TOLD))
            for part, report in reports.items()
        }

    def next(self, now: Millis, *, is_counted: bool) -> tuple[CrashBeat, ...]:
        """Return the next message's reports.

        Parameters
        ----------
        now : int
        is_counted : bool
            Whether the message goes to all that need to be told.
        """
        is_recent = (
            self._rotated_at is not None and now - self._rotated_at < _ROTATE_EVERY_MS
        )
        if not self._told or (is_recent and not self.is_behind):
            return ()
        self._rotated_at = now
        beats = []
        room = _MOST_PART_BYTES
        # The sort is stable: of those told equally often, most crashes go first.
        for part in sorted(self._told, key=lambda part: self._told[part][1]):
            report, times = self._told[part]
            beat = _crash_beat(part, report, now)
            room -= _part_size(beat)
            if room < 0:
                break
            beats.append(beat)
            if is_counted or times >= _TIMES_TOLD:
                self._told[part] = report, times + 1
        return tuple(beats)


def trial_ages(
    trials: Mapping[int, Millis], now: Millis
) -> tuple[tuple[int, int], ...]:
    """Return the trials that a message has room for, the latest, by their age."""
    latest = nlargest(_MOST_TRIALS, trials.items(), key=lambda trial: trial[1])
    return tuple((group, max(0, now - at)) for group, at in latest)


def _part_size(beat: CrashBeat) -> int:
    return _BYTES_OF_A_PART + _BYTES_OF_A_CRASH * len(beat.crashes)


def _crash_beat(identity: int, report: CrashReport, now: Millis) -> CrashBeat:
    answered = None if report.answered_at is None else max(0, now - report.answered_at)
    crashes = tuple((mark, max(0, now - at)) for mark, at in report.crashes.items())
    return CrashBeat(identity, answered, crashes)


def _slices(news: GroupStatus, largest: int) -> Iterator[GroupBeat]:
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
