"""The other control processes, and calls to them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from azurefold.border.settings import PeerControl
from azurefold.internal.identity import Identity
from azurefold.wire.grpc_caller import Caller, caller

__all__ = ["Peers", "new_peers"]


@dataclass(slots=True)
class Peers:
    """Control processes of all data centres, by name."""

    identity: Identity
    data_centre: str
    _peers: dict[str, PeerControl] = field(default_factory=dict)
    _callers: dict[str, Caller] = field(default_factory=dict)

    @property
    def near(self) -> list[str]:
        """Datagram addresses of peers in this data centre."""
        return self._udp(lambda peer: peer.data_centre == self.data_centre)

    @property
    def far(self) -> list[str]:
        """Datagram addresses of peers in other data centres."""
        return self._udp(lambda peer: peer.data_centre != self.data_centre)

    @property
    def far_data_centres(self) -> dict[str, list[str]]:
        """Names of the peers in each other data centre."""
        found: dict[str, list[str]] = {}
        for peer in self._peers.values():
            if peer.data_centre != self.data_centre:
                found.setdefault(peer.data_centre, []).append(peer.name)
        return found

    def caller(self, name: str) -> Caller | None:
        """Return a caller of a peer, or None if its address is not known."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        if name not in self._callers:
            self._callers[name] = self._connect(peer.grpc, name)
        return self._callers[name]

    def _connect(self, address: str, name: str) -> Caller:
        identity = self.identity
        return caller(address, identity.ring, identity.sealer, recipient=name)

    def _udp(self, wanted: object) -> list[str]:
        return [peer.udp for peer in self._peers.values() if wanted(peer)]


def new_peers(
    identity: Identity, data_centre: str, peers: Iterable[PeerControl]
) -> Peers:
    """Return the peers named in the settings, not connected yet."""
    return Peers(identity, data_centre, {peer.name: peer for peer in peers})
