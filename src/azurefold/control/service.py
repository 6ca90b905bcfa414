"""Puts a control process together and runs it until it is told to stop."""

import logging
import random
from dataclasses import dataclass

from gevent.pywsgi import WSGIServer

from azurefold.border.settings import ControlSettings
from azurefold.control.configuration import ConfigurationLoop
from azurefold.control.drains import Drains
from azurefold.control.far import FarEndpoints
from azurefold.control.groups import Groups, new_groups
from azurefold.control.membership import MembershipLoop
from azurefold.control.metrics import ControlMetrics, new_control_metrics
from azurefold.control.peers import new_peers
from azurefold.control.watch import EntryWatch
from azurefold.core.clock import Millis
from azurefold.core.configuration.follower import FollowerPolicy, create_follower
from azurefold.core.configuration.messages import HeadAnnouncement
from azurefold.core.membership.directory import Directory
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.messages import Send, Source
from azurefold.internal.admin_http import AdminViews, admin_server
from azurefold.internal.caller_metrics import CallerLimitsCollector
from azurefold.internal.clock import monotonic_clock, wall_clock
from azurefold.internal.http_server import split_address
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
from azurefold.site_store.client import PlatformClient, platform_client
from azurefold.site_store.configuration_store import configuration_store
from azurefold.wire.group_maps import METHOD_REBALANCE, Rebalance
from azurefold.wire.group_messages import METHOD_CHANGE_MAP, ChangeMap
from azurefold.wire.grpc_service import (
    Server,
    StreamHandler,
    UnaryHandler,
    serve,
    use_gevent,
)
from azurefold.wire.messages import AnyMessage
from azurefold.wire.orders import (
    METHOD_DRAIN,
    METHOD_GET_HEAD,
    METHOD_GET_SECTIONS,
    DrainRequest,
    GetHead,
    GetSections,
)
from azurefold.wire.snapshot import (
    METHOD_GET_ENDPOINTS,
    METHOD_LOCATE,
    METHOD_WATCH,
    GetEndpoints,
    LocateRequest,
    WatchRequest,
)
from azurefold.wire.udp import DatagramPort, datagram_port

__all__ = ["run_control"]

_log = logging.getLogger("azurefold.control")

_VM_LIST_MS: Millis = 10_000
_GRACE_MS: Millis = 500
_WORKERS = 64


@dataclass(slots=True)
class _Control:
    settings: ControlSettings
    identity: Identity
    platform: PlatformClient
    membership: MembershipLoop
    configuration: ConfigurationLoop
    metrics: ControlMetrics
    watch: EntryWatch
    groups: Groups
    port: DatagramPort | None = None
    stopping: bool = False

    def send(self, sends: list[Send]) -> None:
        """Send datagrams."""
        self.port.send(sends)

    def receive(self, message: AnyMessage, source: Source) -> list[Send]:
        """Hand a datagram whose seal was good to whom it concerns."""
        if isinstance(message, HeadAnnouncement):
            self.configuration.receive(message, source.name)
            return []
        return self.membership.receive(message, source)


def run_control(path: str) -> int:
    """Take part in control with the settings in ``path`` until SIGTERM.

    Returns
    -------
    int
        0.
    """
    settings = load_or_exit(path, ControlSettings)
    configure_logging(settings.name)
    use_gevent()
    stop = stop_requested()
    control = _build(settings)
    limits = new_process_limits(
        settings.memory_bytes, settings.descriptors, GRPC_OWN_BYTES
    )
    server = _serve_grpc(control, limits)
    admin = _admin(control, limits)
    control.port.start()
    admin.start()
    spawn_loop(control.membership.run)
    spawn_loop(control.membership.watch_vms, control.platform, _VM_LIST_MS)
    spawn_loop(control.configuration.run)
    spawn_loop(control.watch.far.run)
    spawn_loop(control.groups.run)
    log_event(_log, "started", name=settings.name, grpc=settings.grpc)
    stop.wait()
    return _stop(control, server, admin)


