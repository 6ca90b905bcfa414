"""Stand-ins for endpoints without an agent: plain ones and ranks of one group.

::

    python -m azurefold_standins.bare_endpoints --layout layout.json

All endpoints of a site live in one process, so that the ranks share their
passes and one journal tells what ran. ``GET /journal`` on the control address
returns a :class:`Journal`; ``PUT /faults`` takes :class:`EndpointFaults`.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402
from collections import Counter, defaultdict  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from pathlib import Path  # noqa: E402

import falcon  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.pool import Pool  # noqa: E402

from azurefold.core.groups.map_orders import (  # noqa: E402
    Arm,
    Disarm,
    Hold,
    Prepare,
    Release,
    Verdict,
)
from azurefold.internal.http_server import TimedServer, http_server  # noqa: E402
from azurefold.internal.process import stop_requested  # noqa: E402
from azurefold_standins.bare_layout import (  # noqa: E402
    CLASS_ROUTES,
    EVENTS,
    BareEndpoint,
    EndpointFaults,
    Journal,
    Layout,
    expected_event,
    requested_size,
)
from azurefold_standins.order_ranks import ModelGroup  # noqa: E402

__all__ = ["main"]

_PASS_S = 0.02
_WORK_S = 0.01
_LONG_WORK_S = 0.3
"""With 24 callers at two endpoints of six slots, requests wait for some 0.3 s, and
about as long as gateways let them (1.2 s) while one of the two gets none."""

_RESTART_DELAY_S = 1.0
_LAYERS, _EXPERTS = 2, 8
_PIECE_BYTES = 65_536


@dataclass(slots=True)
class _Site:
    group: ModelGroup
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    runs: Counter = field(default_factory=Counter)
    last_arrival: dict[str, float] = field(default_factory=dict)
    draw: random.Random = field(default_factory=lambda: random.Random(7))
    changes: int = 0
    held_s: float = 0.0
    arrivals: defaultdict[str, list[tuple[str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    times: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    crashes: list[str] = field(default_factory=list)
    requests: defaultdict[str, list[tuple[str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    servers: dict[str, TimedServer] = field(default_factory=dict)
    in_flight: Counter = field(default_factory=Counter)
    _held_since: float | None = None
    _counts: list[list[int]] = field(default_factory=list)

    def happens(self, share: float) -> bool:
        return self.draw.random() < share

    def pass_for_ever(self) -> None:
        """Begin a pass each 20 ms, as if there were always work."""
        self._counts = [[0] * (_LAYERS * _EXPERTS) for _ in self.group.ranks]
        while True:
            gevent.sleep(_PASS_S)
            before = [rank.version for rank in self.group.ranks]
            now = time.monotonic()
            if self.group.begin_pass():
                self._held_since = None
            else:
                self._held_since = self._held_since or now
                self.held_s = max(self.held_s, now - self._held_since)
            self.changes += before != [rank.version for rank in self.group.ranks]
            for counts in self._counts:
                hot = int(now / 3) % _EXPERTS
                for layer in range(_LAYERS):
                    counts[layer * _EXPERTS + hot] += 40
                    counts[layer * _EXPERTS + self.draw.randrange(_EXPERTS)] += 5

    def counts(self, rank: int) -> list[int]:
        return self._counts[rank]

    def journal(self) -> Journal:
        return Journal(
            dict(self.runs),
            self.last_arrival,
            self.changes,
            self.group.split_at,
            self.held_s,
            dict(self.arrivals),
            dict(self.times),
            self.crashes,
            dict(self.requests),
        )

    def start_endpoint(self, endpoint: BareEndpoint) -> None:
        """Start an endpoint's server, whose open connections ``stop`` closes."""
        app = _endpoint_app(self, endpoint)
        server = http_server(endpoint.address, app, endpoint.name)
        server.set_spawn(Pool())
        server.start()
        self.servers[endpoint.name] = server

    def crash_endpoint(self, endpoint: BareEndpoint) -> None:
        """Close an endpoint's port and connections, and schedule its restart."""
        self.crashes.append(endpoint.name)
        server = self.servers[endpoint.name]
        server.close()
        gevent.spawn(server.stop, timeout=0)
        gevent.spawn_later(_RESTART_DELAY_S, self.start_endpoint, endpoint)


@dataclass(slots=True)
class _Requests:
    """What one endpoint answers to requests."""

    site: _Site
    endpoint: BareEndpoint

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_) -> None:
        attempt = req.get_header("Attempt-Id") or ""
        resp.set_header("Attempt-Id", attempt)
        body = req.bounded_stream.read()
        site = self.site
        site.arrivals[self.endpoint.service].append((attempt, time.monotonic()))
        if req.get_header("Expect-Instance") != self.endpoint.name:
            resp.status = "421 Misdirected Request"
            return
        site.times[self.endpoint.name].append(time.monotonic())
        site.requests[self.endpoint.name].append((attempt, time.monotonic()))
        quota = site.faults.quotas.get(self.endpoint.name)
        if quota is not None:
            resp.set_header("Server-Limit", str(quota))
        is_of_class = req.path.startswith(tuple(CLASS_ROUTES))
        if not is_of_class and site.happens(site.faults.refuse):
            resp.status = falcon.HTTP_503
            resp.set_header("Not-Executed", "1")
            return
        site.last_arrival[self.endpoint.name] = time.monotonic()
        site.runs[attempt] += 1
        if req.path in site.faults.crashing:
            site.crash_endpoint(self.endpoint)
            resp.stream = _abort_response()
            return
        gevent.sleep(_LONG_WORK_S if is_of_class else _WORK_S)
        resp.set_header("Server-Seal", f"{self.endpoint.name}.{attempt}")
        if is_of_class:
            resp.data = _echo(req, body)
        elif self.endpoint.rank is None:
            self._plain(req, resp, body)
        else:
            self._stream(req, resp)

    def _plain(self, req, resp, body: bytes) -> None:
        if self.site.happens(self.site.faults.lose):
            raise ConnectionResetError(104, "lost")
        if size := requested_size(req.path):
            resp.content_length = size
            resp.stream = _pieces(size)
            return
        resp.data = _echo(req, body)

    def _stream(self, req, resp) -> None:
        resp.content_type = "text/event-stream"
        resp.stream = self._events(req.path, int(req.get_header("Last-Event-Id") or 0))

    def _events(self, path: str, after: int):
        stop = EVENTS
        if self.site.happens(self.site.faults.break_off):
            stop = self.site.draw.randrange(after, EVENTS)
        self.site.in_flight[self.endpoint.rank] += 1
        try:
            for number in range(after + 1, EVENTS + 1):
                gevent.sleep(_PASS_S)
                event = expected_event(path, number)
                if number > stop:
                    yield event[:5]
                    raise ConnectionResetError(104, "broken off")
                yield event
        finally:
            self.site.in_flight[self.endpoint.rank] -= 1


