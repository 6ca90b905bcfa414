"""``azurefold apply``: make a text the accepted configuration."""

import uuid
from dataclasses import dataclass
from typing import Any

import gevent

from azurefold.border.configuration import ConfigurationModel
from azurefold.commands.accepted import AcceptedText, read_accepted
from azurefold.commands.fleet import Fleet
from azurefold.commands.reports import Exit, Report, unavailable_report
from azurefold.commands.waiting import wait_until_in_force
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.acceptance import (
    Acceptance,
    AcceptanceUnknown,
    Accepted,
    NotAccepted,
    Outcome,
    Submit,
    WriteNotApplied,
)
from azurefold.core.configuration.changes import find_changed_names
from azurefold.core.configuration.head import HeadId, build_next_head
from azurefold.core.configuration.sections import content_hash, split_configuration
from azurefold.site_store.configuration_store import ConfigurationStore, EditRecord
from azurefold.site_store.messages import Unavailable

__all__ = ["ApplyOptions", "apply"]

_MOST_EDITS_SHOWN = 50
_SECOND_MS = 1_000


@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """How to apply.

    Parameters
    ----------
    base : int or None
        Revision that the text was made from.
    author : str
        Noted beside the edit.
    wait : bool
        Whether to wait until it is in force everywhere.
    accept_timeout_ms, wait_timeout_ms : int
        How long to ask for the outcome, and for its being in force.
    over_restored : bool
        Whether to go on although processes hold a higher revision than the
        platform shows.
    """

    base: int | None
    author: str = ""
    wait: bool = True
    accept_timeout_ms: Millis = 10_000
    wait_timeout_ms: Millis = 10_000
    over_restored: bool = False


def apply(
    model: ConfigurationModel,
    store: ConfigurationStore,
    fleet: Fleet,
    clock: Clock,
    options: ApplyOptions,
) -> Report:
    """Try to have ``model`` accepted, and tell nothing but what is known."""
    accepted = read_accepted(store)
    if isinstance(accepted, Unavailable):
        return unavailable_report(accepted.reason)
    raw = model.to_raw()
    held = fleet.highest_revision()
    refusal = _refusal(accepted, raw, held, store, options)
    if refusal is not None:
        return refusal
    edit = _Edit(store, accepted, raw, held, options.author)
    outcome = edit.hand_in(clock, clock.now() + options.accept_timeout_ms)
    match outcome:
        case Accepted(head_id=head_id):
            return _after_acceptance(head_id, fleet, clock, options)
        case NotAccepted():
            return _not_accepted(outcome, accepted, store)
        case AcceptanceUnknown(head_id=head_id):
            return _still_unknown(head_id)


class _Edit:
    def __init__(
        self,
        store: ConfigurationStore,
        accepted: AcceptedText,
        raw: dict[str, Any],
        held: int,
        author: str,
    ) -> None:
        sections = split_configuration(raw)
        hashes = {name: content_hash(data) for name, data in sections.items()}
        known = set(accepted.base.head.sections.values())
        self._store = store
        self._version = accepted.base.version
        self._new = [d for n, d in sections.items() if hashes[n] not in known]
        edit_id = uuid.uuid4().hex
        self._head = build_next_head(
            accepted.base.head, edit_id, hashes, held_revision=held
        )
        changed = find_changed_names(accepted.raw, raw)
        self._record = EditRecord(edit_id, changed, author)

    def hand_in(self, clock: Clock, deadline: Millis) -> Outcome:
        acceptance = Acceptance(self._head, deadline)
        step = acceptance.start()
        while isinstance(step, Submit):
            gevent.sleep(step.after_ms / _SECOND_MS)
            step = acceptance.handle(self._try_once(), clock.now())
        return step

    def _try_once(self):
        # Contents go before each try: a store restored since the last one has
        # lost them, and the head would name what nobody can fetch.
        failed = self._store.put_contents(self._new)
        if failed is not None:
            return WriteNotApplied(failed.reason)
        return self._store.submit(self._head, self._version, self._record)


def _refusal(
    accepted: AcceptedText,
    raw: dict[str, Any],
    held: int,
    store: ConfigurationStore,
    options: ApplyOptions,
) -> Report | None:
    present = accepted.base.head.revision
    if options.base is None and present:
        line = (
            f"not accepted: say with --base which revision the text was made from; "
            f"revision {present} is accepted now, azurefold diff compares with it"
        )
        return Report(Exit.REFUSED, (line,), {"present": present})
    if (options.base or 0) != present:
        return _lost_base(options.base or 0, present, store)
    if held > present and not options.over_restored:
        line = (
            f"not accepted: processes hold revision {held}, the platform shows "
            f"{present}, so its store is an older copy; wait until the held one is "
            f"written back, or replace it with --over_restored"
        )
        return Report(Exit.REFUSED, (line,), {"present": present, "held": held})
    if not find_changed_names(accepted.raw, raw):
        line = f"nothing to do: the text is what revision {present} says"
        return Report(Exit.OK, (line,), {"revision": present})
    return None


def _lost_base(base: int, present: int, store: ConfigurationStore) -> Report:
    first = max(base + 1, present - _MOST_EDITS_SHOWN + 1)
    records = store.edits(range(first, present + 1))
    if isinstance(records, Unavailable):
        return unavailable_report(records.reason)
    lines = [f"not accepted: the base is revision {base}, accepted is {present}"]
    lines += [_edit_line(revision, each) for revision, each in records.items()]
    lines.append(f"take these changes into the text and apply with --base {present}")
    data = {"base": base, "present": present, "edits": records}
    return Report(Exit.REFUSED, tuple(lines), data)


def _edit_line(revision: int, record: EditRecord) -> str:
    by = f" by {record.author}" if record.author else ""
    return f"  revision {revision}{by} changed {', '.join(record.changed) or 'nothing'}"


def _not_accepted(
    outcome: NotAccepted, accepted: AcceptedText, store: ConfigurationStore
) -> Report:
    if outcome.current is not None:
        base = accepted.base.head.revision
        return _lost_base(base, outcome.current.revision, store)
    line = f"not accepted: {outcome.reason}; nothing was changed, try again"
    return Report(Exit.UNAVAILABLE, (line,), {"reason": outcome.reason})


def _still_unknown(head_id: HeadId) -> Report:
    line = (
        f"unknown whether revision {head_id.revision} was accepted as edit "
        f"{head_id.edit_id}: the platform's answers were lost; ask again with "
        f"azurefold outcome {head_id.revision} {head_id.edit_id}"
    )
    return Report(Exit.UNKNOWN, (line,), head_id)


def _after_acceptance(
    head_id: HeadId, fleet: Fleet, clock: Clock, options: ApplyOptions
) -> Report:
    lines = [f"accepted: revision {head_id.revision}, edit {head_id.edit_id}"]
    data = {"mark": head_id, "reach": []}
    if not options.wait:
        return Report(Exit.OK, tuple(lines), data)
    since = clock.now()
    until = since + options.wait_timeout_ms
    reach = wait_until_in_force(head_id, fleet, clock, since, until)
    lines += [each.line() for each in reach]
    data["reach"] = reach
    if not reach:
        lines.append("no control processes in the settings: nobody was asked")
    everywhere = all(each.in_force_after_ms is not None for each in reach)
    return Report(Exit.OK if everywhere else Exit.NOT_REACHED, tuple(lines), data)
