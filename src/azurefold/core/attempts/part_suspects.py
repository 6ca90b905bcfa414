"""Evidence against and for parts of prompts that may crash endpoints."""

from dataclasses import dataclass, field
from itertools import pairwise

from azurefold.core.clock import Millis

__all__ = ["PartPolicy", "PartSuspect"]

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
class PartSuspect:
    """A part in prompts that were interrupted by crashes.

    Parameters
    ----------
    crashes : dict of int to int
        Time of each crash, by hash of the endpoint's incarnation.
    begun_at : int or None
        When an answer to a prompt with the part last began.
    changed_at : int
    is_observed : bool
        Whether this node itself observed a crash.
    """

    crashes: dict[int, Millis] = field(default_factory=dict)
    begun_at: Millis | None = None
    changed_at: Millis = 0
    is_observed: bool = False

    @property
    def last_crash_at(self) -> Millis:
        """Time of the latest crash; 0 without any."""
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
