"""Graceful stop of a gateway."""

import logging

import gevent

from azurefold.core.clock import Millis
from azurefold.gateway.callers.calls import StoppedError
from azurefold.gateway.state import FINAL_ANSWERS_MS, GatewayState
from azurefold.internal.http_server import TimedServer
from azurefold.internal.logs import log_event

__all__ = ["drain"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_POLL_INTERVAL_MS: Millis = 50

_LISTEN_AFTER_STOP_MS: Millis = 3_200
"""The balancer in front checks each second and needs two misses. Until then it
sends new connections, which a closed port would reset."""

_READ_AFTER_CLOSE_MS: Millis = 200
"""For the requests on the connections that were accepted last."""


def drain(state: GatewayState, callers: TimedServer) -> int:
    """Finish what is in flight and stop.

    Returns
    -------
    int
        0, or 1 if answers were cut off.
    """
    state.begin_drain()
    began = state.drain_began
    log_event(_log, "draining", in_flight=state.in_flight)
    is_listening = True
    given_up: set[gevent.Greenlet] = set()
    while (now := state.clock.now()) < state.stops_at:
        waited = now - began
        is_ending = state.stops_at - now <= FINAL_ANSWERS_MS
        if is_listening and (waited >= _LISTEN_AFTER_STOP_MS or is_ending):
            callers.accept_pending_and_close()
            is_listening = False
        may_exit = waited >= _LISTEN_AFTER_STOP_MS + _READ_AFTER_CLOSE_MS
        if may_exit and state.in_flight + state.unwritten == 0:
            break
        if is_ending:
            given_up |= _stop_requests(state)
        gevent.sleep(_POLL_INTERVAL_MS / _SECOND_MS)
    cut_off = state.in_flight + state.unwritten
    log_event(_log, "stopped", cut_off=cut_off, given_up=len(given_up))
    return 1 if cut_off else 0


def _stop_requests(state: GatewayState) -> frozenset[gevent.Greenlet]:
    """End unanswered requests with an error, and return their greenlets."""
    greenlets = frozenset(state.unanswered)
    for greenlet in greenlets:
        gevent.get_hub().loop.run_callback(_stop_request, state, greenlet)
    return greenlets


def _stop_request(state: GatewayState, greenlet: gevent.Greenlet) -> None:
    # The request may have been answered since this was scheduled.
    if greenlet in state.unanswered:
        greenlet.throw(StoppedError("stopping"))
