"""``azurefold status``, ``watch`` and ``outcome``: what is in force where."""

from collections.abc import Callable

import gevent

from azurefold.commands.fleet import ControlStatus, Fleet, Silent
from azurefold.commands.reports import Exit, Report, unavailable_report
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.head import NO_HEAD, HeadId
from azurefold.core.configuration.messages import PollFailed
from azurefold.site_store.configuration_store import ConfigurationStore
from azurefold.site_store.messages import Unavailable

__all__ = ["outcome", "status", "watch"]

_LOOK_EVERY_MS: Millis = 500
_SECOND_MS = 1_000


def status(store: ConfigurationStore, fleet: Fleet) -> Report:
    """Tell what the platform shows and what each control process holds."""
    head_id = _platform_mark(store)
    statuses = fleet.statuses()
    lines = [_platform_line(head_id), *map(_control_line, statuses)]
    behind = [each for each in statuses if _is_behind(each, head_id)]
    code = Exit.NOT_REACHED if behind else Exit.OK
    return Report(code, tuple(lines), {"platform": head_id, "controls": statuses})


def watch(
    store: ConfigurationStore,
    fleet: Fleet,
    clock: Clock,
    say: Callable[[str], None],
    until: Millis | None,
) -> Report:
    """Say each change of what is in force, until ``until`` or an interrupt."""
    shown: dict[str, str] = {}
    try:
        while until is None or clock.now() < until:
            report = status(store, fleet)
            for place, line in enumerate(report.lines):
                if shown.get(str(place)) != line:
                    shown[str(place)] = line
                    say(line)
            gevent.sleep(_LOOK_EVERY_MS / _SECOND_MS)
    except KeyboardInterrupt:
        pass
    return Report(Exit.OK, (), None)


def outcome(store: ConfigurationStore, revision: int, edit_id: str) -> Report:
    """Tell what became of an edit whose answer was lost."""
    holder = store.edit_of(revision)
    if isinstance(holder, Unavailable):
        return unavailable_report(holder.reason)
    data = {"revision": revision, "edit_id": edit_id, "holder": holder}
    if holder == edit_id:
        return Report(Exit.OK, (f"accepted as revision {revision}",), data)
    if holder:
        line = f"not accepted: revision {revision} is edit {holder}"
        return Report(Exit.REFUSED, (line,), data)
    line = f"unknown: revision {revision} is not there; a slow write may yet land"
    return Report(Exit.UNKNOWN, (line,), data)


def _platform_mark(store: ConfigurationStore) -> HeadId | None:
    polled = store.poll()
    if isinstance(polled, PollFailed):
        return None
    return polled.head_id if polled.head_id is not None else NO_HEAD.head_id


def _platform_line(head_id: HeadId | None) -> str:
    if head_id is None:
        return "platform: no answer"
    return f"platform: revision {head_id.revision}, edit {head_id.edit_id or 'none'}"


def _control_line(status: ControlStatus | Silent) -> str:
    where = f"{status.data_centre}/{status.name}"
    match status:
        case Silent(reason=reason):
            return f"{where}: no status: {reason}"
        case ControlStatus(revision=revision, edit_id=edit_id, alarms=alarms):
            alarm = f", alarms: {'; '.join(alarms)}" if alarms else ""
            return f"{where}: revision {revision}, edit {edit_id or 'none'}{alarm}"


def _is_behind(status: ControlStatus | Silent, head_id: HeadId | None) -> bool:
    if isinstance(status, Silent):
        return True
    return head_id is not None and status.revision < head_id.revision
