"""A small site of gateways on loopback: store, relay, endpoints, gateways."""

import itertools
import json
import os
import random
import socket
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from azurefold.internal.http_server import split_address
from azurefold_standins.bare_layout import (
    CLASS_ROUTES,
    BareEndpoint,
    EndpointFaults,
    Journal,
)
from azurefold_standins.bare_layout import Layout as EndpointLayout
from azurefold_standins.processes import Processes, wait_until
from azurefold_standins.retry_allowance import Allowance
from azurefold_standins.site import free_port

__all__ = [
    "DATA_CENTRES",
    "EVACUATE_MS",
    "HOST",
    "KEY",
    "GatewaySite",
    "new_gateway_site",
]

HOST = "shops.example"
KEY = "a-key-of-the-shops"
DATA_CENTRES = ("dc-a", "dc-b")
EVACUATE_MS = 5_000
_NET = "127.77"
_sites = itertools.count(1)
_RETRIES = Allowance(share=0.2, slack=200, window=10)
_TIMEOUT_S = 5.0
_TIMEOUT_MS = 4_000


@dataclass(slots=True)
class GatewaySite:
    """Processes, their addresses, and what operators and endpoints have written.

    Parameters
    ----------
    processes : Processes
    gateways : dict of str to str
        Where callers reach each gateway.
    has_classes : bool
        Whether there are routes of three priorities to the plain service.
    streamers : list of BareEndpoint
        Endpoints that are processes of their own.
    """

    processes: Processes
    gateways: dict[str, str]
    admins: dict[str, str]
    endpoints: list[BareEndpoint]
    store: str
    relay: str
    control: str
    links: dict[str, tuple[str, str]]
    version: int = 0
    has_classes: bool = False
    extra_routes: list[str] = field(default_factory=list)
    streamers: list[BareEndpoint] = field(default_factory=list)
    _since_copy: dict[tuple[str, str], object] = field(default_factory=dict)

    def start(self) -> None:
        """Start all, with a configuration and all endpoints in the store."""
        for name in ("store", "relay", "endpoints"):
            self.processes[name].start()
        for endpoint in self.streamers:
            self.start_streamer(endpoint)
        wait_until(lambda: self._answers(self.store, "/stand-in/calls"), "the store")
        wait_until(lambda: self._answers(self.control, "/journal"), "the endpoints")
        wait_until(lambda: self._answers(self.relay, "/links"), "the relay")
        self.configure()
        for endpoint in self.endpoints:
            self.register(endpoint)
        for endpoint in self.streamers:
            self.register(endpoint, direct=True)
        for name in self.gateways:
            self.processes[name].start()
        for name in self.gateways:
            self.wait_ready(name)
            self._has_started(name)

    def _has_started(self, gateway: str) -> None:
        """Tell later starts of a gateway that they are not the site's first."""
        [path] = self.processes[gateway].arguments[-1:]
        settings = json.loads(Path(path).read_text("utf-8")) | {"Bootstrap": False}
        Path(path).write_text(json.dumps(settings), "utf-8")

    def start_streamer(self, endpoint: BareEndpoint) -> None:
        """Start an endpoint's process, again if it has ended, and wait for it."""
        process = self.processes[endpoint.name]
        process.start()
        address = split_address(endpoint.address)
        wait_until(lambda: _listens(address), f"{endpoint.name} listens")

    def is_ready(self, gateway: str) -> bool:
        """Whether a gateway answers health checks as ready."""
        return self._answers(self.admins[gateway], "/readyz")

    def wait_ready(self, gateway: str) -> None:
        """Wait until a gateway is ready."""
        address = self.admins[gateway]
        wait_until(lambda: self._answers(address, "/readyz"), f"{gateway} is ready")

    def configure(self, *extra_routes: str) -> int:
        """Write a newer configuration and return its version.

        Parameters
        ----------
        *extra_routes : str
            Prefixes of further routes to the plain service.
        """
        self.version += 3
        self.extra_routes = list(extra_routes)
        body = _configuration(self.version, self.extra_routes, self.has_classes)
        self.write("op", "config", body)
        return self.version

    def register(
        self, endpoint: BareEndpoint, *, leaving: bool = False, direct: bool = False
    ) -> None:
        """Write an endpoint's entry.

        Parameters
        ----------
        endpoint : BareEndpoint
        leaving : bool, default=False
        direct : bool, default=False
            Whether the entry has the endpoint's own address instead of the relay's.
        """
        address = endpoint.address
        if not direct:
            address = self.links[f"endpoint-{endpoint.name}"][0]
        entry = {
            "Service": endpoint.service,
            "Address": address,
            "Zone": endpoint.data_centre,
            "Slots": 6,
            "State": "draining" if leaving else "ready",
        }
        self.write("servers", endpoint.name, entry)

    def write(self, table: str, key: str, value: object) -> None:
        """Write a row as operators and endpoints do, or remove it with None."""
        row = {"Table": table, "Key": key, "Value": value}
        self._since_copy[table, key] = value
        self._send(self.store, "POST", "/stand-in/rows", [row])

    def store_faults(self, **faults: object) -> None:
        """Have the store misbehave in this way from now on."""
        self._send(self.store, "PUT", "/stand-in/faults", faults)

    def forget_history(self) -> None:
        """Have the store drop its history."""
        self._send(self.store, "POST", "/stand-in/forget", None)

    def copy_store(self) -> None:
        """Have the store make a copy to go back to."""
        self._send(self.store, "POST", "/stand-in/copy", None)
        self._since_copy.clear()

    def return_to_copy(self) -> None:
        """Have the store lose all that was written since the copy was made."""
        self._send(self.store, "POST", "/stand-in/return", None)

    def write_again(self, draw: random.Random) -> None:
        """Write what was written since the copy was made, in any order."""
        rows = list(self._since_copy.items())
        draw.shuffle(rows)
        for (table, key), value in rows:
            self.write(table, key, value)

    def endpoint_faults(self, faults: EndpointFaults) -> None:
        """Have the endpoints misbehave in this way from now on."""
        body = msgspec.to_builtins(faults)
        self._send(self.control, "PUT", "/faults", body)

    def link_faults(self, link: str, **faults: object) -> None:
        """Have a link misbehave in this way from now on."""
        self._send(self.relay, "PUT", f"/links/{link}", faults)

    def silence(self, link: str) -> None:
        """Forward nothing more over a link's open connections."""
        self._send(self.relay, "POST", f"/links/{link}/silence", None)

    def journal(self) -> Journal:
        """Return what the endpoints saw."""
        data = self._send(self.control, "GET", "/journal", None)
        return msgspec.json.decode(data, type=Journal)

    def status(self, gateway: str) -> dict:
        """Return what a gateway says of itself."""
        return json.loads(self._send(self.admins[gateway], "GET", "/status", None))

    def metrics(self, gateway: str) -> str:
        """Return a gateway's page of metrics."""
        return self._send(self.admins[gateway], "GET", "/metrics", None).decode()

    def _answers(self, address: str, path: str) -> bool:
        try:
            self._send(address, "GET", path, None)
        except OSError:
            return False
        return True

    @staticmethod
    def _send(address: str, method: str, path: str, body: object) -> bytes:
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{address}{path}", data=data, method=method
        )
        with urllib.request.urlopen(request, timeout=_TIMEOUT_S) as answer:
            return answer.read()


