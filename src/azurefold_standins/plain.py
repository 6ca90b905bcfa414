"""A stand-in for a plain service whose calls may not be repeated.

::

    python -m azurefold_standins.plain --address 127.0.0.1:0

Every call takes effect: ``GET /journal`` lists the bodies in their order.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import signal  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402

import falcon  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.event import Event  # noqa: E402

from azurefold.internal.http_server import http_server  # noqa: E402
from azurefold_standins.bare_layout import requested_size  # noqa: E402
from azurefold_standins.text import confirmation  # noqa: E402

__all__ = ["main"]

_SECOND_MS = 1_000


@dataclass(slots=True)
class _Calls:
    latency_ms: int
    journal: list[str] = field(default_factory=list)

    def on_post(self, req, resp, path=""):
        body = req.bounded_stream.read()
        self.journal.append(body.decode("utf-8", "replace"))
        gevent.sleep(self.latency_ms / _SECOND_MS)
        if size := requested_size(path):
            resp.data = b"x" * size
            return
        resp.data = msgspec.json.encode({"confirmed": confirmation(body)})

    def on_get_journal(self, req, resp):
        resp.data = msgspec.json.encode(self.journal)


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", required=True)
    parser.add_argument("--latency-ms", type=int, default=20)
    arguments = parser.parse_args()
    calls = _Calls(arguments.latency_ms)
    app = falcon.App()
    app.add_route("/journal", calls, suffix="journal")
    app.add_route("/", calls)
    app.add_route("/{path:path}", calls)
    server = http_server(arguments.address, app, "plain")
    server.start()
    print(f"listening {server.server_host}:{server.server_port}", flush=True)
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    stop.wait()


if __name__ == "__main__":
    main()
