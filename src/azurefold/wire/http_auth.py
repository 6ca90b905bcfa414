"""Signs and verifies requests between processes as one header value.

The seal covers method, path and the body's digest without carrying them, so
that the header stays short. It carries the wall-clock time, because a replay
guard alone forgets what it saw when its process restarts: an order recorded
before the restart would pass after it. The tolerance bounds that gap.
"""

import base64
import binascii
import hashlib
from dataclasses import dataclass

import msgspec

from azurefold.core.clock import Millis
from azurefold.wire.seal import (
    KeyRing,
    Opened,
    Reason,
    Rejected,
    ReplayGuard,
    Sealer,
    open_sealed,
    seal,
)

__all__ = ["HEADER", "TOLERANCE", "RequestParts", "sign_request", "verify_request"]

HEADER = "Azurefold-Auth"
TOLERANCE: Millis = 30_000
_HTTP = "http"
_MAX_HEADER = 1_024


@dataclass(frozen=True, slots=True)
class RequestParts:
    """What of a request the seal covers.

    Parameters
    ----------
    method : str
        Such as ``POST``; for gRPC always ``GRPC``.
    path : str
        Path with its query, as sent.
    body : bytes
        The whole body.
    recipient : str
        The receiver's name if the caller knows it: an order recorded on its
        way to one agent is then no use at another.
    """

    method: str
    path: str
    body: bytes = b""
    recipient: str = ""

    def audience(self) -> str:
        """Return the text that the seal covers."""
        digest = hashlib.sha256(self.body).hexdigest()
        return "\n".join((self.method.upper(), self.path, digest, self.recipient))


def sign_request(
    parts: RequestParts, ring: KeyRing, sealer: Sealer, wall_now: Millis
) -> str:
    """Return the value of the header ``Azurefold-Auth`` for a request."""
    payload = msgspec.msgpack.encode(wall_now)
    sealed = seal(payload, ring, sealer, purpose=_HTTP, audience=parts.audience())
    return base64.urlsafe_b64encode(sealed).decode("ascii")


def verify_request(
    value: str | None,
    parts: RequestParts,
    ring: KeyRing,
    guard: ReplayGuard,
    wall_now: Millis,
    tolerance: Millis = TOLERANCE,
) -> Opened | Rejected:
    """Return who signed a request, or why it must be refused with 401.

    Parameters
    ----------
    value : str or None
        The header as received; no value makes this raise.
    parts : RequestParts
        Of the request as received.
    ring : KeyRing
        Each of its keys verifies.
    guard : ReplayGuard
        One for each process, shared by its ports.
    wall_now : int
        Wall-clock time in milliseconds since the Unix epoch.
    tolerance : int
        How far the sender's clock may be away, in milliseconds.
    """
    sealed = _decode(value)
    if sealed is None:
        return Rejected(Reason.MALFORMED)
    opened = open_sealed(sealed, ring, None, purpose=_HTTP, audience=parts.audience())
    if isinstance(opened, Rejected):
        return opened
    try:
        signed_at = msgspec.msgpack.decode(opened.payload, type=int)
    except msgspec.MsgspecError:
        return Rejected(Reason.MALFORMED)
    if abs(wall_now - signed_at) > tolerance:
        return Rejected(Reason.EXPIRED)
    # Last, so that a request refused for another reason leaves no trace.
    reason = guard.check(opened.sender, opened.incarnation, opened.counter)
    return opened if reason is None else Rejected(reason)


def _decode(value: str | None) -> bytes | None:
    if not value or len(value) > _MAX_HEADER:
        return None
    try:
        return base64.b64decode(value.encode("ascii"), altchars=b"-_", validate=True)
    except (binascii.Error, UnicodeEncodeError):
        return None
