"""The site of a scenario, its faults, and its way back to health."""

import json
import signal
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import quote

import msgspec

from azurefold_standins.layout import Endpoint, Layout
from azurefold_standins.operator import fetch, status
from azurefold_standins.processes import wait_until
from azurefold_standins.relay import LinkFaults
from azurefold_standins.relay_datagrams import DatagramFaults
from azurefold_standins.scenario import steps
from azurefold_standins.site import Site, new_site

__all__ = ["MODEL_SERVICE", "World", "layout_of", "new_world"]

MODEL_SERVICE = "recall-drafts"
_TIMEOUT_MS = 15_000
_NO_FAULTS = LinkFaults()
_HUNDRED = 100


@dataclass(slots=True)
class World:
    """A running site that one scenario after the other uses.

    Parameters
    ----------
    site : Site
    revision : int
        Accepted last; 0 before the first.
    runs : int
        Scenarios begun here.
    """

    site: Site
    revision: int = 0
    runs: int = 0
    datagram_faults: DatagramFaults = field(
        default_factory=lambda: DatagramFaults(cut=[])
    )
    _faulty: set[str] = field(default_factory=set)
    _agents_were_cut: bool = False

    @property
    def plain_services(self) -> list[str]:
        """Names of the plain services."""
        named = [e.service for e in self.site.layout.endpoints if e.group is None]
        return list(dict.fromkeys(named))

    def configuration(self, timeout_ms: int | None = None) -> dict:
        """Return a text that has all endpoints of the site."""
        names = {e.service for e in self.site.layout.endpoints}
        services = {name: self._service(name, timeout_ms) for name in sorted(names)}
        return {"services": services, "organisations": {"union": {}}}

    def platform_fault(self, fault: steps.PlatformFault) -> None:
        """Let the platform misbehave."""
        body = {"mode": fault.mode, "latency_ms": fault.latency_ms}
        if fault.count is not None:
            body["count"] = fault.count
        self.ask_platform("PUT", "/faults", body)

    def list_vms(self) -> None:
        """Put every endpoint on the platform's list, none of them leaving."""
        vms = [
            {"name": e.name, "data_centre": e.data_centre}
            for e in self.site.layout.endpoints
        ]
        self.ask_platform("PUT", "/vms", {"vms": vms})

    def ask_platform(self, method: str, path: str, body: dict) -> None:
        """Give the platform's stand-in an order of the test."""
        address = self.site.address("platform", "http")
        page = fetch(address, path, method, json.dumps(body).encode())
        if page.status != 200:
            raise RuntimeError(f"the platform's stand-in refused {path}: {page.body}")

    def cut(self, data_centre: str, other: str) -> None:
        """Refuse and silence all links from a data centre to another."""
        self.datagram_faults.cut.append((data_centre, other))
        self._put_datagram_faults()
        for name in self.links_between(data_centre, other):
            self.set_faults(name, LinkFaults(cut=True))

    def links_between(self, data_centre: str, other: str) -> list[str]:
        """Return the links between two data centres, or to the platform."""
        if other == "platform":
            return [f"platform@{data_centre}"]
        found = []
        for name in self.site.links:
            peer, _, near = name.partition("@")
            far = peer.removeprefix("control-").rpartition("-")[0]
            if {near, far} == {data_centre, other}:
                found.append(name)
        return found

    def links_to(self, target: str) -> list[str]:
        """Return the links that lead to a process."""
        found = [name for name in self.site.links if name.partition("@")[0] == target]
        if not found:
            raise ValueError(f"no link leads to {target}")
        return found

    def set_faults(self, link: str, faults: LinkFaults) -> None:
        """Let a link misbehave."""
        self._faulty.add(link)
        self._relay("PUT", link, "", msgspec.json.encode(faults))

    def datagrams_fail(self, step: steps.DatagramsFail) -> None:
        """Add what is wrong with datagrams."""
        faults = self.datagram_faults
        faults.lose = max(faults.lose, step.lose_percent / _HUNDRED)
        faults.double = max(faults.double, step.double_percent / _HUNDRED)
        faults.late_ms = max(faults.late_ms, step.late_ms)
        self._put_datagram_faults()

    def silence(self, link: str) -> None:
        """Let the open connections of a link go silent for good."""
        self._relay("POST", link, "/silence", b"")

    def heal(self) -> None:
        """End all faults of links; what has gone silent stays so."""
        for link in sorted(self._faulty):
            self.set_faults(link, _NO_FAULTS)
        self._faulty.clear()
        self.datagram_faults = DatagramFaults(cut=[])
        self._put_datagram_faults()

    def send_signal(self, kind: steps.SignalKind, name: str) -> None:
        """Kill, pause, resume, start or stop a process."""
        process = self.site.processes[self._process_of(name)]
        match kind:
            case steps.SignalKind.KILL:
                process.kill()
            case steps.SignalKind.PAUSE:
                process.send(signal.SIGSTOP)
            case steps.SignalKind.RESUME:
                process.send(signal.SIGCONT)
            case steps.SignalKind.START:
                process.start()
            case steps.SignalKind.STOP:
                process.send(signal.SIGTERM)

    def is_running(self, name: str) -> bool:
        """Whether a process has not ended."""
        return self.site.processes[name].running

    def recover(self) -> None:
        """End all faults and bring every process back for the next scenario."""
        self.platform_fault(steps.PlatformFault("ok"))
        self.heal()
        for name in self.site.processes.names():
            process = self.site.processes[name]
            process.send(signal.SIGCONT)
            if not process.running:
                process.start()
        for endpoint in self.site.layout.endpoints:
            self._replace_if_leaving(f"agent-{endpoint.name}")
        for entry in self.site.entries:
            self._replace_if_soiled(entry)
        self._agents_were_cut = False
        self.wait_in_force()
        self.wait_entries()

    def wait_in_force(self, data_centre: str | None = None) -> None:
        """Wait until running controls and entries hold the accepted revision."""
        for name in (*self.site.controls, *self.site.entries):
            near = data_centre in (None, self.site.data_centre_of(name))
            if near and self.is_running(name):
                self.wait_revision(name)

    def wait_revision(self, name: str) -> None:
        """Wait until one process holds the accepted revision."""
        wait_until(
            lambda: status(self.site, name).get("revision", 0) >= self.revision,
            f"{name} holds revision {self.revision}",
        )

    def wait_entries(self) -> None:
        """Wait until running entries know the endpoints near them."""
        for name in self.site.entries:
            if self.is_running(name):
                wait_until(lambda name=name: self._is_ready(name), f"{name} is ready")

    def journal(self, endpoint: str) -> list:
        """Return what an endpoint has run, in its order."""
        page = fetch(self.site.address(f"engine-{endpoint}", "http"), "/journal")
        if page.status != 200:
            raise RuntimeError(f"no journal from {endpoint}")
        return json.loads(page.body)

    def _process_of(self, name: str) -> str:
        # One process holds all ranks of a group.
        for endpoint in self.site.layout.endpoints:
            if name == f"engine-{endpoint.name}" and endpoint.group is not None:
                return f"group-{endpoint.group}"
        return name

    def _replace_if_leaving(self, agent: str) -> None:
        if status(self.site, agent).get("leaving"):
            self._replace(agent)

    def _replace_if_soiled(self, entry: str) -> None:
        # It would send nothing to the endpoint that the next scenario is about,
        # or send over idle connections that have gone silent in the last one.
        services = status(self.site, entry).get("services", {}).values()
        if self._agents_were_cut or any(each["ejected"] for each in services):
            self._replace(entry)

    def _replace(self, name: str) -> None:
        self.site.processes[name].kill()
        self.site.processes[name].start()

    def _is_ready(self, entry: str) -> bool:
        shown = status(self.site, entry).get("services", {})
        near = self.site.data_centre_of(entry)
        return all(
            e.name in shown.get(e.service, {}).get("endpoints", ())
            for e in self.site.layout.endpoints
            if e.data_centre == near and self.is_running(f"agent-{e.name}")
        )

    def _put_datagram_faults(self) -> None:
        address = self.site.address("relay", "http")
        body = msgspec.json.encode(self.datagram_faults)
        page = fetch(address, "/datagrams", "PUT", body)
        if page.status != 200:
            raise RuntimeError(f"the relay refused: {page.status} {page.body}")

    def _relay(self, method: str, link: str, path: str, body: bytes) -> None:
        self._agents_were_cut |= link.startswith("agent-")
        address = self.site.address("relay", "http")
        page = fetch(address, f"/links/{quote(link)}{path}", method, body)
        if page.status != 200:
            raise RuntimeError(f"the relay refused: {link} {page.status} {page.body}")

    def _service(self, name: str, timeout_ms: int | None) -> dict:
        endpoints = [e for e in self.site.layout.endpoints if e.service == name]
        names = [e.name for e in endpoints]
        service = {
            "endpoints": names,
            "data_centres": sorted({e.data_centre for e in endpoints}),
            "limits": {"timeout_ms": timeout_ms or _TIMEOUT_MS},
        }
        if name == MODEL_SERVICE:
            groups = {
                group: [e.name for e in endpoints if e.group == group]
                for group in dict.fromkeys(e.group for e in endpoints)
            }
            return service | {"kind": "model", "model": "drafter", "groups": groups}
        plain = {"kind": "plain", "priority": "confirmation", "idempotent": False}
        return service | plain


