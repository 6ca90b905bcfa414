"""Record of the attempts at an agent's endpoint.

Every request reaches an endpoint through its agent, so the agent's ledger alone
decides whether an attempt runs. Its answers to an entry are final: a later
message does not make them false.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from azurefold.core.attempts.ids import attempt_created_at
from azurefold.core.clock import Millis

__all__ = [
    "Accepted",
    "AlreadyKnown",
    "Ledger",
    "NotRun",
    "OutcomeUnknown",
    "AttemptPhase",
    "AttemptRefusalReason",
    "Refused",
    "new_ledger",
]

_TEXT_RETENTION_MS: Millis = 120_000
_ID_RETENTION_MS: Millis = 3_600_000
# The wall clocks of VMs differ. Only an id created more than this long after the
# newest evicted id was certainly created later.
_MAX_CLOCK_SKEW_MS: Millis = 60_000


class AttemptPhase(StrEnum):
    """Phase of an accepted attempt."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class AttemptRefusalReason(StrEnum):
    """Why an attempt was refused. A refused attempt was not run."""

    WRONG_INCARNATION = "wrong_incarnation"
    TOMBSTONED = "tombstoned"
    LEAVING = "leaving"
    DEADLINE_PASSED = "deadline_passed"
    TOO_MANY = "too_many"
    TOO_OLD = "too_old"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The attempt is new; run it now."""


@dataclass(frozen=True, slots=True)
class AlreadyKnown:
    """The attempt was accepted before; attach to it and do not run it again."""

    phase: AttemptPhase


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt was not run. Later dispatches of its id are refused, too."""

    reason: AttemptRefusalReason


@dataclass(frozen=True, slots=True)
class NotRun:
    """The attempt was not run, and every later dispatch of it is refused."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The attempt may have run in another incarnation, or its id was evicted."""


@dataclass(slots=True)
class _Entry:
    organisation: str
    phase: AttemptPhase


