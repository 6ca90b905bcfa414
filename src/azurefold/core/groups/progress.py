"""Detection of a coordinator that holds the lease and makes no progress.

A lease shows that its holder is alive, not that it does its work. A coordinator whose
loop is blocked while heartbeats go on would keep a group held, and all its streams
with it, until the process is replaced.
"""

from dataclasses import dataclass, field
from enum import Enum

from azurefold.core.clock import Millis

__all__ = ["LoopProgress", "ProgressMonitor", "ProgressPolicy", "StallReason"]


class StallReason(Enum):
    """What makes a loop count as stalled."""

    BLOCKED = "loop_blocked"
    OVERDUE = "phase_overdue"


@dataclass(frozen=True, slots=True)
class ProgressPolicy:
    """When a loop counts as stalled.

    Blocked loops are counted in checks, not in time: in a process that was paused
    neither the loop nor the checks went on.

    Parameters
    ----------
    checks_while_urgent : int
        Checks in a row without a turn of the loop while a group may be held.
    checks_otherwise : int
        The same while all groups run: a loop may then ask all ranks of a group, of
        which some do not answer.
    max_overdue : int
        Milliseconds for which a phase of a change may last beyond its own timeout.
    """

    checks_while_urgent: int = 5
    checks_otherwise: int = 30
    max_overdue: Millis = 400


@dataclass(frozen=True, slots=True)
class LoopProgress:
    """What a loop has done so far.

    Parameters
    ----------
    turns : int
        Number of times that the loop has turned.
    is_urgent : bool
        Whether a group may be held meanwhile.
    overdue : int
        Milliseconds since the timeout of the present phase; negative before it.
    """

    turns: int
    is_urgent: bool
    overdue: Millis = -1


@dataclass(slots=True)
class ProgressMonitor:
    """Judges one loop by the progress that it reports at regular checks.

    Parameters
    ----------
    policy : ProgressPolicy

    Examples
    --------
    >>> monitor = ProgressMonitor(ProgressPolicy(checks_while_urgent=2))
    >>> [monitor.check(LoopProgress(turns, True)) for turns in (7, 8, 8)]
    [None, None, None]
    >>> monitor.check(LoopProgress(8, True))
    <StallReason.BLOCKED: 'loop_blocked'>
    """

    policy: ProgressPolicy = field(default_factory=ProgressPolicy)
    _turns: int = -1
    _checks_without_turn: int = 0

    def check(self, progress: LoopProgress) -> StallReason | None:
        """Return why the loop counts as stalled; None if it does not."""
        if progress.turns == self._turns:
            self._checks_without_turn += 1
        else:
            self._turns, self._checks_without_turn = progress.turns, 0
        policy = self.policy
        allowed = (
            policy.checks_while_urgent
            if progress.is_urgent
            else policy.checks_otherwise
        )
        if self._checks_without_turn >= allowed:
            return StallReason.BLOCKED
        if progress.overdue > policy.max_overdue:
            return StallReason.OVERDUE
        return None
