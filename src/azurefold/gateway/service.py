"""Puts a gateway together and runs it until it is told to stop."""

import logging
import signal
import sys
import time
from collections.abc import Sequence

import gevent
from gevent.event import Event

from azurefold.core.admission.queue import DEFAULT_CLASS_FLOOR
from azurefold.core.clock import Millis
from azurefold.gateway.callers.app import GatewayApp
from azurefold.gateway.callers.connections import accepts_connection
from azurefold.gateway.callers.front import front_server
from azurefold.gateway.endpoints.passed_on import cut_off_slow_readers
from azurefold.gateway.metrics import gateway_registry
from azurefold.gateway.peers.membership import Peers, new_peers
from azurefold.gateway.settings import GatewaySettings, changed_settings
from azurefold.gateway.state import GatewayState, new_gateway_state
from azurefold.gateway.stopping import drain
from azurefold.gateway.store.news import News, new_news
from azurefold.gateway.store.part_records import PartRecords
from azurefold.internal.admin_http import AdminViews, admin_server
from azurefold.internal.caller_metrics import CallerLimitsCollector
from azurefold.internal.clock import suspended_time_clock
from azurefold.internal.http_server import TimedServer
from azurefold.internal.log_writer import log_without_waiting
from azurefold.internal.logs import event_line, log_event
from azurefold.internal.loops import spawn_loop
from azurefold.internal.ports import open_when_free
from azurefold.internal.process_log import print_event
from azurefold.platform.settings import BadSettingsError, load_settings
from azurefold.platform.store import store_client

__all__ = ["run_gateway"]

_log = logging.getLogger("azurefold.gateway")

EXIT_BAD_SETTINGS = 2
_SECOND_MS = 1_000
_TICK_MS: Millis = 250

_ADMIN_PORTS = ("health", "metrics")

_SETTINGS_WAIT_MS: Millis = 2_000
"""A settings file that is being written is whole soon after."""

_SETTINGS_LOOK_MS: Millis = 100


def run_gateway(
    path: str,
    metrics_port: int = 0,
    class_floor: float = DEFAULT_CLASS_FLOOR,
    *,
    uses_size_hints: bool = False,
) -> int:
    """Serve callers with the settings in ``path`` until SIGTERM.

    Parameters
    ----------
    path : str
    metrics_port : int, default=0
        Where metrics are served beside the address of health checks.
    class_floor : float
        Guaranteed share of the tokens for each less urgent class that waits.
    uses_size_hints : bool
        Whether the work of a request is estimated from its hint.

    Returns
    -------
    int
        0 after a stop that cut nothing off, 1 if requests were cut off, 2 if
        the settings cannot be used.
    """
    # An exception in a signal's handler would end the process.
    changed = Event()
    gevent.signal_handler(signal.SIGHUP, changed.set)
    try:
        settings = _load_settled(path)
    except BadSettingsError as error:
        print(error, file=sys.stderr)
        told = {"why": error, "code": EXIT_BAD_SETTINGS}
        print_event("azurefold-gateway", event_line("ended", told))
        return EXIT_BAD_SETTINGS
    lines = log_without_waiting(settings.name)
    if settings.invalid:
        log_event(
            _log,
            "settings_invalid",
            logging.ERROR,
            values="; ".join(settings.invalid),
            used="defaults",
        )
    state = new_gateway_state(
        settings,
        suspended_time_clock(),
        class_floor,
        uses_size_hints=uses_size_hints,
    )
    began = state.clock.now()
    stop = _stop_requested()
    callers, *admins = _servers(state, metrics_port)
    store = store_client(settings.store)
    news = new_news(state, store)
    peers = new_peers(state, store, news)
    records = PartRecords(state, store)
    callers.accepts = lambda: accepts_connection(state, peers.exchange.loads)
    spawn_loop(_reload_for_ever, changed, path, state, news)
    if not _open_ports(peers, callers, admins, stop):
        log_event(_log, "stopped", cut_off=0, why="starting")
        lines.flush()
        return 0
    for loop in (
        news.configuration.run,
        news.endpoints.run,
        records.run,
        *peers.loops(),
    ):
        spawn_loop(loop)
    spawn_loop(_tick_for_ever, state, callers, news)
    log_event(
        _log,
        "started",
        listen=settings.callers,
        store=settings.store,
        cpu_ms=round(time.process_time() * _SECOND_MS),
        setup_ms=state.clock.now() - began,
    )
    stop.wait()
    peers.leave()
    code = drain(state, callers)
    lines.flush()
    return code


