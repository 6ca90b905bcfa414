"""Puts an entry process together and runs it until it is told to stop."""

import logging
from dataclasses import dataclass

import gevent
from gevent.pywsgi import WSGIServer

from azurefold.border.settings import EntrySettings
from azurefold.core.clock import Millis
from azurefold.entry.agents import new_agents
from azurefold.entry.claims import new_claim_writer
from azurefold.entry.decisions import DecisionsCollector
from azurefold.entry.far import new_far_lookup
from azurefold.entry.http_api import entry_app
from azurefold.entry.metrics import new_entry_metrics
from azurefold.entry.organisations import new_organisations
from azurefold.entry.services import new_services
from azurefold.entry.state import EntryLimits, EntryState
from azurefold.entry.watcher import Watcher
from azurefold.internal.admin_http import AdminViews, admin_server
from azurefold.internal.caller_metrics import CallerLimitsCollector
from azurefold.internal.clock import monotonic_clock, wall_clock
from azurefold.internal.http_server import http_server
from azurefold.internal.identity import Identity, process_identity
from azurefold.internal.logs import configure_logging, log_event
from azurefold.internal.loops import spawn_loop
from azurefold.internal.process import (
    load_or_exit,
    ring_from_settings,
    stop_requested,
)
from azurefold.internal.process_limits import (
    GRPC_OWN_BYTES,
    new_process_limits,
)
from azurefold.site_store.client import platform_client
from azurefold.wire.grpc_caller import caller
from azurefold.wire.grpc_service import use_gevent

__all__ = ["run_entry"]

_log = logging.getLogger("azurefold.entry")

_SECOND_MS = 1_000
_TICK_MS: Millis = 250
_NOTICE_MS: Millis = 200


@dataclass(frozen=True, slots=True)
class _Entry:
    settings: EntrySettings
    identity: Identity
    state: EntryState
    callers: WSGIServer
    admin: WSGIServer


def run_entry(path: str) -> int:
    """Serve callers with the settings in ``path`` until SIGTERM.

    Returns
    -------
    int
        0 after a stop that cut nothing off, 1 if requests were still in
        flight when the drain timeout passed.
    """
    settings = load_or_exit(path, EntrySettings)
    configure_logging(settings.name)
    use_gevent()
    entry = _build(settings)
    stop = stop_requested()
    entry.callers.start()
    entry.admin.start()
    spawn_loop(_tick_for_ever, entry.state)
    log_event(_log, "started", name=settings.name, listen=settings.listen)
    stop.wait()
    return _drain(entry)


def _build(settings: EntrySettings) -> _Entry:
    clock, wall = monotonic_clock(), wall_clock()
    ring = ring_from_settings(settings.keys)
    identity = process_identity(settings.name, ring, wall)
    claims = new_claim_writer(
        platform_client(settings.platform, settings.platform_timeout_ms)
    )
    claims.start()
    limits = settings.limits
    metrics = new_entry_metrics(clock)
    state = EntryState(
        services=new_services(clock, seed=identity.incarnation),
        organisations=new_organisations(clock, identity.incarnation, settings.name),
        agents=new_agents(identity, clock, metrics.dropped),
        claims=claims,
        metrics=metrics,
        clock=clock,
        wall=wall,
        limits=EntryLimits(limits.max_body_bytes, limits.body_timeout_ms),
    )
    control = caller(
        settings.control, ring, identity.sealer, recipient=settings.control_name
    )
    state.services.ask_far = new_far_lookup(control, clock)
    spawn_loop(Watcher(control, state.services, state.organisations).run)
    views = AdminViews(
        registry=state.metrics.registry,
        is_ready=lambda: state.services.ready and not state.draining,
        status=lambda: _status(settings, state),
    )
    metrics.registry.register(DecisionsCollector(state))
    process = new_process_limits(
        settings.memory_bytes, settings.descriptors, GRPC_OWN_BYTES
    )
    connections = process.caller_connections("azurefold.entry")
    admin = admin_server(settings.metrics, views, "azurefold.entry.admin", process)
    collector = CallerLimitsCollector(process.budget, [connections, admin.connections])
    metrics.registry.register(collector)
    return _Entry(
        settings=settings,
        identity=identity,
        state=state,
        callers=http_server(
            settings.listen,
            entry_app(state),
            "azurefold.entry",
            limits.header_timeout_ms,
            connections=connections,
        ),
        admin=admin,
    )


def _tick_for_ever(state: EntryState) -> None:
    while True:
        gevent.sleep(_TICK_MS / _SECOND_MS)
        state.services.tick()
        state.organisations.tick()


def _status(settings: EntrySettings, state: EntryState) -> dict[str, object]:
    return {
        "role": "entry",
        "name": settings.name,
        "data_centre": settings.data_centre,
        "revision": state.services.revision,
        "draining": state.draining,
        "in_flight": state.in_flight,
        "services": {
            service.view.name: {
                "waiting": service.admission.waiting,
                "in_flight": service.admission.pool.in_flight,
                "endpoints": list(service.admission.pool.endpoints),
                "ejected": sorted(service.admission.pool.ejected),
            }
            for service in state.services.all()
        },
    }


def _drain(entry: _Entry) -> int:
    """Finish what is in flight, refuse what is new, then stop.

    The port stays open for a moment while ``/readyz`` already says no: the
    balancer in front needs time to notice, and callers it still sends get a
    proper refusal, where a closed port would give them a broken connection
    and no word on whether their request ran.
    """
    state = entry.state
    state.draining = True
    log_event(_log, "draining", in_flight=state.in_flight)
    left = entry.settings.limits.drain_timeout_ms
    gevent.sleep(_NOTICE_MS / _SECOND_MS)
    while state.in_flight > 0 and left > 0:
        gevent.sleep(_NOTICE_MS / _SECOND_MS)
        left -= _NOTICE_MS
    cut_off = state.in_flight
    entry.callers.stop(timeout=1)
    entry.admin.stop(timeout=1)
    log_event(_log, "stopped", cut_off=cut_off)
    return 1 if cut_off else 0
