"""Sealed gRPC calls between the system's processes, without generated code.

Requests and responses are msgspec structs. A request is signed in its metadata
as an HTTP request is in its header; each response is sealed for just that
request, so that a stranger who took over the address cannot answer in its
place. A call costs about half a millisecond of CPU: it is for orders that need
an answer and for snapshots, never for one message a token or a heartbeat.
"""

from collections.abc import Callable, Iterator, Sequence
from concurrent import futures
from dataclasses import dataclass
from typing import Any

import grpc
import msgspec

from azurefold.border.decoding import UnreadableError, unreadable_as
from azurefold.core.clock import SECOND, Clock, Millis
from azurefold.internal.clock import wall_clock
from azurefold.wire.http_auth import RequestParts, verify_request
from azurefold.wire.seal import (
    KeyRing,
    Opened,
    Reason,
    Rejected,
    ReplayGuard,
    Sealer,
    seal,
)

__all__ = [
    "Server",
    "StreamHandler",
    "UnaryHandler",
    "serve",
    "use_gevent",
]

SERVICE = "azurefold.Internal"
METADATA_KEY = "azurefold-auth"
RESPONSE = "grpc-response"
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_HANDSHAKE_TIMEOUT_MS: Millis = 2_000
GRPC_OPTIONS = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
)
# Two processes must never share a port silently.
_SERVER_OPTIONS = (
    *GRPC_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.server_handshake_timeout_ms", _HANDSHAKE_TIMEOUT_MS),
)

OnReject = Callable[[Reason], None]


@dataclass(frozen=True, slots=True)
class _Method:
    """What both kinds of handler have.

    Parameters
    ----------
    name : str
        The method's name.
    request : type
        The struct that a request must decode to.
    """

    name: str
    request: type


@dataclass(frozen=True, slots=True)
class UnaryHandler(_Method):
    """Answers one request with the response that ``handle`` returns.

    ``handle`` is given the request and who sent it.
    """

    handle: Callable[[Any, Opened], Any]


@dataclass(frozen=True, slots=True)
class StreamHandler(_Method):
    """Answers one request with all responses that ``handle`` yields.

    For what is larger than one message, such as a snapshot.
    """

    handle: Callable[[Any, Opened], Iterator[Any]]


Handler = UnaryHandler | StreamHandler


def use_gevent() -> None:
    """Make gRPC cooperate with gevent; call after ``monkey.patch_all()``.

    Without it a call blocks the whole process: all greenlets stand still, and
    heartbeats stop while an order waits for its answer.
    """
    from grpc.experimental import gevent as grpc_gevent

    grpc_gevent.init_gevent()


@dataclass(frozen=True, slots=True)
class Server:
    """A serving port.

    Parameters
    ----------
    port : int
        The port bound, also where the address asked for port 0.
    """

    port: int
    _server: grpc.Server

    def stop(self, grace_ms: Millis) -> None:
        """Refuse new calls, give those in flight ``grace_ms`` and return."""
        self._server.stop(grace_ms / SECOND).wait()


@dataclass(frozen=True, slots=True)
class _Gate:
    """What each request has to pass, and how its responses are sealed."""

    ring: KeyRing
    sealer: Sealer
    guard: ReplayGuard
    clock: Clock
    on_reject: OnReject

    def admit(
        self, handler: Handler, body: bytes, context: grpc.ServicerContext
    ) -> tuple[Any, Opened, str]:
        """Return the request, its sender and its seal, or abort the call."""
        value = _auth_value(context)
        parts = RequestParts("GRPC", handler.name, body, self.sealer.name)
        opened = verify_request(value, parts, self.ring, self.guard, self.clock.now())
        if isinstance(opened, Rejected):
            self.on_reject(opened.reason)
            context.abort(grpc.StatusCode.UNAUTHENTICATED, opened.reason.value)
        try:
            with unreadable_as(UnreadableError):
                request = msgspec.msgpack.decode(body, type=handler.request)
        except UnreadableError as error:
            self.on_reject(Reason.MALFORMED)
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        return request, opened, value or ""

    def wrap(self, response: Any, value: str, index: int) -> bytes:
        payload = msgspec.msgpack.encode(response)
        audience = response_audience(value, index)
        return seal(
            payload, self.ring, self.sealer, purpose=RESPONSE, audience=audience
        )


def _auth_value(context: grpc.ServicerContext) -> str | None:
    for key, value in context.invocation_metadata():
        if key == METADATA_KEY and isinstance(value, str):
            return value
    return None


def response_audience(value: str, index: int) -> str:
    """Return what seals a response for the request signed with ``value``."""
    # The index keeps the parts of a stream from being dropped or swapped.
    return f"{value}#{index}"


def serve(
    address: str,
    handlers: Sequence[Handler],
    ring: KeyRing,
    on_reject: OnReject,
    *,
    sealer: Sealer,
    guard: ReplayGuard | None = None,
    clock: Clock | None = None,
    workers: int = 32,
    max_connections: int | None = None,
) -> Server:
    """Serve ``handlers`` at ``address`` and return at once.

    Parameters
    ----------
    address : str
        IP number and port; port 0 takes a free one.
    handlers : sequence of UnaryHandler or StreamHandler
        One for each method.
    ring : KeyRing
        Requests without one of its keys are refused.
    on_reject : callable
        Given the reason of each refusal, for a counter.
    sealer : Sealer
        This process's identity. Callers must name it as the recipient.
    guard : ReplayGuard, optional
        The process's own, if other ports share it.
    clock : Clock, optional
        Wall clock.
    workers : int
        Calls handled at the same time.
    max_connections : int, optional
        Connections that may be open; without a bound by default.

    Raises
    ------
    RuntimeError
        If the address cannot be bound.
    """
    gate = _Gate(ring, sealer, guard or ReplayGuard(), clock or wall_clock(), on_reject)
    options = _SERVER_OPTIONS
    if max_connections is not None:
        options += (("grpc.max_allowed_incoming_connections", max_connections),)
    server = grpc.server(
        futures.ThreadPoolExecutor(max_workers=workers), options=options
    )
    methods = {handler.name: _method(handler, gate) for handler in handlers}
    generic = grpc.method_handlers_generic_handler(SERVICE, methods)
    server.add_generic_rpc_handlers((generic,))
    port = server.add_insecure_port(address)
    if port == 0:
        raise RuntimeError(f"cannot bind {address}; is another process using it?")
    server.start()
    return Server(port=port, _server=server)


def _method(handler: Handler, gate: _Gate) -> grpc.RpcMethodHandler:
    match handler:
        case UnaryHandler():
            return grpc.unary_unary_rpc_method_handler(_unary(handler, gate))
        case StreamHandler():
            return grpc.unary_stream_rpc_method_handler(_stream(handler, gate))


def _unary(handler: UnaryHandler, gate: _Gate) -> Callable[..., bytes]:
    def behave(body: bytes, context: grpc.ServicerContext) -> bytes:
        request, sender, value = gate.admit(handler, body, context)
        return gate.wrap(handler.handle(request, sender), value, 0)

    return behave


def _stream(handler: StreamHandler, gate: _Gate) -> Callable[..., Iterator[bytes]]:
    def behave(body: bytes, context: grpc.ServicerContext) -> Iterator[bytes]:
        request, sender, value = gate.admit(handler, body, context)
        responses = handler.handle(request, sender)
        for index, response in enumerate(responses):
            yield gate.wrap(response, value, index)

    return behave
