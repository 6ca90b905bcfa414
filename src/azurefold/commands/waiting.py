"""Waiting until a revision is in force in every data centre."""

from dataclasses import dataclass

import gevent

from azurefold.commands.fleet import ControlStatus, Fleet, Silent
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.head import HeadId

__all__ = ["Reach", "wait_until_in_force"]

_ASK_EVERY_MS = 100
_SECOND_MS = 1_000


@dataclass(frozen=True, slots=True)
class Reach:
    """How a revision came to one data centre.

    Parameters
    ----------
    data_centre : str
        Its name.
    in_force_after_ms : int or None
        Time from acceptance until all of its control processes had it, seen
        from here; ``None`` if not all did in time.
    missing : tuple of str
        Control processes that did not have it, with what they said instead.
    """

    data_centre: str
    in_force_after_ms: Millis | None
    missing: tuple[str, ...] = ()

    def line(self) -> str:
        """Return this in words."""
        if self.in_force_after_ms is not None:
            return f"{self.data_centre}: in force after {self.in_force_after_ms} ms"
        return f"{self.data_centre}: not reached ({'; '.join(self.missing)})"


def wait_until_in_force(
    head_id: HeadId, fleet: Fleet, clock: Clock, since: Millis, until: Millis
) -> list[Reach]:
    """Ask until every data centre has ``head_id``, or time is up.

    Parameters
    ----------
    head_id : HeadId
        What was accepted.
    fleet : Fleet
        Whom to ask.
    clock : Clock
        Monotonic.
    since, until : int
        When it was accepted, and when to give up.
    """
    names = sorted({control.data_centre for control in fleet.controls})
    reached: dict[str, Reach] = {}
    while True:
        missing = _missing(head_id, fleet.statuses())
        now = clock.now()
        for name in names:
            if name not in reached and name not in missing:
                reached[name] = Reach(name, now - since)
        if len(reached) == len(names) or now >= until:
            break
        gevent.sleep(_ASK_EVERY_MS / _SECOND_MS)
    absent = {name: Reach(name, None, tuple(missing.get(name, ()))) for name in names}
    return [reached.get(name, absent[name]) for name in names]


def _missing(
    head_id: HeadId, statuses: list[ControlStatus | Silent]
) -> dict[str, list[str]]:
    missing: dict[str, list[str]] = {}
    for status in statuses:
        said = _lack(head_id, status)
        if said is not None:
            missing.setdefault(status.data_centre, []).append(f"{status.name} {said}")
    return missing


def _lack(head_id: HeadId, status: ControlStatus | Silent) -> str | None:
    match status:
        case Silent(reason=reason):
            return f"gives no status: {reason}"
        case ControlStatus(revision=revision) if revision < head_id.revision:
            return f"holds revision {revision}"
        case ControlStatus(revision=revision, edit_id=edit_id):
            # The same number may stand for another edit after a restore.
            if revision == head_id.revision and edit_id not in ("", head_id.edit_id):
                return f"holds another edit as revision {revision}"
    return None