def _listens(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, _TIMEOUT_S).close()
    except OSError:
        return False
    return True


@dataclass(slots=True)
class _Ports:
    """Ports of one address, each given once.

    What goes wrong without: a port that nobody listens on yet is found free a
    second time, in one of 35 sites of 45 ports, and one of two processes does
    not start.
    """

    ip: str
    _given: set[int] = field(default_factory=set)

    def take(self) -> int:
        """Return a port that was not given before."""
        while (port := free_port(self.ip)) in self._given:
            pass
        self._given.add(port)
        return port

    def address(self) -> str:
        """Return an address with such a port."""
        return f"{self.ip}:{self.take()}"


def new_gateway_site(
    folder: Path,
    gateways: int = 3,
    ranks: int = 4,
    desks: int = 2,
    retries: Allowance = _RETRIES,
    *,
    streamers: int = 0,
    is_contended: bool = False,
    machine: dict[str, int] | None = None,
) -> GatewaySite:
    """Return a site that is not started yet.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    gateways, ranks, desks : int
        Processes in front, ranks of the group, plain endpoints.
    retries : Allowance
        Over all gateways, with a window in seconds.
    streamers : int, default=0
        Processes that stream, each one an endpoint.
    is_contended : bool, default=False
        Whether endpoints are in two data centres by turns, which can be evacuated, and
        the plain service has three priorities.
    machine : dict of str to int, optional
        Limits of each gateway's machine, as in its settings file.
    """
    processes = Processes(folder)
    # Connections come from 127.0.0.1. On that address one of them may take a
    # port between its being found free and its being listened on.
    ip = f"{_NET}.{os.getpid() % 250}.{next(_sites) % 250}"

    ports = _Ports(ip)
    free = ports.address

    store, relay, control = (free() for _ in range(3))
    zones = DATA_CENTRES if is_contended else DATA_CENTRES[:1]
    endpoints = [
        BareEndpoint(f"rank-{n}", "drafts", free(), n, zones[n % len(zones)])
        for n in range(ranks)
    ] + [
        BareEndpoint(f"desk-{n}", "desk", free(), None, zones[n % len(zones)])
        for n in range(desks)
    ]
    names = [f"gateway-{n}" for n in range(gateways)]
    links = {f"endpoint-{e.name}": (free(), e.address) for e in endpoints}
    links |= {f"store-{name}": (free(), store) for name in names}
    site = GatewaySite(
        processes,
        gateways={name: free() for name in names},
        admins={name: free() for name in names},
        endpoints=endpoints,
        store=store,
        relay=relay,
        control=control,
        links=links,
        has_classes=is_contended,
        streamers=[
            BareEndpoint(f"notes-{n}", "notes", free(), None, zones[n % len(zones)])
            for n in range(streamers)
        ],
    )
    _add_stand_ins(site, folder)
    for name in names:
        _add_gateway(site, folder, name, ports.take(), retries, machine or {})
    return site


