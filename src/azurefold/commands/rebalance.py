"""``azurefold rebalance``: decide on a group's expert map now, or explain."""

from collections.abc import Sequence

from azurefold.commands.drain import ControlCaller
from azurefold.commands.reports import Exit, Report
from azurefold.core.clock import Millis
from azurefold.wire.group_maps import METHOD_REBALANCE, Rebalance, RebalanceReply
from azurefold.wire.grpc_caller import CallError

__all__ = ["rebalance"]

_CALL_TIMEOUT_MS: Millis = 10_000
_NOBODY = "the settings need keys, and controls with a gRPC address"


def rebalance(
    group: str, callers: Sequence[ControlCaller], explain_only: bool
) -> Report:
    """Ask the control processes until the group's coordinator has decided."""
    reasons = [] if callers else [_NOBODY]
    for each in callers:
        request = Rebalance(group, explain_only)
        try:
            reply = each.call(
                METHOD_REBALANCE, request, RebalanceReply, _CALL_TIMEOUT_MS
            )
        except CallError as error:
            reasons.append(str(error))
            continue
        if reply.decided:
            return _report(group, reply, explain_only)
        reasons.append(reply.detail)
    why = "; ".join(dict.fromkeys(reasons))
    line = f"{group}: no decision: {why}"
    return Report(Exit.UNAVAILABLE, (line,), {"reason": why})


def _report(group: str, reply: RebalanceReply, explain_only: bool) -> Report:
    lines = (reply.text.rstrip("\n"), _outcome(group, reply, explain_only))
    failed = reply.map_id and not reply.begun and not explain_only
    return Report(Exit.REFUSED if failed else Exit.OK, lines, reply)


def _outcome(group: str, reply: RebalanceReply, explain_only: bool) -> str:
    if not reply.map_id:
        return f"{group}: the present map stays"
    if explain_only:
        return f"{group}: would change to map {reply.map_id}; nothing was changed"
    if not reply.begun:
        return (
            f"{group}: the change to map {reply.map_id} has not begun: {reply.detail}"
        )
    return f"{group}: changing to map {reply.map_id}; see azurefold status"
