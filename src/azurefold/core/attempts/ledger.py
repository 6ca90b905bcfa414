"""The record that an agent keeps of attempts at its endpoint.

The agent is the only way to its endpoint, so its ledger alone decides whether
an attempt runs. Every question that an entry can ask has an answer here that
stays true afterwards.
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
    "Phase",
    "AttemptRefusalReason",
    "Refused",
    "new_ledger",
]

_KEPT_TEXT_MS: Millis = 120_000
_KEPT_ID_MS: Millis = 3_600_000
# Clocks of VMs differ; ids made this long after the youngest forgotten one are
# certainly younger than it.
_CLOCK_SKEW_MS: Millis = 60_000


class Phase(StrEnum):
    """How far an attempt has come."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class AttemptRefusalReason(StrEnum):
    """Why an attempt was refused; each of them means that it was not run."""

    WRONG_INCARNATION = "wrong_incarnation"
    TOMBSTONED = "tombstoned"
    LEAVING = "leaving"
    DEADLINE_PASSED = "deadline_passed"
    TOO_MANY = "too_many"
    TOO_OLD = "too_old"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The attempt is new and has to be run now."""


@dataclass(frozen=True, slots=True)
class AlreadyKnown:
    """The attempt was seen before; attach to it, do not run it again."""

    phase: Phase


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt was not run, and never will be under this id."""

    reason: AttemptRefusalReason


@dataclass(frozen=True, slots=True)
class NotRun:
    """The attempt was never run here and from now on never will be."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """It may have run in another incarnation, or too long ago to be known."""


@dataclass(slots=True)
class _Entry:
    organisation: str
    phase: Phase


@dataclass(slots=True)
class Ledger:
    """Attempts seen by one incarnation of an agent.

    Parameters
    ----------
    incarnation : str
        Changes with every start of the agent.
    max_running : int
        Attempts that may run at the same time.
    """

    incarnation: str
    max_running: int
    _entries: dict[str, _Entry] = field(default_factory=dict)
    _settled: OrderedDict[str, Millis] = field(default_factory=OrderedDict)
    _tombstones: OrderedDict[str, Millis] = field(default_factory=OrderedDict)
    _forgotten_up_to: Millis = -1
    _running: int = 0
    _is_leaving: bool = False

    @property
    def running_count(self) -> int:
        """Attempts in flight."""
        return self._running

    @property
    def is_leaving(self) -> bool:
        """Whether new attempts are refused for good."""
        return self._is_leaving

    def start_leaving(self) -> None:
        """Refuse new attempts from now on.

        The refusal is made here, at the endpoint itself: an entry that has
        not yet heard of the leaving still cannot bring it new work.
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
            The incarnation of this agent that the entry knows. A request that
            was held up in the network until after a restart names an old one.
            The entry may by then have been told that the outcome is unknown
            or that nothing ran, so running it now would break that word.
        organisation : str
        remaining_ms : int
            Time left until the caller's deadline.
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
        refusal = self._refusal(attempt_id, incarnation, remaining_ms)
        if entry is not None or refusal is not None:
            self._tombstones[attempt_id] = now
            return Refused(refusal or AttemptRefusalReason.TOMBSTONED)
        self._entries[attempt_id] = _Entry(organisation, Phase.RUNNING)
        self._running += 1
        return Accepted()

    def settle(
        self, attempt_id: str, incarnation: str, organisation: str, now: Millis
    ) -> AlreadyKnown | NotRun | OutcomeUnknown:
        """Answer whether an attempt ran, and make the answer final.

        An attempt not seen is tombstoned before ``NotRun`` is said. Without
        that, its dispatch could still arrive late over the old connection and
        run after the caller was told that it had not.
        """
        entry = self._entries.get(attempt_id)
        if entry is not None and entry.organisation == organisation:
            return AlreadyKnown(entry.phase)
        if attempt_id in self._tombstones:
            return NotRun()
        if incarnation != self.incarnation or self._may_be_forgotten(attempt_id):
            return OutcomeUnknown()
        self._tombstones[attempt_id] = now
        return NotRun()

    def get_phase(self, attempt_id: str, organisation: str) -> Phase | None:
        """Return the phase of an attempt of this organisation, if seen.

        Answers belong to the organisation that asked for them; to any other
        an attempt looks as if it had never been seen.
        """
        entry = self._entries.get(attempt_id)
        if entry is None or entry.organisation != organisation:
            return None
        return entry.phase

    def adopt(self, attempt_id: str, organisation: str) -> None:
        """Take over an attempt that the endpoint ran for an older incarnation."""
        self._entries[attempt_id] = _Entry(organisation, Phase.RUNNING)
        self._running += 1

    def record_end(self, attempt_id: str, phase: Phase, now: Millis) -> None:
        """Record that a running attempt is done or has failed."""
        entry = self._entries[attempt_id]
        if entry.phase is not Phase.RUNNING:
            return
        entry.phase = phase
        self._settled[attempt_id] = now
        self._running -= 1

    def expired_texts(self, now: Millis) -> list[str]:
        """Return attempts whose text is kept no longer.

        Their ids are kept on: without them a repeat of a request that ran
        would look like one never seen, and would run a second time.
        """
        old = []
        for attempt_id, settled_at in self._settled.items():
            if now - settled_at <= _KEPT_TEXT_MS:
                break
            old.append(attempt_id)
        return old

    def evict_expired(self, now: Millis) -> None:
        """Forget ids that are too old to be asked for.

        From then on nothing is said of any id as old as those: see
        :meth:`_may_be_forgotten`.
        """
        for ids in (self._settled, self._tombstones):
            while ids and now - next(iter(ids.values())) > _KEPT_ID_MS:
                attempt_id, _ = ids.popitem(last=False)
                self._entries.pop(attempt_id, None)
                minted = attempt_created_at(attempt_id)
                self._forgotten_up_to = max(self._forgotten_up_to, minted)

    def _may_be_forgotten(self, attempt_id: str) -> bool:
        if self._forgotten_up_to < 0:
            return False
        return attempt_created_at(attempt_id) <= self._forgotten_up_to + _CLOCK_SKEW_MS

    def _refusal(
        self, attempt_id: str, incarnation: str, remaining_ms: Millis
    ) -> AttemptRefusalReason | None:
        if incarnation != self.incarnation:
            return AttemptRefusalReason.WRONG_INCARNATION
        if self._may_be_forgotten(attempt_id):
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