def _add_stand_ins(site: GatewaySite, folder: Path) -> None:
    links = folder / "links.json"
    links.write_text(json.dumps(site.links), "utf-8")
    layout = folder / "endpoints.json"
    layout.write_bytes(
        msgspec.json.encode(EndpointLayout(site.control, site.endpoints))
    )
    add = site.processes.add
    add("store", "azurefold_standins.feed_store", ["--address", site.store])
    add(
        "relay",
        "azurefold_standins.relay",
        ["--address", site.relay, "--links", str(links)],
    )
    add("endpoints", "azurefold_standins.bare_endpoints", ["--layout", str(layout)])
    for each in site.streamers:
        arguments = ["--address", each.address, "--name", each.name]
        add(each.name, "azurefold_standins.stream_endpoint", arguments)


def _add_gateway(
    site: GatewaySite,
    folder: Path,
    name: str,
    port: int,
    retries: Allowance,
    machine: dict[str, int],
) -> None:
    settings = {
        "NodeName": name,
        "Zone": "dc-a",
        "Listen": {"Frontend": site.gateways[name], "Ready": site.admins[name]},
        "PortRange": [port, port],
        "Bootstrap": True,
        "HeartbeatMs": 1200,
        "Zones": {zone: "north" for zone in DATA_CENTRES if site.has_classes},
        "Bounds": {
            "EvacuateMs": EVACUATE_MS if site.has_classes else 0,
            "GraceS": 8,
            "RetryRatio": retries.share,
            "RetrySlack": retries.slack,
            "RetryWindowS": retries.window,
        },
        "Platform": {"Address": site.links[f"store-{name}"][0]},
        "Limits": machine,
    }
    path = folder / f"{name}.json"
    path.write_text(json.dumps(settings), "utf-8")
    site.processes.add(name, "azurefold.gateway", [str(path)])


def _configuration(version: int, extra_routes: list[str], has_classes: bool) -> dict:
    routes = [
        _route("/drafts/", "streaming", "drafts", Resumable=True, MaxAttempts=3),
        _route("/acks/", "non_idempotent", "desk"),
        _route("/lists/", "idempotent", "desk", MaxAttempts=2),
        _route("/notes/", "streaming", "notes", Resumable=True, MaxAttempts=3),
        _route("/talks/", "streaming", "notes", MaxAttempts=3),
    ]
    routes += [_route(prefix, "idempotent", "desk") for prefix in extra_routes]
    if has_classes:
        routes += [
            _route(prefix, "idempotent", "desk", Priority=priority, MaxAttempts=2)
            for prefix, priority in CLASS_ROUTES.items()
        ]
    engine = {
        "Slots": 6,
        "Stride": 1,
        "Sets": 2,
        "Experts": 8,
        "Placements": 4,
        "Spare": 2,
        "ExpertSizeMb": 1,
        "LinkMbps": 1000,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": "drafts", "MaxConns": 64, "Engine": engine},
            {"Name": "desk", "MaxConns": 64},
            {"Name": "notes", "MaxConns": 64},
        ],
        "Limits": {"IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "shops", "ApiKeys": [KEY]}],
    }


def _route(prefix: str, kind: str, service: str, **more: object) -> dict:
    route = {
        "Name": prefix.strip("/"),
        "Hostname": HOST,
        "Prefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": _TIMEOUT_MS,
        "SloMs": 400,
        "Service": service,
    }
    return route | more
