"""``azurefold drain``: have an endpoint leave and wait until it is empty."""

from collections.abc import Callable, Sequence
from typing import Protocol

import gevent

from azurefold.border.orders import DRAIN, DrainReply, DrainRequest
from azurefold.border.settings import OperatorControl
from azurefold.commands.reports import Exit, Report
from azurefold.core.clock import Clock, Millis
from azurefold.internal.clock import wall_clock
from azurefold.internal.identity import process_identity
from azurefold.internal.process import ring_from_settings
from azurefold.wire.grpc_caller import CallError, caller

__all__ = ["ControlCaller", "control_callers", "drain"]

_ASK_EVERY_MS: Millis = 300
_CALL_TIMEOUT_MS: Millis = 2_000
_SECOND_MS = 1_000
_NOBODY = "the settings need keys, and controls with a gRPC address"


class ControlCaller(Protocol):
    """What gives an order to one control process."""

    def call(
        self,
        method: str,
        request: object,
        response_type: type,
        timeout_ms: Millis,
    ) -> DrainReply:
        """Return the reply or raise ``CallError``."""


def control_callers(
    controls: Sequence[OperatorControl], keys: Sequence
) -> list[ControlCaller]:
    """Return callers of those control processes that have a gRPC address.

    None without keys: every process would refuse the order.
    """
    if not keys:
        return []
    ring = ring_from_settings(keys)
    identity = process_identity("operator", ring, wall_clock())
    return [
        caller(control.grpc, ring, identity.sealer, recipient=control.name)
        for control in controls
        if control.grpc is not None
    ]


def drain(
    endpoint: str,
    callers: Sequence[ControlCaller],
    clock: Clock,
    say: Callable[[str], None],
    until: Millis,
) -> Report:
    """Order the drain again and again until the endpoint is empty.

    The order is idempotent, so a lost reply costs a repeat and nothing else.
    """
    if not callers:
        return _report(endpoint, None, _NOBODY)
    reply, reason = _ask_any(endpoint, callers)
    while not _is_empty(reply) and clock.now() < until:
        if reply is not None and reply.leaving:
            say(f"{endpoint}: takes no new work, {reply.in_flight} in flight")
        gevent.sleep(_ASK_EVERY_MS / _SECOND_MS)
        reply, reason = _ask_any(endpoint, callers)
    return _report(endpoint, reply, reason)


def _ask_any(
    endpoint: str, callers: Sequence[ControlCaller]
) -> tuple[DrainReply | None, str]:
    reasons = []
    for each in callers:
        try:
            request = DrainRequest(endpoint)
            reply = each.call(DRAIN, request, DrainReply, _CALL_TIMEOUT_MS)
        except CallError as error:
            reasons.append(str(error))
            continue
        if reply.known:
            return reply, ""
        reasons.append("the endpoint is not known there")
    return None, "; ".join(reasons)


def _is_empty(reply: DrainReply | None) -> bool:
    return reply is not None and reply.leaving and reply.in_flight == 0


def _report(endpoint: str, reply: DrainReply | None, reason: str) -> Report:
    if reply is None:
        line = f"{endpoint}: no control process could pass the order on: {reason}"
        return Report(Exit.UNAVAILABLE, (line,), {"reason": reason})
    if _is_empty(reply):
        return Report(Exit.OK, (f"{endpoint}: drained, nothing in flight",), reply)
    if not reply.leaving:
        line = f"{endpoint}: its agent has not confirmed that it is leaving"
        return Report(Exit.NOT_REACHED, (line,), reply)
    line = f"{endpoint}: takes no new work, still {reply.in_flight} in flight"
    return Report(Exit.NOT_REACHED, (line,), reply)
