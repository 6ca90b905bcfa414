"""One UDP port: seals what goes out, opens and hands on what comes in."""

from collections.abc import Callable
from enum import StrEnum

from gevent import socket as gevent_socket
from gevent.server import DatagramServer

from azurefold.core.membership.messages import Send, Source
from azurefold.wire.messages import (
    AnyMessage,
    MalformedError,
    decode_message,
    encode_message,
)
from azurefold.wire.seal import (
    KeyRing,
    Reason,
    Rejected,
    ReplayGuard,
    Sealer,
    open_sealed,
    seal,
)

__all__ = ["DatagramPort", "SendFailure", "datagram_port"]

OnMessage = Callable[[AnyMessage, Source], list[Send]]
OnReject = Callable[[Reason], None]


class SendFailure(StrEnum):
    """Why a datagram was not sent; used as a label of a counter."""

    SOCKET = "socket"
    BAD_ADDRESS = "bad_address"


class DatagramPort:
    """A bound port; made by :func:`datagram_port`.

    What is received is opened for this port's own address as its audience, so
    peers must know the port by the very address given here.
    """

    def __init__(
        self,
        server_socket: gevent_socket.socket,
        ring: KeyRing,
        sealer: Sealer,
        guard: ReplayGuard,
        on_message: OnMessage,
        on_reject: OnReject,
        on_send_failure: Callable[[SendFailure], None],
        known_as: str | None = None,
    ) -> None:
        self._ring = ring
        self._sealer = sealer
        self._guard = guard
        self._on_message = on_message
        self._on_reject = on_reject
        self._on_send_failure = on_send_failure
        self._address = known_as or _address_text(server_socket.getsockname())
        self._server = DatagramServer(server_socket, self._receive)
        self._open = True

    @property
    def address(self) -> str:
        """IP number and port, also where port 0 was asked for."""
        return self._address

    def start(self) -> None:
        """Begin to receive."""
        self._server.start()

    def stop(self) -> None:
        """Close the port; what is sent from then on is dropped."""
        self._open = False
        self._server.stop()
        self._server.close()

    def send(self, sends: list[Send]) -> None:
        """Seal and send datagrams; those that cannot be sent are counted."""
        if not self._open:
            return
        for each in sends:
            payload = encode_message(each.message)
            data = seal(payload, self._ring, self._sealer, audience=each.to)
            self._send_bytes(data, each.to)

    def _send_bytes(self, data: bytes, to: str) -> None:
        # An address from a peer's record may be wrong, and a full buffer or a
        # vanished route must cost this one datagram, not the process.
        try:
            host, port = _split_address(to)
            self._server.sendto(data, (host, port))
        except (ValueError, OverflowError):
            self._on_send_failure(SendFailure.BAD_ADDRESS)
        except OSError:
            self._on_send_failure(SendFailure.SOCKET)

    def _receive(self, data: bytes, origin: tuple) -> None:
        opened = open_sealed(data, self._ring, self._guard, audience=self._address)
        if isinstance(opened, Rejected):
            self._on_reject(opened.reason)
            return
        try:
            message = decode_message(opened.payload)
        except MalformedError:
            self._on_reject(Reason.MALFORMED)
            return
        source = Source(opened.sender, opened.incarnation, _address_text(origin))
        self.send(self._on_message(message, source))


def datagram_port(
    address: str,
    ring: KeyRing,
    sealer: Sealer,
    on_message: OnMessage,
    on_reject: OnReject,
    on_send_failure: Callable[[SendFailure], None] = lambda failure: None,
    guard: ReplayGuard | None = None,
    bind: str | None = None,
) -> DatagramPort:
    """Bind ``address`` and return its port, not yet started.

    Parameters
    ----------
    address : str
        IP number and port; port 0 takes a free one. Not a wildcard address.
    ring : KeyRing
        Datagrams without one of its keys are dropped.
    sealer : Sealer
        This process's identity.
    on_message : callable
        Given a message and its source; returns what to send.
    on_reject : callable
        Given the reason for each datagram dropped, for a counter.
    on_send_failure : callable
        Given the reason for each datagram not sent, for a counter.
    guard : ReplayGuard, optional
        The process's own, if other ports share it.
    bind : str, optional
        What to bind if peers reach ``address`` by some other way.

    Raises
    ------
    OSError
        If the address cannot be bound.
    ValueError
        If ``address`` is no IP number with a port, or a wildcard.
    """
    host, port = _split_address(bind or address)
    if host in ("0.0.0.0", "::"):
        raise ValueError(f"bind the address that peers use, not {address}")
    family = gevent_socket.AF_INET6 if ":" in host else gevent_socket.AF_INET
    bound = gevent_socket.socket(family, gevent_socket.SOCK_DGRAM)
    bound.bind((host, port))
    return DatagramPort(
        bound,
        ring,
        sealer,
        guard or ReplayGuard(),
        on_message,
        on_reject,
        on_send_failure,
        address if bind else None,
    )


def _split_address(address: str) -> tuple[str, int]:
    host, colon, port = address.rpartition(":")
    if not colon or not host:
        raise ValueError(f"{address!r} should be an IP number and a port")
    return host.strip("[]"), int(port)


def _address_text(name: tuple) -> str:
    host, port = name[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
