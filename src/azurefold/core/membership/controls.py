"""The control processes of the data centre, as one of them sees them."""

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.rendezvous import controls_digest, homes

__all__ = ["Controls"]

_DORMANT_EVERY = 8
_SETTLE_AFTER: Millis = 2_000
_SETTLE_WITHIN: Millis = 10_000


class Controls:
    """Live and dormant peers of one control process.

    Parameters
    ----------
    own : str
        This control's datagram address.
    seeds : tuple of str
        Addresses from the settings, asked while no peer is known and now and
        then later on.
    """

    def __init__(self, own: str, seeds: tuple[str, ...]) -> None:
        self._own = own
        self._own_serves = True
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._live: dict[str, str] = {}
        self._dormant: dict[str, str] = {}
        self._turn = 0
        self._refresh()
        self._settled = self._addresses
        self._digest = controls_digest(self._settled)
        self._differs_since: Millis | None = None
        self._quiet_since: Millis = 0
        self._pending = self._addresses

    @property
    def addresses(self) -> tuple[str, ...]:
        """Datagram addresses of all live controls, this one among them."""
        return self._addresses

    @property
    def settled(self) -> tuple[str, ...]:
        """The list to tell endpoints; see :meth:`settle`."""
        return self._settled

    @property
    def digest(self) -> int:
        """Digest of ``settled``, as endpoints give it in heartbeats."""
        return self._digest

    @property
    def peers(self) -> tuple[str, ...]:
        """Addresses of the live controls but this one."""
        return self._peers

    def put(self, record: Endpoint) -> bool:
        """Take a record; return whether the live controls have changed."""
        if record.role is not Role.CONTROL:
            return False
        if record.udp_address == self._own:
            return self._put_own(record)
        before = self._live.get(record.name)
        if record.state is State.SERVING:
            self._live[record.name] = record.udp_address
            self._dormant.pop(record.name, None)
        else:
            self._live.pop(record.name, None)
            self._dormant[record.name] = record.udp_address
        changed = before != self._live.get(record.name)
        if changed:
            self._refresh()
        return changed

    def settle(self, now: Millis) -> None:
        """Take the live controls into the list that endpoints are told.

        In a cut or a rack's failure many controls go within seconds. Were each
        step told, every endpoint would be sent the whole list, the largest of
        all messages, with every heartbeat. So it waits until there was no
        change for 2 s, though for 10 s at most.
        """
        if self._addresses == self._settled:
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = now
        if self._addresses != self._pending:
            self._pending = self._addresses
            self._quiet_since = now
        is_quiet = now - self._quiet_since >= _SETTLE_AFTER
        if is_quiet or now - self._differs_since >= _SETTLE_WITHIN:
            self._settled = self._addresses
            self._digest = controls_digest(self._settled)
            self._differs_since = None

    def _put_own(self, record: Endpoint) -> bool:
        # A control that leaves has to drop itself, as its peers do: were the
        # lists to differ, endpoints would be sent one or the other all along.
        before = self._own_serves
        self._own_serves = record.state is State.SERVING
        self._refresh()
        return before != self._own_serves

    def forget(self, name: str) -> None:
        """Forget a control that has been gone for long."""
        self._dormant.pop(name, None)

    def homes(self, name: str, count: int) -> tuple[str, ...]:
        """Return the live controls that the endpoint ``name`` reports to."""
        return homes(name, self._addresses, count)

    def own_homes(self, name: str, count: int) -> tuple[str, ...]:
        """Return the peers that this control itself reports to."""
        return homes(name, self._peers, count)

    def draw_live(self, draw: int) -> str | None:
        """Return a live peer, chosen by a drawn number."""
        return self._peers[draw % len(self._peers)] if self._peers else None

    def draw_any(self, draw: int) -> str | None:
        """Return a live peer or, each eighth time, one taken for gone or a seed.

        Each side of a healed network partition takes the other for gone. If
        nobody wrote to the gone, the two would never meet again.
        """
        self._turn += 1
        others = self._others()
        if others and (not self._peers or self._turn % _DORMANT_EVERY == 0):
            return others[draw % len(others)]
        return self.draw_live(draw)

    def _others(self) -> list[str]:
        known = {*self._seeds, *self._dormant.values()}
        return sorted(known.difference(self._peers))

    def _refresh(self) -> None:
        self._peers = tuple(sorted(set(self._live.values())))
        own = {self._own} if self._own_serves else set()
        self._addresses = tuple(sorted(own.union(self._peers)))
