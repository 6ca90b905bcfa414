"""Detection and quarantine of prompt parts that crash endpoints.

A part of a prompt may crash each endpoint that begins to answer a prompt with it,
whatever else the prompt holds. Such prompts need not be alike, so counting crashes by
request finds nothing. This module counts crashes by part.

All shared parts of a request that was interrupted by a crash before its answer began
become suspects. An answer that begins clears its parts, because a crashing part never
gets that far. Suspects are then judged together: the part under which most endpoints
crashed explains those crashes, and only what it leaves unexplained counts against
others. Parts that cannot be told apart form a group, in which a prompt is refused if it
has more than half of the parts; with fewer it may be sent as a trial, one at a time.
Each trial either clears parts or at least halves the group.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import pairwise

from azurefold.core.attempts.crashes import CrashReport, Quarantine
from azurefold.core.attempts.part_trials import TrialOnly
from azurefold.core.clock import Millis

__all__ = ["PartPolicy", "PartTracker"]

_MINUTE_MS: Millis = 60_000
_HOUR_MS: Millis = 60 * _MINUTE_MS


@dataclass(frozen=True, slots=True)
class PartPolicy:
    """Conditions and duration of a quarantine.

    Parameters
    ----------
    crash_threshold : int
        Number of endpoint crashes from which on parts are on trial.
    separation : int
        Milliseconds between crashes that cannot have one common cause, such as a loss
        of power. On trial, a part is quarantined if its crashes are so far apart.
    durations : tuple of int
        Milliseconds of the first quarantine and of those that follow when a trial after
        it crashes an endpoint, too. After the last one there is no further trial.
    retention : int
        Milliseconds after the last crash for which a suspect is remembered.
    cleared_retention : int
        The same for crashes that an answer has cleared, for other nodes to hear of it.
    max_suspects, max_begun, max_crashes : int
        Number of suspects, of parts whose last answer is remembered, and of crashes
        for each suspect.
    """

    crash_threshold: int = 3
    separation: Millis = 2_500
    durations: tuple[Millis, ...] = (10 * _MINUTE_MS, 6 * _HOUR_MS)
    retention: Millis = 30 * 24 * _HOUR_MS
    cleared_retention: Millis = _MINUTE_MS
    max_suspects: int = 512
    max_begun: int = 4_096
    max_crashes: int = 8


@dataclass(slots=True)
class _Suspect:
    """A part in prompts that were interrupted by crashes."""

    crashes: dict[int, Millis] = field(default_factory=dict)
    begun_at: Millis | None = None
    changed_at: Millis = 0
    is_observed: bool = False

    @property
    def last_crash_at(self) -> Millis:
        return max(self.crashes.values(), default=0)

    def find_counted(self) -> dict[int, Millis]:
        """Return the crashes that no answer has cleared, by endpoint."""
        if self.begun_at is None:
            return self.crashes
        return {mark: at for mark, at in self.crashes.items() if at > self.begun_at}

    def add_crash(self, endpoint: int, at: Millis, policy: PartPolicy) -> bool:
        """Add a crash and return whether it was unknown and is kept."""
        if endpoint in self.crashes:
            return False
        self.crashes[endpoint] = at
        if len(self.crashes) > policy.max_crashes:
            del self.crashes[self._find_least_telling()]
        return endpoint in self.crashes

    def _find_least_telling(self) -> int:
        """Return the crash that followed most closely on another.

        The first and the last one tell how far apart they are.
        """
        by_time = sorted(self.crashes, key=lambda mark: (self.crashes[mark], mark))
        pairs = list(pairwise(by_time))[:-1]
        return min(
            pairs, key=lambda pair: self.crashes[pair[1]] - self.crashes[pair[0]]
        )[1]

    def add_begun(self, at: Millis | None) -> bool:
        """Add the begin of an answer and return whether it clears any crash."""
        if at is None or (self.begun_at is not None and at <= self.begun_at):
            return False
        is_clearing = any(each <= at for each in self.find_counted().values())
        self.begun_at = at
        return is_clearing

    def drop_cleared(self, before: Millis) -> None:
        """Remove crashes before a time that an answer has cleared."""
        counted = self.find_counted()
        self.crashes = {
            mark: at
            for mark, at in self.crashes.items()
            if at >= before or mark in counted
        }


@dataclass(frozen=True, slots=True)
class _Group:
    """Parts that explain the same crashes and cannot be told apart.

    Parameters
    ----------
    parts : frozenset of int
    crashes, last_crash_at : int
    quarantine : Quarantine or None
        None while the parts are only on trial.
    """

    parts: frozenset[int]
    crashes: int
    last_crash_at: Millis
    quarantine: Quarantine | None

    def judge(
        self, parts: frozenset[int], now: Millis
    ) -> Quarantine | TrialOnly | None:
        common = len(self.parts & parts)
        if not common:
            return None
        is_likely = common == len(self.parts) or 2 * common > len(self.parts)
        is_quarantined = self.quarantine is not None and now < self.quarantine.until
        if is_likely and is_quarantined:
            return self.quarantine
        return TrialOnly(min(self.parts), self.crashes, self.last_crash_at)


class PartTracker:
    """Endpoint crashes by part of prompts, as known to one node.

    Parameters
    ----------
    policy : PartPolicy, optional

    Attributes
    ----------
    changes : int
        Incremented with each change of the reports.
    """

    def __init__(self, policy: PartPolicy | None = None) -> None:
        self._policy = policy or PartPolicy()
        self._suspects: dict[int, _Suspect] = {}
        self._begun: OrderedDict[int, Millis] = OrderedDict()
        self._groups: list[_Group] | None = []
        self._urgent: set[int] = set()
        self._urgent_at: Millis | None = None
        self.changes = 0

    @property
    def size(self) -> int:
        """Number of suspects."""
        return len(self._suspects)

    def count_quarantined(self, now: Millis) -> int:
        """Return the number of parts that are quarantined."""
        return sum(
            len(group.parts)
            for group in self._judged
            if isinstance(group.judge(group.parts, now), Quarantine)
        )

    def find_quarantined(self) -> dict[int, CrashReport]:
        """Return the reports of all parts that are quarantined or await a trial."""
        return {
            part: CrashReport(dict(self._suspects[part].find_counted()))
            for group in self._judged
            if group.quarantine is not None
            for part in group.parts
        }

    def has_observed(self, part: int) -> bool:
        """Whether this node itself observed a crash under a part."""
        suspect = self._suspects.get(part)
        return suspect is not None and suspect.is_observed

    def record_crash(self, parts: Iterable[int], endpoint: int, now: Millis) -> None:
        """Record that an endpoint crashed before it began to answer a prompt.

        Parameters
        ----------
        parts : iterable of int
            Shared parts of the prompt.
        endpoint : int
            Hash of the endpoint's incarnation.
        now : int
        """
        for part in parts:
            suspect = self._suspects.setdefault(part, _Suspect())
            suspect.add_begun(self._begun.get(part))
            suspect.drop_cleared(now - self._policy.cleared_retention)
            suspect.is_observed = True
            if suspect.add_crash(endpoint, now, self._policy):
                self._mark_changed(suspect, now)
                self._mark_urgent(part, now)
        self._evict(now)

    def record_begun(self, parts: Iterable[int], now: Millis) -> None:
        """Record that an endpoint began to answer a prompt, which clears its parts."""
        for part in parts:
            self._begun[part] = now
            self._begun.move_to_end(part)
            self._clear(part, now)
        while len(self._begun) > self._policy.max_begun:
            self._begun.popitem(last=False)

    def merge(self, part: int, report: CrashReport, now: Millis) -> bool:
        """Merge another node's report and return whether it changed anything."""
        suspect = self._suspects.get(part) or _Suspect()
        added = [
            suspect.add_crash(endpoint, at, self._policy)
            for endpoint, at in report.crashes.items()
            if now - at < self._policy.retention
        ]
        is_cleared = suspect.add_begun(report.answered_at)
        if not is_cleared and not any(added):
            return False
        self._suspects[part] = suspect
        self._mark_changed(suspect, now)
        suspect.add_begun(self._begun.get(part))
        suspect.drop_cleared(now - self._policy.cleared_retention)
        self._evict(now)
        return True

    def judge(self, parts: Iterable[int], now: Millis) -> Quarantine | TrialOnly | None:
        """Return the restriction on a prompt, or None if it may be sent."""
        groups = self._judged
        if not groups:
            return None
        parts = frozenset(parts)
        verdicts = [group.judge(parts, now) for group in groups]
        restrictions = [each for each in verdicts if each is not None]
        return next(
            (each for each in restrictions if isinstance(each, Quarantine)),
            restrictions[0] if restrictions else None,
        )

    def build_reports(self) -> dict[int, CrashReport]:
        """Return the reports for other nodes, those with most crashes first."""
        latest = sorted(
            self._suspects.items(),
            key=lambda item: (len(item[1].crashes), item[1].changed_at),
            reverse=True,
        )
        return {
            part: CrashReport(dict(suspect.crashes), suspect.begun_at)
            for part, suspect in latest
            if suspect.crashes
        }

    def has_urgent_since(self, then: Millis) -> bool:
        """Whether this node observed after ``then`` what others must hear at once."""
        return self._urgent_at is not None and self._urgent_at > then

    def take_urgent(self) -> frozenset[int]:
        """Return the parts whose reports others must hear at once, and forget them."""
        urgent, self._urgent = frozenset(self._urgent), set()
        return urgent

    @property
    def _judged(self) -> list[_Group]:
        if self._groups is None:
            self._groups = self._judge_all()
        return self._groups

    def _judge_all(self) -> list[_Group]:
        """Explain the crashes by as few parts as possible, those with most first."""
        counted = {
            part: crashes
            for part, suspect in self._suspects.items()
            if len(crashes := suspect.find_counted()) >= self._policy.crash_threshold
        }
        groups = []
        explained: set[int] = set()
        for part in sorted(counted, key=lambda part: (-len(counted[part]), part)):
            crashes = counted[part]
            if len(crashes.keys() - explained) < self._policy.crash_threshold:
                continue
            groups.append(self._build_group(crashes, counted))
            explained |= crashes.keys()
        return groups

    def _build_group(
        self, crashes: Mapping[int, Millis], suspects: Mapping[int, Mapping]
    ) -> _Group:
        """Return the group of the suspects that may explain these crashes."""
        quarantine = self._find_quarantine(sorted(crashes.values()))
        # Before the suspects were held back, one crash may have had another cause.
        decided_at = quarantine.since if quarantine else 0
        by_chance = {mark for mark, at in crashes.items() if at < decided_at}

        def may_explain(others: Mapping) -> bool:
            missing = crashes.keys() - others.keys()
            is_within = others.keys() <= crashes.keys()
            return is_within and len(missing) <= 1 and missing <= by_chance

        parts = frozenset(part for part in suspects if may_explain(suspects[part]))
        return _Group(parts, len(crashes), max(crashes.values()), quarantine)

    def _find_quarantine(self, times: list[Millis]) -> Quarantine | None:
        """Return the quarantine that crashes at these times, in order, lead to."""
        policy = self._policy
        deciding = [
            at
            for at in times[policy.crash_threshold - 1 :]
            if at - times[0] >= policy.separation
        ]
        if not deciding:
            return None
        since = deciding[0]
        first, *later = (*policy.durations, policy.retention)
        until = since + first
        for duration in later:
            failed_trial = next((at for at in deciding if at >= until), None)
            if failed_trial is None:
                break
            until = failed_trial + duration
        return Quarantine(len(times), since, until)

    def _clear(self, part: int, now: Millis) -> None:
        suspect = self._suspects.get(part)
        if suspect is None:
            return
        crashes = len(suspect.find_counted())
        if suspect.add_begun(now):
            self._mark_changed(suspect, now)
            # All nodes clear a popular suspect by their own answers. Only those that
            # hold its prompts back need to hear of it from others.
            if crashes >= self._policy.crash_threshold:
                self._mark_urgent(part, now)

    def _mark_urgent(self, part: int, now: Millis) -> None:
        self._urgent.add(part)
        self._urgent_at = now

    def _mark_changed(self, suspect: _Suspect, now: Millis) -> None:
        suspect.changed_at = now
        self._groups = None
        self.changes += 1

    def _evict(self, now: Millis) -> None:
        """Remove suspects that are cleared or old, and over the limit the weakest."""
        policy = self._policy
        expired = [
            part
            for part, suspect in self._suspects.items()
            if now - suspect.last_crash_at >= self._find_retention(suspect)
        ]
        excess = len(self._suspects) - len(expired) - policy.max_suspects
        if excess > 0:
            expired += sorted(self._suspects, key=self._eviction_key)[:excess]
        for part in expired:
            self._suspects.pop(part, None)
            self._groups = None
            self.changes += 1

    def _find_retention(self, suspect: _Suspect) -> Millis:
        policy = self._policy
        is_counted = bool(suspect.find_counted())
        return policy.retention if is_counted else policy.cleared_retention

    def _eviction_key(self, part: int) -> tuple[int, Millis]:
        suspect = self._suspects[part]
        return len(suspect.find_counted()), suspect.last_crash_at
