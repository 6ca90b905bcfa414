"""A faulty TCP relay: links between processes whose faults can be switched.

::

    python -m azurefold_standins.relay --address 127.0.0.1:0 --links links.json

The file holds a JSON object: name of a link to ``[listen, target]``. Another
one, ``--datagrams``, holds a list ``links`` of
:class:`~azurefold_standins.relay_datagrams.DatagramLink`.

==============================  ===========================================
``PUT /links/{name}``           ``{"cut": true, "delay_ms": 50}``: new
                                connections are refused and those that are
                                open go silent; each chunk waits.
``POST /links/{name}/silence``  Open connections go silent for good; new
                                ones work.
``GET /links``                  All links with their open connections.
``PUT /datagrams``              :class:`.DatagramFaults`, all of them anew.
==============================  ===========================================

Nothing is closed by a fault. A sender notices a silent connection only by the
answers that do not come, just as when a firewall has lost track of it.
"""

import argparse
import json
from dataclasses import dataclass, field
from pathlib import Path

import falcon
import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from azurefold.internal.http_server import http_server, split_address
from azurefold.internal.process import stop_requested
from azurefold_standins.relay_datagrams import (
    DatagramFaults,
    DatagramLink,
    Datagrams,
)

__all__ = ["Connection", "Link", "LinkFaults", "main"]

_SECOND_MS = 1_000
_CHUNK = 65_536
_CONNECT_TIMEOUT_S = 5.0


class LinkFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What is wrong with a link.

    Parameters
    ----------
    cut : bool, default=False
        Whether new connections are refused and open ones are silent.
    delay_ms : int, default=0
        How long each chunk is held up.
    """

    cut: bool = False
    delay_ms: int = 0


@dataclass(slots=True)
class Connection:
    """One connection through a link."""

    near: socket.socket
    far: socket.socket
    silent: bool = False

    def close(self) -> None:
        """Close both sides."""
        self.near.close()
        self.far.close()


@dataclass(slots=True)
class Link:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, target : str
        ``"ip:port"``.
    """

    listen: str
    target: str
    faults: LinkFaults = field(default_factory=LinkFaults)
    connections: list[Connection] = field(default_factory=list)
    _server: StreamServer | None = None

    def open(self) -> None:
        """Accept connections from now on."""
        self._server = StreamServer(split_address(self.listen), self._accept)
        self._server.start()

    def set_faults(self, faults: LinkFaults) -> None:
        """Misbehave in this way from now on."""
        was_cut, self.faults = self.faults.cut, faults
        if faults.cut and not was_cut:
            self._server.close()
            self.silence()
        elif was_cut and not faults.cut:
            self.open()

    def silence(self) -> None:
        """Forward nothing more over the connections that are open now."""
        for connection in self.connections:
            connection.silent = True

    def _accept(self, near: socket.socket, origin: tuple) -> None:
        try:
            far = socket.create_connection(
                split_address(self.target), _CONNECT_TIMEOUT_S
            )
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(near, far)
        self.connections.append(connection)
        pumps = [
            gevent.spawn(self._pump, connection, near, far),
            gevent.spawn(self._pump, connection, far, near),
        ]
        gevent.joinall(pumps)
        self.connections.remove(connection)
        connection.close()

    def _pump(self, connection: Connection, source: object, sink: object) -> None:
        try:
            while chunk := source.recv(_CHUNK):
                if self.faults.delay_ms:
                    gevent.sleep(self.faults.delay_ms / _SECOND_MS)
                if not connection.silent:
                    sink.sendall(chunk)
        except OSError:
            _reset(connection, sink)
            return
        if not connection.silent:
            _end(sink)


def _end(sink: socket.socket) -> None:
    try:
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        return


def _reset(connection: Connection, sink: socket.socket) -> None:
    # The other side of a silent connection must not hear of its end either.
    if connection.silent:
        return
    try:
        sink.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


@dataclass(slots=True)
class _Links:
    links: dict[str, Link]

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        open_now = {name: len(link.connections) for name, link in self.links.items()}
        resp.data = msgspec.json.encode(open_now)


@dataclass(slots=True)
class _OneLink:
    links: dict[str, Link]

    def on_put(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        faults = msgspec.json.decode(req.bounded_stream.read(), type=LinkFaults)
        self._find(name).set_faults(faults)

    def on_post_silence(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        self._find(name).silence()

    def _find(self, name: str) -> Link:
        if name not in self.links:
            raise falcon.HTTPNotFound(description="no link of this name")
        return self.links[name]


@dataclass(slots=True)
class _Datagrams:
    datagrams: Datagrams

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        data = req.bounded_stream.read()
        self.datagrams.faults = msgspec.json.decode(data, type=DatagramFaults)


class _DatagramLinks(msgspec.Struct):
    links: list[DatagramLink] = []


def _open_datagrams(path: str | None) -> Datagrams:
    data = Path(path).read_bytes() if path else b"{}"
    datagrams = Datagrams(msgspec.json.decode(data, type=_DatagramLinks).links)
    datagrams.open()
    return datagrams


def main() -> None:
    """Relay until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", required=True, help="where faults are switched")
    parser.add_argument("--links", required=True, help="file with the links")
    parser.add_argument("--datagrams", help="file with how datagrams go")
    arguments = parser.parse_args()
    named = json.loads(Path(arguments.links).read_text("utf-8"))
    links = {name: Link(listen, target) for name, (listen, target) in named.items()}
    for link in links.values():
        link.open()
    app = falcon.App()
    app.add_route("/links", _Links(links))
    app.add_route("/links/{name}", _OneLink(links))
    app.add_route("/links/{name}/silence", _OneLink(links), suffix="silence")
    app.add_route("/datagrams", _Datagrams(_open_datagrams(arguments.datagrams)))
    server = http_server(arguments.address, app, "relay")
    server.start()
    print(f"listening {server.server_host}:{server.server_port}", flush=True)
    stop_requested().wait()


if __name__ == "__main__":
    main()
