"""Schedules a process's own polls of the platform."""

from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.configuration.messages import Tick
from azurefold.core.configuration.pollers import choose_pollers

__all__ = ["FollowerPolicy", "PollSchedule"]


@dataclass(frozen=True, slots=True)
class FollowerPolicy:
    """Intervals and timeouts of a follower, in milliseconds.

    Parameters
    ----------
    poll_interval_ms : int
        Time between two polls of a chosen poller.
    stale_after_ms : int
        Time without a confirmation after which a process polls for itself. A
        random delay of up to the same length is added, so that not all
        processes poll at once when an outage ends.
    fetch_timeout_ms : int
        Time after which another source is asked.
    first_fetch_scale_ms : int
        See :func:`azurefold.core.configuration.first_fetch.compute_fetch_delay`.
    """

    poll_interval_ms: Millis = 1_000
    stale_after_ms: Millis = 2_000
    fetch_timeout_ms: Millis = 500
    first_fetch_scale_ms: Millis = 1_000


class PollSchedule:
    """Decides when one process polls the platform.

    A chosen poller polls at a fixed interval, any other process only when its
    last confirmation is stale.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of this process.
    policy : FollowerPolicy
        Intervals and timeouts.
    """

    def __init__(self, name: str, data_centre: str, policy: FollowerPolicy) -> None:
        self._name = name
        self._data_centre = data_centre
        self._policy = policy
        self._confirmed_at: Millis | None = None
        self._polled_at: Millis | None = None
        self._due_at: Millis | None = None

    def age_ms(self, now: Millis) -> Millis | None:
        """Return the time since the last confirmation, or ``None`` if there is none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def record_confirmation(self, confirmed_at: Millis) -> None:
        """Record that the platform had nothing newer at ``confirmed_at``."""
        if self._confirmed_at is not None and confirmed_at <= self._confirmed_at:
            return
        self._confirmed_at = confirmed_at
        self._due_at = None

    def is_due(self, tick: Tick, now: Millis) -> bool:
        """Return whether to poll now; if so, record the poll as started."""
        is_poller = self._name in choose_pollers(tick.live_controls, self._data_centre)
        last_checked_at = self._find_last_check(now)
        if self._due_at is None:
            self._due_at = last_checked_at + self._compute_delay(is_poller, tick.jitter)
        if is_poller:
            next_poll_at = last_checked_at + self._policy.poll_interval_ms
            self._due_at = min(self._due_at, next_poll_at)
        if now < self._due_at:
            return False
        self._polled_at = now
        self._due_at = None
        return True

    def _find_last_check(self, now: Millis) -> Millis:
        # A check is a poll by this process, also a failed one, or a confirmation.
        known_times = [
            at for at in (self._confirmed_at, self._polled_at) if at is not None
        ]
        return max(known_times, default=now)

    def _compute_delay(self, is_poller: bool, jitter: float) -> Millis:
        if self._polled_at is None and self._confirmed_at is None:
            return int(jitter * self._policy.poll_interval_ms)
        if is_poller:
            return self._policy.poll_interval_ms
        return self._policy.stale_after_ms + int(jitter * self._policy.stale_after_ms)
