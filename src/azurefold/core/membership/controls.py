"""One control process's view of all control processes of its data centre."""

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.rendezvous import controls_digest, select_owners

__all__ = ["Controls"]

_PICKS_PER_DORMANT_PEER = 8  # see Controls.pick_any
_STABLE_AFTER_MS: Millis = 2_000
_MAX_PUBLISH_DELAY_MS: Millis = 10_000


class Controls:
    """Live and dormant peers of one control process.

    A peer is live if its record is in the serving state, and dormant otherwise.

    Parameters
    ----------
    own : str
        This control's datagram address.
    seeds : tuple of str
        Addresses from the settings. They are contacted while no peer is known, and
        occasionally afterwards.
    """

    def __init__(self, own: str, seeds: tuple[str, ...]) -> None:
        self._own = own
        self._is_own_serving = True
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._live: dict[str, str] = {}
        self._dormant: dict[str, str] = {}
        self._pick_count = 0
        self._refresh()
        self._published = self._addresses
        self._digest = controls_digest(self._published)
        self._differs_since: Millis | None = None
        self._unchanged_since: Millis = 0
        self._latest_addresses = self._addresses

    @property
    def addresses(self) -> tuple[str, ...]:
        """Datagram addresses of all live controls, including this one."""
        return self._addresses

    @property
    def published(self) -> tuple[str, ...]:
        """The list to send to endpoints; see :meth:`publish_if_stable`."""
        return self._published

    @property
    def digest(self) -> int:
        """Digest of ``published``, which endpoints repeat in their heartbeats."""
        return self._digest

    @property
    def peers(self) -> tuple[str, ...]:
        """Addresses of the live controls, without this one."""
        return self._peers

    def update(self, record: Endpoint) -> bool:
        """Apply a record; return whether the set of live controls has changed."""
        if record.role is not Role.CONTROL:
            return False
        if record.udp_address == self._own:
            return self._update_own(record)
        before = self._live.get(record.name)
        if record.state is State.SERVING:
            self._live[record.name] = record.udp_address
            self._dormant.pop(record.name, None)
        else:
            self._live.pop(record.name, None)
            self._dormant[record.name] = record.udp_address
        has_changed = before != self._live.get(record.name)
        if has_changed:
            self._refresh()
        return has_changed

    def publish_if_stable(self, now: Millis) -> None:
        """Publish the live controls once they have stopped changing.

        In a network partition or a rack failure many controls disappear within
        seconds. If each step were published, every heartbeat of every endpoint would
        be answered with the full list, the largest of all messages. So a change is
        published after 2 s without another one, and after 10 s at the latest.
        """
        if self._addresses == self._published:
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = now
        if self._addresses != self._latest_addresses:
            self._latest_addresses = self._addresses
            self._unchanged_since = now
        is_stable = now - self._unchanged_since >= _STABLE_AFTER_MS
        if is_stable or now - self._differs_since >= _MAX_PUBLISH_DELAY_MS:
            self._published = self._addresses
            self._digest = controls_digest(self._published)
            self._differs_since = None

    def _update_own(self, record: Endpoint) -> bool:
        # A leaving control must remove itself from its list, as its peers do. If their
        # lists differed, they would alternately send them to the endpoints.
        before = self._is_own_serving
        self._is_own_serving = record.state is State.SERVING
        self._refresh()
        return before != self._is_own_serving

    def forget(self, name: str) -> None:
        """Delete a control whose tombstone has expired."""
        self._dormant.pop(name, None)

    def owners_of(self, name: str, count: int) -> tuple[str, ...]:
        """Return the live controls that the endpoint ``name`` reports to."""
        return select_owners(name, self._addresses, count)

    def owners_of_self(self, name: str, count: int) -> tuple[str, ...]:
        """Return the peers that this control itself reports to."""
        return select_owners(name, self._peers, count)

    def pick_live(self, draw: int) -> str | None:
        """Return the live peer that the random number ``draw`` selects."""
        return self._peers[draw % len(self._peers)] if self._peers else None

    def pick_any(self, draw: int) -> str | None:
        """Return a live peer or, every eighth time, a dormant peer or a seed.

        After a network partition each side considers the other one gone. If nothing
        were sent to dormant peers, the two sides would never reconnect.
        """
        self._pick_count += 1
        dormant = self._dormant_addresses()
        if dormant and (
            not self._peers or self._pick_count % _PICKS_PER_DORMANT_PEER == 0
        ):
            return dormant[draw % len(dormant)]
        return self.pick_live(draw)

    def _dormant_addresses(self) -> list[str]:
        known = {*self._seeds, *self._dormant.values()}
        return sorted(known.difference(self._peers))

    def _refresh(self) -> None:
        self._peers = tuple(sorted(set(self._live.values())))
        own = {self._own} if self._is_own_serving else set()
        self._addresses = tuple(sorted(own.union(self._peers)))
