"""A stand-in for a group of model engines that run in lock-step.

One process holds all ranks, each on a port of its own::

    python -m azurefold_standins.engine --addresses 127.0.0.1:0,127.0.0.1:0

============================  ==============================================
``POST /v1/completions``      Streams tokens; ``Request-Id`` names the stream.
``GET /v1/streams/{id}``      The stream again, from ``?from=OFFSET``.
``DELETE /v1/streams/{id}``   Cancels.
``GET /load``                 Requests running and waiting.
``GET /journal``              Everything that ran, for tests to compare.
``GET|POST /rank``            The rank's state; orders on maps and steps.
``POST /order_delay``         Is late with each order of one kind.
``POST /replace``             Puts a fresh rank in this one's place.
``GET /steps``                The map each rank used in each step.
``GET /experts``              Tokens counted for each expert; the map in use.
``POST /maps``                The content of a map, before it is staged.
``GET /waits``                For how many step times each step was held up.
============================  ==============================================
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import signal  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402

import falcon  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.event import Event  # noqa: E402

from azurefold.internal.http_server import http_server  # noqa: E402
from azurefold_standins.experts import Experts, new_experts  # noqa: E402
from azurefold_standins.lockstep import LockstepGroup, lockstep_group  # noqa: E402
from azurefold_standins.lockstep_orders import (  # noqa: E402
    decode_order,
    engine_state,
    give_order,
)
from azurefold_standins.text import token  # noqa: E402

__all__ = ["main"]

_SECOND_MS = 1_000
_KEEPALIVE_S = 1.0


class Ask(msgspec.Struct):
    """What an engine reads of a request."""

    prompt: str
    max_tokens: int = 64


@dataclass(slots=True)
class Stream:
    """One request at a rank."""

    request_id: str
    ask: Ask
    priority: int
    pieces: list[str] = field(default_factory=list)
    offsets: list[int] = field(default_factory=list)
    total: int = 0
    done: bool = False
    cancelled: bool = False
    changed: Event = field(default_factory=Event)

    def step(self) -> None:
        """Generate the next token."""
        piece = token(self.ask.prompt, len(self.pieces))
        self.pieces.append(piece)
        self.offsets.append(self.total)
        self.total += len(piece)
        self.done = len(self.pieces) >= self.ask.max_tokens
        self.changed.set()

    def events(self, start: int) -> Iterator[bytes]:
        """Yield server-sent events from an offset."""
        index = 0
        while index < len(self.offsets) and self.offsets[index] < start:
            index += 1
        while True:
            while index < len(self.pieces):
                offset, piece = self.offsets[index], self.pieces[index]
                index += 1
                yield _event({"offset": offset, "text": piece})
            if self.done or self.cancelled:
                yield _event({"done": True, "total": self.total})
                return
            self.changed.clear()
            if not self.changed.wait(_KEEPALIVE_S):
                yield b": waiting\n\n"


@dataclass(slots=True)
class Rank:
    """One engine of the group."""

    number: int
    max_batch: int
    running: list[Stream] = field(default_factory=list)
    waiting: list[Stream] = field(default_factory=list)
    streams: dict[str, Stream] = field(default_factory=dict)
    runs: list[dict] = field(default_factory=list)
    slowdown_ms: int = 0
    order_delays: dict[str, int] = field(default_factory=dict)

    def add(self, stream: Stream) -> None:
        """Queue a request."""
        self.streams[stream.request_id] = stream
        self.runs.append({"id": stream.request_id, "prompt": stream.ask.prompt})
        self.waiting.append(stream)
        self.waiting.sort(key=lambda one: one.priority)

    def step(self) -> list[Stream]:
        """Generate one token for each running request and return these."""
        while self.waiting and len(self.running) < self.max_batch:
            self.running.append(self.waiting.pop(0))
        stepped = [stream for stream in self.running if not stream.cancelled]
        for stream in stepped:
            stream.step()
        self.running = [s for s in self.running if not (s.done or s.cancelled)]
        return stepped


@dataclass(slots=True)
class Group:
    """All ranks and the steps they take together."""

    ranks: list[Rank]
    lockstep: LockstepGroup
    step_ms: int
    experts: Experts
    waits: dict[int, int] = field(default_factory=dict)

    def run(self) -> None:
        """Take a step every ``step_ms``, for as long as all ranks permit it."""
        while True:
            slowest = max(rank.slowdown_ms for rank in self.ranks)
            gevent.sleep((self.step_ms + slowest) / _SECOND_MS)
            step = self.lockstep.next_step
            if self.lockstep.advance(1):
                self._compute()
            else:
                self.waits[step] = self.waits.get(step, 0) + 1

    def _compute(self) -> None:
        self.experts.use(self.lockstep.history[-1].maps[0])
        slowness = [1 + rank.slowdown_ms / self.step_ms for rank in self.ranks]
        for rank in self.ranks:
            for stream in rank.step():
                prompt, index = stream.ask.prompt, len(stream.pieces)
                self.experts.count(rank.number, prompt, index, slowness)


def _event(content: dict) -> bytes:
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


@dataclass(slots=True)
class _Completions:
    rank: Rank

    def on_post(self, req, resp):
        ask = msgspec.json.decode(req.bounded_stream.read(), type=Ask)
        request_id = req.get_header("Request-Id") or ""
        stream = self.rank.streams.get(request_id)
        if stream is None:
            priority = int(req.get_header("Priority") or 0)
            stream = Stream(request_id, ask, priority)
            self.rank.add(stream)
        resp.content_type = "text/event-stream"
        resp.stream = stream.events(0)


@dataclass(slots=True)
class _Streams:
    rank: Rank

    def on_get(self, req, resp, request_id):
        stream = self.rank.streams.get(request_id)
        if stream is None:
            raise falcon.HTTPNotFound()
        resp.content_type = "text/event-stream"
        resp.stream = stream.events(req.get_param_as_int("from", default=0))

    def on_delete(self, req, resp, request_id):
        stream = self.rank.streams.get(request_id)
        if stream is not None:
            stream.cancelled = True
            stream.changed.set()


@dataclass(slots=True)
class _Views:
    rank: Rank
    group: Group

    def on_get_load(self, req, resp):
        running, waiting = len(self.rank.running), len(self.rank.waiting)
        resp.data = msgspec.json.encode({"running": running, "waiting": waiting})

    def on_get_journal(self, req, resp):
        resp.data = msgspec.json.encode(self.rank.runs)

    def on_get_steps(self, req, resp):
        start = req.get_param_as_int("from", default=0)
        steps = self.group.lockstep.history[start:]
        resp.data = msgspec.json.encode([(one.step, one.maps) for one in steps])

    def on_get_rank(self, req, resp):
        state = engine_state(self.group.lockstep, self.rank.number)
        resp.data = msgspec.json.encode(state)

    def on_post_rank(self, req, resp):
        order = decode_order(req.bounded_stream.read())
        delay = self.rank.order_delays.get(type(order).__name__, 0)
        gevent.sleep(delay / _SECOND_MS)
        reply = give_order(self.group.lockstep, self.rank.number, order)
        resp.data = msgspec.json.encode(reply)

    def on_get_experts(self, req, resp):
        resp.data = msgspec.json.encode(self.group.experts.report(self.rank.number))

    def on_post_maps(self, req, resp):
        map_id = self.group.experts.put_map(req.bounded_stream.read())
        resp.data = msgspec.json.encode({"map_id": map_id})

    def on_get_waits(self, req, resp):
        resp.data = msgspec.json.encode(list(self.group.waits.items()))

    def on_post_order_delay(self, req, resp):
        delay = req.get_param_as_int("ms", required=True)
        self.rank.order_delays[req.get_param("order", required=True)] = delay

    def on_post_replace(self, req, resp):
        self.group.lockstep.replace(self.rank.number)

    def on_post_slowdown(self, req, resp):
        self.rank.slowdown_ms = int(req.get_param("ms", required=True))


def _rank_app(rank: Rank, group: Group) -> falcon.App:
    app = falcon.App()
    views = _Views(rank, group)
    app.add_route("/v1/completions", _Completions(rank))
    app.add_route("/v1/streams/{request_id}", _Streams(rank))
    for name in (
        "load",
        "journal",
        "steps",
        "waits",
        "rank",
        "order_delay",
        "replace",
        "slowdown",
        "experts",
        "maps",
    ):
        app.add_route(f"/{name}", views, suffix=name)
    return app


def main() -> None:
    """Serve all ranks until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--addresses", required=True, help="one ip:port a rank")
    parser.add_argument("--step-ms", type=int, default=5)
    parser.add_argument("--max-batch", type=int, default=64)
    parser.add_argument("--layers", type=int, default=2)
    parser.add_argument("--experts", type=int, default=16, help="in each layer")
    parser.add_argument("--ignore-fence", action="store_true")
    arguments = parser.parse_args()
    addresses = arguments.addresses.split(",")
    ranks = [Rank(number, arguments.max_batch) for number in range(len(addresses))]
    lockstep = lockstep_group(len(ranks), honours_fence=not arguments.ignore_fence)
    slots = arguments.experts // len(ranks) + 2
    experts = new_experts(len(ranks), arguments.layers, arguments.experts, slots)
    group = Group(ranks, lockstep, arguments.step_ms, experts)
    servers = [
        http_server(address, _rank_app(rank, group), "engine")
        for address, rank in zip(addresses, ranks, strict=True)
    ]
    for server in servers:
        server.start()
        print(f"listening {server.server_host}:{server.server_port}", flush=True)
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.spawn(group.run)
    stop.wait()


if __name__ == "__main__":
    main()
