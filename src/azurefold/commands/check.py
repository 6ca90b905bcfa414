"""``azurefold check``, ``diff`` and ``show``: looking without changing."""

import json

from azurefold.border.configuration import ConfigurationModel
from azurefold.commands.accepted import AcceptedText, read_accepted
from azurefold.commands.reports import Exit, Report, unavailable_report
from azurefold.core.configuration.changes import Change, ChangeKind, find_changes
from azurefold.site_store.configuration_store import ConfigurationStore
from azurefold.site_store.messages import Unavailable

__all__ = ["check", "diff", "show"]

_MOST_SHOWN = 200
_SIGNS = {ChangeKind.ADDED: "+", ChangeKind.REMOVED: "-", ChangeKind.CHANGED: "~"}


def check(model: ConfigurationModel) -> Report:
    """Report on a text that passed all checks."""
    counts = {
        "services": len(model.services),
        "organisations": len(model.organisations),
        "endpoints": sum(len(each.endpoints) for each in model.services.values()),
    }
    told = ", ".join(f"{name} {count}" for name, count in counts.items())
    return Report(Exit.OK, (f"good: {told}",), counts)


def diff(model: ConfigurationModel, store: ConfigurationStore) -> Report:
    """Compare a text with what is accepted."""
    accepted = read_accepted(store)
    if isinstance(accepted, Unavailable):
        return unavailable_report(accepted.reason)
    found = find_changes(accepted.raw, model.to_raw())
    revision = accepted.base.head.revision
    lines = [f"compared with revision {revision}: {len(found)} changes"]
    lines += [_line(change) for change in found[:_MOST_SHOWN]]
    if len(found) > _MOST_SHOWN:
        lines.append(f"... and {len(found) - _MOST_SHOWN} more; --json shows all")
    return Report(Exit.OK, tuple(lines), {"revision": revision, "changes": found})


def show(store: ConfigurationStore) -> Report:
    """Print what is accepted, to start an edit from."""
    accepted = read_accepted(store)
    if isinstance(accepted, Unavailable):
        return unavailable_report(accepted.reason)
    revision = accepted.base.head.revision
    data = {"revision": revision, "configuration": accepted.raw}
    return Report(Exit.OK, _text(accepted), data)


def _text(accepted: AcceptedText) -> tuple[str, ...]:
    revision = accepted.base.head.revision
    head = f"// revision {revision}; apply changes with --base {revision}"
    return head, json.dumps(accepted.raw, indent=2, ensure_ascii=False)


def _line(change: Change) -> str:
    sign = _SIGNS[change.kind]
    match change.kind:
        case ChangeKind.ADDED:
            return f"{sign} {change.path}: {json.dumps(change.new)}"
        case ChangeKind.REMOVED:
            return f"{sign} {change.path}: {json.dumps(change.old)}"
        case ChangeKind.CHANGED:
            old, new = json.dumps(change.old), json.dumps(change.new)
            return f"{sign} {change.path}: {old} -> {new}"
