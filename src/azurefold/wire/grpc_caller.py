"""Calls to the methods that another process serves over sealed gRPC."""

from collections.abc import Iterator
from enum import StrEnum
from typing import Any, TypeVar

import grpc
import msgspec

from azurefold.border.decoding import UnreadableError, unreadable_as
from azurefold.core.clock import SECOND, Clock, Millis
from azurefold.internal.clock import wall_clock
from azurefold.wire.grpc_service import (
    GRPC_OPTIONS,
    METADATA_KEY,
    RESPONSE,
    SERVICE,
    response_audience,
)
from azurefold.wire.http_auth import RequestParts, sign_request
from azurefold.wire.seal import KeyRing, Rejected, Sealer, open_sealed

__all__ = ["CallError", "CallFailure", "Caller", "caller"]

# gRPC's back-off would grow to two minutes by default, and a process that came
# back would look dead to its callers for as long.
_CHANNEL_OPTIONS = (
    *GRPC_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    # By default channels to one address share a connection, and a new channel
    # would get the very connection that an old one was given up for.
    ("grpc.use_local_subchannel_pool", 1),
)

Response = TypeVar("Response")


class CallFailure(StrEnum):
    """What the caller may conclude from a call that gave no response."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    FAILED = "failed"


class CallError(Exception):
    """A call that gave no response.

    Parameters
    ----------
    method, address : str
        What was called, and where.
    failure : CallFailure
        After any but ``REFUSED`` the order may have been carried out.
    detail : str
        For the log.
    """

    def __init__(
        self, method: str, address: str, failure: CallFailure, detail: str
    ) -> None:
        super().__init__(f"{method} at {address}: {failure}: {detail}")
        self.method = method
        self.address = address
        self.failure = failure
        self.detail = detail


class Caller:
    """Calls the methods of one process; made by :func:`caller`."""

    def __init__(
        self,
        address: str,
        ring: KeyRing,
        sealer: Sealer,
        recipient: str,
        clock: Clock,
    ) -> None:
        self._address = address
        self._ring = ring
        self._sealer = sealer
        self._recipient = recipient
        self._clock = clock
        self._channel = self._connect()

    @property
    def address(self) -> str:
        """Where calls go to."""
        return self._address

    def call(
        self,
        method: str,
        request: Any,
        response_type: type[Response],
        timeout_ms: Millis,
    ) -> Response:
        """Return the response to ``request``.

        Raises
        ------
        CallError
            If there was none within ``timeout_ms``, or a forged one.
        """
        body = msgspec.msgpack.encode(request)
        value = self._sign(method, body)
        channel = self._channel
        remote = channel.unary_unary(_path(method))
        metadata = ((METADATA_KEY, value),)
        try:
            data = remote(body, timeout=timeout_ms / SECOND, metadata=metadata)
        except grpc.RpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._give_up(channel)
            raise self._call_error(method, error) from error
        return self._open(method, data, response_type, value, 0)

    def stream(
        self,
        method: str,
        request: Any,
        response_type: type[Response],
        timeout_ms: Millis,
    ) -> Iterator[Response]:
        """Yield the responses to ``request``, all within ``timeout_ms``.

        Raises
        ------
        CallError
            If the stream broke off; what was yielded before is genuine.
        """
        body = msgspec.msgpack.encode(request)
        value = self._sign(method, body)
        remote = self._channel.unary_stream(_path(method))
        metadata = ((METADATA_KEY, value),)
        parts = remote(body, timeout=timeout_ms / SECOND, metadata=metadata)
        try:
            for index, data in enumerate(parts):
                yield self._open(method, data, response_type, value, index)
        except grpc.RpcError as error:
            raise self._call_error(method, error) from error
        finally:
            parts.cancel()

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def _connect(self) -> grpc.Channel:
        return grpc.insecure_channel(self._address, options=_CHANNEL_OPTIONS)

    def _give_up(self, channel: grpc.Channel) -> None:
        # A channel keeps its connection until it is closed. If something
        # between the two ends has lost track of that one, every later call
        # times out too, though the other process is well and new connections
        # work: one sees a peer that never answers again until a restart. So
        # the next call goes over a new connection. A peer that was merely
        # slow costs one handshake.
        if channel is self._channel:
            self._channel = self._connect()
            channel.close()

    def _sign(self, method: str, body: bytes) -> str:
        parts = RequestParts("GRPC", method, body, self._recipient)
        return sign_request(parts, self._ring, self._sealer, self._clock.now())

    def _open(
        self,
        method: str,
        data: bytes,
        response_type: type[Response],
        value: str,
        index: int,
    ) -> Response:
        audience = response_audience(value, index)
        opened = open_sealed(
            data, self._ring, None, purpose=RESPONSE, audience=audience
        )
        if isinstance(opened, Rejected):
            detail = f"response refused: {opened.reason}"
            raise CallError(method, self._address, CallFailure.FAILED, detail)
        try:
            with unreadable_as(UnreadableError):
                return msgspec.msgpack.decode(opened.payload, type=response_type)
        except UnreadableError as error:
            detail = f"response malformed: {error}"
            raise CallError(
                method, self._address, CallFailure.FAILED, detail
            ) from error

    def _call_error(self, method: str, error: grpc.RpcError) -> CallError:
        detail = error.details() or ""
        return CallError(method, self._address, _failure(error.code()), detail)


def _failure(code: grpc.StatusCode) -> CallFailure:
    match code:
        case grpc.StatusCode.UNAVAILABLE:
            return CallFailure.UNREACHABLE
        case grpc.StatusCode.DEADLINE_EXCEEDED:
            return CallFailure.TIMEOUT
        case (
            grpc.StatusCode.UNAUTHENTICATED
            | grpc.StatusCode.INVALID_ARGUMENT
            | grpc.StatusCode.UNIMPLEMENTED
        ):
            return CallFailure.REFUSED
        case _:
            return CallFailure.FAILED


def _path(method: str) -> str:
    return f"/{SERVICE}/{method}"


def caller(
    address: str,
    ring: KeyRing,
    sealer: Sealer,
    *,
    recipient: str,
    clock: Clock | None = None,
) -> Caller:
    """Return a caller of the process named ``recipient`` at ``address``."""
    return Caller(address, ring, sealer, recipient, clock or wall_clock())
