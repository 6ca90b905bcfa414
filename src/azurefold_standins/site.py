"""A site on loopback: data centres with entries, controls, agents, endpoints.

Each VM of the site has an IP number of its own in 127.0.0.0/8, so that ports
never collide with those of another site on the same machine.
"""

import itertools
import json
import os
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from azurefold_standins.layout import Endpoint, Layout
from azurefold_standins.processes import Process, Processes

__all__ = ["Endpoint", "Layout", "Site", "new_site"]

_sites = itertools.count()
_FIRST_NET = 16
_NETS = 200
_KEY = {"id": "k1", "secret": "a key for sites on loopback only"}


@dataclass(slots=True)
class Site:
    """Addresses, settings files and processes of a site."""

    layout: Layout
    folder: Path
    processes: Processes
    addresses: dict[str, dict[str, str]] = field(default_factory=dict)
    links: dict[str, tuple[str, str]] = field(default_factory=dict)
    datagram_links: list[dict[str, str]] = field(default_factory=list)
    _ips: Iterator[str] = field(default_factory=lambda: _fresh_ips())

    @property
    def controls(self) -> list[str]:
        """Names of the control processes."""
        return [name for name in self.addresses if name.startswith("control-")]

    @property
    def entries(self) -> list[str]:
        """Names of the entry processes."""
        return [name for name in self.addresses if name.startswith("entry-")]

    def address(self, name: str, port: str) -> str:
        """Return one address of a process."""
        return self.addresses[name][port]

    def start(self, *names: str) -> None:
        """Start processes by name; all of them if none is named."""
        for name in names or self.processes.names():
            self.processes[name].start()

    def data_centre_of(self, name: str) -> str:
        """Return the data centre of an entry or control process."""
        return name.split("-", 1)[1].rpartition("-")[0]

    def place(self, name: str, *ports: str) -> None:
        """Give a process an IP number and free ports."""
        ip = next(self._ips)
        self.addresses[name] = {port: f"{ip}:{free_port(ip)}" for port in ports}

    def via(self, link: str, target: str) -> str:
        """Return the address at which ``target`` is reached over a link."""
        if not self.layout.relayed:
            return target
        if link not in self.links:
            ip = target.rpartition(":")[0]
            self.links[link] = (f"{ip}:{free_port(ip)}", target)
        return self.links[link][0]

    def udp_bind(self, name: str, data_centre: str) -> dict[str, str]:
        """Return the settings by which datagrams reach a process."""
        known = self.address(name, "udp")
        if not self.layout.relayed:
            return {"udp": known}
        ip = known.rpartition(":")[0]
        own = f"{ip}:{free_port(ip)}"
        link = {"known": known, "own": own, "data_centre": data_centre}
        self.datagram_links.append(link)
        return {"udp": known, "udp_bind": own}

    def write(self, name: str, content: dict) -> str:
        """Write a settings file and return its path."""
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(content, indent=2), "utf-8")
        return str(path)

    def add(self, name: str, module: str, *arguments: str) -> Process:
        """Add a process."""
        return self.processes.add(name, module, arguments)


def new_site(layout: Layout, folder: Path) -> Site:
    """Return a site whose processes are configured and not started."""
    site = Site(layout, folder, Processes(folder))
    _place_all(site)
    _add_platform(site)
    _add_endpoints(site)
    for name in site.controls:
        _add_control(site, name)
    for name in site.entries:
        _add_entry(site, name)
    for endpoint in layout.endpoints:
        _add_agent(site, endpoint)
    _write_operator(site)
    if layout.relayed:
        _add_relay(site)
    return site


def _fresh_ips() -> Iterator[str]:
    number = os.getpid() * 7 + next(_sites)
    net = _FIRST_NET + number % _NETS
    third = number // _NETS % 250
    return (f"127.{net}.{third}.{last}" for last in range(1, 255))