def _servers(state: GatewayState, metrics_port: int) -> list[TimedServer]:
    """Return the servers for callers, for health checks, and for metrics."""
    settings = state.settings
    limits = state.limits
    callers = limits.caller_connections("azurefold.gateway.front")
    registry = gateway_registry(state)
    views = AdminViews(
        registry=registry,
        is_ready=lambda: state.is_ready,
        status=lambda: _status(state),
    )
    addresses = [settings.admin]
    if metrics_port:
        addresses.append(f"{settings.ip}:{metrics_port}")
    admins = [
        admin_server(each, views, f"azurefold.gateway.admin.{port}", limits)
        for port, each in zip(_ADMIN_PORTS, addresses, strict=False)
    ]
    servers = [callers, *(admin.connections for admin in admins)]
    registry.register(CallerLimitsCollector(limits.budget, servers))
    return [front_server(settings.callers, GatewayApp(state), callers), *admins]


def _stop_requested() -> Event:
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    return stop


def _load_settled(path: str) -> GatewaySettings:
    """Read settings, for a short time again and again if they cannot be read.

    Raises
    ------
    BadSettingsError
        If they still cannot.
    """
    waited = 0
    while True:
        try:
            return load_settings(path)
        except BadSettingsError:
            if waited >= _SETTINGS_WAIT_MS:
                raise
        gevent.sleep(_SETTINGS_LOOK_MS / _SECOND_MS)
        waited += _SETTINGS_LOOK_MS


def _open_ports(
    peers: Peers, callers: TimedServer, admins: Sequence[TimedServer], stop: Event
) -> bool:
    """Open all ports, as soon as they are free; return False if told to stop."""
    health, *metrics = admins
    for server in metrics:
        # No caller needs them.
        address = "{}:{}".format(*server.address)
        spawn_loop(open_when_free, server.start, address, "metrics", stop)
    needed = (
        ("peers", peers.address, peers.open),
        ("callers", "{}:{}".format(*callers.address), callers.start),
        ("health", "{}:{}".format(*health.address), health.start),
    )
    return all(
        open_when_free(open_port, address, name, stop)
        for name, address, open_port in needed
    )


def _reload_for_ever(
    changed: Event, path: str, state: GatewayState, news: News
) -> None:
    while True:
        changed.wait()
        changed.clear()
        _reload(path, state, news)


def _reload(path: str, state: GatewayState, news: News) -> None:
    """Take in a settings file that has changed; addresses of our own stay."""
    try:
        settings = _load_settled(path)
    except BadSettingsError as error:
        _refuse_reload(state, str(error))
        return
    if settings.invalid:
        _refuse_reload(state, f"invalid: {'; '.join(settings.invalid)}")
        return
    changed = changed_settings(state.settings, settings)
    if settings.store != state.settings.store:
        news.use_store(store_client(settings.store))
    state.take_settings(settings)
    log_event(_log, "reloaded", changed=",".join(changed) or "nothing")


def _refuse_reload(state: GatewayState, why: str) -> None:
    state.failed_reloads += 1
    log_event(_log, "reload_failed", logging.ERROR, why=why)


def _tick_for_ever(state: GatewayState, callers: TimedServer, news: News) -> None:
    while True:
        began = state.clock.now()
        gevent.sleep(_TICK_MS / _SECOND_MS)
        state.lateness = max(0, state.clock.now() - began - _TICK_MS)
        news.tick(state.clock.now())
        changed = state.registry.tick(state.clock.now())
        for name in changed:
            if name in state.registry.entries:
                log_event(_log, "endpoint_back", endpoint=name, why="settled")
                continue
            state.links.forget(name)
            log_event(_log, "endpoint_gone", endpoint=name, why="lapsed")
        if changed:
            state.spread_endpoints()
        for service in state.services.values():
            service.tick()
        state.links.sweep()
        if state.passed_on:
            _cut_off_slow_readers(state)
        if state.configuration is not None:
            limits = state.configuration.limits
            callers.limits.head_bytes = limits.max_header_bytes
            callers.limits.head_timeout_ms = limits.header_timeout_ms
            callers.limits.idle_timeout_ms = limits.idle_timeout_ms
        # Last, as it fails for as long as a service fails to take endpoints in.
        state.tick_evacuations()


def _cut_off_slow_readers(state: GatewayState) -> None:
    waiting = {name: each.admission.waiting for name, each in state.services.items()}
    requests = cut_off_slow_readers(state.passed_on, waiting, state.clock.now())
    if requests:
        state.slow_readers_cut_off += len(requests)
        ids = ",".join(requests)
        log_event(_log, "slow_readers_cut_off", logging.WARNING, requests=ids)


def _status(state: GatewayState) -> dict[str, object]:
    return {
        "role": "gateway",
        "name": state.settings.name,
        "data_centre": state.settings.data_centre,
        "version": state.version,
        "version_age_ms": state.configuration_age_ms,
        "draining": state.draining,
        "evacuated": sorted(state.evacuations.data_centres),
        "in_flight": state.in_flight,
        "unwritten": state.unwritten,
        "services": {
            name: {
                "waiting": service.admission.waiting,
                "in_flight": service.admission.pool.in_flight,
                "endpoints": sorted(service.entries),
                "ejected": sorted(service.admission.pool.ejected),
                "cold": sorted(service.admission.pool.cold.names),
            }
            for name, service in state.services.items()
        },
    }
