"""Stand-in for the platform: table, object store and list of VMs over HTTP.

Run it with ``python -m azurefold_standins.platform --host 127.0.0.1 --port 0``.
It prints ``listening ip:port`` once it accepts connections.
"""

import argparse
import signal
import socket
from dataclasses import dataclass
from typing import Literal

import falcon
import gevent
import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

from azurefold.internal.clock import monotonic_clock
from azurefold.site_store.messages import Row, Transaction, Vms
from azurefold_standins.platform_store import PlatformStore

__all__ = ["Faults", "main", "platform_server"]

_SOCKET = "azurefold_standins.socket"
_DEFAULT_SNAPSHOT = "default"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """How the stand-in misbehaves.

    Parameters
    ----------
    mode : {"ok", "down", "slow", "lose_answers"}
        ``down`` refuses everything with 503; ``slow`` waits ``latency_ms``
        before it acts; ``lose_answers`` lets a write take effect and closes
        the connection without an answer.
    latency_ms : int, default=0
        Wait before acting, also in mode ``ok``.
    count : int or None, default=None
        How many answers to lose before all is well again; ``None``: no end.
    vm_lag_ms : int, default=0
        Age of the list of VMs that is shown.
    writes_only : bool, default=False
        Whether reads are spared from ``down`` and from the latency.
    """

    mode: Literal["ok", "down", "slow", "lose_answers"] = "ok"
    latency_ms: int = 0
    count: int | None = None
    vm_lag_ms: int = 0
    writes_only: bool = False


class _SnapshotName(msgspec.Struct):
    name: str = _DEFAULT_SNAPSHOT


@dataclass(slots=True)
class _State:
    store: PlatformStore
    faults: Faults
    clock: object

    def delay_or_refuse(self, is_write: bool = False) -> None:
        if self.faults.writes_only and not is_write:
            return
        if self.faults.latency_ms:
            gevent.sleep(self.faults.latency_ms / 1_000)
        if self.faults.mode == "down":
            raise falcon.HTTPServiceUnavailable()

    def answer_is_lost(self) -> bool:
        if self.faults.mode != "lose_answers":
            return False
        if self.faults.count is None:
            return True
        self.faults.count -= 1
        if self.faults.count <= 0:
            self.faults.mode = "ok"
        return True


class _Table:
    def __init__(self, state: _State) -> None:
        self._state = state

    def on_get(self, req, resp):
        self._state.delay_or_refuse()
        keys = req.get_param_as_list("key") or []
        _write_rows(resp, self._state.store.read(keys))

    def on_post(self, req, resp):
        self._state.delay_or_refuse(is_write=True)
        transaction = _decode(req, Transaction)
        result = self._state.store.write(transaction)
        if self._state.answer_is_lost():
            _cut(req)
        if isinstance(result, dict):
            _write_json(resp, {"versions": result})
        else:
            resp.status = falcon.HTTP_409
            _write_rows(resp, result)


class _TablePrefix:
    def __init__(self, state: _State) -> None:
        self._state = state

    def on_get(self, req, resp):
        self._state.delay_or_refuse()
        prefix = req.get_param("prefix", default="")
        _write_rows(resp, self._state.store.read_prefix(prefix))


class _Objects:
    def __init__(self, state: _State) -> None:
        self._state = state

    def on_get(self, req, resp, sha256):
        self._state.delay_or_refuse()
        data = self._state.store.get_object(sha256)
        if data is None:
            raise falcon.HTTPNotFound()
        resp.content_type = "application/octet-stream"
        resp.data = data

    def on_put(self, req, resp, sha256):
        self._state.delay_or_refuse(is_write=True)
        self._state.store.put_object(sha256, req.bounded_stream.read())
        if self._state.answer_is_lost():
            _cut(req)
        _write_json(resp, {})


class _VmList:
    def __init__(self, state: _State) -> None:
        self._state = state

    def on_get(self, req, resp):
        self._state.delay_or_refuse()
        now = self._state.clock.now()
        _write_json(resp, self._state.store.vms(now, self._state.faults.vm_lag_ms))

    def on_put(self, req, resp):
        self._state.store.set_vms(_decode(req, Vms), self._state.clock.now())
        _write_json(resp, {})


class _Management:
    def __init__(self, state: _State) -> None:
        self._state = state

    def on_get_counters(self, req, resp):
        _write_json(resp, self._state.store.counters.as_dict())

    def on_put_faults(self, req, resp):
        self._state.faults = _decode(req, Faults)
        _write_json(resp, self._state.faults)

    def on_get_faults(self, req, resp):
        _write_json(resp, self._state.faults)

    def on_post_snapshot(self, req, resp):
        self._state.store.take_snapshot(_decode(req, _SnapshotName).name)
        _write_json(resp, {})

    def on_post_restore(self, req, resp):
        if not self._state.store.restore(_decode(req, _SnapshotName).name):
            raise falcon.HTTPNotFound(description="no snapshot of this name")
        _write_json(resp, {})


class _Handler(WSGIHandler):
    def get_environ(self):
        environ = super().get_environ()
        environ[_SOCKET] = self.socket
        return environ


class _Server(WSGIServer):
    def handle(self, sock, address):
        # Head and body of an answer are written apart. With Nagle's algorithm
        # on, the body waits for a delayed acknowledgement, some 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def platform_server(host: str, port: int) -> WSGIServer:
    """Return a stand-in that is not started yet; port 0 takes a free one."""
    state = _State(PlatformStore(), Faults(), monotonic_clock())
    management = _Management(state)
    app = falcon.App()
    app.req_options.auto_parse_qs_csv = False
    app.req_options.keep_blank_qs_values = True
    app.set_error_serializer(_serialize_error)
    app.add_route("/table", _Table(state))
    app.add_route("/table_prefix", _TablePrefix(state))
    app.add_route("/objects/{sha256}", _Objects(state))
    app.add_route("/vms", _VmList(state))
    for name in ("counters", "faults", "snapshot", "restore"):
        app.add_route(f"/{name}", management, suffix=name)
    return _Server((host, port), app, handler_class=_Handler, log=None)


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    server = platform_server(arguments.host, arguments.port)
    server.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, server.stop)
    print(f"listening {server.server_host}:{server.server_port}", flush=True)
    server.serve_forever()


def _decode(req, kind):
    data = req.bounded_stream.read() or b"{}"
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error


def _write_json(resp, content) -> None:
    resp.data = msgspec.json.encode(content)


def _write_rows(resp, rows: list[Row]) -> None:
    _write_json(resp, {"rows": rows})


def _cut(req) -> None:
    req.env[_SOCKET].shutdown(socket.SHUT_RDWR)


def _serialize_error(req, resp, exception) -> None:
    message = exception.description or exception.title
    _write_json(resp, {"applied": False, "error": message})


if __name__ == "__main__":
    main()