def layout_of(given: tuple[steps.Given, ...]) -> Layout:
    """Return the layout that a scenario's first steps ask for."""
    data_centres: dict[str, int] = {}
    endpoints: list[Endpoint] = []
    times: dict[str, int] = {}
    for step in given:
        match step:
            case steps.GivenDataCentre(name=name, entries=entries):
                data_centres[name] = entries
            case steps.GivenGroup():
                endpoints += _ranks(step)
            case steps.GivenService():
                endpoints += _plain_endpoints(step, endpoints)
            case steps.GivenStep(ms=ms):
                times["step_ms"] = ms
            case steps.GivenLatency(ms=ms):
                times["latency_ms"] = ms
    return Layout(data_centres, tuple(endpoints), relayed=True, **times)


def _ranks(step: steps.GivenGroup) -> list[Endpoint]:
    name, near = step.name, step.data_centre
    return [
        Endpoint(f"{name}-{rank}", MODEL_SERVICE, near, name, rank)
        for rank in range(step.ranks)
    ]


def _plain_endpoints(step: steps.GivenService, others: list[Endpoint]) -> list:
    name = step.name
    first = sum(each.service == name for each in others)
    numbers = range(first, first + step.endpoints)
    return [Endpoint(f"{name}-{n}", name, step.data_centre) for n in numbers]


def new_world(given: tuple[steps.Given, ...], folder: Path) -> World:
    """Return a site with all its processes started."""
    site = new_site(layout_of(given), folder)
    site.start()
    return World(site)
