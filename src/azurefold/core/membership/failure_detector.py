"""Failure detection: which endpoints to probe and which to declare gone."""

from collections.abc import Iterable
from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.membership.messages import Timing

__all__ = ["FailureDetector", "SilentEndpoints"]

_MAX_TIMEOUT_FACTOR = 8


@dataclass(frozen=True, slots=True)
class SilentEndpoints:
    """Names of silent endpoints: those to probe and those to declare gone."""

    to_probe: tuple[str, ...]
    expired: tuple[str, ...]


@dataclass(slots=True)
class _Watch:
    """Since when a watched endpoint has been silent, and when it was last probed."""

    silent_since: Millis
    probed_at: Millis


class FailureDetector:
    """Timeouts of the endpoints that this control owns.

    Messages from other endpoints are recorded too, but only owned ones are watched.
    """

    def __init__(self, timing: Timing, now: Millis) -> None:
        self._timing = timing
        self._last_message_at: dict[str, Millis] = {}
        self._watched: dict[str, _Watch] = {}
        self._timeout_factors: dict[str, int] = {}
        self._last_check_at = now

    def record_message(self, name: str, now: Millis) -> None:
        """Record a heartbeat or any other datagram from ``name``."""
        self._last_message_at[name] = now
        self._timeout_factors.pop(name, None)
        watch = self._watched.get(name)
        if watch is not None:
            watch.silent_since = now

    def has_recent_message(self, name: str, now: Millis) -> bool:
        """Return whether this control recently received a message from ``name``."""
        received_at = self._last_message_at.get(name)
        return (
            received_at is not None and now - received_at < self._timing.probe_after_ms
        )

    def forget(self, name: str) -> None:
        """Delete all state of ``name``, for instance for a new incarnation."""
        self._last_message_at.pop(name, None)
        self._watched.pop(name, None)
        self._timeout_factors.pop(name, None)

    def double_timeout(self, name: str) -> None:
        """Double the timeout of an endpoint that still sends to another control.

        If only the path from the endpoint to this control is broken, the endpoint's
        other owner refutes each declaration of this control. With a constant timeout,
        the endpoint would be removed and added again every few seconds.
        """
        factor = self._timeout_factors.get(name, 1)
        self._timeout_factors[name] = min(2 * factor, _MAX_TIMEOUT_FACTOR)

    def set_watched(self, names: Iterable[str], now: Millis) -> None:
        """Watch exactly ``names``; newly watched ones get the full timeout."""
        watched = {}
        for name in names:
            watched[name] = self._watched.get(name) or _Watch(now, now)
        self._watched = watched

    def watch(self, name: str, now: Millis) -> None:
        """Watch ``name`` in addition to the others."""
        self._watched.setdefault(name, _Watch(now, now))

    def unwatch(self, name: str) -> None:
        """Stop watching ``name``."""
        self._watched.pop(name, None)

    def check(self, now: Millis, unlisted: frozenset[str]) -> SilentEndpoints:
        """Return the endpoints to probe and those whose timeout has passed.

        Parameters
        ----------
        now : int
            The present time in milliseconds.
        unlisted : frozenset of str
            Names that are no longer in the list of VMs. They are declared gone after
            one unanswered probe.
        """
        self._restart_timeouts_after_pause(now)
        to_probe, expired = [], []
        for name, watch in self._watched.items():
            silent_for = now - watch.silent_since
            if silent_for >= self._timeout_ms(name, unlisted):
                expired.append(name)
            elif self._is_probe_due(watch, silent_for, now):
                watch.probed_at = now
                to_probe.append(name)
        return SilentEndpoints(tuple(to_probe), tuple(expired))

    def _timeout_ms(self, name: str, unlisted: frozenset[str]) -> Millis:
        if name in unlisted:
            return self._timing.probe_after_ms + self._timing.probe_interval_ms
        return self._timing.expire_after_ms * self._timeout_factors.get(name, 1)

    def _is_probe_due(self, watch: _Watch, silent_for: Millis, now: Millis) -> bool:
        if silent_for < self._timing.probe_after_ms:
            return False
        return now - watch.probed_at >= self._timing.probe_interval_ms

    def _restart_timeouts_after_pause(self, now: Millis) -> None:
        # After a pause of this process all its endpoints look silent, because it
        # received nothing itself. Without new timeouts it would declare all of them
        # gone, a tenth of the data centre.
        if now - self._last_check_at >= self._timing.probe_after_ms:
            for watch in self._watched.values():
                watch.silent_since = now
        self._last_check_at = now
