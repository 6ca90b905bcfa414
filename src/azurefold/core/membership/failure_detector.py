"""Who has been heard when, and who has been silent for too long."""

from collections.abc import Iterable
from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.membership.messages import Timing

__all__ = ["Due", "Watches"]

_MAX_PATIENCE = 8


@dataclass(frozen=True, slots=True)
class Due:
    """Names to probe and names to declare gone."""

    probe: tuple[str, ...]
    expired: tuple[str, ...]


@dataclass(slots=True)
class _Watch:
    since: Millis
    probed_at: Millis


class Watches:
    """Silence of the endpoints that this control is responsible for."""

    def __init__(self, timing: Timing, now: Millis) -> None:
        self._timing = timing
        self._heard: dict[str, Millis] = {}
        self._watched: dict[str, _Watch] = {}
        self._patience: dict[str, int] = {}
        self._ticked_at = now

    def hear(self, name: str, now: Millis) -> None:
        """Note a heartbeat, or any other datagram, of ``name``."""
        self._heard[name] = now
        self._patience.pop(name, None)
        watch = self._watched.get(name)
        if watch is not None:
            watch.since = now

    def heard_lately(self, name: str, now: Millis) -> bool:
        """Return whether this control has evidence that ``name`` lives."""
        heard = self._heard.get(name)
        return heard is not None and now - heard < self._timing.probe_after

    def forget(self, name: str) -> None:
        """Drop all that is known of ``name``, as for a new incarnation."""
        self._heard.pop(name, None)
        self._watched.pop(name, None)
        self._patience.pop(name, None)

    def others_hear(self, name: str) -> None:
        """Note that another control heard what this one took for silent.

        If only the way from the endpoint to this control is broken, each of
        its declarations is refuted by the endpoint's other home. Without more
        patience every time, the endpoint would come and go every few seconds.
        """
        patience = self._patience.get(name, 1)
        self._patience[name] = min(2 * patience, _MAX_PATIENCE)

    def watch_only(self, names: Iterable[str], now: Millis) -> None:
        """Be responsible for ``names``; the new ones get the whole term."""
        watched = {}
        for name in names:
            watched[name] = self._watched.get(name) or _Watch(now, now)
        self._watched = watched

    def watch(self, name: str, now: Millis) -> None:
        """Be responsible for ``name`` as well."""
        self._watched.setdefault(name, _Watch(now, now))

    def unwatch(self, name: str) -> None:
        """Be no longer responsible for ``name``."""
        self._watched.pop(name, None)

    def due(self, now: Millis, unlisted: frozenset[str]) -> Due:
        """Return who is to be probed and who has expired.

        Parameters
        ----------
        now : int
            The present time in milliseconds.
        unlisted : frozenset of str
            Names that the list of VMs has dropped; one probe without an
            answer is enough for them.
        """
        self._excuse_own_pause(now)
        probe, expired = [], []
        for name, watch in self._watched.items():
            silent_for = now - watch.since
            if silent_for >= self._term(name, unlisted):
                expired.append(name)
            elif self._is_probe_due(watch, silent_for, now):
                watch.probed_at = now
                probe.append(name)
        return Due(tuple(probe), tuple(expired))

    def _term(self, name: str, unlisted: frozenset[str]) -> Millis:
        if name in unlisted:
            return self._timing.probe_after + self._timing.probe_every
        return self._timing.expiry * self._patience.get(name, 1)

    def _is_probe_due(self, watch: _Watch, silent_for: Millis, now: Millis) -> bool:
        if silent_for < self._timing.probe_after:
            return False
        return now - watch.probed_at >= self._timing.probe_every

    def _excuse_own_pause(self, now: Millis) -> None:
        # A control that was paused finds all its endpoints silent when it
        # wakes, though it was itself that did not listen: it would declare a
        # tenth of the data centre gone. They get the whole term again.
        if now - self._ticked_at >= self._timing.probe_after:
            for watch in self._watched.values():
                watch.since = now
        self._ticked_at = now
