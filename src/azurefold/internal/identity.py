"""Who a process is, and how it signs and checks requests between processes."""

from dataclasses import dataclass, field

from azurefold.core.clock import Clock
from azurefold.wire.http_auth import (
    HEADER,
    RequestParts,
    sign_request,
    verify_request,
)
from azurefold.wire.seal import (
    KeyRing,
    Opened,
    Rejected,
    ReplayGuard,
    Sealer,
)

__all__ = ["Identity", "process_identity"]


@dataclass(slots=True)
class Identity:
    """Name, incarnation and keys of a running process.

    Parameters
    ----------
    name : str
    incarnation : int
        Wall-clock time of the start in milliseconds: a later start is higher.
    ring : KeyRing
    sealer : Sealer
    wall : Clock
        Milliseconds since the Unix epoch.
    """

    name: str
    incarnation: int
    ring: KeyRing
    sealer: Sealer
    wall: Clock
    guard: ReplayGuard = field(default_factory=ReplayGuard)

    def headers(
        self, method: str, path: str, body: bytes = b"", recipient: str = ""
    ) -> dict[str, str]:
        """Return the headers that make a request pass at ``recipient``."""
        parts = RequestParts(method, path, body, recipient)
        value = sign_request(parts, self.ring, self.sealer, self.wall.now())
        return {HEADER: value}

    def check(
        self, value: str | None, method: str, path: str, body: bytes
    ) -> Opened | Rejected:
        """Say who sent a request, or why it has to be refused."""
        parts = RequestParts(method, path, body, self.name)
        return verify_request(value, parts, self.ring, self.guard, self.wall.now())


def process_identity(name: str, ring: KeyRing, wall: Clock) -> Identity:
    """Return the identity of a process that starts now."""
    incarnation = wall.now()
    sealer = Sealer(name, incarnation)
    return Identity(name, incarnation, ring, sealer, wall)
