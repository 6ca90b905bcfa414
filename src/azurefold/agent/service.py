"""Puts an agent process together and runs it until it is told to stop."""

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import falcon
import gevent

from azurefold.agent.auth import RequireSignature
from azurefold.agent.endpoint import ModelEngine, PlainService
from azurefold.agent.heartbeats import Heartbeats, new_heartbeats
from azurefold.agent.http_api import attempt_routes
from azurefold.agent.leaving import leave_route
from azurefold.agent.metrics import AgentMetrics, new_agent_metrics
from azurefold.agent.runner import Runner, new_runner
from azurefold.border.settings import AgentSettings
from azurefold.core.attempts.ledger import new_ledger
from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import State
from azurefold.internal.admin_http import AdminViews, admin_server
from azurefold.internal.caller_metrics import CallerLimitsCollector
from azurefold.internal.clock import monotonic_clock, wall_clock
from azurefold.internal.http_server import TimedServer, http_server
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
    ProcessLimits,
    new_process_limits,
)

if TYPE_CHECKING:
    from azurefold.agent.expert_maps import ExpertMaps

__all__ = ["run_agent"]

_log = logging.getLogger("azurefold.agent")

_SECOND_MS = 1_000
_TICK_MS: Millis = 1_000
_POLL_MS: Millis = 50
_DRAIN_TIMEOUT_MS: Millis = 120_000
_LINGER_MS: Millis = 1_000


@dataclass(frozen=True, slots=True)
class _Agent:
    settings: AgentSettings
    runner: Runner
    heartbeats: Heartbeats
    entries: TimedServer
    admin: TimedServer
    maps: "ExpertMaps | None"


def run_agent(path: str) -> int:
    """Guard the endpoint with the settings in ``path`` until SIGTERM.

    Returns
    -------
    int
        0 after a stop that cut nothing off, otherwise 1.
    """
    settings = load_or_exit(path, AgentSettings)
    configure_logging(settings.endpoint)
    stop = stop_requested()
    agent = _build(settings)
    agent.entries.start()
    agent.admin.start()
    spawn_loop(agent.heartbeats.run)
    spawn_loop(_tick_for_ever, agent.runner)
    if agent.maps is not None:
        spawn_loop(agent.maps.run)
    log_event(_log, "started", endpoint=settings.endpoint, http=settings.http)
    stop.wait()
    return _leave(agent)


def _build(settings: AgentSettings) -> _Agent:
    wall = wall_clock()
    identity = process_identity(
        settings.endpoint, ring_from_settings(settings.keys), wall
    )
    ledger = new_ledger(str(identity.incarnation))
    process = new_process_limits(
        settings.memory_bytes, settings.descriptors, GRPC_OWN_BYTES
    )
    runner = new_runner(ledger, _target(settings), monotonic_clock(), process.budget)
    metrics = new_agent_metrics(runner)
    heartbeats = new_heartbeats(settings, identity, runner, metrics.rejected)
    maps = _expert_maps(settings, identity, runner, metrics)
    entries = _entries_server(settings, identity, runner, heartbeats, metrics, process)
    admin = _admin(settings, identity, runner, metrics, maps, process)
    collector = CallerLimitsCollector(
        process.budget, [entries.connections, admin.connections]
    )
    metrics.registry.register(collector)
    return _Agent(
        settings=settings,
        runner=runner,
        heartbeats=heartbeats,
        entries=entries,
        admin=admin,
        maps=maps,
    )


def _expert_maps(
    settings: AgentSettings, identity: Identity, runner: Runner, metrics: AgentMetrics
) -> "ExpertMaps | None":
    if settings.group is None:
        return None
    # Imported here, as the agents of plain services have no use for gRPC and
    # would pay its memory on each of their small slots.
    from azurefold.agent.expert_maps import new_expert_maps

    return new_expert_maps(
        settings, identity, runner.clock, metrics.registry, metrics.rejected
    )


def _target(settings: AgentSettings) -> ModelEngine | PlainService:
    if settings.group is None:
        return PlainService(settings.engine)
    return ModelEngine(settings.engine)


def _entries_server(
    settings: AgentSettings,
    identity: Identity,
    runner: Runner,
    heartbeats: Heartbeats,
    metrics: AgentMetrics,
    process: ProcessLimits,
) -> TimedServer:
    app = falcon.App(middleware=[RequireSignature(identity, metrics.rejected)])
    attempt_routes(app, runner)
    leave_route(app, identity, runner, heartbeats)
    address = settings.http_bind or settings.http
    connections = process.caller_connections("azurefold.agent")
    return http_server(address, app, "azurefold.agent", connections=connections)


def _admin(
    settings: AgentSettings,
    identity: Identity,
    runner: Runner,
    metrics: AgentMetrics,
    maps: "ExpertMaps | None",
    process: ProcessLimits,
) -> TimedServer:
    views = AdminViews(
        registry=metrics.registry,
        is_ready=lambda: not runner.ledger.is_leaving,
        status=lambda: {
            "role": "agent",
            "name": settings.endpoint,
            "data_centre": settings.data_centre,
            "service": settings.service,
            "incarnation": identity.incarnation,
            "leaving": runner.ledger.is_leaving,
            "in_flight": runner.ledger.running_count,
            "expert_maps": None if maps is None else maps.status(),
        },
    )
    return admin_server(settings.metrics, views, "azurefold.agent.admin", process)


def _tick_for_ever(runner: Runner) -> None:
    while True:
        gevent.sleep(_TICK_MS / _SECOND_MS)
        runner.tick()


def _leave(agent: _Agent) -> int:
    """Refuse new work, let what is in flight end and be read, then stop."""
    runner = agent.runner
    runner.ledger.start_leaving()
    agent.heartbeats.announce(State.LEAVING)
    log_event(_log, "leaving", in_flight=runner.ledger.running_count)
    left = _DRAIN_TIMEOUT_MS
    while (runner.ledger.running_count or runner.readers) and left > 0:
        gevent.sleep(_POLL_MS / _SECOND_MS)
        left -= _POLL_MS
    # An answer may be whole here while its entry is just taking it up again
    # over a new connection.
    gevent.sleep(_LINGER_MS / _SECOND_MS)
    cut_off = runner.ledger.running_count
    agent.heartbeats.announce(State.GONE)
    if agent.maps is not None:
        agent.maps.stop()
    agent.entries.stop(timeout=1)
    agent.admin.stop(timeout=1)
    log_event(_log, "stopped", cut_off=cut_off)
    return 1 if cut_off else 0