@dataclass(slots=True)
class Ledger:
    """Attempts dispatched to one incarnation of an agent.

    Parameters
    ----------
    incarnation : str
        Incarnation of the agent, which changes whenever it starts.
    max_running : int
        Maximum number of attempts that run at the same time.
    """

    incarnation: str
    max_running: int
    _entries: dict[str, _Entry] = field(default_factory=dict)
    _ended_at: OrderedDict[str, Millis] = field(default_factory=OrderedDict)
    _tombstones: OrderedDict[str, Millis] = field(default_factory=OrderedDict)
    _evicted_up_to: Millis = -1
    _running: int = 0
    _is_leaving: bool = False

    @property
    def running_count(self) -> int:
        """Number of running attempts."""
        return self._running

    @property
    def is_leaving(self) -> bool:
        """Whether new attempts are refused because the endpoint is leaving."""
        return self._is_leaving

    def start_leaving(self) -> None:
        """Refuse new attempts from now on.

        The endpoint's own agent refuses them, so that an entry that has not yet
        received the update cannot start new work at a leaving endpoint.
        """
        self._is_leaving = True

    def dispatch(
        self,
        attempt_id: str,
        incarnation: str,
        organisation: str,
        remaining_ms: Millis,
        now: Millis,
    ) -> Accepted | AlreadyKnown | Refused:
        """Decide whether an attempt runs.

        Parameters
        ----------
        attempt_id : str
        incarnation : str
            Last incarnation of this agent that the entry knew. A request that
            the network delays until after a restart has an old one and is
            refused: the entry may already have received the answer that the
            outcome is unknown or that the attempt was not run.
        organisation : str
        remaining_ms : int
            Milliseconds until the caller's deadline.
        now : int

        Returns
        -------
        Accepted, AlreadyKnown or Refused
        """
        if attempt_id in self._tombstones:
            return Refused(AttemptRefusalReason.TOMBSTONED)
        entry = self._entries.get(attempt_id)
        if entry is not None and entry.organisation == organisation:
            return AlreadyKnown(entry.phase)
        refusal = self._find_refusal_reason(attempt_id, incarnation, remaining_ms)
        if entry is not None or refusal is not None:
            self._tombstones[attempt_id] = now
            return Refused(refusal or AttemptRefusalReason.TOMBSTONED)
        self._entries[attempt_id] = _Entry(organisation, AttemptPhase.RUNNING)
        self._running += 1
        return Accepted()

    def settle(
        self, attempt_id: str, incarnation: str, organisation: str, now: Millis
    ) -> AlreadyKnown | NotRun | OutcomeUnknown:
        """Return whether an attempt ran, and make the answer final.

        An unknown attempt is tombstoned before ``NotRun`` is returned.
        Otherwise a delayed dispatch could arrive over the old connection and run
        after the caller had received the answer that it did not run.
        """
        entry = self._entries.get(attempt_id)
        if entry is not None and entry.organisation == organisation:
            return AlreadyKnown(entry.phase)
        if attempt_id in self._tombstones:
            return NotRun()
        if incarnation != self.incarnation or self._may_be_evicted(attempt_id):
            return OutcomeUnknown()
        self._tombstones[attempt_id] = now
        return NotRun()

    def get_phase(self, attempt_id: str, organisation: str) -> AttemptPhase | None:
        """Return the phase of an organisation's attempt, or None if it is unknown.

        An answer is available only to the organisation that requested it. The
        attempts of other organisations are treated as unknown.
        """
        entry = self._entries.get(attempt_id)
        if entry is None or entry.organisation != organisation:
            return None
        return entry.phase

    def adopt(self, attempt_id: str, organisation: str) -> None:
        """Add a running attempt that an earlier incarnation of the agent started."""
        self._entries[attempt_id] = _Entry(organisation, AttemptPhase.RUNNING)
        self._running += 1

    def record_end(self, attempt_id: str, phase: AttemptPhase, now: Millis) -> None:
        """Record that a running attempt completed or failed."""
        entry = self._entries[attempt_id]
        if entry.phase is not AttemptPhase.RUNNING:
            return
        entry.phase = phase
        self._ended_at[attempt_id] = now
        self._running -= 1

    def find_expired_texts(self, now: Millis) -> list[str]:
        """Return the ids of ended attempts whose answer text is to be removed.

        The ledger keeps their ids for longer. Without them, a repeated dispatch
        of an attempt that ran would be accepted as new and run a second time.
        """
        expired = []
        for attempt_id, ended_at in self._ended_at.items():
            if now - ended_at <= _TEXT_RETENTION_MS:
                break
            expired.append(attempt_id)
        return expired

    def evict_expired(self, now: Millis) -> None:
        """Remove attempt ids whose retention time is over.

        From then on the ledger refuses an unknown id that is not certainly newer than
        the removed ones, and reports its outcome as unknown: it may be one of them.
        """
        for times in (self._ended_at, self._tombstones):
            while times and now - next(iter(times.values())) > _ID_RETENTION_MS:
                attempt_id, _ = times.popitem(last=False)
                self._entries.pop(attempt_id, None)
                created_at = attempt_created_at(attempt_id)
                self._evicted_up_to = max(self._evicted_up_to, created_at)

    def _may_be_evicted(self, attempt_id: str) -> bool:
        if self._evicted_up_to < 0:
            return False
        return (
            attempt_created_at(attempt_id) <= self._evicted_up_to + _MAX_CLOCK_SKEW_MS
        )

    def _find_refusal_reason(
        self, attempt_id: str, incarnation: str, remaining_ms: Millis
    ) -> AttemptRefusalReason | None:
        if incarnation != self.incarnation:
            return AttemptRefusalReason.WRONG_INCARNATION
        if self._may_be_evicted(attempt_id):
            return AttemptRefusalReason.TOO_OLD
        if self._is_leaving:
            return AttemptRefusalReason.LEAVING
        if remaining_ms <= 0:
            return AttemptRefusalReason.DEADLINE_PASSED
        if self._running >= self.max_running:
            return AttemptRefusalReason.TOO_MANY
        return None


def new_ledger(incarnation: str, max_running: int = 1_024) -> Ledger:
    """Return the empty ledger of an agent that has just started."""
    return Ledger(incarnation=incarnation, max_running=max_running)