def _build(settings: ControlSettings) -> _Control:
    clock, wall = monotonic_clock(), wall_clock()
    identity = process_identity(settings.name, ring_from_settings(settings.keys), wall)
    draw = random.Random(identity.incarnation)
    platform = platform_client(settings.platform, settings.platform_timeout_ms)
    peers = new_peers(identity, settings.data_centre, settings.peers)
    directory = Directory(_own(settings, identity), clock.now(), tuple(peers.near))
    metrics = new_control_metrics()

    def send(sends: list[Send]) -> None:
        control.port.send(sends)

    membership = MembershipLoop(directory, clock, draw, send)
    policy = FollowerPolicy(poll_interval_ms=settings.poll_interval_ms)
    configuration = ConfigurationLoop(
        create_follower(settings.name, settings.data_centre, policy),
        configuration_store(platform),
        peers,
        clock,
        draw,
        send,
        membership.live_controls,
    )
    metrics.show(configuration, membership)
    far = FarEndpoints(peers, membership, configuration, draw)
    control = _Control(
        settings=settings,
        identity=identity,
        platform=platform,
        membership=membership,
        configuration=configuration,
        metrics=metrics,
        watch=EntryWatch(configuration, membership, far, membership.is_informed),
        groups=new_groups(
            identity, membership, configuration, platform, metrics.registry
        ),
    )
    control.port = datagram_port(
        settings.udp,
        identity.ring,
        identity.sealer,
        control.receive,
        lambda reason: metrics.rejected.labels(reason=str(reason)).inc(),
        lambda reason: metrics.not_sent.labels(reason=str(reason)).inc(),
        identity.guard,
        settings.udp_bind,
    )
    return control


def _own(settings: ControlSettings, identity: Identity) -> Endpoint:
    return Endpoint(
        name=settings.name,
        incarnation=identity.incarnation,
        address=settings.grpc,
        udp_port=split_address(settings.udp)[1],
        role=Role.CONTROL,
        version=1,
        announced=State.SERVING,
    )


def _serve_grpc(control: _Control, limits: ProcessLimits) -> Server:
    configuration = control.configuration
    drains = Drains(control.identity, control.membership)
    far = control.watch.far
    handlers = (
        StreamHandler(METHOD_WATCH, WatchRequest, control.watch.handle),
        UnaryHandler(METHOD_GET_HEAD, GetHead, configuration.give_head),
        UnaryHandler(METHOD_GET_SECTIONS, GetSections, configuration.give_sections),
        UnaryHandler(METHOD_GET_ENDPOINTS, GetEndpoints, far.give_endpoints),
        UnaryHandler(METHOD_LOCATE, LocateRequest, far.locate),
        UnaryHandler(METHOD_DRAIN, DrainRequest, drains.handle),
        UnaryHandler(METHOD_CHANGE_MAP, ChangeMap, control.groups.change_map),
        UnaryHandler(METHOD_REBALANCE, Rebalance, control.groups.rebalance),
    )
    return serve(
        control.settings.grpc,
        handlers,
        control.identity.ring,
        lambda reason: control.metrics.rejected.labels(reason=str(reason)).inc(),
        sealer=control.identity.sealer,
        guard=control.identity.guard,
        clock=control.identity.wall,
        workers=_WORKERS,
        max_connections=limits.rpc_connections,
    )


def _admin(control: _Control, limits: ProcessLimits) -> WSGIServer:
    views = AdminViews(
        registry=control.metrics.registry,
        is_ready=lambda: control.configuration.revision > 0 and not control.stopping,
        status=lambda: _status(control),
    )
    admin = admin_server(
        control.settings.metrics, views, "azurefold.control.admin", limits
    )
    collector = CallerLimitsCollector(limits.budget, [admin.connections])
    control.metrics.registry.register(collector)
    return admin


def _status(control: _Control) -> dict[str, object]:
    head = control.configuration.follower.head
    alarms = control.configuration.follower.alarms
    return {
        "role": "control",
        "name": control.settings.name,
        "data_centre": control.settings.data_centre,
        "revision": head.revision,
        "edit_id": head.edit_id,
        "alarms": sorted(alarm.kind.name.lower() for alarm in alarms),
        "platform_age_ms": control.configuration.follower.age_ms(
            control.membership.clock.now()
        ),
        "live_controls": sorted(control.membership.live_controls()),
        "groups": control.groups.status(),
        "endpoints": [
            {
                "name": shown.record.name,
                "service": shown.record.service,
                "state": shown.state.name.lower(),
                "load": shown.load,
            }
            for shown in control.membership.directory.snapshot()
        ],
    }


def _stop(control: _Control, server: Server, admin: WSGIServer) -> int:
    control.stopping = True
    control.membership.directory.leave(control.membership.clock.now())
    control.send(control.membership.directory.tick(control.membership.clock.now(), 0))
    control.watch.close()
    control.groups.stop()
    server.stop(_GRACE_MS)
    admin.stop(timeout=1)
    control.port.stop()
    log_event(_log, "stopped", name=control.settings.name)
    return 0
