"""Detection and quarantine of requests that crash endpoints.

A request that crashes its endpoint (a "query of death") does so on every endpoint, and
callers repeat it because it is never answered. Each repeat has a new id and may reach
any node, so limits on attempts do not stop it. Every request that is interrupted by a
crash becomes a suspect; a suspect under which further endpoints crash is quarantined
at all nodes.

Other requests that were running on a crashed endpoint become suspects as well. An
answer clears them, because a request that crashes endpoints is never answered.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = [
    "CRASHES_ENDPOINTS",
    "CrashPolicy",
    "CrashReport",
    "CrashTracker",
    "Quarantine",
]

CRASHES_ENDPOINTS = "crashes_endpoints"
"""The reason given for refusing a quarantined request."""

_MINUTE_MS: Millis = 60_000


@dataclass(frozen=True, slots=True)
class CrashPolicy:
    """Conditions and duration of a quarantine.

    Parameters
    ----------
    crash_threshold : int
        Number of endpoint crashes from which on a request is quarantined.
    initial_duration, max_duration : int
        Duration in milliseconds of the first quarantine and of the longest.
    backoff_factor : int
        Factor by which each further crash multiplies the duration.
    answer_validity : int
        Milliseconds after an answer during which crashes are not counted against
        the request.
    suspect_retention : int
        Milliseconds after which a suspect that is not quarantined is removed.
    max_requests, max_answers, max_crashes : int
        Number of suspects, of answered requests, and of crashes per suspect that are
        stored.
    """

    crash_threshold: int = 2
    initial_duration: Millis = 10 * _MINUTE_MS
    max_duration: Millis = 48 * 60 * _MINUTE_MS
    backoff_factor: int = 6
    answer_validity: Millis = _MINUTE_MS
    suspect_retention: Millis = 10 * _MINUTE_MS
    max_requests: int = 256
    max_answers: int = 2_048
    max_crashes: int = 7


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes and the last answer of one request, as known to a node.

    Parameters
    ----------
    crashes : mapping of int to int
        Times of the crashes, by hash of the endpoint's incarnation.
    answered_at : int or None
        Time of the last known answer.
    """

    crashes: Mapping[int, Millis]
    answered_at: Millis | None = None


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Why a request is refused.

    Parameters
    ----------
    crashes : int
        Number of endpoint crashes that count against the request.
    since, until : int
    """

    crashes: int
    since: Millis
    until: Millis


@dataclass(slots=True)
class _Suspect:
    """A request under which endpoints crashed."""

    crashes: dict[int, Millis] = field(default_factory=dict)
    answered_at: Millis | None = None
    changed_at: Millis = 0

    @property
    def last_crash_at(self) -> Millis:
        return max(self.crashes.values(), default=0)

    def add_crash(self, endpoint: int, at: Millis, max_crashes: int) -> bool:
        """Add a crash and return whether it was unknown and is kept."""
        if endpoint in self.crashes:
            return False
        self.crashes[endpoint] = at
        if len(self.crashes) > max_crashes:
            del self.crashes[min(self.crashes, key=self.crashes.get)]
        return endpoint in self.crashes

    def add_answer(self, at: Millis | None, validity: Millis) -> bool:
        """Add an answer and return whether to report it to other nodes.

        Answers in quick succession are not reported, which limits the messages for a
        request that is answered many times a second.
        """
        before = self.answered_at
        if at is None or (before is not None and at <= before):
            return False
        self.answered_at = at
        return before is None or at - before >= validity // 2


class CrashTracker:
    """Endpoint crashes by request, as known to one node.

    Parameters
    ----------
    policy : CrashPolicy, optional

    Attributes
    ----------
    version : int
        Incremented with each crash or answer that this node observed itself and should
        report to other nodes.
    """

    def __init__(self, policy: CrashPolicy | None = None) -> None:
        self._policy = policy or CrashPolicy()
        self._suspects: dict[int, _Suspect] = {}
        self._answers: OrderedDict[int, Millis] = OrderedDict()
        self._local_change_at: Millis | None = None
        self.version = 0

    @property
    def size(self) -> int:
        """Number of suspects."""
        return len(self._suspects)

    def count_quarantined(self, now: Millis) -> int:
        """Return the number of requests that are quarantined."""
        return sum(
            self.get_quarantine(identity, now) is not None
            for identity in self._suspects
        )

    def record_crash(self, identity: int, endpoint: int, now: Millis) -> None:
        """Record that an endpoint crashed while it was running a request.

        Parameters
        ----------
        identity : int
            Identity of the request.
        endpoint : int
            Hash of the endpoint's incarnation.
        now : int
        """
        suspect = self._get_or_add_suspect(identity)
        suspect.add_answer(self._answers.get(identity), self._policy.answer_validity)
        if suspect.add_crash(endpoint, now, self._policy.max_crashes):
            self._mark_changed_locally(suspect, now)
        self._evict(now)

    def record_answer(self, identity: int, now: Millis) -> None:
        """Record that a request was answered, which clears its earlier crashes."""
        self._answers[identity] = now
        self._answers.move_to_end(identity)
        if len(self._answers) > self._policy.max_answers:
            self._answers.popitem(last=False)
        suspect = self._suspects.get(identity)
        if suspect is not None and suspect.add_answer(
            now, self._policy.answer_validity
        ):
            self._mark_changed_locally(suspect, now)

    def merge(self, identity: int, report: CrashReport, now: Millis) -> bool:
        """Merge another node's report and return whether it changed anything."""
        suspect = self._suspects.get(identity) or _Suspect()
        added = [
            suspect.add_crash(endpoint, at, self._policy.max_crashes)
            for endpoint, at in report.crashes.items()
        ]
        is_cleared = suspect.add_answer(
            report.answered_at, self._policy.answer_validity
        )
        is_changed = is_cleared or any(added)
        if not is_changed or self._is_expired(suspect, now):
            # Nodes evict expired suspects at different times and may still report them.
            return False
        self._suspects[identity] = suspect
        suspect.changed_at = now
        own_answer = self._answers.get(identity)
        if suspect.add_answer(own_answer, self._policy.answer_validity):
            self._mark_changed_locally(suspect, now)
        self._evict(now)
        return True

    def get_quarantine(self, identity: int, now: Millis) -> Quarantine | None:
        """Return the quarantine of a request, or None if it may be sent."""
        suspect = self._suspects.get(identity)
        if suspect is None:
            return None
        times = sorted(self._find_counted_crashes(suspect))
        excess = len(times) - self._policy.crash_threshold
        if excess < 0:
            return None
        until = times[-1] + self._compute_duration(excess)
        if now >= until:
            return None
        return Quarantine(len(times), times[self._policy.crash_threshold - 1], until)

    def build_reports(self) -> dict[int, CrashReport]:
        """Return the reports for other nodes, most recently changed first."""
        latest = sorted(
            self._suspects.items(), key=lambda item: item[1].changed_at, reverse=True
        )
        return {
            identity: CrashReport(dict(suspect.crashes), suspect.answered_at)
            for identity, suspect in latest
        }

    def has_changed_locally_since(self, then: Millis) -> bool:
        """Whether this node itself observed a crash or an answer after ``then``."""
        return self._local_change_at is not None and self._local_change_at > then

    def _compute_duration(self, excess: int) -> Millis:
        policy = self._policy
        return min(
            policy.initial_duration * policy.backoff_factor**excess,
            policy.max_duration,
        )

    def _find_counted_crashes(self, suspect: _Suspect) -> list[Millis]:
        """Return the times of the crashes that no answer has cleared."""
        if suspect.answered_at is None:
            return list(suspect.crashes.values())
        cleared_until = suspect.answered_at + self._policy.answer_validity
        return [at for at in suspect.crashes.values() if at > cleared_until]

    def _get_or_add_suspect(self, identity: int) -> _Suspect:
        known = self._suspects.get(identity)
        if known is None:
            known = self._suspects[identity] = _Suspect()
        return known

    def _mark_changed_locally(self, suspect: _Suspect, now: Millis) -> None:
        self._local_change_at = now
        suspect.changed_at = now
        self.version += 1

    def _evict(self, now: Millis) -> None:
        """Remove expired suspects, and those with the fewest crashes over the limit."""
        expired = [
            identity
            for identity, suspect in self._suspects.items()
            if self._is_expired(suspect, now)
        ]
        for identity in expired:
            del self._suspects[identity]
        while len(self._suspects) > self._policy.max_requests:
            del self._suspects[min(self._suspects, key=self._eviction_key)]

    def _is_expired(self, suspect: _Suspect, now: Millis) -> bool:
        return now - suspect.last_crash_at >= self._compute_retention(suspect)

    def _compute_retention(self, suspect: _Suspect) -> Millis:
        policy = self._policy
        if len(self._find_counted_crashes(suspect)) >= policy.crash_threshold:
            return policy.max_duration
        return policy.suspect_retention

    def _eviction_key(self, identity: int) -> tuple[int, Millis]:
        suspect = self._suspects[identity]
        return len(self._find_counted_crashes(suspect)), suspect.last_crash_at
