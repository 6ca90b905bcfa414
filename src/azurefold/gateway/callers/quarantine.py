"""Whether a request may be sent, by what is known of requests that crash endpoints."""

import logging
from enum import StrEnum
from zlib import crc32

from azurefold.core.attempts.crashes import CRASHES_ENDPOINTS, Quarantine
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.attempts.part_trials import TrialOnly, TrialRequest
from azurefold.core.clock import Millis
from azurefold.gateway.callers.calls import Call
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event

__all__ = ["Restriction", "admit", "refusal", "restriction_on", "take_trial"]

_log = logging.getLogger("azurefold.gateway")

_TRIAL_RETRY_MS: Millis = 1_000
"""By then another prompt's trial may have cleared this one's parts."""


class Restriction(StrEnum):
    """Why a request is not sent."""

    QUARANTINED = CRASHES_ENDPOINTS
    ON_TRIAL = "may_crash_endpoints"


_DETAILS = {
    Restriction.QUARANTINED: "The request was not run: endpoints that ran it crashed.",
    Restriction.ON_TRIAL: "The request was not run: it may crash endpoints.",
}


def restriction_on(call: Call, state: GatewayState) -> Restriction | None:
    """Return why a request must not be sent now, logged; None if it may."""
    match verdict := _judge(call, state):
        case Quarantine():
            restriction = Restriction.QUARANTINED
        case TrialOnly() if not state.part_trials.may_try(
            _trial_request(verdict, call, state)
        ):
            restriction = Restriction.ON_TRIAL
        case _:
            return None
    _log_refusal(call, state, verdict, restriction)
    return restriction


def admit(call: Call, state: GatewayState) -> Restriction | None:
    """Return the same for a request that has just arrived."""
    if isinstance(_judge(call, state), TrialOnly):
        state.part_trials.record_prompt(state.clock.now())
    return restriction_on(call, state)


def take_trial(call: Call, state: GatewayState) -> Restriction | None:
    """Return the same right before a request is sent, and count a trial as sent."""
    restriction = restriction_on(call, state)
    if restriction is None and isinstance(verdict := _judge(call, state), TrialOnly):
        state.part_trials.record_sent(_trial_request(verdict, call, state))
        state.demand_changed.set()
        log_event(
            _log,
            "part_trial_sent",
            logging.WARNING,
            request=call.id,
            parts=call.head.parts_text,
            crashes=verdict.crashes,
        )
    return restriction


def refusal(restriction: Restriction) -> Failure:
    """Return the answer to a request that is not sent."""
    retry_after = _TRIAL_RETRY_MS if restriction is Restriction.ON_TRIAL else None
    detail = _DETAILS[restriction]
    return Failure(RunStatus.NOT_RUN, restriction, detail, retry_after)


def _judge(call: Call, state: GatewayState) -> Quarantine | TrialOnly | None:
    now = state.clock.now()
    quarantine = state.crashes.get_quarantine(call.identity, now)
    return quarantine or state.crashing_parts.judge(call.head.shared_parts, now)


def _trial_request(verdict: TrialOnly, call: Call, state: GatewayState) -> TrialRequest:
    return TrialRequest(
        verdict,
        now=state.clock.now(),
        arrived=call.arrived,
        draw=crc32(call.id.encode()) / 2**32,
        node=state.settings.name,
        nodes=state.node_names,
        shared_now=state.store_now,
    )


def _log_refusal(
    call: Call,
    state: GatewayState,
    verdict: Quarantine | TrialOnly,
    restriction: Restriction,
) -> None:
    now = state.clock.now()
    times = {}
    if isinstance(verdict, Quarantine):
        times = {"age_ms": now - verdict.since, "left_ms": verdict.until - now}
    log_event(
        _log,
        "request_quarantined",
        logging.WARNING,
        request=call.id,
        identity=f"{call.identity:016x}",
        parts=call.head.parts_text,
        service=call.service,
        why=restriction,
        crashes=verdict.crashes,
        **times,
    )
