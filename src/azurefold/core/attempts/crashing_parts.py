"""Detection and quarantine of prompt parts that crash endpoints.

A part of a prompt may crash each endpoint that begins to answer a prompt with it,
whatever else the prompt holds. Such prompts need not be alike, so counting crashes by
request finds nothing. This module counts crashes by part.

All shared parts of a request that was interrupted by a crash before its answer began
become suspects. An answer that begins clears its parts, because a crashing part never
gets that far. Suspects are then judged together.
"""

from collections import OrderedDict
from collections.abc import Iterable

from azurefold.core.attempts.crashes import CrashReport, Quarantine
from azurefold.core.attempts.part_suspects import PartPolicy, PartSuspect
from azurefold.core.attempts.part_trials import TrialOnly
from azurefold.core.attempts.part_verdicts import SuspectGroup, explain_crashes
from azurefold.core.clock import Millis

__all__ = ["PartPolicy", "PartTracker"]


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
        self._suspects: dict[int, PartSuspect] = {}
        self._begun: OrderedDict[int, Millis] = OrderedDict()
        self._groups: list[SuspectGroup] | None = []
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
            suspect = self._suspects.setdefault(part, PartSuspect())
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
        suspect = self._suspects.get(part) or PartSuspect()
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
    def _judged(self) -> list[SuspectGroup]:
        if self._groups is None:
            self._groups = explain_crashes(self._suspects, self._policy)
        return self._groups

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

    def _mark_changed(self, suspect: PartSuspect, now: Millis) -> None:
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

    def _find_retention(self, suspect: PartSuspect) -> Millis:
        policy = self._policy
        is_counted = bool(suspect.find_counted())
        return policy.retention if is_counted else policy.cleared_retention

    def _eviction_key(self, part: int) -> tuple[int, Millis]:
        suspect = self._suspects[part]
        return len(suspect.find_counted()), suspect.last_crash_at