def free_port(ip: str) -> int:
    """Return a port of ``ip`` that nobody listens on at present."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _place_all(site: Site) -> None:
    site.place("platform", "http")
    for data_centre, vms in site.layout.data_centres.items():
        for number in range(vms):
            site.place(f"control-{data_centre}-{number}", "grpc", "udp", "metrics")
            site.place(f"entry-{data_centre}-{number}", "listen", "metrics")
    for endpoint in site.layout.endpoints:
        site.place(f"engine-{endpoint.name}", "http")
        site.place(f"agent-{endpoint.name}", "http", "grpc", "udp", "metrics")


def _add_platform(site: Site) -> None:
    host, _, port = site.address("platform", "http").rpartition(":")
    site.add("platform", "azurefold_standins.platform", "--host", host, "--port", port)


def _add_relay(site: Site) -> None:
    """Add the relay; last, when all links are known."""
    site.place("relay", "http")
    links = site.write("relay-links", site.links)
    address = site.address("relay", "http")
    datagrams = site.write("relay-datagrams", {"links": site.datagram_links})
    arguments = ("--address", address, "--links", links, "--datagrams", datagrams)
    site.add("relay", "azurefold_standins.relay", *arguments)


def _platform_of(site: Site, data_centre: str) -> str:
    return site.via(f"platform@{data_centre}", site.address("platform", "http"))


def _add_endpoints(site: Site) -> None:
    groups: dict[str, list[Endpoint]] = {}
    for endpoint in site.layout.endpoints:
        if endpoint.group is not None:
            groups.setdefault(endpoint.group, []).append(endpoint)
            continue
        site.add(
            f"engine-{endpoint.name}",
            "azurefold_standins.plain",
            "--address",
            site.address(f"engine-{endpoint.name}", "http"),
            "--latency-ms",
            str(site.layout.latency_ms),
        )
    for group, ranks in groups.items():
        addresses = [site.address(f"engine-{rank.name}", "http") for rank in ranks]
        fence = () if site.layout.honours_fence else ("--ignore-fence",)
        site.add(
            f"group-{group}",
            "azurefold_standins.engine",
            "--addresses",
            ",".join(addresses),
            "--step-ms",
            str(site.layout.step_ms),
            *fence,
        )


def _peer_grpc(site: Site, peer: str, data_centre: str) -> str:
    address = site.address(peer, "grpc")
    if site.data_centre_of(peer) == data_centre:
        return address
    return site.via(f"{peer}@{data_centre}", address)


def _add_control(site: Site, name: str) -> None:
    own = site.addresses[name]
    data_centre = site.data_centre_of(name)
    peers = [
        {
            "name": other,
            "data_centre": site.data_centre_of(other),
            "udp": site.address(other, "udp"),
            "grpc": _peer_grpc(site, other, data_centre),
        }
        for other in site.controls
        if other != name
    ]
    settings = {
        "name": name,
        "data_centre": data_centre,
        "grpc": own["grpc"],
        **site.udp_bind(name, data_centre),
        "metrics": own["metrics"],
        "platform": [_platform_of(site, data_centre)],
        "peers": peers,
        "keys": [_KEY],
        **site.layout.machine,
    }
    site.add(name, "azurefold.control", site.write(name, settings))


def _add_entry(site: Site, name: str) -> None:
    control = name.replace("entry-", "control-", 1)
    data_centre = site.data_centre_of(name)
    settings = {
        "name": name,
        "data_centre": data_centre,
        "listen": site.address(name, "listen"),
        "metrics": site.address(name, "metrics"),
        "control": site.address(control, "grpc"),
        "control_name": control,
        "platform": [_platform_of(site, data_centre)],
        "keys": [_KEY],
        **site.layout.machine,
    }
    site.add(name, "azurefold.entry", site.write(name, settings))


def _add_agent(site: Site, endpoint: Endpoint) -> None:
    name, engine = f"agent-{endpoint.name}", f"engine-{endpoint.name}"
    own = site.addresses[name]
    settings = {
        "endpoint": endpoint.name,
        "data_centre": endpoint.data_centre,
        "service": endpoint.service,
        "http": site.via(name, own["http"]),
        "grpc": own["grpc"],
        **site.udp_bind(name, endpoint.data_centre),
        "metrics": own["metrics"],
        "engine": site.via(engine, site.address(engine, "http")),
        "engine_honours_fence": site.layout.honours_fence,
        "controls": [
            {"name": control, "udp": site.address(control, "udp")}
            for control in site.controls
            if site.data_centre_of(control) == endpoint.data_centre
        ],
        "keys": [_KEY],
        **site.layout.machine,
    }
    if site.layout.relayed:
        settings["http_bind"] = own["http"]
    if endpoint.group is not None:
        settings |= {"group": endpoint.group, "rank": endpoint.rank}
        settings["peers"] = _rank_peers(site, endpoint)
    site.add(name, "azurefold.agent", site.write(name, settings))


def _rank_peers(site: Site, endpoint: Endpoint) -> list[dict]:
    return [
        {"endpoint": other.name, "grpc": site.address(f"agent-{other.name}", "grpc")}
        for other in site.layout.endpoints
        if other.group == endpoint.group and other.name != endpoint.name
    ]


def _write_operator(site: Site) -> None:
    settings = {
        "platform": [site.address("platform", "http")],
        "controls": [
            {
                "name": name,
                "data_centre": site.data_centre_of(name),
                "status": site.address(name, "metrics"),
                "grpc": site.address(name, "grpc"),
            }
            for name in site.controls
        ],
        "keys": [_KEY],
    }
    site.write("operator", settings)