def _echo(req: falcon.Request, body: bytes) -> bytes:
    return req.path.encode() + b":" + body


def _pieces(size: int) -> Iterator[bytes]:
    piece = bytes(min(size, _PIECE_BYTES))
    while size > 0:
        yield piece[:size]
        size -= len(piece)


def _abort_response() -> Iterator[bytes]:
    """Close the connection before any byte of the response is sent.

    The error is raised while the body is iterated, because the framework answers
    earlier exceptions with status 500.
    """
    raise ConnectionResetError(104, "endpoint crashed")
    yield b""  # Unreachable; makes this function a generator.


@dataclass(slots=True)
class _Rank:
    """What one rank answers to questions and orders."""

    site: _Site
    rank: int

    def on_get_report(self, req, resp) -> None:
        view = self.site.group.view(self.rank)
        resp.data = msgspec.json.encode(
            {
                "group": {
                    "Name": "g",
                    "epoch": view.epoch,
                    "rank": self.rank,
                    "State": "open",
                },
                "size": self.site.group.size,
                "step": view.step,
                "ExpertMap": view.version,
                "Prepared": view.prepared_version,
                "Armed": view.armed_version,
                "held": view.held_step,
                "pace": 1.0,
                "Active": self.site.in_flight[self.rank],
            }
        )

    def on_get_picked(self, req, resp) -> None:
        view = self.site.group.view(self.rank)
        if req.has_param("Lists"):
            size = self.site.group.size
            held = list(range(self.rank, _EXPERTS, size))
            in_force = {"Version": view.version, "Experts": [held] * _LAYERS}
            body = {"epoch": view.epoch, "ExpertMap": in_force}
        else:
            counts = self.site.counts(self.rank)
            body = {"epoch": view.epoch, "step": view.step, "Counts": counts}
        resp.data = msgspec.json.encode(body)

    def on_post_order(self, req, resp) -> None:
        body = msgspec.json.decode(req.bounded_stream.read())
        if self.site.happens(self.site.faults.late_orders):
            gevent.spawn_later(2 + 4 * self.site.draw.random(), self._take, body)
            gevent.sleep(30)
            return
        accepted = self._take(body) is Verdict.ACCEPTED
        resp.status = falcon.HTTP_202 if accepted else falcon.HTTP_409

    def _take(self, body: dict) -> Verdict:
        group = self.site.group
        if body["epoch"] != group.epoch:
            return Verdict.REFUSED
        return group.ranks[self.rank].take(_order(body), group.step)


def _order(body: dict):
    match body["Op"]:
        case "prepare":
            return Prepare(body["Version"])
        case "Hold":
            return Hold(body["step"])
        case "arm":
            return Arm(body["Version"], body["step"])
        case "disarm":
            return Disarm(body["Version"])
        case "go":
            return Release(body["step"])
    raise ValueError(f"no such order: {body['Op']}")


@dataclass(slots=True)
class _Control:
    site: _Site

    def on_get(self, req, resp) -> None:
        resp.data = msgspec.json.encode(self.site.journal())

    def on_put(self, req, resp) -> None:
        data = req.bounded_stream.read()
        self.site.faults = msgspec.json.decode(data, type=EndpointFaults)


def _endpoint_app(site: _Site, endpoint: BareEndpoint) -> falcon.App:
    app = falcon.App()
    if endpoint.rank is not None:
        rank = _Rank(site, endpoint.rank)
        app.add_route("/report", rank, suffix="report")
        app.add_route("/picked", rank, suffix="picked")
        app.add_route("/order", rank, suffix="order")
    app.add_sink(_Requests(site, endpoint))
    return app


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--layout", required=True)
    data = Path(parser.parse_args().layout).read_bytes()
    layout = msgspec.json.decode(data, type=Layout)
    ranks = [each for each in layout.endpoints if each.rank is not None]
    site = _Site(ModelGroup(len(ranks)))
    gevent.spawn(site.pass_for_ever)
    for endpoint in layout.endpoints:
        site.start_endpoint(endpoint)
    control = falcon.App()
    control.add_route("/journal", _Control(site))
    control.add_route("/faults", _Control(site))
    http_server(layout.control, control, "control").start()
    print("listening", flush=True)
    stop_requested().wait()


if __name__ == "__main__":
    main()
